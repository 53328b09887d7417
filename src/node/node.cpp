// The joins: configuration to parts, events to the load balancer, actions to the parts. Design:
// docs/design.md.
#include "node/node.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "config/platform_settings.h"
#include "policy/backoff.h"

namespace dapplewharf {
namespace {

constexpr Tenths kSampleInterval = 100 * kMs;
constexpr Tenths kUnansweredInterval = kSecond;  // between reports of one line that stays unanswered
constexpr double kGossipStep = 0.5;              // connections: a smaller change is not reported
constexpr double kUnknown = -1;                  // of the connections elsewhere, in an event
// A parsed endpoint list takes up to twenty times its size in memory.
constexpr double kListMemoryShare = 32;
constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;

}  // namespace

Node::Node(EventLoop& loop, Configuration configuration)
    : loop_(loop),
      configuration_(std::move(configuration)),
      balancer_settings_(settings_of(configuration_.env)),
      random_(hash(configuration_.seed)),
      load_balancer_(balancer_settings_, configuration_.seed, loop.now()),
      requests_({.loop = loop,
                 .counters = counters_,
                 .limits = limits_,
                 .settings = settings_,
                 .endpoints = endpoints_,
                 .shutdown = shutdown_,
                 .events = events_,
                 .random = random_}),
      discovery_(loop, counters_, configuration_.discovery, limits_, configuration_.seed,
                 {.listed =
                      [this](const EndpointSnapshot& list) {
                        discovery_losses_ = 0;
                        on_endpoint_list(list, list.whole ? EventKind::list_whole : EventKind::list_changes);
                      },
                  .lost = [this] { on_discovery_lost(); }}),
      health_checker_(loop, counters_, limits_,
                      [this](const std::string& host, const HealthChecker::Probed& health_check) {
                        on_health_check_ended(host, health_check);
                      }),
      gossip_(loop, counters_, configuration_.peers, configuration_.seed) {
  if (configuration_.shadow) {
    shadow_ = std::make_unique<Shadow>(settings_of(*configuration_.shadow), configuration_.seed, loop.now());
  }
  apply_settings();
}

void Node::apply_settings() {
  settings_ = node_settings_of(balancer_settings_, configuration_.env);
  endpoints_.set_only_draining_binds(settings_.only_draining_binds);
  limits_.connect_time = settings_.connect_timeout;
  limits_.descriptors = configuration_.descriptors;
  limits_.list_bytes =
      static_cast<std::size_t>(configuration_.memory_mb * kBytesPerMegabyte / kListMemoryShare);
}

std::optional<std::string> Node::start() {
  on_endpoint_list(known_list(), EventKind::list_copy);
  settle();
  subscribe();
  sample();
  const auto address = address_of(configuration_.listen);
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
        list_of(configuration_.known, discovery_.starts, loop_.now(), EventLoop::unix_now());
    discovery_.knows(known.version);
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
  if (!settings_.watches_discovery) {
    return;
  }
  const Backoff backoff(settings_.nodes, settings_.drain_grace / 2);
  const Tenths delay = discovery_losses_ == 0 ? 0 : backoff.again(discovery_losses_, random_.share());
  loop_.at(next_subscription_, loop_.now() + delay, [this] { discovery_.watch(); });
}

void Node::on_endpoint_list(const EndpointSnapshot& list, EventKind kind) {
  for (const std::string& host : endpoints_.apply(list, settings_.zone)) {
    health_checker_.forget(host);  // one that connects late would be new work as well
  }
  events_.add(kind).listings = list.listings;
}

void Node::on_discovery_lost() {
  ++discovery_losses_;
  events_.add(EventKind::list_lost);
  subscribe();
}

void Node::on_health_check_ended(const std::string& host, const HealthChecker::Probed& health_check) {
  Event& event = events_.add(EventKind::probe_ended, "", host);
  event.outcome = outcome_of(health_check.end);
  event.took = health_check.took;
  if (health_check.answer_after > 0 && loop_.late() < kHeldUp) {
    endpoints_.latency(host).record_health_check(loop_.now(), health_check.answer_after);
  }
}

// ---- periodic samples ----

void Node::sample() {
  const Tenths since_last_sample = loop_.now() - sampled_at_;
  sampled_at_ = loop_.now();
  loop_.at(next_sample_, sampled_at_ + kSampleInterval, [this] { sample(); });
  if (shadow_) {
    run_shadow({}, {});  // its timer may be due
  }
  exchange_gossip();
  if (loop_.late() >= kHeldUp) {
    return;  // after a pause of this process every line seems unanswered
  }
  report_latencies(unanswered_lines(since_last_sample));
}

Node::UnansweredByHost Node::unanswered_lines(Tenths since_last_sample) {
  UnansweredByHost lines;
  requests_.each_established([&](const std::string& id, const std::string& host, Tenths unanswered) {
    lines[host].request_id = id;
    lines[host].ages.push_back(unanswered);
    const Tenths before = std::max<Tenths>(unanswered - since_last_sample, 0);
    if (unanswered / kUnansweredInterval > before / kUnansweredInterval) {
      events_.add(EventKind::unanswered, id, host).figure = static_cast<double>(unanswered);
    }
  });
  return lines;
}

void Node::report_latencies(UnansweredByHost unanswered) {
  const std::map<std::string, Tenths> idle_times = endpoints_.idle_health_check_times();
  // An endpoint whose last connection has ended is reported on as well: unreported, a slow one would seem
  // recovered.
  for (const std::string& host : endpoints_.measured()) {
    unanswered.try_emplace(host);
  }
  for (const auto& [host, lines] : unanswered) {
    const auto idle = idle_times.find(host);
    const Tenths baseline = idle == idle_times.end() ? 0 : idle->second;
    const auto latency =
        endpoints_.latency(host).report(loop_.now(), settings_.message_objective, lines.ages, baseline);
    if (latency) {
      events_.add(EventKind::delay_told, lines.request_id, host).figure = static_cast<double>(*latency);
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
    events_.add(EventKind::peer_word, "", host).figure = elsewhere.value_or(kUnknown);
  });
}

// ---- events and actions ----

void Node::settle() {
  while (!events_.empty()) {
    const std::vector<Event> batch = events_.take();
    const std::vector<Action> actions = load_balancer_.handle_events(loop_.now(), batch);
    if (shadow_) {
      run_shadow(batch, actions);
    }
    for (const Action& action : actions) {
      carry_out(action);
    }
  }
}

void Node::run_shadow(const std::vector<Event>& events, const std::vector<Action>& actions) {
  if (shadow_->off()) {
    return;
  }
  shadow_->follow(loop_.now(), events, actions);
  if (shadow_->off()) {
    spdlog::warn("shadow_stopped error=\"{}\"", shadow_->why());
  }
}

void Node::carry_out(const Action& action) {
  switch (action.kind) {
    case ActionKind::setup_try:
      return requests_.start_attempt(action.id, action.host, action.time);
    case ActionKind::cancel_try:
      return requests_.cancel_attempt(action.id);
    case ActionKind::reject:
      return requests_.reject(action.id, action.time);
    case ActionKind::scrap:
      return requests_.fail(action.id);
    case ActionKind::move:
      return requests_.migrate(action.id);
    case ActionKind::probe:
      return health_checker_.probe(action.host, endpoints_.address(action.host));
    case ActionKind::set_alarm:
      return set_timer(action);
    case ActionKind::subscribe:
      return discovery_.watch();
    case ActionKind::fetch_list:
      return discovery_.fetch();
    case ActionKind::log:
      return log_decision(action.text);
  }
}

void Node::set_timer(const Action& action) {
  EventLoop::Deadline timer;  // the load balancer never cancels one
  loop_.at(timer, loop_.now() + action.time,
           [this, number = action.number] { events_.add(EventKind::alarm).number = number; });
}

// ---- shutdown, reload and report ----

void Node::stop() {
  if (!shutdown_.begin(loop_.now(), settings_.longest_wait)) {
    return;
  }
  events_.add(EventKind::stopping).expiry = shutdown_.answers_due();
  requests_.shorten_to_shutdown();
  loop_.at(close_requests_, shutdown_.requests_close_at(), [this] { requests_.close_all(); });
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
  balancer_settings_ = settings_of(configuration_.env);
  const std::string former_zone = settings_.zone;
  load_balancer_.update_settings(balancer_settings_);
  if (!configuration_.shadow) {
    shadow_.reset();
  }
  if (shadow_) {
    shadow_->update_settings(settings_of(*configuration_.shadow));
  }
  set_log(configuration_.log);
  apply_settings();
  if (settings_.zone != former_zone) {
    endpoints_.leave_zone();
  }
  discovery_.move_to(configuration_.discovery);
  spdlog::info("configuration_reloaded discovery={}", configuration_.discovery);
}

void Node::report() const {
  spdlog::info("{}", counters_.format());
  spdlog::info("{}", counters_.format_with_former_names());
  if (shadow_) {
    spdlog::info("{}{}", shadow_->counts().told(), shadow_->off() ? " | let go" : "");
  }
}

}  // namespace dapplewharf
