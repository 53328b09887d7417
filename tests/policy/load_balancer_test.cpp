// Short stories of failures met or feared, each told to one node of the module with a fake fleet.
#include <gtest/gtest.h>

#include <set>

#include "support/fixtures.h"

using namespace dapplewharf;

TEST(FinalAnswers, AFailedTryGoesToAnotherHostAndTheLastIsRejectedAtOnce) {
  Fake fake;
  fake.start(6);
  fake.arrive("a");
  for (int i = 0; i < 3; ++i) {
    fake.end("a", Outcome::error);
  }
  EXPECT_EQ(std::set<std::string>(fake.tries["a"].begin(), fake.tries["a"].end()).size(), 4u);
  fake.end("a", Outcome::error);
  EXPECT_TRUE(fake.said(ActionKind::reject, "a"));
  EXPECT_GT(fake.told("a"), 0);
}

TEST(FinalAnswers, NothingFollowsTheEnd) {
  Fake fake;
  fake.start(3);
  fake.arrive("a");
  Event left;
  left.kind = EventKind::client_left;
  left.id = "a";
  fake.tell(left);
  fake.end("a", Outcome::cancelled, true);
  EXPECT_TRUE(fake.last.empty());
  fake.tell(left);
  fake.end("a", Outcome::error);
  EXPECT_TRUE(fake.last.empty());
}

TEST(FinalAnswers, WithoutAnyHostTheClientIsToldWhenToComeBack) {
  Fake fake;
  fake.start(0);
  fake.arrive("a");
  ASSERT_TRUE(fake.said(ActionKind::reject, "a"));
  const Duration first = fake.told("a");
  fake.arrive("b");
  EXPECT_NE(first, fake.told("b")) << "a crowd told the same time returns in step";
}

TEST(FinalAnswers, ATimeOutAtTheExpiryIsAnsweredAtOnce) {
  Fake fake;
  fake.start(3);
  fake.arrive("a");
  fake.now += 30000;
  fake.end("a", Outcome::timed_out);
  EXPECT_TRUE(fake.said(ActionKind::reject, "a"));
}

TEST(Effects, AnUnrepeatableThatMayHaveRunIsScrapped) {
  for (const Outcome outcome :
       {Outcome::error, Outcome::timed_out, Outcome::connection_lost, Outcome::cancelled}) {
    Fake fake;
    fake.start(6);
    fake.arrive("a", 1, "once");
    fake.end("a", outcome);
    EXPECT_EQ(fake.tries["a"].size(), 1u);
    EXPECT_TRUE(fake.said(ActionKind::scrap, "a"));
  }
}

TEST(Effects, AnUnrepeatableThatNeverRanIsTriedAgain) {
  for (const Outcome outcome : {Outcome::rejected, Outcome::connect_failed, Outcome::not_sent}) {
    Fake fake;
    fake.start(6);
    fake.arrive("a", 1, "once");
    fake.end("a", outcome);
    EXPECT_EQ(fake.tries["a"].size(), 2u);
  }
}

TEST(Effects, ADeduplicatedStaysInTheZoneThatDropsItsRepeatsAndInTheWindow) {
  Fake fake;
  fake.start(3);
  for (int i = 0; i < 3; ++i) {
    fake.list(Fake::listing("far" + std::to_string(i), "far"), EndpointState::healthy);
  }
  const std::string first = fake.arrive("a", 1, "marked");
  fake.end("a", Outcome::timed_out);
  ASSERT_EQ(fake.tries["a"].size(), 2u);
  EXPECT_EQ(fake.tries["a"][1][0], first[0]);
  fake.now += 6000;
  fake.end("a", Outcome::timed_out);
  EXPECT_TRUE(fake.said(ActionKind::scrap, "a"));
}

TEST(EndpointSelector, ASecondNodeMapsAlikeAndALossMovesOnlyItsOwnKeys) {
  Fake one;
  Fake two;
  one.start(5, 1);
  two.start(5, 2);
  std::map<int, std::string> before;
  for (int i = 0; i < 30; ++i, one.now += 10000, two.now += 10000) {
    before[i] = one.arrive("a" + std::to_string(i), i);
    one.end("a" + std::to_string(i), Outcome::succeeded, true);
    EXPECT_EQ(before[i], two.arrive("b" + std::to_string(i), i));
    two.end("b" + std::to_string(i), Outcome::succeeded, true);
  }
  one.list(Fake::listing("h2"), EndpointState::removed);
  for (int i = 0; i < 30; ++i, one.now += 10000) {
    const std::string after = one.arrive("c" + std::to_string(i), i);
    one.end("c" + std::to_string(i), Outcome::succeeded, true);
    if (before[i] != "h2") {
      EXPECT_EQ(after, before[i]);
    }
  }
}

TEST(EndpointSelector, WhereANodeHoldsLittleAHostIsWellOverByWhatOthersTell) {
  Fake fake;
  fake.settings["nodes"] = 100.0;
  fake.start(4);
  const std::string first = fake.arrive("a", 1);
  fake.end("a", Outcome::cancelled, true);
  EXPECT_EQ(fake.arrive("b", 1), first);  // alone it sees nothing that speaks against it
  fake.end("b", Outcome::cancelled, true);
  for (int i = 0; i < 4; ++i) {
    fake.held("h" + std::to_string(i), first == "h" + std::to_string(i) ? 60 : 20);
  }
  EXPECT_NE(fake.arrive("c", 1), first);
  fake.end("c", Outcome::cancelled, true);
  for (int i = 0; i < 4; ++i) {
    fake.held("h" + std::to_string(i), -1);  // nobody is heard any more
  }
  EXPECT_EQ(fake.arrive("d", 1), first);
}

TEST(EndpointSelector, AHostWellOverTheMeanIsPassed) {
  Fake fake;
  fake.start(3);
  std::set<std::string> used;
  for (int i = 0; i < 12; ++i) {
    used.insert(fake.arrive("a" + std::to_string(i), 5)), fake.now += 10000;
  }
  EXPECT_EQ(used.size(), 3u);
}

TEST(Freeze, WhenMostHostsDegradeAtOnceTheWeightsStay) {
  Fake fake;
  fake.start(5);
  for (int i = 0; i < 5; ++i) {
    fake.silent.insert("h" + std::to_string(i));
  }
  fake.pass(60000);
  EXPECT_NE(fake.arrive("a", 3), "");
}

TEST(Same, TheSameEventsGiveTheSameActions) {
  Fake one;
  Fake two;
  one.start(5);
  two.start(5);
  for (int i = 0; i < 40; ++i) {
    EXPECT_EQ(one.arrive("a" + std::to_string(i), i % 7), two.arrive("a" + std::to_string(i), i % 7));
    one.pass(1000);
    two.pass(1000);
  }
  EXPECT_EQ(one.probes, two.probes);
}

TEST(Moves, ALateHostGivesUpItsConnectionsAndTakesNoNewOnes) {
  Fake fake;
  fake.start(4);
  const std::string home = fake.arrive("a", 1);
  fake.stand("a");
  fake.delay("a", 2000);
  EXPECT_NE(fake.arrive("b", 1), home);
  for (int i = 0; i < 40 && fake.moved.empty(); ++i) {
    fake.delay("a", 2000), fake.pass(5000);
  }
  EXPECT_EQ(fake.moved, std::vector<std::string>{"a"});
}

// Forty nodes with one connection each at a host whose messages take `delay`: how many are moved within 100
// ms. `told`: what others hold at each host, below 0 where no one says; `group`: of all, else each has its
// own.
int moved_by_forty(double told, Duration delay, std::optional<std::int64_t> group) {
  int moved = 0;
  for (int i = 0; i < 40; ++i) {
    Fake fake;
    if (told >= 0) {
      fake.settings["nodes"] = 40.0;
    }
    fake.start(4, static_cast<std::uint64_t>(i));
    for (int host = 0; told >= 0 && host < 4; ++host) {
      fake.held("h" + std::to_string(host), told);
    }
    fake.arrive("a", i, "plain", false, group.value_or(i));
    fake.stand("a");
    fake.delay("a", delay);
    fake.pass(1000);
    moved += static_cast<int>(fake.moved.size());
  }
  return moved;
}

TEST(Moves, ManyNodesWithOneConnectionEachDoNotClearAHostAtAStroke) {
  const int moved = moved_by_forty(-1, 2000, {});
  EXPECT_GT(moved, 0);
  EXPECT_LT(moved, 20);
}

TEST(Groups, ConnectionsThatShareWorkMeetAtOneHost) {
  Fake fake;
  fake.start(6);
  const std::string home = fake.arrive("a", 1, "plain", false, 77);
  fake.stand("a");
  EXPECT_EQ(fake.arrive("b", 2, "plain", false, 77), home);
}

TEST(Moves, AHostWhoseProbesFailFastKeepsWhatStandsThere) {
  Fake fake;
  fake.start(4);
  const std::string home = fake.arrive("a", 1);
  fake.stand("a");
  fake.failing.insert(home);
  fake.pass(60000);
  EXPECT_TRUE(fake.moved.empty());
  fake.failing.clear();
  fake.silent.insert(home);
  fake.pass(60000);
  EXPECT_FALSE(fake.moved.empty());
}

TEST(Crowds, WhileAHostIsLateTheOthersTakeOnlyAPartOfACrowd) {
  Fake fake;
  fake.start(2);
  fake.arrive("first", 1);
  fake.stand("first");
  fake.delay("first", 2000);
  fake.pass(1000);
  int taken = 0;
  for (int i = 0; i < 40; ++i) {
    taken += fake.arrive("a" + std::to_string(i), i).empty() ? 0 : 1;
  }
  EXPECT_GT(taken, 0);
  EXPECT_LT(taken, 20);
  fake.now += 10000;
  EXPECT_NE(fake.arrive("later", 1), "");
}

TEST(Fairness, WhatLiesBeyondAShareGivesWayOnlyWhileRoomIsShort) {
  Fake fake;
  fake.settings["tenant.0.name"] = "guests";
  fake.settings["tenant.0.open"] = 1.0;
  fake.start(4);
  Event event = fake.wish_of("guests");
  for (const char* id : {"a", "b"}) {
    event.id = id;
    fake.tell(event);
    EXPECT_FALSE(fake.said(ActionKind::reject)) << "there is room";
    fake.stand(id);
  }
  fake.delay("a", 2000);
  fake.pass(200);
  event.id = "c";
  fake.tell(event);
  EXPECT_TRUE(fake.said(ActionKind::reject, "c"));
  EXPECT_NE(fake.arrive("d", 9), "") << "others are not touched";
}

TEST(Moves, ALateHostGivesUpAPartAlsoWithoutRoomAnywhere) {
  Fake fake;
  fake.start(1);
  for (int i = 0; i < 12; ++i) {
    fake.arrive("a" + std::to_string(i), i);
    fake.stand("a" + std::to_string(i));
  }
  for (int i = 0; i < 8; ++i) {
    fake.delay("a0", 9000);
    fake.pass(10000);
  }
  EXPECT_FALSE(fake.moved.empty()) << "a host far over its end serves nobody";
  EXPECT_LT(fake.moved.size(), 12u);
}

TEST(Crowds, AHostThatWasLateTakesNoMoreThanItHeldThen) {
  Fake fake;
  fake.start(1);
  for (int i = 0; i < 4; ++i, fake.now += 10000) {
    fake.arrive("a" + std::to_string(i), i);
    fake.stand("a" + std::to_string(i));
  }
  fake.delay("a0", 600);
  fake.delay("a0", 10);
  EXPECT_EQ(fake.arrive("more", 9), "");
  EXPECT_TRUE(fake.said(ActionKind::reject, "more"));
  fake.pass(310000);
  EXPECT_NE(fake.arrive("later", 9), "");
}

TEST(Moves, AMessageSlowerThanAnyExpiryClearsAHostThoughItsProbesAreGood) {
  Fake fake;
  fake.settings["traffic.0.expiry"] = 30000.0;
  fake.start(4);
  const std::string home = fake.arrive("a", 1);
  fake.stand("a");
  fake.delay("a", 120000);
  fake.pass(1000);
  EXPECT_EQ(fake.moved, std::vector<std::string>{"a"});
}

TEST(Crowds, AHostThatTellsOfRoomIsAskedAlsoByAGroupThatIsKeptTogether) {
  Fake fake;
  fake.settings["nodes"] = 400.0;
  fake.settings["report.load"] = 0.0;
  fake.start(8);
  for (int i = 0; i < 8; ++i) {
    Event answer;
    answer.kind = EventKind::probe_ended;
    answer.host = "h" + std::to_string(i);
    answer.report = {0.1};
    fake.tell(answer);
  }
  fake.arrive("first", 1);
  fake.stand("first");
  fake.delay("first", 600);
  std::set<std::string> used;
  for (int i = 0; i < 40; ++i) {
    used.insert(fake.arrive("a" + std::to_string(i), 1));
  }
  EXPECT_GT(used.size(), 3u);
}

TEST(Crowds, AGroupIsNotScatteredOverEveryHostThatStillTakesOne) {
  Fake fake;
  fake.settings["nodes"] = 400.0;
  fake.start(8);
  fake.arrive("first", 1);
  fake.stand("first");
  fake.delay("first", 600);
  std::set<std::string> used;
  for (int i = 0; i < 12; ++i) {
    used.insert(fake.arrive("a" + std::to_string(i), i, "plain", false, 77));
  }
  used.erase("");
  EXPECT_GE(used.size(), 1u);
  EXPECT_LE(used.size(), 2u);
}

TEST(Crowds, SetUpsThatGoWrongAtMostHostsAreLimitedAndNoHostIsBlamed) {
  Fake fake;
  fake.start(8);
  for (int i = 0; i < 40; ++i) {
    fake.arrive("a" + std::to_string(i), i);
  }
  std::size_t sent = 0;
  for (int i = 0; i < 40; ++i) {
    fake.now += 100;
    fake.end("a" + std::to_string(i), Outcome::error);
    sent += fake.tries["a" + std::to_string(i)].size();
  }
  EXPECT_LT(sent, 60u) << "all 40 would try again at once";
  fake.pass(60000);
  std::set<std::string> used;
  for (int i = 0; i < 60; ++i) {
    used.insert(fake.arrive("b" + std::to_string(i), i)), fake.stand("b" + std::to_string(i));
  }
  EXPECT_EQ(used.size(), 8u);
}

TEST(Groups, InACrowdNodesOfAllZonesMeetAtOneHostUnlessCrossingIsDear) {
  for (const double price : {0.02, 0.2}) {
    std::map<std::string, std::vector<std::string>> placed;  // by node's zone: where ten groups go
    for (const char* zone : {"near", "far"}) {
      Fake fake;
      fake.settings["zone"] = std::string(zone);
      fake.settings["price_crossing"] = price;
      fake.start(4);
      for (int i = 0; i < 4; ++i) {
        fake.list(Fake::listing("f" + std::to_string(i), "far"), EndpointState::healthy);
      }
      fake.pass(100000);
      fake.arrive("late", 1, "plain", false, 99);
      fake.stand("late");
      fake.delay("late", 600);
      for (int i = 0; i < 10; ++i, fake.now += 20000) {
        fake.delay("late", 600);
        const std::string host = fake.arrive("a" + std::to_string(i), i, "plain", false, i);
        placed[zone].push_back(host);
      }
    }
    int same = 0;
    for (int i = 0; i < 10; ++i) {
      same += !placed["near"][i].empty() && placed["near"][i] == placed["far"][i] ? 1 : 0;
    }
    EXPECT_EQ(same >= 4, price < 0.1) << same;
  }
}

// Operators' days (herd+mass): each zone's nodes gathered a group on hosts of their own, and all of them
// paid.
TEST(Groups, WhereNoLoadIsReportedNodesOfAllZonesMeetAtOneHostAtAnyTime) {
  for (const bool reported : {false, true}) {
    std::map<std::string, std::vector<std::string>> placed;  // by node's zone: where ten groups go
    for (const char* zone : {"near", "far"}) {
      Fake fake;
      fake.settings["zone"] = std::string(zone);
      fake.settings["price_crossing"] = 0.05;
      if (reported) {
        fake.settings["report.load"] = 0.0, fake.load = 0.1;
      }
      fake.start(4);
      for (int i = 0; i < 4; ++i) {
        fake.list(Fake::listing("f" + std::to_string(i), "far"), EndpointState::healthy);
      }
      fake.pass(100000);
      for (int i = 0; i < 10; ++i) {
        const std::string id = "a" + std::to_string(i);
        fake.arrive(id, i, "plain", false, i);
        fake.answer_probes();
        ASSERT_FALSE(fake.tries[id].empty());
        placed[zone].push_back(fake.tries[id].back());
      }
    }
    int same = 0;
    for (int i = 0; i < 10; ++i) {
      same += placed["near"][i] == placed["far"][i] ? 1 : 0;
    }
    if (reported) {
      EXPECT_EQ(same, 0) << "with room told, each in its own zone";
    } else {
      EXPECT_EQ(same, 10);
    }
  }
}

TEST(Lists, ManyNodesDoNotAskAtTheSameMomentAndNoneTooLate) {
  std::set<TimePoint> asked;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    Fake fake;
    fake.settings["nodes"] = 400.0;
    fake.settings["discovery"] = "on_request";
    fake.settings["ask_within"] = 100000.0;
    fake.start(3, seed);
    const TimePoint start = fake.now;
    while (!fake.said(ActionKind::subscribe) && fake.now < start + 100000) {
      fake.now += 1000;
      fake.tell(Event{});
    }
    EXPECT_LT(fake.now, start + 80000);
    asked.insert(fake.now);
  }
  EXPECT_GT(asked.size(), 10u);
}

TEST(Fairness, AShareUnderOneDoesNotShutItsTenantOut) {
  Fake fake;
  fake.settings["nodes"] = 400.0;
  fake.settings["tenant.0.name"] = "guests";
  fake.settings["tenant.0.open"] = 100.0;
  fake.start(4);
  Event event = fake.wish_of("guests");
  event.id = "a";
  fake.tell(event);
  fake.stand("a");
  fake.delay("a", 2000);
  for (const char* id : {"b", "c", "d", "e"}) {  // some may find their one host late
    event.id = id;
    fake.tell(event);
    if (!fake.said(ActionKind::reject)) {
      return;
    }
  }
  FAIL() << "all rejected";
}

TEST(Stopping, EverythingThatStandsIsMovedOnceTheFrontHasStopped) {
  Fake fake;
  fake.start(3);
  for (int i = 0; i < 12; ++i) {
    fake.arrive("a" + std::to_string(i), i), fake.stand("a" + std::to_string(i));
  }
  Event stop;
  stop.kind = EventKind::stopping;
  fake.tell(stop);
  EXPECT_TRUE(fake.moved.empty());
  fake.pass(4000);
  EXPECT_TRUE(fake.moved.empty()) << "clients would come back to this node";
  fake.pass(7000);
  EXPECT_LT(fake.moved.size(), 12u) << "all in step";
  fake.pass(6000);
  EXPECT_EQ(std::set<std::string>(fake.moved.begin(), fake.moved.end()).size(), 12u);
  EXPECT_EQ(fake.moved.size(), 12u);
}

TEST(Moves, AConnectionWithoutAnyAnswerIsMovedAloneAndOnce) {
  Fake fake;
  fake.start(2);
  fake.arrive("a"), fake.stand("a");
  fake.arrive("b"), fake.stand("b");
  Event unanswered;
  unanswered.kind = EventKind::unanswered;
  unanswered.id = "a";
  for (const double waited : {10000.0, 20000.0, 30000.0, 40000.0}) {
    unanswered.figure = waited;
    fake.tell(unanswered);
    EXPECT_EQ(fake.moved.size(), waited < 30000 ? 0u : 1u);
  }
  EXPECT_EQ(fake.moved.front(), "a");
}

TEST(Moves, AHostThatLeavesTheListGivesUpItsConnectionsAlsoWhileFrozen) {
  for (const EndpointState state : {EndpointState::draining, EndpointState::removed}) {
    Fake fake;
    fake.settings["discovery"] = "on_request";
    fake.start(2);
    std::size_t there = 0;
    for (int i = 0; i < 30; ++i) {
      there += fake.arrive("a" + std::to_string(i), i) == "h0" ? 1 : 0;
      fake.stand("a" + std::to_string(i));
    }
    fake.list(Fake::listing("h0"), state);
    Event lost;
    lost.kind = EventKind::list_lost;
    fake.tell(lost);
    fake.pass(120000);
    EXPECT_GE(fake.moved.size() * 2, there);
    for (const std::string& id : fake.moved) {
      EXPECT_EQ(fake.tries[id].back(), "h0");
    }
  }
}

namespace {

// The only near host and one far one; how many of `clients` that come at once are sent to each.
std::map<std::string, int> spread(Fake& fake, int from, int clients) {
  std::map<std::string, int> at;
  for (int i = from; i < from + clients; ++i) {
    const std::string id = "s" + std::to_string(i);
    const std::string host = fake.arrive(id, i);
    ++at[host];
    if (!host.empty()) {
      fake.stand(id);
    }
  }
  return at;
}

TEST(LiveWeights, AWeightThatSinksAsAHostFillsMovesNoGroupAndTellsWhatItHolds) {
  Fake fake;
  fake.settings["weights"] = std::string("live");
  fake.settings["nodes"] = 30.0;
  fake.start(0);
  const auto list = [&](const std::string& host, double weight) {
    EndpointEntry entry = Fake::listing(host);
    entry.kind = "three", entry.size = weight;
    fake.list(entry, EndpointState::healthy);
  };
  for (int i = 0; i < 6; ++i) {
    list("h" + std::to_string(i), 3);
  }
  fake.pass(100000);
  std::map<std::int64_t, std::string> before;
  for (std::int64_t group = 0; group < 20; ++group) {
    const std::string id = "a" + std::to_string(group);
    before[group] = fake.arrive(id, group, "plain", false, group);
    fake.end(id, Outcome::cancelled, true);
  }
  for (int i = 0; i < 6; ++i) {
    list("h" + std::to_string(i), i == 0 ? 0.1 : 1.5);  // 87 held at h0, 3 elsewhere
  }
  int stayed = 0;
  int to_the_full_one = 0;
  for (std::int64_t group = 0; group < 20; ++group) {
    const std::string id = "b" + std::to_string(group);
    const std::string host = fake.arrive(id, group, "plain", false, group);
    fake.end(id, Outcome::cancelled, true);
    stayed += before[group] != "h0" && host == before[group] ? 1 : 0;
    to_the_full_one += host == "h0" ? 1 : 0;
  }
  const auto elsewhere =
      std::count_if(before.begin(), before.end(), [](auto& one) { return one.second != "h0"; });
  EXPECT_EQ(stayed, elsewhere);
  EXPECT_EQ(to_the_full_one, 0) << "what others hold there is told by the weight alone";
}

TEST(Groups, OneLargerThanAHostIsPartedWhereNobodyTellsWhatIsHeld) {
  Fake fake;
  fake.settings["nodes"] = 60.0;
  fake.start(20);
  fake.pass(100000);
  std::set<std::string> large;
  for (int i = 0; i < 30; ++i) {  // one and a half a host here: all of sixty nodes would be ninety
    const std::string id = "a" + std::to_string(i);
    large.insert(fake.arrive(id, i, "plain", false, 1));
    fake.stand(id);
  }
  EXPECT_GE(large.size(), 10u);
  EXPECT_EQ(fake.arrive("s1", 2, "plain", false, 3), fake.arrive("s2", 3, "plain", false, 3));
}

// As it was met: sixteen nodes gave up a group's sixteen connections within a moment, all of them came to the
// next host of the ring, which was cold, and it fell over.
TEST(Moves, NodesThatHoldLittleDoNotGiveUpAGroupAtAStrokeAlsoWhereTheyAreTold) {
  const int moved = moved_by_forty(10, 300, 5);
  EXPECT_GT(moved, 0);
  EXPECT_LT(moved, 20);
}

TEST(Moves, WhereGroupsArePartedALateHostIsNotClearedByTheGroup) {
  Fake fake;
  fake.settings["nodes"] = 60.0;
  fake.start(20);
  fake.pass(100000);
  for (int i = 0; i < 20; ++i) {
    const std::string id = "a" + std::to_string(i);
    fake.arrive(id, i, "plain", false, 1);
    fake.stand(id);
  }
  std::map<std::string, int> holds;
  for (int i = 0; i < 20; ++i) {
    ++holds[fake.tries["a" + std::to_string(i)].back()];
  }
  const auto most =
      std::max_element(holds.begin(), holds.end(), [](auto& a, auto& b) { return a.second < b.second; });
  ASSERT_GE(most->second, 2);
  std::string one;
  for (int i = 0; i < 20; ++i) {
    if (fake.tries["a" + std::to_string(i)].back() == most->first) {
      one = "a" + std::to_string(i);
    }
  }
  for (int step = 0; step < 3; ++step) {
    fake.delay(one, 600), fake.pass(5000);
  }
  EXPECT_LT(fake.moved.size(), static_cast<std::size_t>(most->second))
      << "all at a stroke is the next host's end";
}

TEST(Lists, HostsThatLeftAreNotCountedAmongThoseToAsk) {
  Fake fake;
  fake.start(12);
  fake.pass(100000);
  for (int i = 0; i < 11; ++i) {
    fake.list(Fake::listing("h" + std::to_string(i)), EndpointState::removed);
  }
  for (int i = 0; i < 20; ++i) {  // eleven gone hosts stand before the last one in many routes
    EXPECT_EQ(fake.arrive("a" + std::to_string(i), i), "h11");
  }
}

}  // namespace

TEST(Crowd, ANewNodeDoesNotHeapAllOnItsOneNearHost) {
  for (const bool told : {false, true}) {
    Fake fake;
    if (told) {
      fake.settings["tenant.0.name"] = "t", fake.settings["tenant.0.open"] = 40.0;
    }
    fake.start(1);
    fake.list(Fake::listing("far", "far"), EndpointState::healthy);
    fake.pass(200000);
    auto at = spread(fake, 0, 30);
    EXPECT_EQ(at["h0"], told ? 12 : 30) << "up to half of the twenty for each host, then by the mean";
    EXPECT_EQ(at["far"], told ? 18 : 0);
  }
}

TEST(Crowd, AHostFarFromItsPartOfTheSharesTakesFreelyWhileAnotherIsInTrouble) {
  for (const bool told : {false, true}) {
    Fake fake;
    if (told) {
      fake.settings["tenant.0.name"] = "t", fake.settings["tenant.0.open"] = 200.0;
    }
    fake.start(3);
    fake.pass(200000);
    spread(fake, 0, 12);
    for (int i = 0; i < 12; ++i) {
      if (fake.tries["s" + std::to_string(i)].back() == "h0") {
        fake.delay("s" + std::to_string(i), 5000);
      }
    }
    EXPECT_EQ(spread(fake, 12, 20)[""], told ? 0 : 20) << "rejected, though two hosts stand all but idle";
  }
}

TEST(Crowd, WithNoNearHostAtWeightTheFarOnesTakeWhatTheyHaveRoomFor) {
  Fake fake;
  fake.start(1);
  fake.list(Fake::listing("far", "far"), EndpointState::healthy);
  fake.pass(200000);
  spread(fake, 0, 40);
  for (int i = 0; i < 4; ++i) {
    fake.end("s" + std::to_string(i), Outcome::connection_lost, true);
  }
  EXPECT_GE(spread(fake, 40, 20)["far"], 4) << "a quarter of what hosts hold, not the least of two";
}

TEST(Strain, AHostWhereNothingStandsIsToldSlowTooAndStartsNoCrowdLimit) {
  Fake fake;
  fake.start(2);
  fake.pass(200000);
  Event slow;
  slow.kind = EventKind::delay_told;
  slow.host = "h0";
  slow.figure = 5000;
  fake.tell(slow);
  const auto at = spread(fake, 0, 20);
  EXPECT_EQ(at.count("h0"), 0u) << "it would be filled up again";
  EXPECT_EQ(at.at("h1"), 20) << "nobody there is cut off, so no crowd comes";
}

// A store behind all hosts at a twelfth of its pace: each node's one try was given up early, and blamed its
// host.
TEST(Behind, ATryKeepsAllItsTimeAndNoHostIsBlamedUntilOneGoesWell) {
  Fake fake;
  fake.start(8);
  for (int i = 0; i < 8; ++i) {
    fake.arrive("a" + std::to_string(i), i * 1000);
  }
  const auto fails = [&](const std::string& id) {
    for (std::size_t made = 0; made < fake.tries[id].size();) {
      made = fake.tries[id].size(), fake.end(id, Outcome::timed_out);
    }
  };
  for (int i = 0; i < 8; ++i) {
    fails("a" + std::to_string(i));
  }
  Duration time_out = 0;
  for (int i = 0; i < 12; ++i) {
    const std::string id = "b" + std::to_string(i);
    fake.pass(15000);  // longer than what is kept of each host's last set-up
    fake.arrive(id, i * 777);
    if (fake.tries[id].empty()) {
      continue;
    }
    for (const Action& action : fake.last) {
      if (action.kind == ActionKind::setup_try) {
        time_out = action.time;
      }
    }
    EXPECT_EQ(time_out, 30000);
    fails(id);
    EXPECT_FALSE(std::any_of(fake.last.begin(), fake.last.end(), [](const Action& action) {
      return action.kind == ActionKind::log &&
             action.text.find("health_degraded signal=passive") != std::string::npos;
    }));
  }
  EXPECT_GT(time_out, 0);
}

// Tries beyond an attachment's first are rationed: two, and a tenth of what is taken, in two seconds.
struct Rationed : Fake {
  Rationed() {
    settings["further_tries_least"] = 2.0, settings["further_tries_share"] = 0.1;
    settings["further_tries_span"] = 20000.0;
    start(8);
  }
  std::size_t further = 0;
  void fails(const std::string& id, Outcome outcome) {
    arrive(id, static_cast<std::int64_t>(hash(id) >> 12));
    for (std::size_t before = 0; tries[id].size() > before && tries[id].size() < 9;) {
      before = tries[id].size(), end(id, outcome);
    }
    further += tries[id].size() - 1;
  }
};

TEST(Budget, FurtherTriesKeepWithinItWhateverTheFirstEndedWith) {
  for (const Outcome outcome :
       {Outcome::error, Outcome::rejected, Outcome::connect_failed, Outcome::connection_lost}) {
    Rationed fake;
    fake.fails("a", outcome);
    EXPECT_EQ(fake.further, 2u);
    EXPECT_TRUE(fake.said(ActionKind::reject, "a")) << "answered at once";
    EXPECT_GT(fake.told("a"), 0);
    for (int i = 0; i < 8; ++i) {
      fake.fails("b" + std::to_string(i), outcome);
    }
    EXPECT_EQ(fake.further, 2u) << "nine were taken, ten would allow a third";
    fake.fails("c", outcome);
    EXPECT_EQ(fake.further, 3u) << "what ends rejected was taken all the same";
  }
}

TEST(Budget, TheWindowsEdgesAreOnTheSafeSide) {
  Rationed fake;
  fake.fails("a", Outcome::error);
  fake.now += 20000;  // still within the span of both tries, and the attachment no longer counts
  fake.fails("b", Outcome::error);
  EXPECT_EQ(fake.further, 2u);
  fake.now += 2;
  fake.fails("c", Outcome::error);
  EXPECT_EQ(fake.further, 4u);
}

TEST(Budget, OneThatIsSpentWhileAHostIsLookedAtIsNotOverdrawn) {
  Rationed fake;
  fake.settings["report.load"] = 0.0;
  fake.load = 0.2;
  fake.start(8);
  for (const char* id : {"a", "b", "c", "d"}) {
    fake.arrive(id), fake.answer_probes();
  }
  fake.now += 16000;  // every report is old: hosts are looked at before they are sent anything
  std::vector<Action> looks;
  for (const char* id : {"a", "b", "c", "d"}) {
    for (const Action& action : fake.end(id, Outcome::error)) {
      looks.push_back(action);
    }
  }
  fake.last = looks;
  fake.answer_probes();
  std::size_t further = 0;
  for (const char* id : {"a", "b", "c", "d"}) {
    further += fake.tries[id].size() - 1;
  }
  EXPECT_EQ(further, 2u);
}

TEST(Budget, WithoutItNothingIsRationed) {
  Fake fake;
  fake.start(8);
  for (int i = 0; i < 6; ++i) {
    const std::string id = "a" + std::to_string(i);
    fake.arrive(id, 100 * i);
    fake.end(id, Outcome::rejected);
    EXPECT_EQ(fake.tries[id].size(), 2u);
    fake.stand(id);
    fake.pass(2 * kSecond);
  }
}

TEST(EndpointSnapshot, WithLittleTimeForAskingAnInquiryThatFailedIsMadeAgainWithinIt) {
  Fake fake;
  fake.settings["discovery"] = "on_request";
  fake.settings["ask_within"] = 8000.0;
  fake.start(4);
  for (int lost = 0; lost < 6; ++lost) {
    Event event;
    event.kind = EventKind::list_lost;
    fake.tell(event);
    const TimePoint lost_at = fake.now;
    bool asked = false;
    for (int i = 0; i < 80 && !asked; ++i) {
      fake.now += 500;
      Event alarm;
      alarm.number = 1;
      fake.tell(alarm);
      asked = fake.said(ActionKind::subscribe);
    }
    ASSERT_TRUE(asked) << lost;
    EXPECT_LE(fake.now - lost_at, 8000) << lost;
  }
}
