// The score that follows from an endpoint's two health signals.
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

TEST(EndpointHealth, TheWorseSignalSetsTheScore) {
  EndpointHealth health;
  EXPECT_DOUBLE_EQ(health.score(), kFullScore);
  add_failures(health, SignalSource::passive, 1);
  EXPECT_DOUBLE_EQ(health.score(), kFullScore * 11 / 12);
  EXPECT_TRUE(health.in_doubt());
}

TEST(EndpointHealth, OneDegradedSignalHalvesTheScoreAndTwoMakeItZero) {
  EndpointHealth health;
  add_failures(health, SignalSource::active, 3);
  EXPECT_DOUBLE_EQ(health.score(), kFullScore / 2);
  add_failures(health, SignalSource::passive, 3);
  EXPECT_DOUBLE_EQ(health.score(), 0);
}

TEST(EndpointHealth, AnInheritedScoreBoundsItUntilItEnds) {
  EndpointHealth health;
  add_failures(health, SignalSource::active, 3);
  health.start_over(70);
  EXPECT_DOUBLE_EQ(health.score(), 70);
  health.end_inheritance();
  EXPECT_DOUBLE_EQ(health.score(), kFullScore);
}

TEST(EndpointHealth, UnresponsiveOnlyWhileFailedChecksGetNoAnswer) {
  EndpointHealth health;
  health.note_check_outcome(Outcome::timed_out);
  EXPECT_FALSE(health.unresponsive()) << "one check alone says little";
  add_failures(health, SignalSource::active, 3);
  EXPECT_TRUE(health.unresponsive());
  health.note_check_outcome(Outcome::error);
  EXPECT_FALSE(health.unresponsive()) << "it answers, if only with errors";
}

TEST(EndpointHealth, ChecksStandInForConnectionsOnceThoseAreStale) {
  EndpointHealth health;
  EXPECT_FALSE(health.checks_count_as_connections(10 * kSecond)) << "nothing to make up for";
  health.note_connection_outcome(10 * kSecond);
  add_failures(health, SignalSource::passive, 1);
  EXPECT_FALSE(health.checks_count_as_connections(11 * kSecond));
  EXPECT_TRUE(health.checks_count_as_connections(11 * kSecond + 1));
}
