// Tests of the request ledger: each rule by itself, at its limit, without the modules that decide. Also the
// times of ReconnectPolicy.
#include "policy/request_ledger.h"

#include <gtest/gtest.h>

#include "policy/reconnect_policy.h"

using namespace dapplewharf;

namespace {

const EndpointLocation kFirstEndpoint{"h0", "near", 1}, kSameZoneEndpoint{"h1", "near", 2},
    kOtherZoneEndpoint{"h2", "far", 3};
constexpr Duration kWindow = 5 * kSecond, kDeadline = 30 * kSecond;

RequestLedger ledger_with_request(Idempotency idempotency,
                                  DeduplicationScope scope = DeduplicationScope::all) {
  RequestLedger ledger;
  ledger.open("r", {idempotency, scope, kWindow}, kDeadline);
  return ledger;
}

}  // namespace

TEST(RequestLedger, AllowsOneAttemptAtATimeUntilDeadlineAnswerOrClientDisconnect) {
  RequestLedger ledger = ledger_with_request(Idempotency::idempotent);
  EXPECT_EQ(ledger.check_attempt("r", kFirstEndpoint, true, 0), std::nullopt);
  EXPECT_EQ(ledger.check_attempt("r", kFirstEndpoint, false, 0), Violation::endpoint_leaving);
  EXPECT_EQ(ledger.check_attempt("other", kFirstEndpoint, true, 0), Violation::unknown_request);
  ledger.record_attempt_start("r", kFirstEndpoint, 0);
  EXPECT_EQ(ledger.check_attempt("r", kSameZoneEndpoint, true, 1), Violation::attempt_in_flight);
  ledger.record_attempt_end("r", true);
  EXPECT_EQ(ledger.check_attempt("r", kSameZoneEndpoint, true, kDeadline - 1), std::nullopt);
  EXPECT_EQ(ledger.check_attempt("r", kSameZoneEndpoint, true, kDeadline), Violation::past_deadline);
  ledger.record_answer("r");
  EXPECT_EQ(ledger.check_attempt("r", kSameZoneEndpoint, true, 2), Violation::already_answered);
  EXPECT_EQ(ledger.check_answer("r", FinalAnswer::error), Violation::already_answered);
  EXPECT_EQ(ledger.check_answer("r", FinalAnswer::move), std::nullopt);
  RequestLedger disconnected = ledger_with_request(Idempotency::idempotent);
  disconnected.record_client_disconnect("r");
  EXPECT_EQ(disconnected.check_attempt("r", kFirstEndpoint, true, 0), Violation::client_gone);
  EXPECT_FALSE(disconnected.close("r"));
  RequestLedger unanswered = ledger_with_request(Idempotency::idempotent);
  EXPECT_TRUE(unanswered.close("r")) << "the client still waits for an answer";
  EXPECT_EQ(unanswered.size(), 0u);
}

TEST(RequestLedger, RepeatsARequestThatMayHaveRunOnlyWhereTheRepeatIsDropped) {
  for (const bool may_have_run : {false, true}) {
    RequestLedger non_idempotent = ledger_with_request(Idempotency::non_idempotent);
    const auto expected = may_have_run ? std::optional(Violation::may_have_run) : std::nullopt;
    non_idempotent.record_attempt_start("r", kFirstEndpoint, 0),
        non_idempotent.record_attempt_end("r", may_have_run);
    EXPECT_EQ(non_idempotent.check_attempt("r", kSameZoneEndpoint, true, 1), expected);
    EXPECT_EQ(non_idempotent.check_answer("r", FinalAnswer::busy), expected);
    EXPECT_EQ(non_idempotent.check_answer("r", FinalAnswer::error), std::nullopt);
  }
  RequestLedger zone_scope = ledger_with_request(Idempotency::deduplicated, DeduplicationScope::zone);
  zone_scope.record_attempt_start("r", kFirstEndpoint, 0), zone_scope.record_attempt_end("r", true);
  EXPECT_EQ(zone_scope.check_attempt("r", kSameZoneEndpoint, true, kWindow - kRepeatMargin - 1),
            std::nullopt);
  EXPECT_EQ(zone_scope.check_attempt("r", kSameZoneEndpoint, true, kWindow - kRepeatMargin),
            Violation::may_have_run);
  EXPECT_EQ(zone_scope.check_attempt("r", kOtherZoneEndpoint, true, 1), Violation::may_have_run);
  EXPECT_EQ(zone_scope.check_answer("r", FinalAnswer::busy), Violation::may_have_run);
  // The window ends while the attempt connects: the attempt was allowed, but its first byte is not.
  zone_scope.record_attempt_start("r", kSameZoneEndpoint, kWindow - kRepeatMargin - 1);
  EXPECT_EQ(zone_scope.check_send("r", true, kWindow - kRepeatMargin - 1), std::nullopt);
  EXPECT_EQ(zone_scope.check_send("r", true, kWindow - kRepeatMargin), Violation::may_have_run);
  EXPECT_EQ(zone_scope.check_send("r", false, 1), Violation::endpoint_leaving);
  RequestLedger cell_scope = ledger_with_request(Idempotency::deduplicated, DeduplicationScope::cell);
  cell_scope.record_attempt_start("r", kFirstEndpoint, 0), cell_scope.record_attempt_end("r", true);
  EXPECT_EQ(cell_scope.check_attempt("r", kSameZoneEndpoint, true, 1), Violation::may_have_run);
  EXPECT_EQ(cell_scope.check_attempt("r", kFirstEndpoint, true, 1), std::nullopt);
}

TEST(ReconnectPolicy, AttemptsContinueUntilTheReconnectTimeout) {
  ReconnectPolicy policy(0, 4294967 * kMs);
  EXPECT_EQ(policy.deadline(), ReconnectPolicy::kReconnectTimeout);
  TimePoint now = 0;
  int attempts = 0;
  for (std::optional<Duration> pause = 0; pause; pause = policy.next_pause(now, true, 1)) {
    now += *pause;
    EXPECT_LE(*pause, ReconnectPolicy::kMaxPause);
    now += policy.attempt_timeout(now);  // each attempt times out
    ++attempts;
  }
  EXPECT_LE(now, ReconnectPolicy::kReconnectTimeout);
  EXPECT_GE(attempts, 4) << "timeouts of 4, 8 and 16 s, and the time left";
  ReconnectPolicy unlisted(0, ReconnectPolicy::kReconnectTimeout);
  EXPECT_TRUE(unlisted.next_pause(ReconnectPolicy::kUnlistedEndpointTimeout / 2, false, 1));
  EXPECT_FALSE(unlisted.next_pause(ReconnectPolicy::kUnlistedEndpointTimeout, false, 1));
}
