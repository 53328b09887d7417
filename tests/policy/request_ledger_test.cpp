// The ledger of requests: each rule refused by itself, at its edge, whatever the deciding modules say.
#include "policy/request_ledger.h"

#include <gtest/gtest.h>

#include "policy/reconnect_policy.h"

using namespace dapplewharf;

namespace {

const EndpointLocation kHere{"h0", "near", 1}, kBeside{"h1", "near", 2}, kFar{"h2", "far", 3};
constexpr Duration kWindow = 5 * kSecond, kDeadline = 30 * kSecond;

RequestLedger opened(Idempotency effect, DeduplicationScope group = DeduplicationScope::all) {
  RequestLedger ledger;
  ledger.open("r", {effect, group, kWindow}, kDeadline);
  return ledger;
}

}  // namespace

TEST(RequestLedger, OneAttemptAtATimeUntilItsDeadlineItsAnswerOrItsClientsEnd) {
  RequestLedger ledger = opened(Idempotency::idempotent);
  EXPECT_EQ(ledger.check_attempt("r", kHere, true, 0), std::nullopt);
  EXPECT_EQ(ledger.check_attempt("r", kHere, false, 0), Violation::endpoint_leaving);
  EXPECT_EQ(ledger.check_attempt("other", kHere, true, 0), Violation::unknown_request);
  ledger.begun("r", kHere, 0);
  EXPECT_EQ(ledger.check_attempt("r", kBeside, true, 1), Violation::attempt_in_flight);
  ledger.ended("r", true);
  EXPECT_EQ(ledger.check_attempt("r", kBeside, true, kDeadline - 1), std::nullopt);
  EXPECT_EQ(ledger.check_attempt("r", kBeside, true, kDeadline), Violation::past_deadline);
  ledger.answered("r");
  EXPECT_EQ(ledger.check_attempt("r", kBeside, true, 2), Violation::already_answered);
  EXPECT_EQ(ledger.check_answer("r", FinalAnswer::error), Violation::already_answered);
  EXPECT_EQ(ledger.check_answer("r", FinalAnswer::move), std::nullopt);
  RequestLedger left = opened(Idempotency::idempotent);
  left.client_left("r");
  EXPECT_EQ(left.check_attempt("r", kHere, true, 0), Violation::client_gone);
  EXPECT_FALSE(left.close("r"));
  RequestLedger owed = opened(Idempotency::idempotent);
  EXPECT_TRUE(owed.close("r")) << "closed with no answer";
  EXPECT_EQ(owed.size(), 0u);
}

TEST(RequestLedger, WhatMayHaveRunIsRepeatedOnlyWhereARepeatIsDropped) {
  for (const bool ran : {false, true}) {
    RequestLedger once = opened(Idempotency::non_idempotent);
    const auto refusal = ran ? std::optional(Violation::may_have_run) : std::nullopt;
    once.begun("r", kHere, 0), once.ended("r", ran);
    EXPECT_EQ(once.check_attempt("r", kBeside, true, 1), refusal);
    EXPECT_EQ(once.check_answer("r", FinalAnswer::busy), refusal);
    EXPECT_EQ(once.check_answer("r", FinalAnswer::error), std::nullopt);
  }
  RequestLedger zone = opened(Idempotency::deduplicated, DeduplicationScope::zone);
  zone.begun("r", kHere, 0), zone.ended("r", true);
  EXPECT_EQ(zone.check_attempt("r", kBeside, true, kWindow - kRepeatMargin - 1), std::nullopt);
  EXPECT_EQ(zone.check_attempt("r", kBeside, true, kWindow - kRepeatMargin), Violation::may_have_run);
  EXPECT_EQ(zone.check_attempt("r", kFar, true, 1), Violation::may_have_run);
  EXPECT_EQ(zone.check_answer("r", FinalAnswer::busy), Violation::may_have_run);
  // Connecting took until the window was over: the first byte is refused, though the attempt was allowed.
  zone.begun("r", kBeside, kWindow - kRepeatMargin - 1);
  EXPECT_EQ(zone.check_send("r", true, kWindow - kRepeatMargin - 1), std::nullopt);
  EXPECT_EQ(zone.check_send("r", true, kWindow - kRepeatMargin), Violation::may_have_run);
  EXPECT_EQ(zone.check_send("r", false, 1), Violation::endpoint_leaving);
  RequestLedger cell = opened(Idempotency::deduplicated, DeduplicationScope::cell);
  cell.begun("r", kHere, 0), cell.ended("r", true);
  EXPECT_EQ(cell.check_attempt("r", kBeside, true, 1), Violation::may_have_run);
  EXPECT_EQ(cell.check_attempt("r", kHere, true, 1), std::nullopt);
}

TEST(ReattachTimes, AttemptsGoOnUntilThePlatformsTimeIsOver) {
  ReconnectPolicy reattach(0, 4294967 * kMs);
  EXPECT_EQ(reattach.until(), ReconnectPolicy::kAllowed);
  TimePoint now = 0;
  int attempts = 0;
  for (std::optional<Duration> pause = 0; pause; pause = reattach.pause(now, true, 1)) {
    now += *pause;
    EXPECT_LE(*pause, ReconnectPolicy::kLongestPause);
    now += reattach.attempt_time(now);  // every one of them hangs
    ++attempts;
  }
  EXPECT_LE(now, ReconnectPolicy::kAllowed);
  EXPECT_GE(attempts, 4) << "4, 8 and 16 s, and what is left";
  ReconnectPolicy unlisted(0, ReconnectPolicy::kAllowed);
  EXPECT_TRUE(unlisted.pause(ReconnectPolicy::kUnlisted / 2, false, 1));
  EXPECT_FALSE(unlisted.pause(ReconnectPolicy::kUnlisted, false, 1));
}
