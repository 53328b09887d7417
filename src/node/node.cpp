// The joins: configuration to parts, events to the load balancer, actions to the parts. Design:
// docs/design.md.
#include "node/node.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <variant>

#include "config/platform_settings.h"
#include "policy/backoff.h"

namespace dapplewharf {
namespace {

constexpr Duration kSampleInterval = 100 * kMs;
constexpr Duration kUnansweredInterval = kSecond;  // between reports of one line that stays unanswered
constexpr double kGossipStep = 0.5;                // connections: a smaller change is not reported
constexpr double kUnknown = -1;                    // of the connections elsewhere, in an event
// A parsed endpoint list takes up to twenty times its size in memory.
constexpr double kListMemoryShare = 32;
constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;

}  // namespace

Node::Node(EventLoop& loop, Configuration configuration)
    : loop_(loop),
      configuration_(std::move(configuration)),
      settings_(node_settings_of(configuration_.env)),
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
      discovery_(loop, counters_, configuration_.discovery, limits_, configuration_.seed,
                 {.listed = [this](const EndpointSnapshot& list) { on_list_received(list); },
                  .lost = [this] { on_discovery_lost(); }}),
      health_checker_(loop, counters_, limits_,
                      [this](const std::string& host, const HealthCheckResult& health_check) {
                        on_health_check_ended(host, health_check);
                      }),
      gossip_(loop, counters_, configuration_.peers, configuration_.seed) {
  if (configuration_.shadow) {
    shadow_ = std::make_unique<Shadow>(parse_platform_settings(*configuration_.shadow), configuration_.seed,
                                       loop.now());
  }
  apply_settings();
}

void Node::apply_settings() {
  endpoints_.set_only_draining_binds(settings_.policy.may_use_removed_endpoints);
  limits_.connect_time = settings_.policy.connect_timeout;
  limits_.descriptors = configuration_.descriptors;
  limits_.list_bytes =
      static_cast<std::size_t>(configuration_.memory_mb * kBytesPerMegabyte / kListMemoryShare);
}

std::optional<std::string> Node::start() {
  const EndpointSnapshot known = known_list();
  apply_list(known);
  events_.add(EndpointsCached{.endpoints = known.listings});
  settle();
  subscribe();
  sample();
  const auto address = parse_address(configuration_.listen);
  return address ? requests_.listen(*address) : std::string("no address of the form a.b.c.d:port");
}

// The endpoint list that the configuration brings, empty where it brings none. Without one the first call to
// discovery is for the complete list: changes since an unknown version may leave endpoints out.
EndpointSnapshot Node::known_list() {
  if (configuration_.known.is_null()) {
    return {};
  }
  try {
    EndpointSnapshot known =
        list_of(configuration_.known, discovery_.incarnations(), loop_.now(), EventLoop::unix_now());
    discovery_.set_known_version(known.version);
    return known;
  } catch (const std::exception& error) {
    spdlog::warn("known_list_unusable error=\"{}\"", error.what());
    return {};
  }
}

// ---- discovery and health checks ----

// A service that is back counts as having notified every node, and draining endpoints are sent to until a
// node has asked. No wait is therefore longer than half of the drain's grace period.
void Node::subscribe() {
  if (settings_.policy.polls_endpoint_list) {  // the load balancer asks for each list itself
    return;
  }
  const Backoff backoff(settings_.policy.node_count, settings_.policy.drain_grace / 2);
  const Duration delay =
      discovery_losses_ == 0 ? 0 : backoff.retry_wait(discovery_losses_, random_.next_fraction());
  loop_.schedule(next_subscription_, loop_.now() + delay, [this] { discovery_.watch(); });
}

void Node::apply_list(const EndpointSnapshot& list) {
  for (const std::string& host : endpoints_.apply(list, settings_.policy.zone)) {
    health_checker_.forget(host);  // one that connects late would be new work as well
  }
}

void Node::on_list_received(const EndpointSnapshot& list) {
  discovery_losses_ = 0;
  apply_list(list);
  if (list.whole) {
    events_.add(EndpointsSnapshot{.endpoints = list.listings});
  } else {
    events_.add(EndpointsUpdate{.endpoints = list.listings});
  }
}

void Node::on_discovery_lost() {
  ++discovery_losses_;
  events_.add(EndpointWatchFailed{});
  subscribe();
}

void Node::on_health_check_ended(const std::string& host, const HealthCheckResult& health_check) {
  events_.add(HealthCheckEnded{.endpoint = host,
                               .outcome = outcome_of(health_check.result),
                               .duration = health_check.duration,
                               .reported_values = {}});
  if (health_check.latency > 0 && loop_.lateness() < kHeldUp) {
    endpoints_.latency(host).record_health_check(loop_.now(), health_check.latency);
  }
}

// ---- periodic samples ----

void Node::sample() {
  const Duration since_last_sample = loop_.now() - sampled_at_;
  sampled_at_ = loop_.now();
  loop_.schedule(next_sample_, sampled_at_ + kSampleInterval, [this] { sample(); });
  if (shadow_) {
    run_shadow({}, {});  // its timer may be due
  }
  exchange_gossip();
  if (loop_.lateness() >= kHeldUp) {
    return;  // after a pause of this process every line seems unanswered
  }
  report_latencies(unanswered_lines(since_last_sample));
}

Node::UnansweredByHost Node::unanswered_lines(Duration since_last_sample) {
  UnansweredByHost lines;
  requests_.each_established([&](const std::string& id, const std::string& host, Duration unanswered) {
    lines[host].request_id = id;
    lines[host].ages.push_back(unanswered);
    const Duration before = std::max<Duration>(unanswered - since_last_sample, 0);
    if (unanswered / kUnansweredInterval > before / kUnansweredInterval) {
      events_.add(RequestStalled{.request_id = id, .endpoint = host, .unanswered_for = unanswered});
    }
  });
  return lines;
}

void Node::report_latencies(UnansweredByHost unanswered) {
  const std::map<std::string, Duration> idle_times = endpoints_.idle_health_check_times();
  // An endpoint whose last connection has ended is reported on as well: unreported, a slow one would seem
  // recovered.
  for (const std::string& host : endpoints_.measured()) {
    unanswered.try_emplace(host);
  }
  for (const auto& [host, lines] : unanswered) {
    const auto idle = idle_times.find(host);
    const Duration baseline = idle == idle_times.end() ? 0 : idle->second;
    const auto latency = endpoints_.latency(host).report(
        loop_.now(), settings_.policy.min_message_latency_objective, lines.ages, baseline);
    if (latency) {
      events_.add(LatencyReported{
          .request_id = lines.request_id, .endpoint = host, .latency = static_cast<double>(*latency)});
    }
  }
}

void Node::exchange_gossip() {
  if (!gossip_) {
    return;  // counting the load walks over all requests
  }
  gossip_.tell(requests_.load_by_host());
  endpoints_.each_addressable([this](const std::string& host, EndpointRecord& record) {
    const std::optional<double> elsewhere = gossip_.elsewhere(host);
    const double change = elsewhere.value_or(kUnknown) - record.connections_elsewhere.value_or(kUnknown);
    if (std::abs(change) < kGossipStep) {
      return;
    }
    record.connections_elsewhere = elsewhere;
    events_.add(GossipReceived{.endpoint = host, .connections_elsewhere = elsewhere});
  });
}

// ---- events and actions ----

void Node::settle() {
  while (!events_.empty()) {
    const std::vector<PolicyEvent> batch = events_.take();
    const std::vector<PolicyAction> actions = load_balancer_.handle_events(loop_.now(), batch);
    if (shadow_) {
      run_shadow(batch, actions);
    }
    for (const PolicyAction& action : actions) {
      std::visit([this](const auto& one) { carry_out(one); }, action);
    }
  }
}

void Node::run_shadow(const std::vector<PolicyEvent>& events, const std::vector<PolicyAction>& actions) {
  if (shadow_->stopped()) {
    return;
  }
  shadow_->follow(loop_.now(), events, actions);
  if (shadow_->stopped()) {
    spdlog::warn("shadow_stopped error=\"{}\"", shadow_->error());
  }
}

void Node::carry_out(const StartAttempt& action) {
  requests_.start_attempt(action.request_id, action.endpoint, action.timeout);
}

void Node::carry_out(const CancelAttempt& action) {
  requests_.cancel_attempt(action.request_id);
}

void Node::carry_out(const RejectRequest& action) {
  requests_.reject(action.request_id, action.retry_after);
}

void Node::carry_out(const FailRequest& action) {
  requests_.fail(action.request_id);
}

void Node::carry_out(const MigrateConnection& action) {
  requests_.migrate(action.request_id);
}

void Node::carry_out(const CheckHealth& action) {
  health_checker_.check(action.endpoint, endpoints_.address(action.endpoint));
}

void Node::carry_out(const SetTimer& action) {
  EventLoop::Deadline deadline;  // the load balancer never cancels a timer
  loop_.schedule(deadline, loop_.now() + action.delay,
                 [this, timer = action.timer] { events_.add(TimerFired{.timer = timer}); });
}

void Node::carry_out(const WatchEndpoints&) {
  discovery_.watch();
}

void Node::carry_out(const FetchEndpoints&) {
  discovery_.fetch();
}

void Node::carry_out(const LogMessage& action) {
  log_decision(action.text);
}

// ---- shutdown, reload and report ----

void Node::stop() {
  if (!shutdown_.begin(loop_.now(), settings_.policy.longest_deadline())) {
    return;
  }
  events_.add(ShutdownStarted{.answer_deadline = shutdown_.answers_due()});
  requests_.shorten_to_shutdown();
  loop_.schedule(close_requests_, shutdown_.requests_close_at(), [this] { requests_.close_all(); });
  spdlog::info("shutdown_started open_connections={}", requests_.open_connections());
}

bool Node::done() {
  switch (shutdown_.phase(loop_.now())) {
    case ShutdownPhase::running:
    case ShutdownPhase::accepting_late_clients:
      return false;
    case ShutdownPhase::finishing:
    case ShutdownPhase::closing:
      // A client that the kernel has accepted is served, whether or not this process has seen it.
      return requests_.idle() && !requests_.accept_pending();
    case ShutdownPhase::overdue:
      return true;
  }
  return true;
}

// What only a restart can change refuses the whole file: half of a new configuration is neither the old nor
// the new one. The name, the seed and the known list have no effect after the start.
std::string Node::reload_fault(const Read& read) const {
  if (!read.taken) {
    return read.fault;
  }
  if (read.taken->listen != configuration_.listen) {
    return "'listen' can be changed by a restart only: " + read.taken->listen;
  }
  if (read.taken->shadow && !shadow_) {
    return "settings to watch can be named by a restart only";
  }
  return "";
}

void Node::reload(const Read& read) {
  ++counters_.reloads;
  if (const std::string fault = reload_fault(read); !fault.empty()) {
    ++counters_.reloads_rejected;
    return spdlog::warn("configuration_rejected reason=\"{}\"", fault);
  }
  configuration_ = *read.taken;
  configuration_.descriptors = descriptor_limit(configuration_.descriptors);
  const std::string former_zone = settings_.policy.zone;
  settings_ = node_settings_of(configuration_.env);
  if (settings_.policy.zone != former_zone) {
    endpoints_.leave_zone();
  }
  load_balancer_.update_settings(settings_.policy);
  if (!configuration_.shadow) {
    shadow_.reset();
  }
  if (shadow_) {
    shadow_->update_settings(parse_platform_settings(*configuration_.shadow));
  }
  configure_logging(configuration_.log);
  apply_settings();
  discovery_.move_to(configuration_.discovery);
  spdlog::info("configuration_reloaded discovery={}", configuration_.discovery);
}

void Node::report() const {
  spdlog::info("{}", counters_.format());
  spdlog::info("{}", counters_.format_with_former_names());
  if (shadow_) {
    spdlog::info("{}{}", shadow_->counts().format(), shadow_->stopped() ? " | let go" : "");
  }
}

}  // namespace dapplewharf
