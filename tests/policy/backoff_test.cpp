// Tests of the waits before calls to the endpoint list service: together with lost calls and the queue at the
// service they stay within the notification limit, and nodes whose calls fail together don't call again
// together. Both the policy's calls, with a simulated clock, and the node's, on its own clock.
#include "policy/backoff.h"

#include "support/fixtures.h"

using namespace dapplewharf;

namespace {

// After a change of the endpoint list, a node counts as notified within this time.
constexpr Duration kRequiredNotificationLimit = 6 * kSecond;

}  // namespace

TEST(Backoff, ResponseTimeoutWaitAndQueueingStayWithinTheNotificationLimit) {
  RandomGenerator random(3);
  for (const double nodes : {1.0, 30.0, 350.0, 1024.0}) {
    for (const Duration max_wait : {Duration{0}, 200 * kMs, 560 * kMs, 7 * kSecond, INT64_MAX / 2}) {
      const Backoff backoff(nodes, max_wait);
      for (int failures = 1; failures <= 100; ++failures) {
        const Duration wait = backoff.retry_wait(failures, failures % 2 ? random.next_fraction() : 0.999999);
        EXPECT_GE(wait, 50 * kMs);
        EXPECT_LE(wait, std::max(max_wait, 50 * kMs));
        EXPECT_LE(Backoff::kResponseTimeout + wait + Backoff::kQueueingTime, kRequiredNotificationLimit)
            << nodes << " nodes, " << failures << " failures";
        EXPECT_LE(backoff.initial_wait(random.next_fraction()) + Backoff::kQueueingTime,
                  kRequiredNotificationLimit);
      }
    }
  }
}

TEST(Backoff, SpreadsTheCallsOfNodesThatFailedTogetherMoreWithEachFailure) {
  RandomGenerator random(5);
  for (const int failures : {1, 3, 9}) {
    Duration shortest = INT64_MAX;
    Duration longest = 0;
    for (int node = 0; node < 350; ++node) {
      const Duration wait = Backoff(350, INT64_MAX / 2).retry_wait(failures, random.next_fraction());
      shortest = std::min(shortest, wait), longest = std::max(longest, wait);
    }
    EXPECT_GE(longest * 10, shortest * 18) << "half of the wait is random, after " << failures << " failures";
    EXPECT_GE(longest, failures == 9 ? 1400 * kMs : 200 * kMs);
  }
}

// Guards against waits that are too long for the node count: restarted nodes called up to 7 s after their
// start, others 3.5 to 7 s after a failed call, although the service was idle, and sent requests to removed
// endpoints meanwhile.
TEST(Backoff, NodeCallsTheServiceSoonAfterItsStartAndAfterEachFailure) {
  for (const double nodes : {1.0, 30.0, 350.0}) {
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
      LoadBalancerHarness harness;
      harness.settings["node_count"] = nodes;
      harness.settings["discovery"] = "on_request";
      harness.settings["notification_limit"] = 100000.0;
      harness.start(3, seed);
      for (int failures = 0; failures < 12; ++failures) {
        const TimePoint wait_started_at = harness.now;
        while (!harness.has_action(ActionKind::watch_endpoints) &&
               harness.now < wait_started_at + kRequiredNotificationLimit) {
          harness.now += 100;
          harness.send_event(FlatEvent{});
        }
        EXPECT_LE(harness.now - wait_started_at, 1600 * kMs)
            << nodes << " nodes, seed " << seed << ", failures " << failures;
        if (failures > 0) {
          EXPECT_GE(harness.now - wait_started_at, 50 * kMs);
        }
        FlatEvent event;
        event.kind = EventKind::endpoint_watch_failed;
        harness.send_event(event);
      }
    }
  }
}

// A service that is down refuses, resets, rejects or ignores calls. Once it is back, the node calls it within
// the notification limit, measured on the node's own clock.
TEST(Backoff, NodeReachesARecoveredServiceWithinTheNotificationLimitAfterAnyFault) {
  const std::string busy_response = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
  for (const std::string fault : {"refused", "reset", "busy", "silent"}) {
    NodeHarness harness(1024, true, [](Configuration& configuration) {
      configuration.settings["peersTotal"] = 350;
      configuration.settings["guarantees"]["askWithinMs"] = 10000;
    });
    const sockaddr_in service_address = harness.discovery_address;
    if (fault == "refused") {
      harness.discovery_listener.close(), harness.discovery_connection.close(),
          harness.discovery_request.clear();
    }
    const TimePoint down_until = harness.loop.now() + 8 * kSecond;  // long enough for the longest wait
    while (harness.loop.now() < down_until) {
      if (fault == "reset" && !harness.discovery_request.empty()) {
        harness.discovery_connection.close_with_reset(), harness.discovery_request.clear();
      }
      if (fault == "busy" && harness.discovery_responses.empty()) {
        harness.discovery_responses = {busy_response};
      }
      harness.run_once();
    }
    harness.discovery_responses.clear();
    if (fault == "refused") {
      EXPECT_FALSE(listen_on(service_address, harness.discovery_listener));
    }
    // The call that was made while the service was down stays unanswered, on a connection that stays open.
    if (fault == "silent") {
      harness.keep_socket(std::move(harness.discovery_connection)), harness.discovery_connection = Socket(),
                                                                    harness.discovery_request.clear();
    }
    const TimePoint recovered_at = harness.loop.now();
    const std::string list = NodeHarness::http(R"({"generation":2,"reset":true,"instances":[]})");
    harness.discovery_responses = {list};
    EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }, 8000)) << fault;
    // The service may hold a watch open for 3 s, and the node waits 1.5 s longer; then it calls again at
    // once.
    const Duration max_delay = fault == "silent" ? 4500 * kMs : Backoff::kResponseTimeout + Backoff::kMaxWait;
    EXPECT_LE(harness.loop.now() - recovered_at, max_delay + 300 * kMs) << fault;
    EXPECT_LT(max_delay + 300 * kMs, kRequiredNotificationLimit);
  }
}
