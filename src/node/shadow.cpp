// Events as the second load balancer is to hear them, and the comparison of its decisions with the real ones.
// Design: docs/design.md.
#include "node/shadow.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <stdexcept>
#include <utility>
#include <variant>

#include "base/overloaded.h"

namespace dapplewharf {
namespace {

// The request that an event or action is about; empty where it is about none.
template <class Words>
std::string request_id_of(const Words& words) {
  return std::visit(
      [](const auto& one) -> std::string {
        if constexpr (requires { one.request_id; }) {
          return one.request_id;
        } else if constexpr (requires { one.request.id; }) {
          return one.request.id;
        } else {
          return "";
        }
      },
      words);
}

}  // namespace

std::string ShadowCounts::format() const {
  return fmt::format(
      "shadow same={} other-host={} would-turn-away={} would-try={} would-wait={} would-move={} "
      "would-leave={} | probes would={} real={}",
      same, other_endpoint, would_reject, would_attempt, would_wait, would_migrate, would_stay, health_checks,
      real_health_checks);
}

Shadow::Shadow(Settings settings, std::uint64_t seed, TimePoint now)
    : load_balancer_(std::make_unique<LoadBalancer>(std::move(settings), seed, now)) {}

void Shadow::update_settings(Settings settings) {
  if (load_balancer_) {
    load_balancer_->update_settings(std::move(settings));
  }
}

void Shadow::follow(TimePoint now, const std::vector<PolicyEvent>& events,
                    const std::vector<PolicyAction>& real) {
  if (!load_balancer_) {
    return;
  }
  try {
    follow_batch(now, events, real);
  } catch (const std::exception& error) {
    // A fault of what is only compared must not reach the decisions that count.
    error_ = error.what();
    load_balancer_.reset();
    followed_.clear();
  }
}

void Shadow::follow_batch(TimePoint now, const std::vector<PolicyEvent>& events,
                          const std::vector<PolicyAction>& real) {
  std::vector<PolicyEvent> heard;
  if (timer_ && now >= *timer_) {
    timer_.reset();
    heard.push_back(TimerFired{});
  }
  for (const PolicyEvent& event : events) {
    if (std::optional<PolicyEvent> translated = translate(event)) {
      heard.push_back(std::move(*translated));
    }
  }
  feed(now, heard);
  std::vector<PolicyEvent> corrections;
  for (const PolicyAction& action : real) {
    compare(action, corrections);
  }
  feed(now, corrections);
  for (const PolicyEvent& event : events) {
    forget_if_over(request_id_of(event));
  }
  for (const PolicyAction& action : real) {
    forget_if_over(request_id_of(action));
  }
}

void Shadow::feed(TimePoint now, const std::vector<PolicyEvent>& events) {
  if (events.empty()) {
    return;
  }
  for (const PolicyAction& would : load_balancer_->handle_events(now, events)) {
    record(now, would);
  }
}

Shadow::Followed* Shadow::find(const std::string& request_id) {
  const auto found = followed_.find(request_id);
  return found == followed_.end() ? nullptr : &found->second;
}

bool Shadow::knows(const std::string& request_id) {
  const Followed* followed = find(request_id);
  return followed && followed->is_known;
}

void Shadow::open(const RequestAttributes& request, bool adopted, bool is_pending) {
  Followed& followed = followed_[request.id];
  followed.request = request;
  followed.is_pending = is_pending;
  followed.attempt_in_progress = adopted;
}

void Shadow::forget_if_over(const std::string& request_id) {
  const Followed* followed = find(request_id);
  if (followed && followed->answered && !followed->attempt_in_progress) {
    followed_.erase(request_id);
  }
}

// ---- events ----

// The event as the second load balancer is to hear it; nothing where it does not hold the request any more.
std::optional<PolicyEvent> Shadow::translate(const PolicyEvent& event) {
  using Translated = std::optional<PolicyEvent>;
  const auto if_known = [&](const std::string& request_id) {
    return knows(request_id) ? Translated(event) : std::nullopt;
  };
  return std::visit(Overloaded{[&](const EndpointsCached&) { return Translated(event); },
                               [&](const EndpointsSnapshot&) { return Translated(event); },
                               [&](const EndpointsUpdate&) { return Translated(event); },
                               [&](const EndpointWatchFailed&) { return Translated(event); },
                               [&](const ShutdownStarted&) { return Translated(event); },
                               [&](const HealthCheckEnded&) { return Translated(event); },
                               [&](const GossipReceived&) { return Translated(event); },
                               [&](const TimerFired&) { return Translated(); },  // it has timers of its own
                               [&](const RequestReceived& one) {
                                 open(one.request, false, false);
                                 return Translated(event);
                               },
                               [&](const ConnectionAdopted& one) {
                                 open(one.request, true, one.is_pending);
                                 return Translated(event);
                               },
                               [&](const AttemptEstablished& one) { return translate_established(one); },
                               [&](const AttemptEnded& one) { return translate_ended(one); },
                               [&](const LatencyReported& one) { return translate_latency(one); },
                               [&](const LoadReported& one) { return if_known(one.request_id); },
                               [&](const RequestStalled& one) { return if_known(one.request_id); },
                               [&](const ClientDisconnected& one) {
                                 if (Followed* followed = find(one.request_id)) {
                                   followed->answered = true;
                                 }
                                 return if_known(one.request_id);
                               }},
                    event);
}

std::optional<PolicyEvent> Shadow::translate_established(const AttemptEstablished& event) {
  Followed* followed = find(event.request_id);
  if (!followed) {
    return std::nullopt;
  }
  if (followed->is_known) {
    return event;
  }
  // It is held again, as a connection that was there.
  followed->is_known = true;
  return ConnectionAdopted{
      .request = followed->request, .endpoint = event.endpoint, .is_pending = followed->is_pending};
}

std::optional<PolicyEvent> Shadow::translate_ended(const AttemptEnded& event) {
  Followed* followed = find(event.request_id);
  if (!followed) {
    return std::nullopt;
  }
  followed->attempt_in_progress = false;
  followed->answered = followed->answered || event.is_final;
  return followed->is_known ? std::optional<PolicyEvent>(event) : std::nullopt;
}

std::optional<PolicyEvent> Shadow::translate_latency(const LatencyReported& event) {
  if (event.request_id.empty() || knows(event.request_id)) {
    return event;
  }
  if (!find(event.request_id)) {
    return std::nullopt;
  }
  LatencyReported anonymous = event;  // the latency is the endpoint's, whatever connection showed it
  anonymous.request_id.clear();
  return anonymous;
}

// ---- what the second load balancer would do ----

// Nothing of it is carried out; its timers are the only thing that comes back to it.
void Shadow::record(TimePoint now, const PolicyAction& would) {
  std::visit(Overloaded{[&](const StartAttempt& one) {
                          record_decision(one.request_id, {.endpoint = one.endpoint});
                        },
                        [&](const RejectRequest& one) { record_decision(one.request_id, {}); },
                        [&](const FailRequest& one) { record_decision(one.request_id, {}); },
                        [&](const MigrateConnection& one) { record_migration(one.request_id); },
                        [&](const CheckHealth&) { ++counts_.health_checks; },
                        [&](const SetTimer& one) {
                          const TimePoint expires = now + one.delay;
                          timer_ = std::min(timer_.value_or(expires), expires);
                        },
                        [](const CancelAttempt&) {}, [](const WatchEndpoints&) {},
                        [](const FetchEndpoints&) {}, [](const LogMessage&) {}},
             would);
}

void Shadow::record_decision(const std::string& request_id, Decision would) {
  if (Followed* followed = find(request_id)) {
    followed->pending_decision = std::move(would);
  }
}

void Shadow::record_migration(const std::string& request_id) {
  Followed* followed = find(request_id);
  if (followed && !std::exchange(followed->would_migrate, true)) {
    ++counts_.would_migrate;
  }
}

// ---- the comparison ----

void Shadow::compare(const PolicyAction& real, std::vector<PolicyEvent>& corrections) {
  std::visit(Overloaded{[&](const StartAttempt& one) {
                          compare_decision(one.request_id, {.endpoint = one.endpoint}, corrections);
                        },
                        [&](const RejectRequest& one) { compare_decision(one.request_id, {}, corrections); },
                        [&](const FailRequest& one) { compare_decision(one.request_id, {}, corrections); },
                        [&](const MigrateConnection& one) { compare_migration(one.request_id); },
                        [&](const CheckHealth&) { ++counts_.real_health_checks; },
                        [](const CancelAttempt&) {}, [](const SetTimer&) {}, [](const WatchEndpoints&) {},
                        [](const FetchEndpoints&) {}, [](const LogMessage&) {}},
             real);
}

void Shadow::compare_migration(const std::string& request_id) {
  Followed* followed = find(request_id);
  if (!followed) {
    return;
  }
  followed->answered = true;  // the end of its attempt comes as an event
  if (followed->would_migrate) {
    --counts_.would_migrate;
    ++counts_.same;
  } else {
    ++counts_.would_stay;
  }
}

void Shadow::compare_decision(const std::string& request_id, const Decision& real,
                              std::vector<PolicyEvent>& corrections) {
  Followed* followed = find(request_id);
  if (!followed) {
    return;
  }
  if (real.endpoint) {
    followed->attempt_in_progress = true;
    ++followed->attempts;
  } else {
    followed->answered = true;
  }
  if (!followed->is_known) {
    return;  // after a difference its attempts are not compared
  }
  const std::optional<Decision> would = std::exchange(followed->pending_decision, std::nullopt);
  if (would == real) {
    ++counts_.same;
    return;
  }
  count_difference(would, real);
  // The second load balancer is told that the client left and that its own attempt was cancelled.
  followed->is_known = false;
  corrections.push_back(ClientDisconnected{.request_id = request_id});
  if (!would || !would->endpoint) {
    return;
  }
  corrections.push_back(AttemptEnded{.request_id = request_id,
                                     .endpoint = *would->endpoint,
                                     .attempt = real.endpoint ? followed->attempts - 1 : followed->attempts,
                                     .outcome = Outcome::cancelled,
                                     .duration = 0,
                                     .is_final = true});
}

void Shadow::count_difference(const std::optional<Decision>& would, const Decision& real) {
  if (!would) {
    ++counts_.would_wait;
  } else if (!would->endpoint) {
    ++counts_.would_reject;
  } else if (real.endpoint) {
    ++counts_.other_endpoint;
  } else {
    ++counts_.would_attempt;
  }
}

}  // namespace dapplewharf
