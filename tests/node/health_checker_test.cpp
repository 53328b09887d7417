// What a health check measures.
#include "node/health_checker.h"

#include <gtest/gtest.h>

#include "base/counters.h"
#include "support/fixtures.h"

using namespace dapplewharf;

TEST(HealthChecker, AnErrorAnswerGivesNoLatency) {
  Net net;
  Counters counters;
  Limits limits;
  limits.connect_time = 5000;
  std::vector<TimePoint> answered;
  HealthChecker checker(net.loop, counters, limits, [&](const std::string&, const HealthCheckResult& probed) {
    answered.push_back(probed.latency);
  });
  checker.check("h", Net::text_of(net.hosts_at));
  const int host = net.host_accepts();
  for (const char* answer : {"ERR\r\n", "PONG\r\n"}) {
    net.read(host);
    net.run(5);
    net.write(host, answer);
    net.run(5);
    checker.check("h", Net::text_of(net.hosts_at));
  }
  ASSERT_EQ(answered.size(), 2u);
  EXPECT_EQ(answered[0], 0);
  EXPECT_GE(answered[1], 50);
}
