// Handles of slots that have been reused.
#include "base/slot_map.h"

#include <gtest/gtest.h>

using namespace dapplewharf;

TEST(SlotMap, AStaleHandleNeverFindsAReusedSlot) {
  SlotMap<int> table;
  const Handle first = table.insert(1);
  table.erase(first);
  const Handle second = table.insert(2);
  EXPECT_EQ(first.slot, second.slot);
  EXPECT_EQ(table.find(first), nullptr);
  table.erase(first);
  EXPECT_EQ(*table.find(second), 2);
}
