// Latency estimates from health checks and lines.
#include "node/latency_estimator.h"

#include <gtest/gtest.h>

using namespace dapplewharf;

TEST(LatencyEstimator, ReportsSlowHealthChecksOnceASecondAndOnceMoreAfterwards) {
  LatencyEstimator meter;
  TimePoint now = 100000;
  for (int i = 0; i < 5; ++i) {
    meter.record_health_check(now, 30);
  }
  EXPECT_FALSE(meter.report(now, 500, {}));
  meter.record_health_check(now, 630);
  EXPECT_GE(meter.report(now, 500, {}), 600);
  EXPECT_FALSE(meter.report(now + 5000, 500, {}));
  EXPECT_TRUE(meter.report(now + 10000, 500, {}));
  meter.record_health_check(now + 11000, 35);
  EXPECT_LT(meter.report(now + 11000, 500, {}), 100);
  EXPECT_FALSE(meter.report(now + 22000, 500, {}));
}

TEST(LatencyEstimator, JudgesAHostNeverSeenIdleByTheOthers) {
  const double work = baseline_service_time({2.5 * 178, 2.5 * 34, 4 * 20, 6 * 1});
  EXPECT_EQ(work, 80) << "neither the slow one nor the one that answers at once";
  EXPECT_EQ(baseline_service_time({}), 0);
  LatencyEstimator alone;
  LatencyEstimator among;
  for (LatencyEstimator* meter : {&alone, &among}) {
    meter->record_health_check(99000, 178);
  }
  EXPECT_FALSE(among.report(99000, 500, {}, 64)) << "one probe alone says nothing";
  for (LatencyEstimator* meter : {&alone, &among}) {
    meter->record_health_check(100000, 178);
  }
  EXPECT_FALSE(alone.report(100000, 500, {}));
  EXPECT_GT(among.report(100000, 500, {}, static_cast<Duration>(2 * work / 2.5)), 250);
}

TEST(LatencyEstimator, CountsUnansweredLinesWithTheirAge) {
  LatencyEstimator meter;
  EXPECT_EQ(meter.report(100000, 500, {0, 20000, 21000}), 21000);
}
