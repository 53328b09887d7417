// Handles whose slots have been reused.
#include "base/slot_map.h"

#include <gtest/gtest.h>

using namespace dapplewharf;

TEST(SlotMap, AStaleHandleNeverFindsAReusedSlot) {
  SlotMap<int> slots;
  const Handle first = slots.insert(1);
  slots.erase(first);
  const Handle second = slots.insert(2);
  EXPECT_EQ(first.slot, second.slot);
  EXPECT_EQ(slots.find(first), nullptr);
  slots.erase(first);
  EXPECT_EQ(*slots.find(second), 2);
}
