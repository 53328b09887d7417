#include "policy/endpoint_list_watch.h"

#include <algorithm>
#include <utility>

#include "policy/backoff.h"

namespace dapplewharf {
namespace {

// From the first failed call until the service counts as silent. The time over which the nodes spread their
// calls (Backoff::kStartSpacing for each node) is added to it.
constexpr Duration kSilentAfter = 3 * kSecond;
constexpr double kMaxWaitShare = 0.7;  // of Settings::notification_limit

// Backoff::kMaxWait could exceed a short notification limit. The longest wait is therefore limited to a share
// of the notification limit.
Backoff backoff_for(const Settings& settings) {
  const double max_wait = settings.notification_limit > 0
                              ? kMaxWaitShare * static_cast<double>(settings.notification_limit)
                              : kNever;
  return {settings.node_count, static_cast<Duration>(max_wait)};
}

}  // namespace

bool EndpointListWatch::record_list() {
  return !std::exchange(has_list_, true);
}

void EndpointListWatch::schedule_first_call(TimePoint now, double random_fraction) {
  next_call_at_ = now + backoff_for(settings_).initial_wait(random_fraction);
}

void EndpointListWatch::record_answer() {
  failures_ = 0;
  first_failure_at_ = 0;
}

void EndpointListWatch::record_failure(TimePoint now, double random_fraction) {
  ++failures_;
  is_watching_ = false;
  if (first_failure_at_ == 0) {
    first_failure_at_ = now;
  }
  next_call_at_ = now + backoff_for(settings_).retry_wait(failures_, random_fraction);
}

bool EndpointListWatch::needs_call() const {
  return has_list_ && !is_watching_ && settings_.polls_endpoint_list;
}

bool EndpointListWatch::start_call_if_due(TimePoint now) {
  if (!needs_call() || now < next_call_at_) {
    return false;
  }
  is_watching_ = true;
  return true;
}

TimePoint EndpointListWatch::next_call_at() const {
  return needs_call() ? next_call_at_ : kNever;
}

TimePoint EndpointListWatch::silent_from() const {
  if (first_failure_at_ <= 0) {
    return kNever;
  }
  const double spacing = std::min(kMaxWaitShare * static_cast<double>(settings_.notification_limit),
                                  static_cast<double>(Backoff::kStartSpacing) * settings_.node_count);
  return first_failure_at_ + kSilentAfter + static_cast<Duration>(spacing) + 1;
}

}  // namespace dapplewharf
