// Links between zones, cut in one direction or both.
#include "emulator/model/zone_cuts.h"

#include <gtest/gtest.h>

namespace dapplewharf::emulator {
namespace {

TEST(ZoneCuts, ACutHoldsInBothDirectionsAndOnlyBetweenItsZones) {
  ZoneCuts cuts(3);
  cuts.change_cut(0, 1, +1);
  EXPECT_TRUE(cuts.is_cut(0, 1));
  EXPECT_TRUE(cuts.is_cut(1, 0));
  EXPECT_TRUE(cuts.responses_lost(1, 0));
  EXPECT_FALSE(cuts.is_cut(0, 0));
  EXPECT_FALSE(cuts.is_cut(0, 2));
}

TEST(ZoneCuts, AOneWayCutLosesResponsesOfOneDirection) {
  ZoneCuts cuts(2);
  cuts.change_one_way_cut(0, 1, +1);
  EXPECT_TRUE(cuts.responses_lost(0, 1));
  EXPECT_FALSE(cuts.responses_lost(1, 0));
  EXPECT_FALSE(cuts.is_cut(0, 1));
}

TEST(ZoneCuts, ACutEndsWhenItsLastFaultEnds) {
  ZoneCuts cuts(2);
  cuts.change_cut(0, 1, +1);
  cuts.change_cut(0, 1, +1);
  cuts.change_cut(0, 1, -1);
  EXPECT_TRUE(cuts.is_cut(0, 1));
  cuts.change_cut(0, 1, -1);
  EXPECT_FALSE(cuts.is_cut(0, 1));
}

}  // namespace
}  // namespace dapplewharf::emulator
