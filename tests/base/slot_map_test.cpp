// Handles of slots that have been reused.
#include "base/slot_map.h"

#include <gtest/gtest.h>

using namespace dapplewharf;

TEST(SlotMap, AStaleHandleNeverFindsAReusedSlot) {
  SlotMap<int> table;
  const Handle first = table.add(1);
  table.drop(first);
  const Handle second = table.add(2);
  EXPECT_EQ(first.slot, second.slot);
  EXPECT_EQ(table.find(first), nullptr);
  table.drop(first);
  EXPECT_EQ(*table.find(second), 2);
}
