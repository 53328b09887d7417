// The latency that health checks report.
#include "node/health_checker.h"

#include <gtest/gtest.h>

#include "base/counters.h"
#include "support/fixtures.h"

using namespace dapplewharf;

TEST(HealthChecker, ErrorAnswerReportsNoLatency) {
  NodeHarness harness;
  Counters counters;
  Limits limits;
  limits.connect_timeout = 5000;
  std::vector<TimePoint> latencies;
  HealthChecker checker(
      harness.loop, counters, limits,
      [&](const std::string&, const HealthCheckResult& result) { latencies.push_back(result.latency); });
  checker.check("h", NodeHarness::address_text(harness.endpoint_address));
  const int host = harness.accept_endpoint_connection();
  for (const char* answer : {"ERR\r\n", "PONG\r\n"}) {
    harness.read(host);
    harness.run_for(5);
    harness.write(host, answer);
    harness.run_for(5);
    checker.check("h", NodeHarness::address_text(harness.endpoint_address));
  }
  ASSERT_EQ(latencies.size(), 2u);
  EXPECT_EQ(latencies[0], 0);
  EXPECT_GE(latencies[1], 50);
}
