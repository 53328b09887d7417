// Endpoint lists, and calls to discovery that have long answers, fail or time out.
#include "node/endpoint_discovery.h"

#include <gtest/gtest.h>

#include "base/counters.h"
#include "node/request_line.h"
#include "support/fixtures.h"

using namespace dapplewharf;

namespace {

// Returns a worst-case endpoint list: indented and with long names.
std::string long_list(int count, int version, const std::string& lifecycle, const std::string& address) {
  nlohmann::json instances = nlohmann::json::array();
  for (int i = 0; i < count; ++i) {
    instances.push_back({{"instanceId", "h" + std::to_string(i) + std::string(200, 'x')},
                         {"hostPort", address},
                         {"zone", "near"},
                         {"machineType", std::string(64, 'k')},
                         {"cell", i},
                         {"weight", 1.0},
                         {"startedAtMs", 0},
                         {"lifecycle", lifecycle}});
  }
  return nlohmann::json({{"generation", version}, {"reset", true}, {"instances", instances}}).dump(8);
}

}  // namespace

TEST(EndpointStartTimes, StepOfTheMachineClockDoesNotLookLikeARestart) {
  EndpointStartTimes starts;
  const TimePoint first = starts.to_loop_time("h", 1000, 50000, 20000);
  EXPECT_EQ(first, 40000);
  EXPECT_EQ(starts.to_loop_time("h", 1000, 60000, 90000), first);
  EXPECT_GT(starts.to_loop_time("h", 2000, 60000, 30000), first);
  EXPECT_EQ(starts.to_loop_time("h", 0, 60000, 30000), 0);
}

// If a long list were rejected, the node would keep its former endpoints permanently.
TEST(EndpointDiscovery, AppliesALongListOfAThousandEndpointsThatArrivesInPieces) {
  for (const bool chunked : {false, true}) {
    NodeHarness harness(1024, true, [](Configuration& to) {
      to.memory_mb = 32;
      to.cached_endpoint_list = nlohmann::json::parse(long_list(1024, 1, "up", to.discovery));
    });
    const std::string body =
        long_list(1024, 2, "draining", NodeHarness::address_text(harness.endpoint_address));
    EXPECT_GT(body.size(), 512u * 1024) << "longer than 512 KiB";
    std::string answer = NodeHarness::http(body);
    if (chunked) {
      answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
      char size[16];
      for (std::size_t i = 0; i < body.size(); i += 700) {
        const std::string piece = body.substr(i, 700);
        snprintf(size, sizeof size, "%zx\r\n", piece.size());
        answer += size + piece + "\r\n";
      }
      answer += "0\r\n\r\n";
    }
    ASSERT_TRUE(
        harness.run_until([&] { return harness.discovery_request.find("\r\n\r\n") != std::string::npos; }));
    harness.discovery_request.clear();
    const TimePoint deadline = harness.loop.now() + 20 * kSecond;
    for (std::size_t i = 0; i < answer.size(); i += 1400) {
      ASSERT_LT(harness.loop.now(), deadline) << "the list was rejected while it was being sent";
      std::size_t sent = 0;
      const std::string piece = answer.substr(i, 1400);
      ASSERT_TRUE(harness.run_until([&] {
        sent += harness.discovery_connection.send(piece.data() + sent, piece.size() - sent).value_or(0);
        return sent == piece.size();
      }));
      harness.loop.run_once(0);
    }
    EXPECT_TRUE(harness.run_until([&] {
      return harness.discovery_request.find("after=2&") != std::string::npos;
    })) << chunked;
    EXPECT_EQ(harness
                  .read(harness.connect_client("OPEN 6a" + std::to_string(chunked) +
                                               " 6b c=plain,t=x,d=2000,g=6c\r\n"))
                  .substr(0, 4),
              "BUSY")
        << "all 1024 endpoints are draining";
  }
}

TEST(EndpointDiscovery, IsCalledAgainAfterFailuresAndItsListIsApplied) {
  NodeHarness harness;
  harness.discovery_responses = {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
                                 NodeHarness::http("garbage"),
                                 NodeHarness::http(R"({"generation":2,"reset":true,"instances":[]})")};
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }, 5000));
  const int client = harness.connect_client(request_line());
  EXPECT_EQ(harness.read(client).substr(0, 4), "BUSY");
}

TEST(EndpointDiscovery, IsAskedForTheCompleteListIfNoListIsCached) {
  NodeHarness harness(1024, false);
  EXPECT_TRUE(harness.run_until(
      [&] { return harness.discovery_request.find("\r\n\r\n") != std::string::npos; }, 1000));
  EXPECT_EQ(harness.discovery_request.substr(0, 18), "GET /api/targets H")
      << "changes since an unknown version may omit endpoints";
  harness.discovery_responses = {NodeHarness::http(
      R"({"generation":9,"reset":true,"instances":[{"instanceId":"h0","hostPort":")" +
      NodeHarness::address_text(harness.endpoint_address) + R"(","zone":"near","lifecycle":"up"}]})")};
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }));
  EXPECT_TRUE(
      harness.run_until([&] { return harness.discovery_request.find("after=9") != std::string::npos; }, 1000))
      << "then the node watches";
  const int client = harness.connect_client(request_line());
  const int host = harness.accept_endpoint_connection();
  harness.write(host, "UP x\r\n");
  EXPECT_EQ(harness.read(client), "UP x\r\n");
}

TEST(EndpointDiscovery, CallIsRepeatedIfDiscoveryClosedTheIdleConnection) {
  NodeHarness harness;
  const std::string no_changes = R"({"generation":2,"reset":false,"instances":[]})";
  harness.discovery_responses = {NodeHarness::http(no_changes)};
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }));
  harness.run_for(20);
  harness.discovery_connection.close();  // the next call has been sent already, or has to be repeated
  harness.discovery_request.clear();
  harness.discovery_responses = {NodeHarness::http(R"({"generation":3,"reset":true,"instances":[]})")};
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }, 450))
      << "a watch continues within 200 ms";
}

TEST(EndpointDiscovery, CallThatHangsTimesOutAndIsRepeated) {
  NodeHarness harness;
  harness.discovery_responses = {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf a body"};
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_connections == 1; }));
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_connections == 2; }, 9000))
      << "after the watch timeout and a retry delay";
}

// Clients may use up the descriptors while discovery is unavailable; discovery must be reachable afterwards.
TEST(EndpointDiscovery, MayUseDescriptorsThatHealthChecksLeaveFree) {
  EventLoop loop;
  Counters counters;
  const Limits limits{96, kSecond};
  Socket listener;
  const std::string address = NodeHarness::address_text(NodeHarness::listen_on_loopback(listener));
  std::vector<Socket> idle;
  while (!Socket::is_short_of_descriptors(limits.descriptors, kReservedFromHealthChecks)) {
    idle.emplace_back(::socket(AF_INET, SOCK_STREAM, 0));
  }
  std::optional<TerminationReason> health_check_reason;
  HealthChecker checker(loop, counters, limits,
                        [&](const std::string&, const HealthCheckResult& health_check) {
                          health_check_reason = health_check.result.reason;
                        });
  checker.check("h0", address);
  EXPECT_EQ(health_check_reason, TerminationReason::no_descriptor);
  bool is_watch_lost = false;
  const Settings settings;
  EndpointDiscovery discovery(loop, counters, address, limits, settings, 1,
                              {.on_list = [](const EndpointSnapshot&) {},
                               .on_watch_lost = [&] { is_watch_lost = true; },
                               .on_freshness_changed = [](const EndpointListFreshness&) {}});
  discovery.fetch();
  for (int i = 0; i < 5; ++i) {
    loop.run_once(100);
  }
  EXPECT_FALSE(is_watch_lost);
  EXPECT_TRUE(Socket(accept4(listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK)))
      << "discovery has been connected to";
}
