// What one node sends an endpoint that drains, is removed, fails or was not checked of late.
#include <gtest/gtest.h>

#include <set>

#include "support/fixtures.h"

using namespace dapplewharf;

TEST(Drains, EveryWayOutOfTheListStopsNewWorkAtOnce) {
  for (const EndpointState state : {EndpointState::draining, EndpointState::removed}) {
    LoadBalancerHarness harness;
    harness.start(2);
    harness.update_endpoint(LoadBalancerHarness::endpoint_entry("h0"), state);
    for (int i = 0; i < 40; ++i, harness.now += 10000) {
      EXPECT_EQ(harness.send_request("a" + std::to_string(i), i), "h1");
    }
  }
  LoadBalancerHarness harness;
  harness.start(2);
  FlatEvent whole;
  whole.kind = EventKind::endpoints_snapshot;
  whole.endpoints.push_back(LoadBalancerHarness::endpoint_entry("h1"));
  harness.send_event(whole);
  for (int i = 0; i < 40; ++i, harness.now += 10000) {
    EXPECT_EQ(harness.send_request("a" + std::to_string(i), i), "h1");
  }
}

TEST(Drains, AMidFlowArrivalMayReachADrainingHostOnlyWithinTheGrace) {
  LoadBalancerHarness harness;
  harness.start(1);
  harness.update_endpoint(LoadBalancerHarness::endpoint_entry("h0"), EndpointState::draining);
  EXPECT_EQ(harness.send_request("a", 1, "plain", true), "h0");
  harness.now += 10000;
  EXPECT_EQ(harness.send_request("b", 1, "plain", true), "");
}

TEST(Signals, ASilentHostFallsAndClimbsBackInSteps) {
  LoadBalancerHarness harness;
  harness.start(5);
  const std::string home = harness.send_request("a", 3);
  harness.end_attempt("a", Outcome::succeeded, true);
  harness.silent_endpoints.insert(home);
  harness.advance_time(40000);
  EXPECT_NE(harness.send_request("b", 3), home);
  harness.end_attempt("b", Outcome::succeeded, true);
  harness.silent_endpoints.clear();
  harness.advance_time(200000);
  EXPECT_EQ(harness.send_request("c", 3), home);
}

TEST(Signals, OneBadSetupAtAQuietNodeKeepsAHostAndThreeTakeItOutUntilItsProbesBringItBack) {
  LoadBalancerHarness harness;
  harness.start(4);
  const std::string home = harness.send_request("a", 3);
  for (const char* id : {"b", "c", "d"}) {
    EXPECT_EQ(harness.send_request(id, 3), home);
    harness.end_attempt(id, Outcome::error);
    harness.end_attempt(id, Outcome::succeeded, true);
  }
  EXPECT_NE(harness.send_request("e", 3), home);
  harness.end_attempt("e", Outcome::succeeded, true);
  harness.advance_time(300000);
  EXPECT_EQ(harness.send_request("f", 3), home);
}

TEST(Looks, AHostNotProbedOfLateIsProbedFirstAndPassedWhenFull) {
  LoadBalancerHarness harness;
  harness.settings["node_count"] = 400.0;
  harness.settings["load_value_index"] = 0.0;
  harness.start(4);
  EXPECT_EQ(harness.send_request("a", 1), "") << "held until the probe has answered";
  ASSERT_EQ(harness.health_checks.size(), 1u);
  const std::string home = harness.health_checks.begin()->first;
  FlatEvent answer;
  answer.kind = EventKind::health_check_ended;
  answer.endpoint = home;
  answer.health_report = {0.9};
  harness.send_event(answer);
  ASSERT_EQ(harness.health_checks.size(), 2u);
  for (const FlatAction& action : harness.last_actions) {
    if (action.kind == ActionKind::check_health) {
      answer.endpoint = action.endpoint;
    }
  }
  EXPECT_NE(answer.endpoint, home);
  answer.health_report = {0.2};
  harness.send_event(answer);
  EXPECT_EQ(harness.attempts["a"], std::vector<std::string>{answer.endpoint});
}

TEST(Looks, AnAttachmentWhoseExpiryPassesMeanwhileIsAnsweredWithTheProbe) {
  LoadBalancerHarness harness;
  harness.settings["node_count"] = 400.0;
  harness.settings["load_value_index"] = 0.0;
  harness.start(1);
  harness.send_request("a", 1);
  harness.now += 30000;
  FlatEvent answer;
  answer.kind = EventKind::health_check_ended;
  answer.endpoint = "h0";
  harness.send_event(answer);
  EXPECT_TRUE(harness.has_action(ActionKind::reject_request, "a"));
}

// As it was met: 22 ms left, a probe that took 40, the final answer 20 ms after the grace.
TEST(Looks, AnAttachmentWithLittleTimeLeftIsNotHeldForAProbe) {
  LoadBalancerHarness harness;
  harness.settings["load_value_index"] = 0.0;
  harness.start(2);
  harness.send_request("a", 1);
  FlatEvent answer;
  answer.kind = EventKind::health_check_ended;
  answer.endpoint = harness.health_checks.begin()->first;
  answer.health_report = {0.2};
  harness.send_event(answer);
  ASSERT_EQ(harness.attempts["a"].size(), 1u);
  harness.now += 30000 - 220;
  harness.end_attempt("a", Outcome::error);
  EXPECT_TRUE(harness.has_action(ActionKind::start_attempt, "a") ||
              harness.has_action(ActionKind::reject_request, "a"));
}

TEST(Lists, WhereOnlyDrainsBindAHostCalledGoneServesOnWhileItsProbesDo) {
  for (const bool binds_alone : {true, false}) {
    LoadBalancerHarness harness;
    harness.settings["may_use_removed_endpoints"] = binds_alone ? 1.0 : 0.0;
    harness.start(1);
    harness.send_request("stands");
    harness.establish("stands");
    harness.update_endpoint(LoadBalancerHarness::endpoint_entry("h0"), EndpointState::removed);
    EXPECT_EQ(harness.send_request("a"), binds_alone ? "h0" : "");
    harness.advance_time(20000);
    EXPECT_EQ(harness.send_request("b"), binds_alone ? "h0" : "");
    EXPECT_TRUE(!binds_alone || harness.migrated.empty());
    harness.silent_endpoints.insert("h0");
    harness.advance_time(20000);
    EXPECT_EQ(harness.send_request("c"), "") << "the list and its probes agree";
  }
}

TEST(Lists, ADrainBindsAlsoWhenTheHostIsCalledGoneAfterwards) {
  LoadBalancerHarness harness;
  harness.settings["may_use_removed_endpoints"] = 1.0;
  harness.start(1);
  harness.update_endpoint(LoadBalancerHarness::endpoint_entry("h0"), EndpointState::draining);
  harness.update_endpoint(LoadBalancerHarness::endpoint_entry("h0"), EndpointState::removed);
  harness.advance_time(30000);
  EXPECT_EQ(harness.send_request("a"), "");
}

TEST(HealthChecker, WhereLittleComesAndLoadsAreReportedSteadyOnesAreFew) {
  std::map<double, int> sent;
  for (const double price : {0.0, 0.004}) {
    LoadBalancerHarness harness;
    harness.settings["load_value_index"] = 0.0;
    harness.settings["health_check_price"] = price;
    harness.start(12);
    harness.advance_time(600000);
    for (const auto& [host, probes] : harness.health_checks) {
      sent[price] += probes;
    }
  }
  EXPECT_GT(sent[0.0], 400);
  EXPECT_LT(sent[0.004] * 5, sent[0.0]);
  EXPECT_GT(sent[0.004], 0) << "the second signal still speaks";
}
