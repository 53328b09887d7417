// Applies the configuration to the node's components, passes events to the load balancer and dispatches its
// actions. Design: docs/design.md.
#include "node/node.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <variant>

#include "config/platform_settings.h"
#include "policy/backoff.h"

namespace dapplewharf {
namespace {

constexpr Duration kPeriodicInterval = 100 * kMs;
constexpr Duration kStalledReportInterval = kSecond;  // between reports of the same unanswered line
constexpr double kMinConnectionsChange = 0.5;         // connections; smaller changes are not reported
constexpr double kUnknownConnections = -1;  // stands for an unknown number of connections in comparisons
// Bytes of the memory limit per byte of the largest accepted endpoint list: a parsed list takes up to 20
// times its size.
constexpr double kMemoryPerListByte = 32;
constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;

}  // namespace

Node::Node(EventLoop& loop, Configuration configuration)
    : loop_(loop),
      configuration_(std::move(configuration)),
      settings_(parse_node_settings(configuration_.settings)),
      random_(hash(configuration_.seed)),
      load_balancer_(settings_.policy, configuration_.seed, loop.now()),
      requests_({.loop = loop,
                 .counters = counters_,
                 .limits = limits_,
                 .settings = settings_,
                 .endpoints = endpoints_,
                 .shutdown = shutdown_,
                 .events = events_,
                 .random = random_}),
      discovery_(loop, counters_, configuration_.discovery, limits_, settings_.policy, configuration_.seed,
                 {.on_list = [this](const EndpointSnapshot& list) { on_list_received(list); },
                  .on_watch_lost = [this] { on_watch_lost(); },
                  .on_freshness_changed =
                      [this](const EndpointListFreshness& freshness) { on_freshness_changed(freshness); }}),
      health_checker_(loop, counters_, limits_,
                      [this](const std::string& endpoint, const HealthCheckResult& health_check) {
                        on_health_check_ended(endpoint, health_check);
                      }),
      gossip_(loop, counters_, configuration_.gossip, configuration_.seed) {
  if (configuration_.shadow_settings) {
    shadow_ = std::make_unique<Shadow>(parse_platform_settings(*configuration_.shadow_settings),
                                       configuration_.seed, loop.now());
  }
  apply_settings();
}

void Node::apply_settings() {
  endpoints_.set_only_draining_binds(settings_.policy.may_use_removed_endpoints);
  limits_.connect_timeout = settings_.policy.connect_timeout;
  limits_.descriptors = configuration_.descriptors;
  limits_.max_list_bytes =
      static_cast<std::size_t>(configuration_.memory_mb * kBytesPerMegabyte / kMemoryPerListByte);
}

std::optional<std::string> Node::start() {
  const EndpointSnapshot cached_list = cached_endpoint_list();
  apply_endpoint_list(cached_list);
  events_.add(EndpointsCached{.endpoints = cached_list.entries});
  discovery_.start();
  // The node is ready for clients when it has an endpoint list to decide by. A discovery that turns all calls
  // away does not delay that without end: new work waits longer than the node's readiness.
  requests_.set_answers_pings(discovery_.freshness().state() != ListFreshness::awaiting);
  loop_.schedule(ready_deadline_, loop_.now() + EndpointListFreshness::kMaxAwaitTimeForAnswer,
                 [this] { requests_.set_answers_pings(true); });
  process_events();
  schedule_watch();
  run_periodic_tasks();
  const auto address = parse_address(configuration_.listen);
  return address ? requests_.listen(*address) : std::string("not an address of the form a.b.c.d:port");
}

// Returns the endpoint list cached in the configuration, or an empty list if there is none. Without a cached
// list the first call to discovery requests the complete list, because changes since an unknown version may
// omit endpoints.
EndpointSnapshot Node::cached_endpoint_list() {
  if (configuration_.cached_endpoint_list.is_null()) {
    return {};
  }
  try {
    EndpointSnapshot cached_list = parse_endpoint_list(
        configuration_.cached_endpoint_list, discovery_.start_times(), loop_.now(), EventLoop::unix_now());
    discovery_.set_cached_version(cached_list.version);
    return cached_list;
  } catch (const std::exception& error) {
    spdlog::warn("known_list_unusable error=\"{}\"", error.what());
    return {};
  }
}

// ---- discovery and health checks ----

// Once a failed discovery service is available again, every node is deemed notified of its changes, but a
// node keeps sending to draining endpoints until it has called. The delay is therefore limited to half of the
// drain grace period.
void Node::schedule_watch() {
  if (settings_.policy.polls_endpoint_list) {  // the load balancer requests each list itself
    return;
  }
  const Backoff backoff(settings_.policy.node_count, settings_.policy.drain_grace / 2);
  const Duration delay = consecutive_watch_failures_ == 0
                             ? 0
                             : backoff.retry_wait(consecutive_watch_failures_, random_.next_fraction());
  loop_.schedule(watch_deadline_, loop_.now() + delay, [this] { discovery_.watch(); });
}

void Node::apply_endpoint_list(const EndpointSnapshot& list) {
  for (const std::string& endpoint : endpoints_.apply(list, settings_.policy.zone)) {
    // A health check whose connection is established late would also be new work for the endpoint.
    health_checker_.stop_checking(endpoint);
  }
}

void Node::on_list_received(const EndpointSnapshot& list) {
  consecutive_watch_failures_ = 0;
  endpoints_.set_confirmed();
  apply_endpoint_list(list);
  if (list.is_complete) {
    events_.add(EndpointsSnapshot{.endpoints = list.entries});
  } else {
    events_.add(EndpointsUpdate{.endpoints = list.entries});
  }
}

void Node::on_freshness_changed(const EndpointListFreshness& freshness) {
  events_.add(EndpointListFreshnessChanged{.freshness = freshness.state(),
                                           .possible_start_at = freshness.possible_start_at()});
  if (freshness.state() != ListFreshness::awaiting) {
    requests_.set_answers_pings(true);
  }
}

void Node::on_watch_lost() {
  ++consecutive_watch_failures_;
  events_.add(EndpointWatchFailed{});
  schedule_watch();
}

void Node::on_health_check_ended(const std::string& endpoint, const HealthCheckResult& health_check) {
  events_.add(HealthCheckEnded{.endpoint = endpoint,
                               .outcome = outcome_of(health_check.result),
                               .duration = health_check.duration,
                               .reported_values = {}});
  if (health_check.latency > 0 && loop_.lateness() < kMaxSampleLateness) {
    endpoints_.latency(endpoint).record_health_check(loop_.now(), health_check.latency);
  }
}

// ---- periodic samples ----

void Node::run_periodic_tasks() {
  const Duration since_last_run = loop_.now() - last_periodic_run_at_;
  last_periodic_run_at_ = loop_.now();
  loop_.schedule(periodic_deadline_, last_periodic_run_at_ + kPeriodicInterval,
                 [this] { run_periodic_tasks(); });
  if (shadow_) {
    run_shadow({}, {});  // the shadow's timer may have expired
  }
  exchange_gossip();
  if (loop_.lateness() >= kMaxSampleLateness) {
    return;  // after a pause of this process every line appears unanswered
  }
  report_latencies(unanswered_lines(since_last_run));
}

Node::UnansweredByEndpoint Node::unanswered_lines(Duration since_last_run) {
  UnansweredByEndpoint lines;
  requests_.for_each_established(
      [&](const std::string& id, const std::string& endpoint, Duration unanswered) {
        lines[endpoint].request_id = id;
        lines[endpoint].ages.push_back(unanswered);
        const Duration before = std::max<Duration>(unanswered - since_last_run, 0);
        if (unanswered / kStalledReportInterval > before / kStalledReportInterval) {
          events_.add(RequestStalled{.request_id = id, .endpoint = endpoint, .unanswered_for = unanswered});
        }
      });
  return lines;
}

void Node::report_latencies(UnansweredByEndpoint unanswered) {
  const std::map<std::string, Duration> idle_times = endpoints_.idle_health_check_times();
  // Endpoints without connections are included: if reports stopped, a slow endpoint would appear to have
  // recovered.
  for (const std::string& endpoint : endpoints_.with_latency_estimates()) {
    unanswered.try_emplace(endpoint);
  }
  for (const auto& [endpoint, lines] : unanswered) {
    const auto idle = idle_times.find(endpoint);
    const Duration baseline = idle == idle_times.end() ? 0 : idle->second;
    const auto latency = endpoints_.latency(endpoint).report(
        loop_.now(), settings_.policy.min_message_latency_objective, lines.ages, baseline);
    if (latency) {
      events_.add(LatencyReported{
          .request_id = lines.request_id, .endpoint = endpoint, .latency = static_cast<double>(*latency)});
    }
  }
}

void Node::exchange_gossip() {
  if (!gossip_) {
    return;  // without gossip the iteration over all requests is not needed
  }
  gossip_.send_if_due(requests_.load_by_endpoint());
  endpoints_.for_each_addressable([this](const std::string& endpoint, EndpointRecord& record) {
    const std::optional<double> elsewhere = gossip_.connections_elsewhere(endpoint);
    const double change =
        elsewhere.value_or(kUnknownConnections) - record.connections_elsewhere.value_or(kUnknownConnections);
    if (std::abs(change) < kMinConnectionsChange) {
      return;
    }
    record.connections_elsewhere = elsewhere;
    events_.add(GossipReceived{.endpoint = endpoint, .connections_elsewhere = elsewhere});
  });
}

// ---- events and actions ----

void Node::process_events() {
  while (!events_.empty()) {
    const std::vector<PolicyEvent> batch = events_.take();
    const std::vector<PolicyAction> actions = load_balancer_.handle_events(loop_.now(), batch);
    if (shadow_) {
      run_shadow(batch, actions);
    }
    for (const PolicyAction& action : actions) {
      std::visit([this](const auto& typed_action) { execute(typed_action); }, action);
    }
  }
}

void Node::run_shadow(const std::vector<PolicyEvent>& events, const std::vector<PolicyAction>& actions) {
  if (shadow_->stopped()) {
    return;
  }
  shadow_->observe(loop_.now(), events, actions);
  if (shadow_->stopped()) {
    spdlog::warn("shadow_stopped error=\"{}\"", shadow_->error());
  }
}

void Node::execute(const StartAttempt& action) {
  requests_.start_attempt(action.request_id, action.endpoint, action.timeout);
}

void Node::execute(const CancelAttempt& action) {
  requests_.cancel_attempt(action.request_id);
}

void Node::execute(const RejectRequest& action) {
  requests_.reject(action.request_id, action.retry_after);
}

void Node::execute(const FailRequest& action) {
  requests_.fail(action.request_id);
}

void Node::execute(const MigrateConnection& action) {
  requests_.migrate(action.request_id);
}

void Node::execute(const CheckHealth& action) {
  health_checker_.check(action.endpoint, endpoints_.address(action.endpoint));
}

void Node::execute(const SetTimer& action) {
  EventLoop::Deadline deadline;  // not kept: the load balancer never cancels a timer
  loop_.schedule(deadline, loop_.now() + action.delay,
                 [this, timer = action.timer] { events_.add(TimerFired{.timer = timer}); });
}

void Node::execute(const WatchEndpoints&) {
  discovery_.watch();
}

void Node::execute(const FetchEndpoints&) {
  discovery_.fetch();
}

void Node::execute(const LogMessage& action) {
  log_decision(action.text);
}

// ---- shutdown, reload and counters ----

void Node::begin_shutdown() {
  if (!shutdown_.begin(loop_.now(), settings_.policy.longest_deadline())) {
    return;
  }
  events_.add(ShutdownStarted{.answer_deadline = shutdown_.answers_due()});
  requests_.limit_to_shutdown();
  loop_.schedule(close_requests_deadline_, shutdown_.requests_close_at(),
                 [this] { requests_.close_remaining_requests(); });
  spdlog::info("shutdown_started open_connections={}", requests_.connection_count());
}

bool Node::may_exit() {
  switch (shutdown_.phase(loop_.now())) {
    case ShutdownPhase::running:
    case ShutdownPhase::accepting_late_clients:
      return false;
    case ShutdownPhase::finishing:
    case ShutdownPhase::closing:
      // A client in the kernel's accept queue is still served, even if this process has not accepted it yet.
      return requests_.is_idle() && !requests_.accept_pending();
    case ShutdownPhase::overdue:
      return true;
  }
  return true;
}

// Returns why a configuration cannot be applied, or an empty string. If a setting that only a restart can
// change differs, the whole file is rejected: applying the rest would mix the old and the new configuration.
// The name, the seed and the cached endpoint list have no effect after the start.
std::string Node::reload_rejection_reason(const ConfigurationResult& result) const {
  if (!result.configuration) {
    return result.error;
  }
  if (result.configuration->listen != configuration_.listen) {
    return "'listen' can be changed by a restart only: " + result.configuration->listen;
  }
  if (result.configuration->shadow_settings && !shadow_) {
    return "a shadow can be started by a restart only";
  }
  return "";
}

void Node::reload(const ConfigurationResult& result) {
  ++counters_.reloads;
  if (const std::string reason = reload_rejection_reason(result); !reason.empty()) {
    ++counters_.reloads_rejected;
    return spdlog::warn("configuration_rejected reason=\"{}\"", reason);
  }
  configuration_ = *result.configuration;
  configuration_.descriptors = descriptor_limit(configuration_.descriptors);
  const std::string former_zone = settings_.policy.zone;
  settings_ = parse_node_settings(configuration_.settings);
  if (settings_.policy.zone != former_zone) {
    endpoints_.clear_zone_sizes();
  }
  load_balancer_.update_settings(settings_.policy);
  if (!configuration_.shadow_settings) {
    shadow_.reset();
  }
  if (shadow_) {
    shadow_->update_settings(parse_platform_settings(*configuration_.shadow_settings));
  }
  configure_logging(configuration_.log);
  apply_settings();
  discovery_.change_address(configuration_.discovery);
  spdlog::info("configuration_reloaded discovery={}", configuration_.discovery);
}

void Node::log_counters() const {
  spdlog::info("{}", counters_.format());
  spdlog::info("{}", counters_.format_with_former_names());
  if (shadow_) {
    spdlog::info("{}{}", shadow_->counts().format(), shadow_->stopped() ? " | stopped" : "");
  }
}

}  // namespace dapplewharf
