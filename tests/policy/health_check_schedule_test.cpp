// When the health checks of one endpoint are due.
#include "policy/health_check_schedule.h"

#include <gtest/gtest.h>

using namespace dapplewharf;

namespace {

constexpr TimePoint kNow = 100 * kSecond;

struct HealthCheckScheduleTest : ::testing::Test {
  Settings settings;
  HealthCheckScheduleTest() { settings.health_checks_allowed = true; }
};

}  // namespace

TEST_F(HealthCheckScheduleTest, PhaseSetsTheTimeOfTheFirstCheck) {
  EXPECT_EQ(HealthCheckSchedule(settings, kNow, 0.5).next_check_at(),
            kNow + kMinSteadyHealthCheckInterval / 2);
}

TEST_F(HealthCheckScheduleTest, NodesShareOneCheckRate) {
  settings.node_count = 100;
  HealthCheckSchedule schedule(settings, kNow, 0);
  schedule.record_check_started(kNow, false, 0);
  EXPECT_EQ(schedule.next_check_at(), kNow + 100 * kSecond);
  schedule.record_check_started(kNow, true, 0);
  EXPECT_EQ(schedule.next_check_at(), kNow + 6500 * kMs);
}

TEST_F(HealthCheckScheduleTest, MinSteadyIntervalDoesNotApplyToSuspectEndpoints) {
  HealthCheckSchedule schedule(settings, kNow, 0);
  schedule.record_check_started(kNow, false, 20 * kSecond);
  EXPECT_EQ(schedule.next_check_at(), kNow + 20 * kSecond);
  schedule.record_check_started(kNow, true, 20 * kSecond);
  EXPECT_EQ(schedule.next_check_at(), kNow + 200 * kMs);
}

TEST_F(HealthCheckScheduleTest, FailureBringsTheNextCheckForwardAndNeverDelaysIt) {
  HealthCheckSchedule schedule(settings, kNow, 1);
  schedule.bring_forward(kNow);
  EXPECT_EQ(schedule.next_check_at(), kNow + 100 * kMs);
  schedule.bring_forward(kNow + 50 * kMs);
  EXPECT_EQ(schedule.next_check_at(), kNow + 100 * kMs);
}

TEST_F(HealthCheckScheduleTest, AtMostOneCheckIsInFlightAndNoneIfNotAllowed) {
  HealthCheckSchedule schedule(settings, kNow, 0);
  EXPECT_TRUE(schedule.may_start_check());
  schedule.record_check_started(kNow, false, 0);
  EXPECT_FALSE(schedule.may_start_check());
  schedule.record_check_ended(kNow);
  EXPECT_TRUE(schedule.may_start_check());
  settings.health_checks_allowed = false;
  EXPECT_FALSE(schedule.may_start_check());
}

TEST_F(HealthCheckScheduleTest, ResultIsRecentForOneMinimumSteadyInterval) {
  HealthCheckSchedule schedule(settings, kNow, 0);
  EXPECT_FALSE(schedule.was_checked_recently(kNow));
  schedule.record_check_ended(kNow);
  EXPECT_TRUE(schedule.was_checked_recently(kNow + kMinSteadyHealthCheckInterval));
  EXPECT_FALSE(schedule.was_checked_recently(kNow + kMinSteadyHealthCheckInterval + 1));
}
