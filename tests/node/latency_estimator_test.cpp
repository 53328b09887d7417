// Latency estimates from health checks and lines.
#include "node/latency_estimator.h"

#include <gtest/gtest.h>

using namespace dapplewharf;

TEST(LatencyEstimator, ReportsSlowHealthChecksOncePerSecondAndOnceAfterRecovery) {
  LatencyEstimator estimator;
  TimePoint now = 100000;
  for (int i = 0; i < 5; ++i) {
    estimator.record_health_check(now, 30);
  }
  EXPECT_FALSE(estimator.report(now, 500, {}));
  estimator.record_health_check(now, 630);
  EXPECT_GE(estimator.report(now, 500, {}), 600);
  EXPECT_FALSE(estimator.report(now + 5000, 500, {}));
  EXPECT_TRUE(estimator.report(now + 10000, 500, {}));
  estimator.record_health_check(now + 11000, 35);
  EXPECT_LT(estimator.report(now + 11000, 500, {}), 100);
  EXPECT_FALSE(estimator.report(now + 22000, 500, {}));
}

TEST(LatencyEstimator, EndpointThatHasAlwaysBeenSlowIsComparedWithTheBaseline) {
  const double service_time = idle_service_time({2.5 * 178, 2.5 * 34, 4 * 20, 6 * 1});
  EXPECT_EQ(service_time, 80) << "neither the slow endpoint nor the one that answers immediately";
  EXPECT_EQ(idle_service_time({}), 0);
  LatencyEstimator without_baseline;
  LatencyEstimator with_baseline;
  for (LatencyEstimator* estimator : {&without_baseline, &with_baseline}) {
    estimator->record_health_check(99000, 178);
  }
  EXPECT_FALSE(with_baseline.report(99000, 500, {}, 64))
      << "a single health check is not compared with the baseline";
  for (LatencyEstimator* estimator : {&without_baseline, &with_baseline}) {
    estimator->record_health_check(100000, 178);
  }
  EXPECT_FALSE(without_baseline.report(100000, 500, {}));
  EXPECT_GT(with_baseline.report(100000, 500, {}, static_cast<Duration>(2 * service_time / 2.5)), 250);
}

TEST(LatencyEstimator, UnansweredLinesCountWithTheirAge) {
  LatencyEstimator estimator;
  EXPECT_EQ(estimator.report(100000, 500, {0, 20000, 21000}), 21000);
}
