// This node's part of what an endpoint in slow start may be sent.
#include "policy/slow_start.h"

#include <gtest/gtest.h>

using namespace dapplewharf;

namespace {

constexpr TimePoint kStarted = 100 * kSecond;

struct SlowStartTest : ::testing::Test {
  Settings settings;
  SlowStartConditions conditions{.sustained_by_warm = 40, .is_surge = true};
  SentWorkWindow sent;
  RandomGenerator random{7};

  SlowStartTest() {
    settings.cold_capacity_share = 0.3;
    settings.warm_up_time = 8 * kSecond;
    settings.overload_window = 2 * kSecond;
    settings.overload_multiple = 2.5;
  }

  SlowStart started_endpoint() {
    SlowStart slow_start(settings, "endpoint");
    slow_start.set_started(kStarted);
    return slow_start;
  }

  int admitted_at_once(TimePoint now) {
    const SlowStart slow_start = started_endpoint();
    int admitted = 0;
    while (admitted < 200 && slow_start.admits_connection(now, conditions, sent, random)) {
      sent.add(now, 1);
      ++admitted;
    }
    return admitted;
  }
};

}  // namespace

TEST_F(SlowStartTest, LastsForTheWarmUpTime) {
  const SlowStart slow_start = started_endpoint();
  EXPECT_TRUE(slow_start.active(kStarted + settings.warm_up_time - 1));
  EXPECT_FALSE(slow_start.active(kStarted + settings.warm_up_time));
  EXPECT_EQ(slow_start.ends_at(), kStarted + settings.warm_up_time);
}

TEST_F(SlowStartTest, AnEndpointThatStartedLongAgoIsWarm) {
  const SlowStart slow_start(settings, "endpoint");
  EXPECT_FALSE(slow_start.active(kStarted));
  EXPECT_EQ(slow_start.ends_at(), 0);
}

TEST_F(SlowStartTest, TheAllowanceGrowsWithCapacity) {
  const SlowStart slow_start = started_endpoint();
  const double whole = 40 * 2.5 * 0.7;  // what the endpoint would bear in a warm-up time at full capacity
  EXPECT_DOUBLE_EQ(slow_start.allowance_since_start(-1, conditions), 0);
  EXPECT_NEAR(slow_start.allowance_since_start(4 * kSecond, conditions), whole * (0.15 + 0.0875), 1e-9);
  EXPECT_NEAR(slow_start.allowance_since_start(8 * kSecond, conditions), whole * 0.65, 1e-9);
}

TEST_F(SlowStartTest, WhereNothingIsKnownAllNodesTogetherGetOneConnectionAWindow) {
  settings.node_count = 10;
  conditions.sustained_by_warm = 0;
  EXPECT_DOUBLE_EQ(started_endpoint().allowance_since_start(2 * kSecond, conditions), 0.1);
}

TEST_F(SlowStartTest, InASurgeOnlySlotsOfTheLastWindowAreAdmitted) {
  const TimePoint now = kStarted + 4 * kSecond;
  const SlowStart slow_start = started_endpoint();
  const double in_window = slow_start.allowance_since_start(4 * kSecond, conditions) -
                           slow_start.allowance_since_start(2 * kSecond, conditions);
  EXPECT_NEAR(admitted_at_once(now), in_window, 1);
}

TEST_F(SlowStartTest, SlotsOfAllNodesAddUpToTheAllowance) {
  settings.node_count = 100;
  conditions.sustained_by_warm = 0.4;
  int admitted = 0;
  for (int node = 0; node < 100; ++node) {
    settings.node_index = node;
    sent = SentWorkWindow();
    admitted += admitted_at_once(kStarted + 2 * kSecond);
  }
  EXPECT_NEAR(admitted, 100 * started_endpoint().allowance_since_start(2 * kSecond, conditions), 1);
}

TEST_F(SlowStartTest, WithoutASurgeTheAllowanceByChanceComesOnTop) {
  const TimePoint now = kStarted + 4 * kSecond;
  const int slots = admitted_at_once(now);
  sent = SentWorkWindow();
  conditions.is_surge = false;
  conditions.selections_per_size = 1;
  EXPECT_GE(admitted_at_once(now), slots);
  sent = SentWorkWindow();
  conditions.is_surge = true;
  conditions.reports_headroom = true;
  EXPECT_GE(admitted_at_once(now), slots) << "reported headroom goes before other endpoints' trouble";
}

TEST_F(SlowStartTest, ByChanceTheMoreIsExpectedTheLessIsAdmitted) {
  settings.node_count = 100;
  settings.node_index = 0;
  conditions = {.sustained_by_warm = 0.01};
  int admitted[2] = {0, 0};
  for (int i = 0; i < 1000; ++i) {
    for (const bool busy : {false, true}) {
      conditions.selections_per_size = busy ? 10 : 0.01;
      const bool admits =
          started_endpoint().admits_connection(kStarted + 4 * kSecond, conditions, sent, random);
      admitted[busy] += admits ? 1 : 0;
    }
  }
  EXPECT_EQ(admitted[0], 1000);
  EXPECT_GT(admitted[1], 0);
  EXPECT_LT(admitted[1], 100);
}
