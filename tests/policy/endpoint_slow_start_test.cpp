// Endpoints in slow start, as one node or several treat them through the load balancer.
#include <gtest/gtest.h>

#include <numeric>

#include "support/fixtures.h"

using namespace dapplewharf;

TEST(Cold, ACrowdDoesNotPushOverTheOnlyHostLeft) {
  LoadBalancerHarness harness;
  harness.start(1);
  harness.update_endpoint(LoadBalancerHarness::endpoint_entry("h0", "near", harness.now),
                          EndpointState::healthy);
  int sent = 0;
  for (int i = 0; i < 50; ++i) {
    sent += harness.send_request("a" + std::to_string(i), i).empty() ? 0 : 1;
  }
  EXPECT_GE(sent, 1);
  EXPECT_LE(sent, 2);
  EXPECT_TRUE(harness.has_action(ActionKind::reject_request));
}

TEST(Cold, AnEntryRepeatedWhileAHostIsColdDoesNotSendItsClimbBack) {
  LoadBalancerHarness harness;
  harness.start(2);
  const TimePoint started = harness.now;
  harness.update_endpoint(LoadBalancerHarness::endpoint_entry("new", "near", started),
                          EndpointState::healthy);
  for (int i = 0; i < 9; ++i) {
    harness.advance_time(10000);
    harness.update_endpoint(LoadBalancerHarness::endpoint_entry("new", "near", started),
                            EndpointState::healthy);
  }
  bool used = false;
  for (int i = 0; i < 40; ++i, harness.now += 10000) {
    used = harness.send_request("a" + std::to_string(i), i) == "new" || used;
  }
  EXPECT_TRUE(used);
}

TEST(Cold, OneAtOnceFromEachOfManyNodesIsACrowdToo) {
  int sent = 0;
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    LoadBalancerHarness harness;
    harness.settings["node_count"] = 200.0, harness.settings["node_index"] = static_cast<double>(seed);
    harness.start(1, seed);
    harness.update_endpoint(LoadBalancerHarness::endpoint_entry("h0", "near", harness.now),
                            EndpointState::healthy);
    sent += harness.send_request("a", 1).empty() ? 0 : 1;
  }
  EXPECT_LT(sent, 20);
}

TEST(Cold, WhereOthersTellWhatTheyHoldAColdHostIsNotHeldToLessThanItsPart) {
  int heard = 0;
  int alone = 0;
  for (int n = 0; n < 200; ++n) {
    for (const bool told : {true, false}) {
      LoadBalancerHarness harness;
      harness.settings["node_count"] = 100.0, harness.settings["node_index"] = static_cast<double>(n % 100);
      harness.settings["tenant.0.name"] = std::string("one");
      harness.settings["tenant.0.connection_quota"] = 40.0;
      harness.start(1, static_cast<std::uint64_t>(n));
      harness.update_endpoint(LoadBalancerHarness::endpoint_entry("h0", "near", harness.now),
                              EndpointState::healthy);
      if (told) {
        harness.report_peer_connections("h0", 20);
      }
      harness.advance_time(20000);
      (told ? heard : alone) += harness.send_request("a", 1).empty() ? 0 : 1;
    }
  }
  EXPECT_GT(2 * heard, 3 * alone);  // turns are the same for both
  EXPECT_LT(heard, 200 * 0.3);
}

TEST(Cold, ManyNodesThatHoldLittleStillGiveColdHostsTheirPartAndNoMore) {
  int cold = 0;
  int all = 0;
  for (int n = 0; n < 100; ++n) {
    LoadBalancerHarness harness;
    harness.settings["node_count"] = 100.0, harness.settings["node_index"] = static_cast<double>(n);
    harness.settings["tenant.0.name"] = std::string("one");
    harness.settings["tenant.0.connection_quota"] =
        400.0;  // 100 for each host: 2.5 x 0.3 x 100 / 4 = 19 in a window at first
    harness.start(2, static_cast<std::uint64_t>(n));
    harness.update_endpoint(LoadBalancerHarness::endpoint_entry("c0", "near", harness.now - 10000),
                            EndpointState::healthy);
    harness.update_endpoint(LoadBalancerHarness::endpoint_entry("c1", "near", harness.now - 10000),
                            EndpointState::healthy);
    harness.advance_time(30000);  // past the first steps of the climb, at half of the warm-up
    for (int i = 0; i < 2; ++i, ++all) {
      const std::string at = harness.send_request(std::to_string(i), n * 2 + i);
      cold += at[0] == 'c' ? 1 : 0;
      harness.establish(std::to_string(i));
    }
  }
  EXPECT_GT(cold, all / 10);  // with the bound of what little stands at each node it was 6 of 200
  EXPECT_LT(cold, 2 * 2.5 * 0.65 * 100 / 4);
}

TEST(Cold, HostsThatReportLittleLoadShowThatANewOneBearsMore) {
  std::map<double, int> taken;
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
      taken[load] += !harness.attempts[id].empty() && harness.attempts[id].back() == "new" ? 1 : 0;
    }
  }
  EXPECT_GT(taken[0.1], taken[0.9]);
}

// hd97ac5: in a burst of one group's attachments the ring led each of 94 nodes to the same cold host.
TEST(Cold, AGroupThatGathersOverAllNodesIsNoMoreThanAColdHostBears) {
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

// After 23 of 72 hosts had fallen together each was sent one try in eight seconds, while 100 nodes rejected.
TEST(Cold, InACrowdAllNodesTakeTurnsThatAddUpToWhatAColdHostBears) {
  int sent = 0;
  int greatest = 0;
  std::vector<int> when(60);
  for (int n = 0; n < 100; ++n) {
    LoadBalancerHarness harness;
    harness.settings["node_count"] = 100.0, harness.settings["node_index"] = static_cast<double>(n);
    harness.settings["tenant.0.name"] = std::string("one");
    harness.settings["tenant.0.connection_quota"] =
        200.0;  // 100 connections a host over eight seconds, and 2.5 times of it
    harness.start(2, static_cast<std::uint64_t>(n));
    harness.send_request("old", n);
    harness.establish("old");
    const std::string late = harness.attempts["old"].back();
    const std::string cold = late == "h0" ? "h1" : "h0";
    const TimePoint began = harness.now;
    harness.update_endpoint(LoadBalancerHarness::endpoint_entry(cold, "near", began), EndpointState::healthy);
    for (int i = 0; harness.now < began + 60000; harness.now += 1000, ++i) {
      harness.report_latency("old", 900);  // the only warm host is late: a crowd
      const std::string at = harness.send_request("a" + std::to_string(i), n * 100 + i);
      if (at == cold) {
        ++sent, ++when[static_cast<std::size_t>((harness.now - began) / 1000)];
      }
      if (!at.empty()) {
        harness.establish("a" + std::to_string(i));
      }
    }
  }
  for (std::size_t i = 0; i + 20 <= when.size(); ++i) {
    greatest = std::max(greatest, std::accumulate(when.begin() + static_cast<long>(i),
                                                  when.begin() + static_cast<long>(i) + 20, 0));
  }
  EXPECT_GT(sent, 40) << "what it bears is made use of";
  EXPECT_LT(greatest, 2.5 * 0.9 * 100 / 4) << "and no window goes over the multiple";
}
