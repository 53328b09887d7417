// The performance model of a host: its setup queue, its load, its warm-up and its failure while cold.
#include "emulator/model/host.h"

#include <gtest/gtest.h>

#include "small_world.h"

namespace dapplewharf::emulator {
namespace {

TEST(Host, CompletesSetupsInOrderAtItsSpeed) {
  World world;
  HostModel host = world.host();
  const auto first = host.add_setup(0.1);
  const auto second = host.add_setup(0.3);
  EXPECT_EQ(host.next_advance(), 100 * kMs);
  host.advance(100 * kMs);
  EXPECT_EQ(host.take_completed_setups(), std::vector<HostModel::SetupId>{first});
  host.advance(399 * kMs);
  EXPECT_TRUE(host.take_completed_setups().empty());
  host.advance(400 * kMs);
  EXPECT_EQ(host.take_completed_setups(), std::vector<HostModel::SetupId>{second});
}

TEST(Host, BuildsUpABacklogWhileItsLoadExceedsItsCapacity) {
  World world;
  HostModel host = world.host();
  host.add_connection(15, -1);  // one and a half times its capacity
  host.advance(2 * kSecond);
  EXPECT_NEAR(host.backlog_s(), 1, 0.01);
  EXPECT_EQ(host.share_within(900), 0) << "the backlog is longer than the goal";
  host.remove_connection(10, -1);
  host.advance(4 * kSecond);
  EXPECT_NEAR(host.backlog_s(), 0, 0.01);
  EXPECT_GT(host.share_within(100), 0.9);
}

TEST(Host, CountsTheOverheadOfAGroupOnce) {
  World world;
  world.scenario.group_overhead = 2;
  HostModel host = world.host();
  host.add_connection(1, 7), host.add_connection(1, 7);
  EXPECT_NEAR(host.load(), (2 + 2 * world.plan.mean_load) / 10, 1e-9);
  host.remove_connection(1, 7);
  EXPECT_NEAR(host.load(), (1 + 2 * world.plan.mean_load) / 10, 1e-9);
  host.remove_connection(1, 7);
  EXPECT_NEAR(host.load(), 0, 1e-9);
}

TEST(Host, WarmsUpLinearlyAndIsSlowedByFaults) {
  World world;
  HostModel host = world.host(true);
  EXPECT_NEAR(host.warm_up_factor(), 0.5, 1e-9);
  host.advance(5 * kSecond);
  EXPECT_NEAR(host.warm_up_factor(), 0.75, 1e-9);
  host.slowdown = 3;
  EXPECT_NEAR(host.capacity(), 0.25, 1e-9);
  host.advance(10 * kSecond);
  EXPECT_FALSE(host.is_cold());
  host.neighbour_share = 0.5, host.slowdown = 1;
  EXPECT_NEAR(host.capacity(), 0.5, 1e-9);
}

TEST(Host, FailsUnderTooManySetupsOnlyWhileCold) {
  World world;  // the limit is 2.5 x 0.5 x 10 connections x 2 s of 10 s: 2.5 in a window, and 2 of slack
  HostModel cold = world.host(true);
  HostModel warm = world.host();
  double ratio = 0;
  for (int i = 0; i < 5; ++i) {
    ratio = cold.record_setup_arrival();
    EXPECT_EQ(warm.record_setup_arrival(), 0);
  }
  EXPECT_GT(ratio, 1);
  cold.advance(3 * kSecond);
  EXPECT_LT(cold.record_setup_arrival(), 0.3) << "the earlier setups are out of the window";
}

}  // namespace
}  // namespace dapplewharf::emulator
