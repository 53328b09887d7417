// New connections to one endpoint during a surge.
#include "policy/connection_rate_limit.h"

#include <gtest/gtest.h>

using namespace dapplewharf;

namespace {

constexpr TimePoint kNow = 100 * kSecond;

struct ConnectionRateLimitTest : ::testing::Test {
  Settings settings;
  SurgeConditions conditions{.open_connections = 40, .mean_connections = 40, .surge_rate = 0.25};
  SentWorkWindow sent;

  int admitted_at_once() {
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

TEST_F(ConnectionRateLimitTest, WithoutASurgeNothingIsLimited) {
  conditions.surge_rate = 0;
  EXPECT_EQ(admitted_at_once(), 200);
}

TEST_F(ConnectionRateLimitTest, ASurgeAdmitsAPartOfTheMeanInASecond) {
  EXPECT_EQ(admitted_at_once(), 10);
}

TEST_F(ConnectionRateLimitTest, ReportedHeadroomAdmitsFourTimesAsMany) {
  conditions.reports_headroom = true;
  EXPECT_EQ(admitted_at_once(), 40);
}

TEST_F(ConnectionRateLimitTest, ManyNodesShareTheLeastRate) {
  settings.node_count = 10;
  conditions.mean_connections = 0;  // two a second of ten nodes: one of this node in five seconds
  EXPECT_EQ(admitted_at_once(), 1);
  const ConnectionRateLimit limit(settings);
  EXPECT_FALSE(limit.admits_connection(kNow + 5 * kSecond - 1, conditions, sent));
  EXPECT_TRUE(limit.admits_connection(kNow + 5 * kSecond, conditions, sent));
}

TEST_F(ConnectionRateLimitTest, FarBelowTheQuotaNothingIsLimited) {
  conditions.quota_per_size = 61;  // 0.7 of it is 42.7
  EXPECT_EQ(admitted_at_once(), 200);
  conditions.open_connections = 41;
  sent = SentWorkWindow();
  EXPECT_EQ(admitted_at_once(), 10);
}
