// Requests for endpoints in slow start, from one LoadBalancer or from many that share no state.
#include <gtest/gtest.h>

#include <numeric>

#include "support/fixtures.h"

using namespace dapplewharf;

TEST(SlowStartAdmission, OnlyEndpointInSlowStartGetsOneOrTwoOfFiftyRequests) {
  LoadBalancerHarness harness;
  harness.start(1);
  harness.update_endpoint(LoadBalancerHarness::endpoint_entry("h0", "near", harness.now),
                          EndpointState::healthy);
  int admitted = 0;
  for (int i = 0; i < 50; ++i) {
    admitted += harness.send_request("a" + std::to_string(i), i).empty() ? 0 : 1;
  }
  EXPECT_GE(admitted, 1);
  EXPECT_LE(admitted, 2);
  EXPECT_TRUE(harness.has_action(ActionKind::reject_request));
}

TEST(SlowStartAdmission, RepeatedListEntryDoesNotRestartTheRecoveryRamp) {
  LoadBalancerHarness harness;
  harness.start(2);
  const TimePoint started_at = harness.now;
  harness.update_endpoint(LoadBalancerHarness::endpoint_entry("new", "near", started_at),
                          EndpointState::healthy);
  for (int i = 0; i < 9; ++i) {
    harness.advance_time(10000);
    harness.update_endpoint(LoadBalancerHarness::endpoint_entry("new", "near", started_at),
                            EndpointState::healthy);
  }
  bool was_used = false;
  for (int i = 0; i < 40; ++i, harness.now += 10000) {
    was_used = harness.send_request("a" + std::to_string(i), i) == "new" || was_used;
  }
  EXPECT_TRUE(was_used);
}

TEST(SlowStartAdmission, SimultaneousRequestsOfManyNodesAreLimitedTogether) {
  int admitted = 0;
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    LoadBalancerHarness harness;
    harness.settings["node_count"] = 200.0, harness.settings["node_index"] = static_cast<double>(seed);
    harness.start(1, seed);
    harness.update_endpoint(LoadBalancerHarness::endpoint_entry("h0", "near", harness.now),
                            EndpointState::healthy);
    admitted += harness.send_request("a", 1).empty() ? 0 : 1;
  }
  EXPECT_LT(admitted, 20);
}

TEST(SlowStartAdmission, GossipIncreasesRandomAdmissions) {
  int admitted_with_gossip = 0;
  int admitted_without_gossip = 0;
  for (int n = 0; n < 200; ++n) {
    for (const bool has_gossip : {true, false}) {
      LoadBalancerHarness harness;
      harness.settings["node_count"] = 100.0, harness.settings["node_index"] = static_cast<double>(n % 100);
      harness.settings["tenant.0.name"] = std::string("one");
      harness.settings["tenant.0.connection_quota"] = 40.0;
      harness.start(1, static_cast<std::uint64_t>(n));
      harness.update_endpoint(LoadBalancerHarness::endpoint_entry("h0", "near", harness.now),
                              EndpointState::healthy);
      if (has_gossip) {
        harness.report_peer_connections("h0", 20);
      }
      harness.advance_time(20000);
      (has_gossip ? admitted_with_gossip : admitted_without_gossip) +=
          harness.send_request("a", 1).empty() ? 0 : 1;
    }
  }
  EXPECT_GT(2 * admitted_with_gossip, 3 * admitted_without_gossip);  // both counts include the same slots
  EXPECT_LT(admitted_with_gossip, 200 * 0.3);
}

TEST(SlowStartAdmission, NodesWithFewConnectionsUseTheAllowanceOfSlowStart) {
  int sent_to_slow_start = 0;
  int sent = 0;
  for (int n = 0; n < 100; ++n) {
    LoadBalancerHarness harness;
    harness.settings["node_count"] = 100.0, harness.settings["node_index"] = static_cast<double>(n);
    harness.settings["tenant.0.name"] = std::string("one");
    // 100 connections per endpoint: at first 2.5 * 0.3 * 100 / 4 = 19 in a window.
    harness.settings["tenant.0.connection_quota"] = 400.0;
    harness.start(2, static_cast<std::uint64_t>(n));
    harness.update_endpoint(LoadBalancerHarness::endpoint_entry("c0", "near", harness.now - 10000),
                            EndpointState::healthy);
    harness.update_endpoint(LoadBalancerHarness::endpoint_entry("c1", "near", harness.now - 10000),
                            EndpointState::healthy);
    harness.advance_time(30000);  // past the first steps of the recovery ramp, at half of the warm-up time
    for (int i = 0; i < 2; ++i, ++sent) {
      const std::string endpoint = harness.send_request(std::to_string(i), n * 2 + i);
      sent_to_slow_start += endpoint[0] == 'c' ? 1 : 0;
      harness.establish(std::to_string(i));
    }
  }
  // It was 6 of 200 when the limit depended on each node's own few connections.
  EXPECT_GT(sent_to_slow_start, sent / 10);
  EXPECT_LT(sent_to_slow_start, 2 * 2.5 * 0.65 * 100 / 4);
}

TEST(SlowStartAdmission, LowReportedLoadOfOthersRaisesTheAllowance) {
  std::map<double, int> sent_by_load;
  for (const double load : {0.1, 0.9}) {
    LoadBalancerHarness harness;
    harness.settings["node_count"] = 3.0;
    harness.settings["load_value_index"] = 0.0;
    harness.reported_load = load;
    harness.start(4);
    harness.advance_time(100000);
    for (int i = 0; i < 40; ++i) {
      const std::string id = "a" + std::to_string(i);
      harness.send_request(id, i);
      harness.answer_health_checks();
      if (!harness.attempts[id].empty()) {
        harness.establish(id);
      }
    }
    for (int i = 0; i < 4; ++i) {
      harness.update_endpoint(LoadBalancerHarness::endpoint_entry("h" + std::to_string(i)),
                              EndpointState::draining);
    }
    harness.update_endpoint(LoadBalancerHarness::endpoint_entry("new", "near", harness.now),
                            EndpointState::healthy);
    for (int i = 0; i < 40; ++i) {
      harness.now += 500;
      const std::string id = "b" + std::to_string(i);
      harness.send_request(id, i);
      harness.answer_health_checks();
      sent_by_load[load] += !harness.attempts[id].empty() && harness.attempts[id].back() == "new" ? 1 : 0;
    }
  }
  EXPECT_GT(sent_by_load[0.1], sent_by_load[0.9]);
}

// In a burst of requests of one affinity group, 94 nodes selected the same endpoint in slow start.
TEST(SlowStartAdmission, GroupRequestsOfAllNodesStayWithinTheCapacityOfSlowStart) {
  std::int64_t group = 0;
  {
    LoadBalancerHarness harness;
    harness.start(40);
    for (; harness.send_request("g" + std::to_string(group), 1, "plain", false, group) != "h0"; ++group) {
      harness.end_attempt("g" + std::to_string(group), Outcome::succeeded, true);
    }
  }
  int sent = 0;
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    LoadBalancerHarness harness;
    harness.settings["node_count"] = 200.0, harness.settings["overload_window"] = 10000.0;
    harness.settings["node_index"] = static_cast<double>(seed);
    harness.start(40, seed);
    harness.update_endpoint(LoadBalancerHarness::endpoint_entry("h0", "near", harness.now - 10000),
                            EndpointState::healthy);
    harness.advance_time(40000);
    sent += harness.send_request("a", 1, "plain", false, group) == "h0" ? 1 : 0;
  }
  EXPECT_LE(sent, 30);
}

// After 23 of 72 endpoints had restarted together, each got one attempt in eight seconds while 100 nodes
// rejected requests.
TEST(SlowStartAdmission, SlotsOfAllNodesAddUpToTheCapacityOfSlowStartDuringSurge) {
  int sent = 0;
  int most_in_window = 0;
  std::vector<int> sent_by_step(60);
  for (int n = 0; n < 100; ++n) {
    LoadBalancerHarness harness;
    harness.settings["node_count"] = 100.0, harness.settings["node_index"] = static_cast<double>(n);
    harness.settings["tenant.0.name"] = std::string("one");
    // 100 connections per endpoint; 2.5 times that within the warm-up time of 8 s.
    harness.settings["tenant.0.connection_quota"] = 200.0;
    harness.start(2, static_cast<std::uint64_t>(n));
    harness.send_request("old", n);
    harness.establish("old");
    const std::string warm_endpoint = harness.attempts["old"].back();
    const std::string new_endpoint = warm_endpoint == "h0" ? "h1" : "h0";
    const TimePoint started_at = harness.now;
    harness.update_endpoint(LoadBalancerHarness::endpoint_entry(new_endpoint, "near", started_at),
                            EndpointState::healthy);
    for (int i = 0; harness.now < started_at + 60000; harness.now += 1000, ++i) {
      harness.report_latency("old", 900);  // the only warm endpoint is slow, which makes it a surge
      const std::string endpoint = harness.send_request("a" + std::to_string(i), n * 100 + i);
      if (endpoint == new_endpoint) {
        ++sent, ++sent_by_step[static_cast<std::size_t>((harness.now - started_at) / 1000)];
      }
      if (!endpoint.empty()) {
        harness.establish("a" + std::to_string(i));
      }
    }
  }
  for (std::size_t i = 0; i + 20 <= sent_by_step.size(); ++i) {
    most_in_window =
        std::max(most_in_window, std::accumulate(sent_by_step.begin() + static_cast<long>(i),
                                                 sent_by_step.begin() + static_cast<long>(i) + 20, 0));
  }
  EXPECT_GT(sent, 40) << "the allowance is used";
  EXPECT_LT(most_in_window, 2.5 * 0.9 * 100 / 4) << "no window exceeds the overload multiple";
}
