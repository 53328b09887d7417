// Tests of when an endpoint list counts as outdated, and of what the load balancer does then.
#include "policy/endpoint_list_freshness.h"

#include "support/fixtures.h"

using namespace dapplewharf;

namespace {

Settings settings(bool polls_endpoint_list) {
  Settings settings;
  settings.polls_endpoint_list = polls_endpoint_list;
  return settings;
}

}  // namespace

TEST(EndpointListFreshness, NewWorkWaitsOnlySoLongForAServiceThatPushesChanges) {
  const Settings pushed = settings(false);
  EndpointListFreshness freshness(pushed);
  freshness.record_start(0);
  freshness.record_call_failure(kSecond, kSecond, ListCallFailure::unavailable);
  EXPECT_EQ(freshness.state(), ListFreshness::unconfirmed);
  EXPECT_EQ(freshness.possible_start_at(), kSecond);
  freshness.record_call_pending(5 * kSecond);
  freshness.record_call_failure(6 * kSecond, 6 * kSecond, ListCallFailure::unanswered);
  EXPECT_EQ(freshness.state(), ListFreshness::awaiting) << "the service may be up again";
  EXPECT_EQ(freshness.next_change_at(), 7 * kSecond) << "1 of 3 s has been used";
  freshness.advance(7 * kSecond);
  EXPECT_EQ(freshness.possible_start_at(), 7 * kSecond);
  freshness.record_call_pending(8 * kSecond);
  EXPECT_EQ(freshness.state(), ListFreshness::unconfirmed);
  freshness.record_list();
  EXPECT_EQ(freshness.state(), ListFreshness::current);
  freshness.record_watch_lost(20 * kSecond);
  EXPECT_EQ(freshness.state(), ListFreshness::awaiting);
  freshness.advance(22 * kSecond);
  EXPECT_EQ(freshness.state(), ListFreshness::unconfirmed);
  EXPECT_FALSE(freshness.possible_start_at());
}

// Guards against a wait that ends while the answer is on its way (review/6), and against one without an end.
TEST(EndpointListFreshness, NewWorkWaitsForAnAnswerThatTheServiceMayStillGiveButNotForever) {
  const Settings pushed = settings(false);
  EndpointListFreshness freshness(pushed);
  freshness.record_list();
  freshness.record_watch_lost(0);
  freshness.record_answer_due(3600 * kMs);
  EXPECT_EQ(freshness.next_change_at(), 3600 * kMs);
  freshness.record_answer_due(kSecond);
  EXPECT_EQ(freshness.next_change_at(), EndpointListFreshness::kMaxAwaitTime);
  freshness.record_answer_due(60 * kSecond);
  EXPECT_EQ(freshness.next_change_at(), EndpointListFreshness::kMaxAwaitTimeForAnswer);
  freshness.advance(EndpointListFreshness::kMaxAwaitTimeForAnswer);
  EXPECT_EQ(freshness.state(), ListFreshness::unconfirmed);
  freshness.record_call_pending(6 * kSecond);
  EXPECT_EQ(freshness.state(), ListFreshness::unconfirmed) << "the wait is used up";
}

TEST(EndpointListFreshness, PolledListIsReliedOnUntilTheNodeCountsAsNotified) {
  const Settings polled = settings(true);
  EndpointListFreshness freshness(polled);
  freshness.record_start(0);
  freshness.record_watch_lost(kSecond);
  freshness.record_call_failure(2 * kSecond, 2 * kSecond, ListCallFailure::unanswered);
  EXPECT_EQ(freshness.next_change_at(), kNever) << "the service may be down";
  freshness.record_call_failure(2 * kSecond, 2 * kSecond, ListCallFailure::rejected);
  freshness.record_call_failure(3 * kSecond, 3 * kSecond, ListCallFailure::unanswered);
  EXPECT_EQ(freshness.next_change_at(), kNever) << "it may have gone down since";
  freshness.record_call_failure(3 * kSecond, 3 * kSecond, ListCallFailure::rejected);
  EXPECT_EQ(freshness.next_change_at(), 9 * kSecond) << "6 s after the service could be reached";
  freshness.record_notification(4 * kSecond);  // a new address of the service
  freshness.advance(4 * kSecond - 1);
  EXPECT_EQ(freshness.state(), ListFreshness::current);
  freshness.advance(4 * kSecond);
  EXPECT_EQ(freshness.state(), ListFreshness::awaiting);
}

// Guards against endpoints that have started while the node was away and are taken for warm.
TEST(EndpointListFreshness, WhileStartTimesAreUnreliableEveryEndpointGetsWhatOneInSlowStartBears) {
  LoadBalancerHarness harness;
  harness.start(4);
  harness.load_balancer->handle_events(
      harness.now, {EndpointListFreshnessChanged{ListFreshness::unconfirmed, harness.now}});
  int admitted = 0;
  for (int i = 0; i < 50; ++i) {
    admitted += harness.send_request("a" + std::to_string(i), i).empty() ? 0 : 1;
  }
  EXPECT_GE(admitted, 4);
  EXPECT_LE(admitted, 8) << "one or two for each endpoint";
  harness.load_balancer->handle_events(harness.now,
                                       {EndpointListFreshnessChanged{ListFreshness::current, std::nullopt}});
  EXPECT_FALSE(harness.send_request("b").empty());
}

// Guards against an endpoint that drained while the node was away and is offered one request after the other.
TEST(EndpointListFreshness, EndpointThatRejectsARequestGetsNoOtherUntilTheListIsConfirmed) {
  LoadBalancerHarness harness;
  harness.start(1);
  harness.load_balancer->handle_events(
      harness.now, {EndpointListFreshnessChanged{ListFreshness::unconfirmed, harness.now}});
  EXPECT_EQ(harness.send_request("a"), "h0");
  harness.end_attempt("a", Outcome::rejected);
  harness.advance_time(60000);
  EXPECT_EQ(harness.send_request("b"), "");
  harness.load_balancer->handle_events(harness.now,
                                       {EndpointListFreshnessChanged{ListFreshness::current, std::nullopt}});
  EXPECT_EQ(harness.send_request("c"), "h0");
}
