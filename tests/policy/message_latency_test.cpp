// Conditions derived from an endpoint's reported message latency.
#include "policy/message_latency.h"

#include <gtest/gtest.h>

using namespace dapplewharf;

namespace {

constexpr TimePoint kNow = 100 * kSecond;
constexpr Duration kObjective = 50 * kMs;

struct MessageLatencyTest : ::testing::Test {
  Settings settings;
  MessageLatency latency{settings};
  MessageLatencyTest() { settings.min_message_latency_objective = kObjective; }
};

}  // namespace

TEST_F(MessageLatencyTest, SlowAboveAThirdOfTheObjectiveUntilTheReportExpires) {
  latency.record(kNow, kObjective / 3.0, 0);
  EXPECT_FALSE(latency.is_slow(kNow));
  EXPECT_EQ(latency.slow_until(), 0);
  latency.record(kNow, kObjective / 2.0, 0);
  EXPECT_TRUE(latency.is_slow(kNow));
  EXPECT_EQ(latency.over_objective_until(), 0);
  EXPECT_TRUE(latency.is_slow(latency.slow_until() - 1));
  EXPECT_FALSE(latency.is_slow(latency.slow_until()));
}

TEST_F(MessageLatencyTest, LowLatencyReportEndsTheSlowCondition) {
  latency.record(kNow, 2 * kObjective, 0);
  EXPECT_GT(latency.over_objective_until(), kNow);
  latency.record(kNow + 1, 1, 0);
  EXPECT_FALSE(latency.is_slow(kNow + 1));
}

TEST_F(MessageLatencyTest, OverloadedEndpointIsCappedForThirtySeconds) {
  latency.record(kNow, 2 * kObjective, 7);
  latency.record(kNow + kSecond, 1, 3);
  EXPECT_TRUE(latency.is_at_connection_cap(kNow + kSecond, 7));
  EXPECT_FALSE(latency.is_at_connection_cap(kNow + kSecond, 6));
  EXPECT_FALSE(latency.is_at_connection_cap(kNow + 30 * kSecond, 7));
}

TEST_F(MessageLatencyTest, ExpensiveMigrationIsJustifiedOnlyAboveTheWholeObjective) {
  latency.record(kNow, 0.8 * kObjective, 1);
  settings.migration_price = 0.001;
  EXPECT_TRUE(latency.justifies_migration(kNow));
  settings.migration_price = 0.05;
  EXPECT_FALSE(latency.justifies_migration(kNow));
  latency.record(kNow, 1.01 * kObjective, 1);
  EXPECT_TRUE(latency.justifies_migration(kNow));
}

TEST_F(MessageLatencyTest, ExceedsTheLongestDeadlineOnlyIfDeadlinesAreKnown) {
  latency.record(kNow, 40 * kSecond, 1);
  EXPECT_FALSE(latency.exceeds_longest_deadline(kNow));
  settings.traffic.push_back(
      {.name = "plain", .repeat_rule = {}, .setup_latency_objective = {}, .deadline = 30 * kSecond});
  EXPECT_TRUE(latency.exceeds_longest_deadline(kNow));
  EXPECT_FALSE(latency.exceeds_longest_deadline(latency.slow_until()));
}
