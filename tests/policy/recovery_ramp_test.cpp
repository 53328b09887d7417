// The steps and cooldowns of the recovery ramp.
#include "policy/recovery_ramp.h"

#include <gtest/gtest.h>

#include <vector>

using namespace dapplewharf;

TEST(RecoveryRamp, StartsAtFullWeight) {
  const RecoveryRamp ramp;
  EXPECT_TRUE(ramp.is_complete());
  EXPECT_DOUBLE_EQ(ramp.weight_share(), 1);
  EXPECT_EQ(ramp.next_step_at(), kNever);
}

TEST(RecoveryRamp, AdvancesInStepsOneSecondApart) {
  RecoveryRamp ramp;
  TimePoint now = 5 * kSecond;
  ramp.restart(now);
  for (const double share : {0.05, 0.20, 0.50}) {
    EXPECT_DOUBLE_EQ(ramp.weight_share(), share);
    EXPECT_EQ(ramp.next_step_at(), now + kSecond);
    now = ramp.next_step_at();
    ramp.advance(now);
  }
  EXPECT_TRUE(ramp.is_complete());
}

TEST(RecoveryRamp, CooldownDoublesWithEachDegradationOfTheLastMinute) {
  RecoveryRamp ramp;
  TimePoint now = kSecond;
  for (const Duration cooldown : {2 * kSecond, 4 * kSecond, 8 * kSecond}) {
    ramp.restart_after_cooldown(now);
    EXPECT_EQ(ramp.next_step_at(), now + cooldown + kSecond);
    now += kSecond;
  }
  now += 61 * kSecond;
  ramp.restart_after_cooldown(now);
  EXPECT_EQ(ramp.next_step_at(), now + 2 * kSecond + kSecond);
}

TEST(RecoveryRamp, CooldownIsAtMostOneHour) {
  RecoveryRamp ramp;
  for (int i = 0; i < 80; ++i) {
    ramp.restart_after_cooldown(kSecond);
  }
  EXPECT_EQ(ramp.next_step_at(), kSecond + 3600 * kSecond + kSecond);
}
