// The ledger of requests: each rule refused by itself, at its edge, whatever the deciding modules say.
#include <gtest/gtest.h>

#include "policy/reattach.h"
#include "policy/request_ledger.h"

using namespace dapplewharf;

namespace {

const HostPlace kHere{"h0", "near", 1}, kBeside{"h1", "near", 2}, kFar{"h2", "far", 3};
constexpr Tenths kWindow = 5 * kSecond, kDeadline = 30 * kSecond;

RequestLedger opened(Effect effect, RepeatGroup group = RepeatGroup::all) {
  RequestLedger ledger;
  ledger.open("r", {effect, group, kWindow}, kDeadline);
  return ledger;
}

}  // namespace

TEST(RequestLedger, OneAttemptAtATimeUntilItsDeadlineItsAnswerOrItsClientsEnd) {
  RequestLedger ledger = opened(Effect::idempotent);
  EXPECT_EQ(ledger.may_begin("r", kHere, true, 0), Refusal::none);
  EXPECT_EQ(ledger.may_begin("r", kHere, false, 0), Refusal::host_is_leaving);
  EXPECT_EQ(ledger.may_begin("other", kHere, true, 0), Refusal::unknown_request);
  ledger.begun("r", kHere, 0);
  EXPECT_EQ(ledger.may_begin("r", kBeside, true, 1), Refusal::attempt_out);
  ledger.ended("r", true);
  EXPECT_EQ(ledger.may_begin("r", kBeside, true, kDeadline - 1), Refusal::none);
  EXPECT_EQ(ledger.may_begin("r", kBeside, true, kDeadline), Refusal::past_deadline);
  ledger.answered("r");
  EXPECT_EQ(ledger.may_begin("r", kBeside, true, 2), Refusal::already_answered);
  EXPECT_EQ(ledger.may_answer("r", FinalAnswer::error), Refusal::already_answered);
  EXPECT_EQ(ledger.may_answer("r", FinalAnswer::move), Refusal::none);
  RequestLedger left = opened(Effect::idempotent);
  left.client_left("r");
  EXPECT_EQ(left.may_begin("r", kHere, true, 0), Refusal::client_gone);
  EXPECT_FALSE(left.close("r"));
  RequestLedger owed = opened(Effect::idempotent);
  EXPECT_TRUE(owed.close("r")) << "closed with no answer";
  EXPECT_EQ(owed.size(), 0u);
}

TEST(RequestLedger, WhatMayHaveRunIsRepeatedOnlyWhereARepeatIsDropped) {
  for (const bool ran : {false, true}) {
    RequestLedger once = opened(Effect::unrepeatable);
    once.begun("r", kHere, 0), once.ended("r", ran);
    EXPECT_EQ(once.may_begin("r", kBeside, true, 1), ran ? Refusal::effect_may_repeat : Refusal::none);
    EXPECT_EQ(once.may_answer("r", FinalAnswer::busy), ran ? Refusal::effect_may_repeat : Refusal::none);
    EXPECT_EQ(once.may_answer("r", FinalAnswer::error), Refusal::none);
  }
  RequestLedger zone = opened(Effect::deduplicated, RepeatGroup::zone);
  zone.begun("r", kHere, 0), zone.ended("r", true);
  EXPECT_EQ(zone.may_begin("r", kBeside, true, kWindow - kRepeatMargin - 1), Refusal::none);
  EXPECT_EQ(zone.may_begin("r", kBeside, true, kWindow - kRepeatMargin), Refusal::effect_may_repeat);
  EXPECT_EQ(zone.may_begin("r", kFar, true, 1), Refusal::effect_may_repeat);
  EXPECT_EQ(zone.may_answer("r", FinalAnswer::busy), Refusal::effect_may_repeat);
  // Connecting took until the window was over: the first byte is refused, though the attempt was allowed.
  zone.begun("r", kBeside, kWindow - kRepeatMargin - 1);
  EXPECT_EQ(zone.may_send("r", true, kWindow - kRepeatMargin - 1), Refusal::none);
  EXPECT_EQ(zone.may_send("r", true, kWindow - kRepeatMargin), Refusal::effect_may_repeat);
  EXPECT_EQ(zone.may_send("r", false, 1), Refusal::host_is_leaving);
  RequestLedger cell = opened(Effect::deduplicated, RepeatGroup::cell);
  cell.begun("r", kHere, 0), cell.ended("r", true);
  EXPECT_EQ(cell.may_begin("r", kBeside, true, 1), Refusal::effect_may_repeat);
  EXPECT_EQ(cell.may_begin("r", kHere, true, 1), Refusal::none);
}

TEST(ReattachTimes, AttemptsGoOnUntilThePlatformsTimeIsOver) {
  Reattach reattach(0, 4294967 * kMs);
  EXPECT_EQ(reattach.until(), Reattach::kAllowed);
  Tenths now = 0;
  int attempts = 0;
  for (std::optional<Tenths> pause = 0; pause; pause = reattach.pause(now, true, 1)) {
    now += *pause;
    EXPECT_LE(*pause, Reattach::kLongestPause);
    now += reattach.attempt_time(now);  // every one of them hangs
    ++attempts;
  }
  EXPECT_LE(now, Reattach::kAllowed);
  EXPECT_GE(attempts, 4) << "4, 8 and 16 s, and what is left";
  Reattach unlisted(0, Reattach::kAllowed);
  EXPECT_TRUE(unlisted.pause(Reattach::kUnlisted / 2, false, 1));
  EXPECT_FALSE(unlisted.pause(Reattach::kUnlisted, false, 1));
}
