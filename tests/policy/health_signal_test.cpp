// The verdict of one health signal on runs of results.
#include "policy/health_signal.h"

#include <gtest/gtest.h>

using namespace dapplewharf;

TEST(HealthSignal, ThreeFailuresInARowDegradeIt) {
  HealthSignal signal;
  EXPECT_FALSE(signal.add(false));
  EXPECT_FALSE(signal.add(false));
  EXPECT_TRUE(signal.healthy());
  EXPECT_TRUE(signal.in_doubt());
  EXPECT_TRUE(signal.add(false));
  EXPECT_FALSE(signal.healthy());
}

TEST(HealthSignal, ASuccessBetweenFailuresStartsTheRunAnew) {
  HealthSignal signal;
  for (const bool succeeded : {false, false, true, false, false}) {
    EXPECT_FALSE(signal.add(succeeded));
  }
  EXPECT_TRUE(signal.healthy());
}

TEST(HealthSignal, RecoversOnlyAfterTwelveSuccessesInARow) {
  HealthSignal signal;
  for (int i = 0; i < 3; ++i) {
    signal.add(false);
  }
  for (int i = 1; i < kSuccessesToRecover; ++i) {
    EXPECT_FALSE(signal.add(true));
    EXPECT_TRUE(signal.in_doubt());
  }
  EXPECT_TRUE(signal.add(true));
  EXPECT_FALSE(signal.in_doubt());
}

TEST(HealthSignal, ResultsNotSeenYetCountAsSuccesses) {
  HealthSignal signal;
  EXPECT_DOUBLE_EQ(signal.success_share(), 1);
  signal.add(false);
  EXPECT_DOUBLE_EQ(signal.success_share(), 1 - 1.0 / kSuccessesToRecover);
  for (int i = 0; i < kSuccessesToRecover; ++i) {
    signal.add(true);
  }
  EXPECT_DOUBLE_EQ(signal.success_share(), 1) << "the failure is no longer among the last results";
}
