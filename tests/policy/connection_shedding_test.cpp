// The batches in which connections migrate off an endpoint.
#include "policy/connection_shedding.h"

#include <gtest/gtest.h>

using namespace dapplewharf;

namespace {

constexpr TimePoint kNow = 100 * kSecond;

}  // namespace

TEST(ConnectionShedding, OverloadedEndpointShedsAGrowingShareEveryHalfSecond) {
  ConnectionShedding shedding;
  const auto first_batch = shedding.next_batch(kNow, SheddingReason::over_objective, false, false);
  ASSERT_TRUE(first_batch);
  EXPECT_TRUE(first_batch->starts_episode);
  EXPECT_DOUBLE_EQ(first_batch->cumulative_share, 0.15);
  EXPECT_EQ(shedding.next_batch_at(), kNow + 500 * kMs);
  EXPECT_FALSE(shedding.next_batch(kNow + 499 * kMs, SheddingReason::over_objective, false, false));
  const auto second_batch =
      shedding.next_batch(kNow + 500 * kMs, SheddingReason::over_objective, false, false);
  ASSERT_TRUE(second_batch);
  EXPECT_FALSE(second_batch->starts_episode);
  EXPECT_DOUBLE_EQ(second_batch->cumulative_share, 1 - 0.85 * 0.85);
}

TEST(ConnectionShedding, UnresponsiveEndpointShedsAllConnections) {
  ConnectionShedding shedding;
  const auto batch = shedding.next_batch(kNow, SheddingReason::unresponsive, false, false);
  ASSERT_TRUE(batch);
  EXPECT_DOUBLE_EQ(batch->cumulative_share, 1);
  EXPECT_EQ(shedding.next_batch_at(), kNow + 100 * kMs);
}

TEST(ConnectionShedding, OnlyALeavingEndpointShedsWhileWeightsAreFrozen) {
  ConnectionShedding shedding;
  EXPECT_FALSE(shedding.next_batch(kNow, SheddingReason::over_objective, false, true));
  EXPECT_FALSE(shedding.next_batch(kNow, SheddingReason::unresponsive, false, true));
  EXPECT_TRUE(shedding.next_batch(kNow, SheddingReason::leaving, true, true));
}

TEST(ConnectionShedding, NewEpisodeAfterAPauseStartsWithTheFirstShare) {
  ConnectionShedding shedding;
  shedding.next_batch(kNow, SheddingReason::over_objective, false, false);
  const auto later_batch =
      shedding.next_batch(kNow + 60 * kSecond, SheddingReason::over_objective, false, false);
  ASSERT_TRUE(later_batch);
  EXPECT_TRUE(later_batch->starts_episode);
  EXPECT_DOUBLE_EQ(later_batch->cumulative_share, 0.15);
}
