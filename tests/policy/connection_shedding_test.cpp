// Steps in which connections migrate off an endpoint.
#include "policy/connection_shedding.h"

#include <gtest/gtest.h>

using namespace dapplewharf;

namespace {

constexpr TimePoint kNow = 100 * kSecond;

}  // namespace

TEST(ConnectionShedding, AnOverloadedEndpointShedsAGrowingShareEveryHalfSecond) {
  ConnectionShedding shedding;
  const auto first = shedding.next_batch(kNow, SheddingReason::over_objective, false, false);
  ASSERT_TRUE(first);
  EXPECT_TRUE(first->starts_episode);
  EXPECT_DOUBLE_EQ(first->share, 0.15);
  EXPECT_EQ(shedding.next_batch_at(), kNow + 500 * kMs);
  EXPECT_FALSE(shedding.next_batch(kNow + 499 * kMs, SheddingReason::over_objective, false, false));
  const auto second = shedding.next_batch(kNow + 500 * kMs, SheddingReason::over_objective, false, false);
  ASSERT_TRUE(second);
  EXPECT_FALSE(second->starts_episode);
  EXPECT_DOUBLE_EQ(second->share, 1 - 0.85 * 0.85);
}

TEST(ConnectionShedding, AnUnresponsiveEndpointShedsEverything) {
  ConnectionShedding shedding;
  const auto batch = shedding.next_batch(kNow, SheddingReason::unresponsive, false, false);
  ASSERT_TRUE(batch);
  EXPECT_DOUBLE_EQ(batch->share, 1);
  EXPECT_EQ(shedding.next_batch_at(), kNow + 100 * kMs);
}

TEST(ConnectionShedding, WhileWeightsAreFrozenOnlyALeavingEndpointSheds) {
  ConnectionShedding shedding;
  EXPECT_FALSE(shedding.next_batch(kNow, SheddingReason::over_objective, false, true));
  EXPECT_FALSE(shedding.next_batch(kNow, SheddingReason::unresponsive, false, true));
  EXPECT_TRUE(shedding.next_batch(kNow, SheddingReason::leaving, true, true));
}

TEST(ConnectionShedding, AfterAPauseANewEpisodeBeginsWithTheFirstShare) {
  ConnectionShedding shedding;
  shedding.next_batch(kNow, SheddingReason::over_objective, false, false);
  const auto later = shedding.next_batch(kNow + 60 * kSecond, SheddingReason::over_objective, false, false);
  ASSERT_TRUE(later);
  EXPECT_TRUE(later->starts_episode);
  EXPECT_DOUBLE_EQ(later->share, 0.15);
}
