// The health score that follows from an endpoint's two signals.
#include "policy/endpoint_health.h"

#include <gtest/gtest.h>

using namespace dapplewharf;

namespace {

void add_failures(EndpointHealth& health, SignalSource source, int count) {
  for (int i = 0; i < count; ++i) {
    health.add_result(source, false);
  }
}

}  // namespace

TEST(EndpointHealth, WorseSignalDeterminesTheScore) {
  EndpointHealth health;
  EXPECT_DOUBLE_EQ(health.score(), kMaxScore);
  add_failures(health, SignalSource::passive, 1);
  EXPECT_DOUBLE_EQ(health.score(), kMaxScore * 11 / 12);
  EXPECT_TRUE(health.is_suspect());
}

TEST(EndpointHealth, ScoreIsHalfWithOneDegradedSignalAndZeroWithTwo) {
  EndpointHealth health;
  add_failures(health, SignalSource::active, 3);
  EXPECT_DOUBLE_EQ(health.score(), kMaxScore / 2);
  add_failures(health, SignalSource::passive, 3);
  EXPECT_DOUBLE_EQ(health.score(), 0);
}

TEST(EndpointHealth, ScoreLimitHoldsUntilItIsLifted) {
  EndpointHealth health;
  add_failures(health, SignalSource::active, 3);
  health.reset(70);
  EXPECT_DOUBLE_EQ(health.score(), 70);
  health.lift_score_limit();
  EXPECT_DOUBLE_EQ(health.score(), kMaxScore);
}

TEST(EndpointHealth, UnresponsiveOnlyIfFailedChecksGetNoAnswer) {
  EndpointHealth health;
  health.record_check_outcome(Outcome::timed_out);
  EXPECT_FALSE(health.is_unresponsive()) << "one unanswered check does not degrade the active signal";
  add_failures(health, SignalSource::active, 3);
  EXPECT_TRUE(health.is_unresponsive());
  health.record_check_outcome(Outcome::error);
  EXPECT_FALSE(health.is_unresponsive()) << "the endpoint answers, although with errors";
}

TEST(EndpointHealth, ChecksCountForThePassiveSignalOnceConnectionOutcomesAreOld) {
  EndpointHealth health;
  EXPECT_FALSE(health.checks_count_for_passive_signal(10 * kSecond)) << "the passive signal has no failures";
  health.record_connection_outcome(10 * kSecond);
  add_failures(health, SignalSource::passive, 1);
  EXPECT_FALSE(health.checks_count_for_passive_signal(11 * kSecond));
  EXPECT_TRUE(health.checks_count_for_passive_signal(11 * kSecond + 1));
}
