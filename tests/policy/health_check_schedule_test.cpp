// When health checks of one endpoint are due.
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

TEST_F(HealthCheckScheduleTest, TheFirstCheckFallsSomewhereInTheFirstInterval) {
  EXPECT_EQ(HealthCheckSchedule(settings, kNow, 0.5).next_check_at(), kNow + kSteadyHealthCheckInterval / 2);
}

TEST_F(HealthCheckScheduleTest, ManyNodesShareOneRate) {
  settings.node_count = 100;
  HealthCheckSchedule schedule(settings, kNow, 0);
  schedule.note_started(kNow, false, 0);
  EXPECT_EQ(schedule.next_check_at(), kNow + 100 * kSecond);
  schedule.note_started(kNow, true, 0);
  EXPECT_EQ(schedule.next_check_at(), kNow + 6500 * kMs);
}

TEST_F(HealthCheckScheduleTest, ThePriceOfChecksLengthensOnlySteadyIntervals) {
  HealthCheckSchedule schedule(settings, kNow, 0);
  schedule.note_started(kNow, false, 20 * kSecond);
  EXPECT_EQ(schedule.next_check_at(), kNow + 20 * kSecond);
  schedule.note_started(kNow, true, 20 * kSecond);
  EXPECT_EQ(schedule.next_check_at(), kNow + 200 * kMs);
}

TEST_F(HealthCheckScheduleTest, ABadResultBringsTheNextCheckForwardAndNeverBack) {
  HealthCheckSchedule schedule(settings, kNow, 1);
  schedule.hurry(kNow);
  EXPECT_EQ(schedule.next_check_at(), kNow + 100 * kMs);
  schedule.hurry(kNow + 50 * kMs);
  EXPECT_EQ(schedule.next_check_at(), kNow + 100 * kMs);
}

TEST_F(HealthCheckScheduleTest, OneCheckIsInFlightAtATimeAndNoneWhereTheyAreNotAllowed) {
  HealthCheckSchedule schedule(settings, kNow, 0);
  EXPECT_TRUE(schedule.may_start());
  schedule.note_started(kNow, false, 0);
  EXPECT_FALSE(schedule.may_start());
  schedule.note_ended(kNow);
  EXPECT_TRUE(schedule.may_start());
  settings.health_checks_allowed = false;
  EXPECT_FALSE(schedule.may_start());
}

TEST_F(HealthCheckScheduleTest, AResultIsRecentForOneSteadyInterval) {
  HealthCheckSchedule schedule(settings, kNow, 0);
  EXPECT_FALSE(schedule.checked_recently(kNow));
  schedule.note_ended(kNow);
  EXPECT_TRUE(schedule.checked_recently(kNow + kSteadyHealthCheckInterval));
  EXPECT_FALSE(schedule.checked_recently(kNow + kSteadyHealthCheckInterval + 1));
}
