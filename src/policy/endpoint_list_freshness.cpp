#include "policy/endpoint_list_freshness.h"

#include <algorithm>
#include <utility>

#include "policy/backoff.h"
#include "policy/settings.h"

namespace dapplewharf {
namespace {

// So many calls that are turned away show that the service is running.
constexpr int kRejectionsOfRunningService = 2;

}  // namespace

const char* name_of(ListFreshness freshness) {
  switch (freshness) {
    case ListFreshness::current:
      return "current";
    case ListFreshness::awaiting:
      return "awaiting";
    case ListFreshness::unconfirmed:
      break;
  }
  return "unconfirmed";
}

void EndpointListFreshness::record_start(TimePoint now) {
  if (!settings_.polls_endpoint_list) {
    await_list(now);
  }
}

void EndpointListFreshness::record_list() {
  has_received_list_ = true;
  state_ = ListFreshness::current;
  notified_at_.reset();
  forget_rejections();
  awaited_ = 0;
  possible_start_at_.reset();
}

void EndpointListFreshness::record_watch_lost(TimePoint now) {
  if (state_ == ListFreshness::current && !settings_.polls_endpoint_list) {
    await_list(now);
  }
}

void EndpointListFreshness::record_notification(TimePoint at) {
  if (state_ == ListFreshness::current) {
    notified_at_ = std::min(notified_at_.value_or(at), at);
  }
}

void EndpointListFreshness::record_call_failure(TimePoint now, TimePoint called_at, ListCallFailure failure) {
  switch (failure) {
    case ListCallFailure::unavailable:
      return record_unavailable(now);
    case ListCallFailure::rejected:
      return record_rejection(now, called_at);
    case ListCallFailure::rejected_late:
      return record_late_rejection(now);
    case ListCallFailure::unusable:
      return expect_notification(called_at);
    case ListCallFailure::unanswered:
      return forget_rejections();
    case ListCallFailure::inconclusive:
      break;
  }
}

// The service is running, so it may have changes of which this node counts as notified.
void EndpointListFreshness::record_rejection(TimePoint now, TimePoint called_at) {
  if (rejections_++ == 0) {
    rejected_since_ = called_at;
  }
  expect_notification(rejected_since_);
  renew_wait(now);
}

// Where changes are pushed, it cannot be told from a rejection by a running service, so it counts as one.
// Where the list is polled, an outage is told from an overload by calls that are turned away at once: one may
// be a watch that has just begun as the service goes down, two cannot.
void EndpointListFreshness::record_late_rejection(TimePoint now) {
  if (settings_.polls_endpoint_list && rejections_ < kRejectionsOfRunningService) {
    return notified_despite_overload_at_.reset();
  }
  renew_wait(now);
}

void EndpointListFreshness::record_unavailable(TimePoint now) {
  forget_rejections();
  if (state_ != ListFreshness::awaiting) {
    return;
  }
  stop_awaiting(now);
  if (!has_received_list_ && std::exchange(may_know_later_start_, false)) {
    possible_start_at_ = now;  // a service that is down learns of no start
  }
}

void EndpointListFreshness::expect_notification(TimePoint reachable_since) {
  if (state_ == ListFreshness::current) {
    notified_despite_overload_at_ =
        notified_despite_overload_at_.value_or(reachable_since + notification_limit());
  }
}

void EndpointListFreshness::forget_rejections() {
  rejections_ = 0;
  notified_despite_overload_at_.reset();
}

// A wait that has ended begins anew.
void EndpointListFreshness::renew_wait(TimePoint now) {
  if (state_ == ListFreshness::current) {
    return;
  }
  awaited_ = 0;
  may_know_later_start_ = true;
  await_list(now);
}

void EndpointListFreshness::record_call_pending(TimePoint now) {
  if (state_ == ListFreshness::unconfirmed && awaited_ < max_await_time()) {
    await_list(now);
  }
}

void EndpointListFreshness::advance(TimePoint now) {
  if (now < next_change_at()) {
    return;
  }
  if (state_ != ListFreshness::awaiting) {
    return await_list(now);
  }
  stop_awaiting(now);
  if (!has_received_list_) {
    possible_start_at_ = now;
  }
}

TimePoint EndpointListFreshness::next_change_at() const {
  switch (state_) {
    case ListFreshness::current:
      return std::min(notified_at_.value_or(kNever), notified_despite_overload_at_.value_or(kNever));
    case ListFreshness::awaiting:
      return await_ends_at();
    case ListFreshness::unconfirmed:
      break;
  }
  return kNever;
}

void EndpointListFreshness::await_list(TimePoint now) {
  state_ = ListFreshness::awaiting;
  notified_at_.reset();
  notified_despite_overload_at_.reset();
  awaiting_since_ = now;
}

void EndpointListFreshness::stop_awaiting(TimePoint now) {
  state_ = ListFreshness::unconfirmed;
  awaited_ += now - awaiting_since_;
}

Duration EndpointListFreshness::max_await_time() const {
  return has_received_list_ ? kMaxAwaitTime : kMaxAwaitTimeAtStart;
}

TimePoint EndpointListFreshness::await_ends_at() const {
  const TimePoint base = awaiting_since_ - awaited_;
  const TimePoint answer_due = std::min(answer_due_.value_or(0), base + kMaxAwaitTimeForAnswer);
  return std::max(base + max_await_time(), answer_due);
}

Duration EndpointListFreshness::notification_limit() const {
  return settings_.notification_limit > 0
             ? std::min(settings_.notification_limit, Backoff::kNotificationLimit)
             : Backoff::kNotificationLimit;
}

}  // namespace dapplewharf
