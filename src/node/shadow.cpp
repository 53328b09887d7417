// Translation of events for the second load balancer, and comparison of its decisions with the real ones.
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

// Returns the id of the request that an event or action refers to; empty if it refers to none.
template <class Message>
std::string request_id_of(const Message& message) {
  return std::visit(
      [](const auto& typed_message) -> std::string {
        if constexpr (requires { typed_message.request_id; }) {
          return typed_message.request_id;
        } else if constexpr (requires { typed_message.request.id; }) {
          return typed_message.request.id;
        } else {
          return "";
        }
      },
      message);
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

void Shadow::observe(TimePoint now, const std::vector<PolicyEvent>& events,
                     const std::vector<PolicyAction>& real_actions) {
  if (!load_balancer_) {
    return;
  }
  try {
    observe_batch(now, events, real_actions);
  } catch (const std::exception& error) {
    // An exception of the second load balancer must not affect the real decisions.
    error_ = error.what();
    load_balancer_.reset();
    tracked_requests_.clear();
  }
}

void Shadow::observe_batch(TimePoint now, const std::vector<PolicyEvent>& events,
                           const std::vector<PolicyAction>& real_actions) {
  std::vector<PolicyEvent> shadow_events;
  if (timer_ && now >= *timer_) {
    timer_.reset();
    shadow_events.push_back(TimerFired{});
  }
  for (const PolicyEvent& event : events) {
    if (std::optional<PolicyEvent> translated = translate(event)) {
      shadow_events.push_back(std::move(*translated));
    }
  }
  send_to_shadow(now, shadow_events);
  std::vector<PolicyEvent> corrections;
  for (const PolicyAction& action : real_actions) {
    compare(action, corrections);
  }
  send_to_shadow(now, corrections);
  for (const PolicyEvent& event : events) {
    erase_if_ended(request_id_of(event));
  }
  for (const PolicyAction& action : real_actions) {
    erase_if_ended(request_id_of(action));
  }
}

void Shadow::send_to_shadow(TimePoint now, const std::vector<PolicyEvent>& events) {
  if (events.empty()) {
    return;
  }
  for (const PolicyAction& shadow_action : load_balancer_->handle_events(now, events)) {
    record(now, shadow_action);
  }
}

Shadow::TrackedRequest* Shadow::find(const std::string& request_id) {
  const auto found = tracked_requests_.find(request_id);
  return found == tracked_requests_.end() ? nullptr : &found->second;
}

bool Shadow::knows(const std::string& request_id) {
  const TrackedRequest* tracked = find(request_id);
  return tracked && tracked->is_known;
}

void Shadow::open(const RequestAttributes& request, bool adopted, bool is_pending) {
  TrackedRequest& tracked = tracked_requests_[request.id];
  tracked.request = request;
  tracked.is_pending = is_pending;
  tracked.has_attempt_in_progress = adopted;
}

void Shadow::erase_if_ended(const std::string& request_id) {
  const TrackedRequest* tracked = find(request_id);
  if (tracked && tracked->is_answered && !tracked->has_attempt_in_progress) {
    tracked_requests_.erase(request_id);
  }
}

// ---- events ----

// Translates an event for the second load balancer. Returns nothing if it no longer has the request, and for
// timers of the real load balancer: the second one's own timers are kept in `timer_`.
std::optional<PolicyEvent> Shadow::translate(const PolicyEvent& event) {
  using Translated = std::optional<PolicyEvent>;
  const auto if_known = [&](const std::string& request_id) {
    return knows(request_id) ? Translated(event) : std::nullopt;
  };
  return std::visit(
      Overloaded{[&](const EndpointsCached&) { return Translated(event); },
                 [&](const EndpointsSnapshot&) { return Translated(event); },
                 [&](const EndpointsUpdate&) { return Translated(event); },
                 [&](const EndpointWatchFailed&) { return Translated(event); },
                 [&](const EndpointListFreshnessChanged&) { return Translated(event); },
                 [&](const ShutdownStarted&) { return Translated(event); },
                 [&](const HealthCheckEnded&) { return Translated(event); },
                 [&](const GossipReceived&) { return Translated(event); },
                 [&](const TimerFired&) { return Translated(); },
                 [&](const RequestReceived& typed_event) {
                   open(typed_event.request, false, false);
                   return Translated(event);
                 },
                 [&](const ConnectionAdopted& typed_event) {
                   open(typed_event.request, true, typed_event.is_pending);
                   return Translated(event);
                 },
                 [&](const AttemptEstablished& typed_event) { return translate_established(typed_event); },
                 [&](const AttemptEnded& typed_event) { return translate_ended(typed_event); },
                 [&](const LatencyReported& typed_event) { return translate_latency(typed_event); },
                 [&](const LoadReported& typed_event) { return if_known(typed_event.request_id); },
                 [&](const RequestStalled& typed_event) { return if_known(typed_event.request_id); },
                 [&](const ClientDisconnected& typed_event) {
                   if (TrackedRequest* tracked = find(typed_event.request_id)) {
                     tracked->is_answered = true;
                   }
                   return if_known(typed_event.request_id);
                 }},
      event);
}

std::optional<PolicyEvent> Shadow::translate_established(const AttemptEstablished& event) {
  TrackedRequest* tracked = find(event.request_id);
  if (!tracked) {
    return std::nullopt;
  }
  if (tracked->is_known) {
    return event;
  }
  // The second load balancer gets the request back, as an adopted connection.
  tracked->is_known = true;
  return ConnectionAdopted{
      .request = tracked->request, .endpoint = event.endpoint, .is_pending = tracked->is_pending};
}

std::optional<PolicyEvent> Shadow::translate_ended(const AttemptEnded& event) {
  TrackedRequest* tracked = find(event.request_id);
  if (!tracked) {
    return std::nullopt;
  }
  tracked->has_attempt_in_progress = false;
  tracked->is_answered = tracked->is_answered || event.is_final;
  return tracked->is_known ? std::optional<PolicyEvent>(event) : std::nullopt;
}

std::optional<PolicyEvent> Shadow::translate_latency(const LatencyReported& event) {
  if (event.request_id.empty() || knows(event.request_id)) {
    return event;
  }
  if (!find(event.request_id)) {
    return std::nullopt;
  }
  LatencyReported anonymous = event;  // the latency of the endpoint does not depend on the connection
  anonymous.request_id.clear();
  return anonymous;
}

// ---- actions of the second load balancer ----

// Records an action without executing it. Only timers take effect: their expiry is passed to the second load
// balancer.
void Shadow::record(TimePoint now, const PolicyAction& shadow_action) {
  std::visit(Overloaded{[&](const StartAttempt& action) {
                          record_decision(action.request_id, {.endpoint = action.endpoint});
                        },
                        [&](const RejectRequest& action) { record_decision(action.request_id, {}); },
                        [&](const FailRequest& action) { record_decision(action.request_id, {}); },
                        [&](const MigrateConnection& action) { record_migration(action.request_id); },
                        [&](const CheckHealth&) { ++counts_.health_checks; },
                        [&](const SetTimer& action) {
                          const TimePoint expires = now + action.delay;
                          timer_ = std::min(timer_.value_or(expires), expires);
                        },
                        [](const CancelAttempt&) {}, [](const WatchEndpoints&) {},
                        [](const FetchEndpoints&) {}, [](const LogMessage&) {}},
             shadow_action);
}

void Shadow::record_decision(const std::string& request_id, Decision shadow_decision) {
  if (TrackedRequest* tracked = find(request_id)) {
    tracked->pending_decision = std::move(shadow_decision);
  }
}

void Shadow::record_migration(const std::string& request_id) {
  TrackedRequest* tracked = find(request_id);
  if (tracked && !std::exchange(tracked->would_migrate, true)) {
    ++counts_.would_migrate;
  }
}

// ---- comparison ----

void Shadow::compare(const PolicyAction& real_action, std::vector<PolicyEvent>& corrections) {
  std::visit(
      Overloaded{[&](const StartAttempt& action) {
                   compare_decision(action.request_id, {.endpoint = action.endpoint}, corrections);
                 },
                 [&](const RejectRequest& action) { compare_decision(action.request_id, {}, corrections); },
                 [&](const FailRequest& action) { compare_decision(action.request_id, {}, corrections); },
                 [&](const MigrateConnection& action) { compare_migration(action.request_id); },
                 [&](const CheckHealth&) { ++counts_.real_health_checks; }, [](const CancelAttempt&) {},
                 [](const SetTimer&) {}, [](const WatchEndpoints&) {}, [](const FetchEndpoints&) {},
                 [](const LogMessage&) {}},
      real_action);
}

void Shadow::compare_migration(const std::string& request_id) {
  TrackedRequest* tracked = find(request_id);
  if (!tracked) {
    return;
  }
  tracked->is_answered = true;  // the end of its attempt is reported by an event
  if (tracked->would_migrate) {
    --counts_.would_migrate;
    ++counts_.same;
  } else {
    ++counts_.would_stay;
  }
}

void Shadow::compare_decision(const std::string& request_id, const Decision& real_decision,
                              std::vector<PolicyEvent>& corrections) {
  TrackedRequest* tracked = find(request_id);
  if (!tracked) {
    return;
  }
  if (real_decision.endpoint) {
    tracked->has_attempt_in_progress = true;
    ++tracked->attempts;
  } else {
    tracked->is_answered = true;
  }
  if (!tracked->is_known) {
    return;  // after a different decision its attempts are not compared
  }
  const std::optional<Decision> shadow_decision = std::exchange(tracked->pending_decision, std::nullopt);
  if (shadow_decision == real_decision) {
    ++counts_.same;
    return;
  }
  count_difference(shadow_decision, real_decision);
  // To the second load balancer it looks as if the client had left and its attempt had been cancelled.
  tracked->is_known = false;
  corrections.push_back(ClientDisconnected{.request_id = request_id});
  if (!shadow_decision || !shadow_decision->endpoint) {
    return;
  }
  corrections.push_back(
      AttemptEnded{.request_id = request_id,
                   .endpoint = *shadow_decision->endpoint,
                   .attempt = real_decision.endpoint ? tracked->attempts - 1 : tracked->attempts,
                   .outcome = Outcome::cancelled,
                   .duration = 0,
                   .is_final = true});
}

void Shadow::count_difference(const std::optional<Decision>& shadow_decision, const Decision& real_decision) {
  if (!shadow_decision) {
    ++counts_.would_wait;
  } else if (!shadow_decision->endpoint) {
    ++counts_.would_reject;
  } else if (real_decision.endpoint) {
    ++counts_.other_endpoint;
  } else {
    ++counts_.would_attempt;
  }
}

}  // namespace dapplewharf
