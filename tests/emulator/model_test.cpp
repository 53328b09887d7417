// The model's parts by themselves: a host's queue, warm-up and fall, the plan, and each rule of the auditor
// both kept and broken.
#include <gtest/gtest.h>

#include "emulator/audit/audit.h"
#include "emulator/live/gather.h"
#include "emulator/model/chance.h"
#include "emulator/model/host.h"
#include "emulator/sweep.h"

namespace dapplewharf::emulator {
namespace {

struct World {
  Scenario scenario;
  Plan plan;
  World() {
    scenario.name = "test";
    scenario.hosts = 2, scenario.speed_spread = 0, scenario.cold_s = 10, scenario.cold_from = 0.5;
    scenario.per_core = 10, scenario.standing = 20, scenario.swing = 0, scenario.load_spread = 0;
    scenario.zones = {"a", "b"};
    scenario.kinds.push_back({"plain", 1, 1, 1});
    scenario.traffic.push_back({});
    scenario.traffic[0].name = "plain";
    scenario.traffic.push_back(scenario.traffic[0]);
    scenario.traffic[1].name = "once", scenario.traffic[1].effect = "unrepeatable";
    scenario.traffic.push_back(scenario.traffic[0]);
    scenario.traffic[2].name = "marked", scenario.traffic[2].effect = "deduplicated",
    scenario.traffic[2].repeat_group = "zone";
    plan = plan_of(scenario, 1);
  }
  HostModel host(bool cold = false) {
    HostModel made(scenario, plan, plan.hosts[0]);
    made.start(0, cold);
    return made;
  }
};

TEST(Host, DoesWorkInTurnAtItsSpeed) {
  World world;
  HostModel host = world.host();
  const auto first = host.add(0.1);
  const auto second = host.add(0.3);
  EXPECT_EQ(host.next(), 100 * kMs);
  host.advance(100 * kMs);
  EXPECT_EQ(host.done(), std::vector<HostModel::Work>{first});
  host.advance(399 * kMs);
  EXPECT_TRUE(host.done().empty());
  host.advance(400 * kMs);
  EXPECT_EQ(host.done(), std::vector<HostModel::Work>{second});
}

TEST(Host, PilesUpWhenMoreStandsThanItCanDo) {
  World world;
  HostModel host = world.host();
  host.stand(15, -1);  // one and a half times its capacity
  host.advance(2 * kSecond);
  EXPECT_NEAR(host.piled_s(), 1, 0.01);
  EXPECT_EQ(host.in_time(900), 0) << "what waits longer than the goal is never in time";
  host.leave(10, -1);
  host.advance(4 * kSecond);
  EXPECT_NEAR(host.piled_s(), 0, 0.01);
  EXPECT_GT(host.in_time(100), 0.9);
}

TEST(Host, PaysForAGroupOnce) {
  World world;
  world.scenario.group_cost = 2;
  HostModel host = world.host();
  host.stand(1, 7), host.stand(1, 7);
  EXPECT_NEAR(host.load(), (2 + 2 * world.plan.mean_load) / 10, 1e-9);
  host.leave(1, 7);
  EXPECT_NEAR(host.load(), (1 + 2 * world.plan.mean_load) / 10, 1e-9);
  host.leave(1, 7);
  EXPECT_NEAR(host.load(), 0, 1e-9);
}

TEST(Host, WarmsUpEvenlyAndIsSlowedByFaults) {
  World world;
  HostModel host = world.host(true);
  EXPECT_NEAR(host.warmth(), 0.5, 1e-9);
  host.advance(5 * kSecond);
  EXPECT_NEAR(host.warmth(), 0.75, 1e-9);
  host.slowed = 3;
  EXPECT_NEAR(host.capacity(), 0.25, 1e-9);
  host.advance(10 * kSecond);
  EXPECT_FALSE(host.cold());
  host.taken = 0.5, host.slowed = 1;
  EXPECT_NEAR(host.capacity(), 0.5, 1e-9);
}

TEST(Host, FallsWhenPushedWhileColdAndNotWhenWarm) {
  World world;  // 2.5 x 0.5 x 10 connections x 2 s of 10 s: 2.5 in a window, and 2 for chance
  HostModel cold = world.host(true);
  HostModel warm = world.host();
  double ratio = 0;
  for (int i = 0; i < 5; ++i) {
    ratio = cold.pushed();
    EXPECT_EQ(warm.pushed(), 0);
  }
  EXPECT_GT(ratio, 1);
  cold.advance(3 * kSecond);
  EXPECT_LT(cold.pushed(), 0.3) << "the window has passed";
}

TEST(Plan, IsTheSameForOneSeedAndNotForAnother) {
  World world;
  EXPECT_EQ(plan_of(world.scenario, 4).hash, plan_of(world.scenario, 4).hash);
  EXPECT_NE(plan_of(world.scenario, 4).hash, plan_of(world.scenario, 5).hash);
  const auto before = plan_of(world.scenario, 4);
  world.scenario.faults.push_back({});
  world.scenario.faults[0].name = "slow", world.scenario.faults[0].share = 0.5;
  const auto after = plan_of(world.scenario, 4);
  EXPECT_NE(before.hash, after.hash);
  EXPECT_EQ(before.sessions.back().seed, after.sessions.back().seed) << "a trouble moves no client's draw";
}

TEST(Plan, ClientsComeAgainInTheirManner) {
  World world;
  Session session;
  session.seed = 5, session.honours = true;
  Scenario& scenario = world.scenario;
  EXPECT_EQ(comes_again_ms(scenario, session, Reply::busy, 700, 1, 1), 700);
  session.honours = false;
  const double first = comes_again_ms(scenario, session, Reply::busy, 700, 1, 1);
  EXPECT_GE(first, scenario.backoff_ms / 2);
  EXPECT_DOUBLE_EQ(comes_again_ms(scenario, session, Reply::busy, 0, 2, 1), 2 * first);
  EXPECT_GE(comes_again_ms(scenario, session, Reply::busy, 0, 3, 1), 2500) << "its tries are used up";
  scenario.backoff = "at_once";
  EXPECT_LT(comes_again_ms(scenario, session, Reply::other, 0, 1, 1), 10);
  scenario.backoff = "none";
  EXPECT_GE(comes_again_ms(scenario, session, Reply::other, 0, 1, 1), 2500);
}

struct Judge : World {
  Audit audit{scenario, plan, 0};
  int count(Rule rule) const { return audit.found(rule).count; }
  void run(int host, bool may_have_run = true) {  // a whole try
    audit.try_came("x", 0, host, now);
    audit.try_ran("x", host);
    audit.try_over("x", host, may_have_run, now);
  }
  Tenths now = 10;
};

TEST(Audit, OneAnswerInTimeBreaksNothing) {
  Judge judge;
  judge.audit.asked("x", 0, 0, 0);
  judge.run(0);
  judge.audit.answered("x", Answered::honoured, 20);
  judge.audit.ended("x", Ended::moved, true, 30);
  judge.audit.finish(100 * kSecond);
  EXPECT_FALSE(judge.audit.broken());
  EXPECT_EQ(judge.audit.moved(), 1);
}

TEST(Audit, FindsAnAnswerThatIsMissingLateDoubledOrNotAskedFor) {
  Judge judge;
  judge.audit.asked("x", 0, 0, 0);
  judge.audit.finish(4 * kSecond);
  EXPECT_EQ(judge.count(Rule::final_answer), 1);
  judge.audit.asked("y", 0, 0, 0);
  judge.audit.answered("y", Answered::rejected, 4 * kSecond);
  EXPECT_EQ(judge.count(Rule::final_answer), 2) << "late";
  judge.audit.answered("y", Answered::rejected, 4 * kSecond);
  EXPECT_EQ(judge.count(Rule::final_answer), 3) << "twice";
  judge.audit.answered("z", Answered::honoured, 1);
  judge.audit.try_came("z", 0, 0, 1);
  EXPECT_EQ(judge.count(Rule::final_answer), 5) << "nobody asked";
  judge.audit.try_came("y", 0, 0, 1);
  EXPECT_EQ(judge.count(Rule::final_answer), 6) << "a try after the answer";
}

TEST(Audit, OwesNothingToOneWhoLeftOrWhoseNodeWasKilled) {
  Judge judge;
  judge.audit.asked("x", 0, 0, 0);
  judge.audit.client_left("x", kSecond);
  judge.audit.asked("y", 1, 0, 0);
  judge.audit.node_lost(1, kSecond);
  judge.audit.finish(100 * kSecond);
  EXPECT_FALSE(judge.audit.broken());
  EXPECT_EQ(judge.audit.totals().left, 1);
  judge.audit.asked("z", 1, 0, 0);
  judge.audit.node_lost(1, 5 * kSecond);
  EXPECT_EQ(judge.count(Rule::final_answer), 1) << "it was overdue before its node was killed";
  judge.audit.asked("as it dies", 1, 0, 5 * kSecond + 10);
  judge.audit.asked("later", 1, 0, 6 * kSecond);
  judge.audit.finish(200 * kSecond);
  EXPECT_EQ(judge.count(Rule::final_answer), 2)
      << "only the one that was written as its process died is excused";
}

TEST(Audit, FindsEffectsThatMayHaveHappenedTwice) {
  for (const auto& [traffic, second_host, ran, expected] :
       {std::tuple(0, 1, true, 0), std::tuple(1, 1, true, 1), std::tuple(1, 1, false, 0),
        std::tuple(2, 0, true, 0), std::tuple(2, 1, true, 1) /* another zone */}) {
    Judge judge;
    judge.audit.asked("x", 0, traffic, 0);
    judge.run(0, ran);
    judge.now = 20;
    judge.run(second_host);
    EXPECT_EQ(judge.count(Rule::effect_twice), expected) << traffic << " " << second_host << " " << ran;
  }
  Judge window;
  window.audit.asked("x", 0, 2, 0);
  window.run(0);
  window.now += 6 * kSecond;
  window.run(0);
  EXPECT_EQ(window.count(Rule::effect_twice), 1) << "the window has passed";
  Judge out;
  out.audit.asked("x", 0, 0, 0);
  out.audit.try_came("x", 0, 0, 1);
  out.audit.try_came("x", 0, 1, 2);
  EXPECT_EQ(out.count(Rule::effect_twice), 1) << "two tries out";
  Judge rejected;
  rejected.audit.asked("x", 0, 1, 0);
  rejected.run(0);
  rejected.audit.answered("x", Answered::rejected, 30);
  EXPECT_EQ(rejected.count(Rule::effect_twice), 1) << "a rejection says that a repeat is harmless";
}

TEST(Audit, FindsWorkSentToAHostThatLeaves) {
  Judge judge;
  judge.audit.told(0, 1, true, 0);
  judge.audit.told(0, 1, true, 5 * kSecond);  // told again: the first time counts
  judge.audit.asked("x", 0, 0, 0);
  judge.audit.try_came("x", 0, 1, 1500 * kMs);
  EXPECT_EQ(judge.count(Rule::drain_kept), 0);
  judge.audit.try_over("x", 1, false, 1501 * kMs);
  judge.audit.try_came("x", 0, 1, 1500 * kMs + 1);
  EXPECT_EQ(judge.count(Rule::drain_kept), 1);
  judge.audit.told(0, 1, false, 6 * kSecond);
  judge.audit.asked("y", 0, 0, 9 * kSecond);
  judge.audit.try_came("y", 0, 1, 9 * kSecond);
  judge.audit.asked("z", 1, 0, 9 * kSecond);
  judge.audit.try_came("z", 1, 1, 9 * kSecond);
  EXPECT_EQ(judge.count(Rule::drain_kept), 1) << "back again; another node that was never told";
}

TEST(Audit, FindsPushesChangedBytesAndCuts) {
  Judge judge;
  judge.audit.pushed(0, 0.9, 1);
  EXPECT_FALSE(judge.audit.broken());
  judge.audit.pushed(0, 1.2, 2), judge.audit.pushed(0, 1.3, 3);
  EXPECT_EQ(judge.count(Rule::cold_pushed), 1) << "one push is one breach";
  EXPECT_DOUBLE_EQ(judge.audit.peak_push(), 1.3);
  judge.audit.bytes("x", true, 1), judge.audit.bytes("x", false, 1);
  EXPECT_EQ(judge.count(Rule::bytes_changed), 1);
  for (const auto& [how, lives, expected] :
       {std::tuple(Ended::cut, true, 1), std::tuple(Ended::cut, false, 0),
        std::tuple(Ended::by_host, true, 0), std::tuple(Ended::node_lost, true, 0),
        std::tuple(Ended::by_client, true, 0)}) {
    Judge cut;
    cut.audit.asked("x", 0, 0, 0);
    cut.audit.answered("x", Answered::honoured, 1);
    cut.audit.ended("x", how, lives, 2);
    EXPECT_EQ(cut.count(Rule::cut_off), expected);
  }
}

TEST(Gather, TakesCostsApart) {
  std::vector<std::vector<double>> x;
  std::vector<double> y;
  Stream chance(3, "costs");
  for (int i = 0; i < 60; ++i) {
    x.push_back({std::floor(chance.between(0, 40)), std::floor(chance.between(0, 200)), 0.25});
    y.push_back(x.back()[0] * 150e-6 + x.back()[1] * 50e-6 + 0.25 * 0.02 + 1e-5 * chance.normal());
  }
  const auto costs = costs_of(x, y);
  EXPECT_NEAR(costs[0], 150e-6, 5e-6);
  EXPECT_NEAR(costs[1], 50e-6, 2e-6);
  EXPECT_NEAR(costs[2], 0.02, 0.001);
  for (double& one : y) {
    one = 0.001;  // nothing but time
  }
  for (const double cost : costs_of(x, y)) {
    EXPECT_GE(cost, 0);
  }
}

TEST(Gather, ARigThatWasHeldUpVoidsItsRun) {
  World world;
  Gathered gathered;
  gathered.records.push_back({100, Seen::late, "", 190 * kMs, 0, 0});
  EXPECT_EQ(result_of(world.scenario, world.plan, 1, gathered).void_because, "");
  gathered.records.push_back({200, Seen::late, "", 1000 * kMs, 0, 0});
  EXPECT_NE(result_of(world.scenario, world.plan, 1, gathered).void_because, "");
}

TEST(Sweep, BootstrapHoldsTheMeanAndShrinksWithCertainty) {
  const Interval sure = bootstrap({0.1, 0.1, 0.1, 0.1}, 1);
  const Interval unsure = bootstrap({-0.3, 0.5, 0.2, -0.1, 0.2}, 1);
  EXPECT_NEAR(sure.mean, 0.1, 1e-12);
  EXPECT_NEAR(sure.high - sure.low, 0, 1e-12);
  EXPECT_LT(unsure.low, 0);
  EXPECT_GT(unsure.high, unsure.mean);
  EXPECT_DOUBLE_EQ(middle({3, 1, 2}, 0.5), 2);
  EXPECT_DOUBLE_EQ(middle({1, 2}, 0.5), 1.5);
}

TEST(Sweep, RefusesWhatIsNoSpanOrNoValue) {
  EXPECT_EQ(seeds_of("3..9"), (std::pair<std::uint64_t, std::uint64_t>(3, 9)));
  EXPECT_EQ(seeds_of("4"), (std::pair<std::uint64_t, std::uint64_t>(4, 4)));
  for (const char* bad : {"", "a..b", "9..3", "1..", "1..999999999", "-1..2"}) {
    EXPECT_THROW(seeds_of(bad), BadInput) << bad;
  }
  EXPECT_EQ(vary_of("a.b=1,2").second.size(), 2u);
  for (const char* bad : {"a.b", "a.b=", "=,"}) {
    EXPECT_THROW(vary_of(bad), BadInput) << bad;
  }
}

}  // namespace
}  // namespace dapplewharf::emulator
