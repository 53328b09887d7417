// Each rule of the auditor, kept and broken.
#include "emulator/audit/audit.h"

#include <gtest/gtest.h>

#include <tuple>

#include "small_world.h"

namespace dapplewharf::emulator {
namespace {

struct Judge : World {
  Audit audit{scenario, plan, 0};
  int count(Rule rule) const { return audit.found(rule).count; }
  void run(int host, bool may_have_run = true) {  // a whole try
    audit.try_came("x", 0, host, now);
    audit.try_ran("x", host);
    audit.try_over("x", host, may_have_run, now);
  }
  TimePoint now = 10;
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

}  // namespace
}  // namespace dapplewharf::emulator
