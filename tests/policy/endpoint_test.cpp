// What one node sends an endpoint that drains, is removed, fails or was not checked of late.
#include <gtest/gtest.h>

#include <set>

#include "support/fixtures.h"

using namespace dapplewharf;

TEST(Drains, EveryWayOutOfTheListStopsNewWorkAtOnce) {
  for (const EndpointState state : {EndpointState::draining, EndpointState::removed}) {
    Fake fake;
    fake.start(2);
    fake.list(Fake::listing("h0"), state);
    for (int i = 0; i < 40; ++i, fake.now += 10000) {
      EXPECT_EQ(fake.arrive("a" + std::to_string(i), i), "h1");
    }
  }
  Fake fake;
  fake.start(2);
  Event whole;
  whole.kind = EventKind::list_whole;
  whole.listings.push_back(Fake::listing("h1"));
  fake.tell(whole);
  for (int i = 0; i < 40; ++i, fake.now += 10000) {
    EXPECT_EQ(fake.arrive("a" + std::to_string(i), i), "h1");
  }
}

TEST(Drains, AMidFlowArrivalMayReachADrainingHostOnlyWithinTheGrace) {
  Fake fake;
  fake.start(1);
  fake.list(Fake::listing("h0"), EndpointState::draining);
  EXPECT_EQ(fake.arrive("a", 1, "plain", true), "h0");
  fake.now += 10000;
  EXPECT_EQ(fake.arrive("b", 1, "plain", true), "");
}

TEST(Signals, ASilentHostFallsAndClimbsBackInSteps) {
  Fake fake;
  fake.start(5);
  const std::string home = fake.arrive("a", 3);
  fake.end("a", Outcome::succeeded, true);
  fake.silent.insert(home);
  fake.pass(40000);
  EXPECT_NE(fake.arrive("b", 3), home);
  fake.end("b", Outcome::succeeded, true);
  fake.silent.clear();
  fake.pass(200000);
  EXPECT_EQ(fake.arrive("c", 3), home);
}

TEST(Signals, OneBadSetupAtAQuietNodeKeepsAHostAndThreeTakeItOutUntilItsProbesBringItBack) {
  Fake fake;
  fake.start(4);
  const std::string home = fake.arrive("a", 3);
  for (const char* id : {"b", "c", "d"}) {
    EXPECT_EQ(fake.arrive(id, 3), home);
    fake.end(id, Outcome::error);
    fake.end(id, Outcome::succeeded, true);
  }
  EXPECT_NE(fake.arrive("e", 3), home);
  fake.end("e", Outcome::succeeded, true);
  fake.pass(300000);
  EXPECT_EQ(fake.arrive("f", 3), home);
}

TEST(Looks, AHostNotProbedOfLateIsProbedFirstAndPassedWhenFull) {
  Fake fake;
  fake.settings["nodes"] = 400.0;
  fake.settings["report.load"] = 0.0;
  fake.start(4);
  EXPECT_EQ(fake.arrive("a", 1), "") << "held until the probe has answered";
  ASSERT_EQ(fake.probes.size(), 1u);
  const std::string home = fake.probes.begin()->first;
  Event answer;
  answer.kind = EventKind::probe_ended;
  answer.host = home;
  answer.report = {0.9};
  fake.tell(answer);
  ASSERT_EQ(fake.probes.size(), 2u);
  for (const Action& action : fake.last) {
    if (action.kind == ActionKind::probe) {
      answer.host = action.host;
    }
  }
  EXPECT_NE(answer.host, home);
  answer.report = {0.2};
  fake.tell(answer);
  EXPECT_EQ(fake.tries["a"], std::vector<std::string>{answer.host});
}

TEST(Looks, AnAttachmentWhoseExpiryPassesMeanwhileIsAnsweredWithTheProbe) {
  Fake fake;
  fake.settings["nodes"] = 400.0;
  fake.settings["report.load"] = 0.0;
  fake.start(1);
  fake.arrive("a", 1);
  fake.now += 30000;
  Event answer;
  answer.kind = EventKind::probe_ended;
  answer.host = "h0";
  fake.tell(answer);
  EXPECT_TRUE(fake.said(ActionKind::reject, "a"));
}

// As it was met: 22 ms left, a probe that took 40, the final answer 20 ms after the grace.
TEST(Looks, AnAttachmentWithLittleTimeLeftIsNotHeldForAProbe) {
  Fake fake;
  fake.settings["report.load"] = 0.0;
  fake.start(2);
  fake.arrive("a", 1);
  Event answer;
  answer.kind = EventKind::probe_ended;
  answer.host = fake.probes.begin()->first;
  answer.report = {0.2};
  fake.tell(answer);
  ASSERT_EQ(fake.tries["a"].size(), 1u);
  fake.now += 30000 - 220;
  fake.end("a", Outcome::error);
  EXPECT_TRUE(fake.said(ActionKind::setup_try, "a") || fake.said(ActionKind::reject, "a"));
}

TEST(Lists, WhereOnlyDrainsBindAHostCalledGoneServesOnWhileItsProbesDo) {
  for (const bool binds_alone : {true, false}) {
    Fake fake;
    fake.settings["drain_binds_alone"] = binds_alone ? 1.0 : 0.0;
    fake.start(1);
    fake.arrive("stands");
    fake.stand("stands");
    fake.list(Fake::listing("h0"), EndpointState::removed);
    EXPECT_EQ(fake.arrive("a"), binds_alone ? "h0" : "");
    fake.pass(20000);
    EXPECT_EQ(fake.arrive("b"), binds_alone ? "h0" : "");
    EXPECT_TRUE(!binds_alone || fake.moved.empty());
    fake.silent.insert("h0");
    fake.pass(20000);
    EXPECT_EQ(fake.arrive("c"), "") << "the list and its probes agree";
  }
}

TEST(Lists, ADrainBindsAlsoWhenTheHostIsCalledGoneAfterwards) {
  Fake fake;
  fake.settings["drain_binds_alone"] = 1.0;
  fake.start(1);
  fake.list(Fake::listing("h0"), EndpointState::draining);
  fake.list(Fake::listing("h0"), EndpointState::removed);
  fake.pass(30000);
  EXPECT_EQ(fake.arrive("a"), "");
}

TEST(HealthChecker, WhereLittleComesAndLoadsAreReportedSteadyOnesAreFew) {
  std::map<double, int> sent;
  for (const double price : {0.0, 0.004}) {
    Fake fake;
    fake.settings["report.load"] = 0.0;
    fake.settings["price_probe"] = price;
    fake.start(12);
    fake.pass(600000);
    for (const auto& [host, probes] : fake.probes) {
      sent[price] += probes;
    }
  }
  EXPECT_GT(sent[0.0], 400);
  EXPECT_LT(sent[0.004] * 5, sent[0.0]);
  EXPECT_GT(sent[0.004], 0) << "the second signal still speaks";
}
