// The rate limit on new connections to one endpoint during a surge.
#include "policy/connection_rate_limit.h"

#include <gtest/gtest.h>

using namespace dapplewharf;

namespace {

constexpr TimePoint kNow = 100 * kSecond;

struct ConnectionRateLimitTest : ::testing::Test {
  Settings settings;
  SurgeConditions conditions{.open_connections = 40, .mean_connections = 40, .surge_share_per_second = 0.25};
  SentWorkWindow sent;

  int count_admitted_at_once() {
    const ConnectionRateLimit limit(settings);
    int admitted = 0;
    while (admitted < 200 && limit.admits_connection(kNow, conditions, sent)) {
      sent.add(kNow, 1);
      ++admitted;
    }
    return admitted;
  }
};

}  // namespace

TEST_F(ConnectionRateLimitTest, AdmitsEverythingWithoutSurge) {
  conditions.surge_share_per_second = 0;
  EXPECT_EQ(count_admitted_at_once(), 200);
}

TEST_F(ConnectionRateLimitTest, AdmitsAQuarterOfTheMeanPerSecondDuringSurge) {
  EXPECT_EQ(count_admitted_at_once(), 10);
}

TEST_F(ConnectionRateLimitTest, ReportedSpareCapacityQuadruplesTheRate) {
  conditions.reports_headroom = true;
  EXPECT_EQ(count_admitted_at_once(), 40);
}

TEST_F(ConnectionRateLimitTest, NodesShareTheMinimumRate) {
  settings.node_count = 10;
  conditions.mean_connections = 0;  // the minimum of 2 a second, shared by 10 nodes: 1 in 5 s for this node
  EXPECT_EQ(count_admitted_at_once(), 1);
  const ConnectionRateLimit limit(settings);
  EXPECT_FALSE(limit.admits_connection(kNow + 5 * kSecond - 1, conditions, sent));
  EXPECT_TRUE(limit.admits_connection(kNow + 5 * kSecond, conditions, sent));
}

TEST_F(ConnectionRateLimitTest, AdmitsEverythingFarBelowTheQuota) {
  conditions.quota_per_capacity = 61;  // 0.7 of it is 42.7
  EXPECT_EQ(count_admitted_at_once(), 200);
  conditions.open_connections = 41;
  sent = SentWorkWindow();
  EXPECT_EQ(count_admitted_at_once(), 10);
}
