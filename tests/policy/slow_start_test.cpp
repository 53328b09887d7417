// This node's share of the connections that an endpoint in slow start may get.
#include "policy/slow_start.h"

#include <gtest/gtest.h>

using namespace dapplewharf;

namespace {

constexpr TimePoint kStartedAt = 100 * kSecond;

struct SlowStartTest : ::testing::Test {
  Settings settings;
  SlowStartConditions conditions{.sustained_per_capacity = 40, .is_surge = true};
  SentWorkWindow sent;
  RandomGenerator random{7};

  SlowStartTest() {
    settings.cold_capacity_share = 0.3;
    settings.warm_up_time = 8 * kSecond;
    settings.overload_window = 2 * kSecond;
    settings.overload_multiple = 2.5;
  }

  SlowStart make_slow_start() {
    SlowStart slow_start(settings, "endpoint");
    slow_start.set_started_at(kStartedAt);
    return slow_start;
  }

  int count_admitted_at_once(TimePoint now) {
    const SlowStart slow_start = make_slow_start();
    int admitted = 0;
    while (admitted < 200 && slow_start.admits_connection(now, conditions, sent, random)) {
      sent.add(now, 1);
      ++admitted;
    }
    return admitted;
  }
};

}  // namespace

TEST_F(SlowStartTest, IsActiveForTheWarmUpTime) {
  const SlowStart slow_start = make_slow_start();
  EXPECT_TRUE(slow_start.is_active(kStartedAt + settings.warm_up_time - 1));
  EXPECT_FALSE(slow_start.is_active(kStartedAt + settings.warm_up_time));
  EXPECT_EQ(slow_start.ends_at(), kStartedAt + settings.warm_up_time);
}

TEST_F(SlowStartTest, EndpointThatStartedLongAgoIsNotInSlowStart) {
  const SlowStart slow_start(settings, "endpoint");
  EXPECT_FALSE(slow_start.is_active(kStartedAt));
  EXPECT_EQ(slow_start.ends_at(), 0);
}

TEST_F(SlowStartTest, AllowanceGrowsWithTheEndpointsCapacity) {
  const SlowStart slow_start = make_slow_start();
  // What the slots would allow within the warm-up time at full capacity.
  const double full_allowance = 40 * 2.5 * 0.7;
  EXPECT_DOUBLE_EQ(slow_start.allowance_since_start(-1, conditions), 0);
  EXPECT_NEAR(slow_start.allowance_since_start(4 * kSecond, conditions), full_allowance * (0.15 + 0.0875),
              1e-9);
  EXPECT_NEAR(slow_start.allowance_since_start(8 * kSecond, conditions), full_allowance * 0.65, 1e-9);
}

TEST_F(SlowStartTest, AllNodesTogetherGetOneConnectionPerWindowIfNothingIsKnown) {
  settings.node_count = 10;
  conditions.sustained_per_capacity = 0;
  EXPECT_DOUBLE_EQ(make_slow_start().allowance_since_start(2 * kSecond, conditions), 0.1);
}

TEST_F(SlowStartTest, OnlySlotsOfTheLastWindowAreAdmittedDuringSurge) {
  const TimePoint now = kStartedAt + 4 * kSecond;
  const SlowStart slow_start = make_slow_start();
  const double slots_in_window = slow_start.allowance_since_start(4 * kSecond, conditions) -
                                 slow_start.allowance_since_start(2 * kSecond, conditions);
  EXPECT_NEAR(count_admitted_at_once(now), slots_in_window, 1);
}

TEST_F(SlowStartTest, SlotsOfAllNodesAddUpToTheAllowance) {
  settings.node_count = 100;
  conditions.sustained_per_capacity = 0.4;
  int admitted = 0;
  for (int node = 0; node < 100; ++node) {
    settings.node_index = node;
    sent = SentWorkWindow();
    admitted += count_admitted_at_once(kStartedAt + 2 * kSecond);
  }
  EXPECT_NEAR(admitted, 100 * make_slow_start().allowance_since_start(2 * kSecond, conditions), 1);
}

TEST_F(SlowStartTest, RandomAllowanceIsAddedWithoutSurgeOrWithSpareCapacity) {
  const TimePoint now = kStartedAt + 4 * kSecond;
  const int slots = count_admitted_at_once(now);
  sent = SentWorkWindow();
  conditions.is_surge = false;
  conditions.selections_per_capacity = 1;
  EXPECT_GE(count_admitted_at_once(now), slots);
  sent = SentWorkWindow();
  conditions.is_surge = true;
  conditions.reports_headroom = true;
  EXPECT_GE(count_admitted_at_once(now), slots) << "reported spare capacity takes precedence over a surge";
}

TEST_F(SlowStartTest, RandomAdmissionIsRarerIfMoreRequestsAreExpected) {
  settings.node_count = 100;
  settings.node_index = 0;
  conditions = {.sustained_per_capacity = 0.01};
  int admitted[2] = {0, 0};
  for (int i = 0; i < 1000; ++i) {
    for (const bool expects_many : {false, true}) {
      conditions.selections_per_capacity = expects_many ? 10 : 0.01;
      const bool admits =
          make_slow_start().admits_connection(kStartedAt + 4 * kSecond, conditions, sent, random);
      admitted[expects_many] += admits ? 1 : 0;
    }
  }
  EXPECT_EQ(admitted[0], 1000);
  EXPECT_GT(admitted[1], 0);
  EXPECT_LT(admitted[1], 100);
}
