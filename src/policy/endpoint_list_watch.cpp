#include "policy/endpoint_list_watch.h"

#include <algorithm>
#include <utility>

#include "policy/backoff.h"

namespace dapplewharf {
namespace {

constexpr Duration kSilentAfter = 3 * kSecond;
constexpr double kLatestAsk = 0.7;  // of the time after which this node counts as notified

// Where little time is allowed for asking, the longest wait would take all of it: it is bounded by that time.
Backoff backoff_of(const Settings& settings) {
  const double longest =
      settings.notified_within > 0 ? kLatestAsk * static_cast<double>(settings.notified_within) : kNever;
  return {settings.node_count, static_cast<Duration>(longest)};
}

}  // namespace

bool EndpointListWatch::received() {
  return !std::exchange(has_list_, true);
}

void EndpointListWatch::started_from_cache(TimePoint now, double chance) {
  ask_at_ = now + backoff_of(settings_).first(chance);
}

void EndpointListWatch::answered() {
  losses_ = 0;
  lost_at_ = 0;
}

void EndpointListWatch::failed(TimePoint now, double chance) {
  ++losses_;
  watching_ = false;
  if (lost_at_ == 0) {
    lost_at_ = now;
  }
  ask_at_ = now + backoff_of(settings_).again(losses_, chance);
}

bool EndpointListWatch::may_ask() const {
  return has_list_ && !watching_ && settings_.polls_endpoints;
}

bool EndpointListWatch::ask(TimePoint now) {
  if (!may_ask() || now < ask_at_) {
    return false;
  }
  watching_ = true;
  return true;
}

TimePoint EndpointListWatch::next_ask() const {
  return may_ask() ? ask_at_ : kNever;
}

TimePoint EndpointListWatch::silent_from() const {
  if (lost_at_ <= 0) {
    return kNever;
  }
  const double turn = std::min(kLatestAsk * static_cast<double>(settings_.notified_within),
                               static_cast<double>(Backoff::kShared) * settings_.node_count);
  return lost_at_ + kSilentAfter + static_cast<Duration>(turn) + 1;
}

}  // namespace dapplewharf
