// State changes of one health signal.
#include "policy/health_signal.h"

#include <gtest/gtest.h>

using namespace dapplewharf;

TEST(HealthSignal, ThreeConsecutiveFailuresDegrade) {
  HealthSignal signal;
  EXPECT_FALSE(signal.add_result(false));
  EXPECT_FALSE(signal.add_result(false));
  EXPECT_TRUE(signal.is_healthy());
  EXPECT_TRUE(signal.is_suspect());
  EXPECT_TRUE(signal.add_result(false));
  EXPECT_FALSE(signal.is_healthy());
}

TEST(HealthSignal, SuccessBetweenFailuresResetsTheCount) {
  HealthSignal signal;
  for (const bool succeeded : {false, false, true, false, false}) {
    EXPECT_FALSE(signal.add_result(succeeded));
  }
  EXPECT_TRUE(signal.is_healthy());
}

TEST(HealthSignal, RecoversAfterTwelveConsecutiveSuccesses) {
  HealthSignal signal;
  for (int i = 0; i < 3; ++i) {
    signal.add_result(false);
  }
  for (int i = 1; i < kSuccessesToRecover; ++i) {
    EXPECT_FALSE(signal.add_result(true));
    EXPECT_TRUE(signal.is_suspect());
  }
  EXPECT_TRUE(signal.add_result(true));
  EXPECT_FALSE(signal.is_suspect());
}

TEST(HealthSignal, MissingResultsCountAsSuccesses) {
  HealthSignal signal;
  EXPECT_DOUBLE_EQ(signal.success_share(), 1);
  signal.add_result(false);
  EXPECT_DOUBLE_EQ(signal.success_share(), 1 - 1.0 / kSuccessesToRecover);
  for (int i = 0; i < kSuccessesToRecover; ++i) {
    signal.add_result(true);
  }
  EXPECT_DOUBLE_EQ(signal.success_share(), 1) << "the failure is no longer among the last twelve results";
}
