// Endpoints in slow start, as one node or several treat them through the load balancer.
#include <gtest/gtest.h>

#include <numeric>

#include "support/fixtures.h"

using namespace dapplewharf;

TEST(Cold, ACrowdDoesNotPushOverTheOnlyHostLeft) {
  Fake fake;
  fake.start(1);
  fake.list(Fake::listing("h0", "near", fake.now), EndpointState::healthy);
  int sent = 0;
  for (int i = 0; i < 50; ++i) {
    sent += fake.arrive("a" + std::to_string(i), i).empty() ? 0 : 1;
  }
  EXPECT_GE(sent, 1);
  EXPECT_LE(sent, 2);
  EXPECT_TRUE(fake.said(ActionKind::reject));
}

TEST(Cold, AnEntryRepeatedWhileAHostIsColdDoesNotSendItsClimbBack) {
  Fake fake;
  fake.start(2);
  const TimePoint started = fake.now;
  fake.list(Fake::listing("new", "near", started), EndpointState::healthy);
  for (int i = 0; i < 9; ++i) {
    fake.pass(10000);
    fake.list(Fake::listing("new", "near", started), EndpointState::healthy);
  }
  bool used = false;
  for (int i = 0; i < 40; ++i, fake.now += 10000) {
    used = fake.arrive("a" + std::to_string(i), i) == "new" || used;
  }
  EXPECT_TRUE(used);
}

TEST(Cold, OneAtOnceFromEachOfManyNodesIsACrowdToo) {
  int sent = 0;
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    Fake fake;
    fake.settings["nodes"] = 200.0, fake.settings["me"] = static_cast<double>(seed);
    fake.start(1, seed);
    fake.list(Fake::listing("h0", "near", fake.now), EndpointState::healthy);
    sent += fake.arrive("a", 1).empty() ? 0 : 1;
  }
  EXPECT_LT(sent, 20);
}

TEST(Cold, WhereOthersTellWhatTheyHoldAColdHostIsNotHeldToLessThanItsPart) {
  int heard = 0;
  int alone = 0;
  for (int n = 0; n < 200; ++n) {
    for (const bool told : {true, false}) {
      Fake fake;
      fake.settings["nodes"] = 100.0, fake.settings["me"] = static_cast<double>(n % 100);
      fake.settings["tenant.0.name"] = std::string("one");
      fake.settings["tenant.0.open"] = 40.0;
      fake.start(1, static_cast<std::uint64_t>(n));
      fake.list(Fake::listing("h0", "near", fake.now), EndpointState::healthy);
      if (told) {
        fake.held("h0", 20);
      }
      fake.pass(20000);
      (told ? heard : alone) += fake.arrive("a", 1).empty() ? 0 : 1;
    }
  }
  EXPECT_GT(2 * heard, 3 * alone);  // turns are the same for both
  EXPECT_LT(heard, 200 * 0.3);
}

TEST(Cold, ManyNodesThatHoldLittleStillGiveColdHostsTheirPartAndNoMore) {
  int cold = 0;
  int all = 0;
  for (int n = 0; n < 100; ++n) {
    Fake fake;
    fake.settings["nodes"] = 100.0, fake.settings["me"] = static_cast<double>(n);
    fake.settings["tenant.0.name"] = std::string("one");
    fake.settings["tenant.0.open"] =
        400.0;  // 100 for each host: 2.5 x 0.3 x 100 / 4 = 19 in a window at first
    fake.start(2, static_cast<std::uint64_t>(n));
    fake.list(Fake::listing("c0", "near", fake.now - 10000), EndpointState::healthy);
    fake.list(Fake::listing("c1", "near", fake.now - 10000), EndpointState::healthy);
    fake.pass(30000);  // past the first steps of the climb, at half of the warm-up
    for (int i = 0; i < 2; ++i, ++all) {
      const std::string at = fake.arrive(std::to_string(i), n * 2 + i);
      cold += at[0] == 'c' ? 1 : 0;
      fake.stand(std::to_string(i));
    }
  }
  EXPECT_GT(cold, all / 10);  // with the bound of what little stands at each node it was 6 of 200
  EXPECT_LT(cold, 2 * 2.5 * 0.65 * 100 / 4);
}

TEST(Cold, HostsThatReportLittleLoadShowThatANewOneBearsMore) {
  std::map<double, int> taken;
  for (const double load : {0.1, 0.9}) {
    Fake fake;
    fake.settings["nodes"] = 3.0;
    fake.settings["report.load"] = 0.0;
    fake.load = load;
    fake.start(4);
    fake.pass(100000);
    for (int i = 0; i < 40; ++i) {
      const std::string id = "a" + std::to_string(i);
      fake.arrive(id, i);
      fake.answer_probes();
      if (!fake.tries[id].empty()) {
        fake.stand(id);
      }
    }
    for (int i = 0; i < 4; ++i) {
      fake.list(Fake::listing("h" + std::to_string(i)), EndpointState::draining);
    }
    fake.list(Fake::listing("new", "near", fake.now), EndpointState::healthy);
    for (int i = 0; i < 40; ++i) {
      fake.now += 500;
      const std::string id = "b" + std::to_string(i);
      fake.arrive(id, i);
      fake.answer_probes();
      taken[load] += !fake.tries[id].empty() && fake.tries[id].back() == "new" ? 1 : 0;
    }
  }
  EXPECT_GT(taken[0.1], taken[0.9]);
}

// hd97ac5: in a burst of one group's attachments the ring led each of 94 nodes to the same cold host.
TEST(Cold, AGroupThatGathersOverAllNodesIsNoMoreThanAColdHostBears) {
  std::int64_t group = 0;
  {
    Fake fake;
    fake.start(40);
    for (; fake.arrive("g" + std::to_string(group), 1, "plain", false, group) != "h0"; ++group) {
      fake.end("g" + std::to_string(group), Outcome::succeeded, true);
    }
  }
  int sent = 0;
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    Fake fake;
    fake.settings["nodes"] = 200.0, fake.settings["fall_time"] = 10000.0;
    fake.settings["me"] = static_cast<double>(seed);
    fake.start(40, seed);
    fake.list(Fake::listing("h0", "near", fake.now - 10000), EndpointState::healthy);
    fake.pass(40000);
    sent += fake.arrive("a", 1, "plain", false, group) == "h0" ? 1 : 0;
  }
  EXPECT_LE(sent, 30);
}

// After 23 of 72 hosts had fallen together each was sent one try in eight seconds, while 100 nodes rejected.
TEST(Cold, InACrowdAllNodesTakeTurnsThatAddUpToWhatAColdHostBears) {
  int sent = 0;
  int greatest = 0;
  std::vector<int> when(60);
  for (int n = 0; n < 100; ++n) {
    Fake fake;
    fake.settings["nodes"] = 100.0, fake.settings["me"] = static_cast<double>(n);
    fake.settings["tenant.0.name"] = std::string("one");
    fake.settings["tenant.0.open"] = 200.0;  // 100 connections a host over eight seconds, and 2.5 times of it
    fake.start(2, static_cast<std::uint64_t>(n));
    fake.arrive("old", n);
    fake.stand("old");
    const std::string late = fake.tries["old"].back();
    const std::string cold = late == "h0" ? "h1" : "h0";
    const TimePoint began = fake.now;
    fake.list(Fake::listing(cold, "near", began), EndpointState::healthy);
    for (int i = 0; fake.now < began + 60000; fake.now += 1000, ++i) {
      fake.delay("old", 900);  // the only warm host is late: a crowd
      const std::string at = fake.arrive("a" + std::to_string(i), n * 100 + i);
      if (at == cold) {
        ++sent, ++when[static_cast<std::size_t>((fake.now - began) / 1000)];
      }
      if (!at.empty()) {
        fake.stand("a" + std::to_string(i));
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
