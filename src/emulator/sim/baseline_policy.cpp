#include "emulator/sim/baseline_policy.h"

#include <algorithm>
#include <utility>

namespace dapplewharf::emulator {
namespace {

enum Timer { watch_list = 0, relieve_endpoints = 1 };

constexpr Duration kWatchRetryDelay = kSecond;
constexpr Duration kReliefInterval = 250 * kMs;
constexpr double kFullLoad = 0.95;       // of an endpoint's capacity
constexpr double kReliefShare = 0.1;     // of the connections on a full endpoint, migrated in each interval
constexpr double kAffinityBonus = 0.25;  // of load, for an endpoint with connections of the affinity group
constexpr double kCrossZoneLoad = 0.3;   // added to the load of an endpoint in another zone
constexpr double kConnectionTieBreak = 1e-6;
constexpr int kRingPoints = 60;  // of an endpoint of size 1
constexpr double kRingSize = 1.9e19;
constexpr double kMinSize = 1e-6;

// Terms of an endpoint's rank; the endpoint with the lowest rank is selected.
constexpr double kTriedPenalty = 1e9;
constexpr double kOtherZonePenalty = 1e6;
constexpr double kDrainingPreference = 1e7;  // subtracted by the defect ignores_drain
constexpr double kMaxPreferredDrainingRank = 1e8;

}  // namespace

BaselinePolicy::BaselinePolicy(EndpointOrder order, NodeDefect defect, const Settings& settings,
                               std::uint64_t seed, TrueLoad true_load)
    : order_(order), defect_(defect), settings_(settings), random_(seed), true_load_(std::move(true_load)) {}

std::vector<PolicyAction> BaselinePolicy::handle_events(TimePoint now,
                                                        const std::vector<PolicyEvent>& events) {
  now_ = now;
  for (const PolicyEvent& event : events) {
    std::visit([this](const auto& typed_event) { handle(typed_event); }, event);
  }
  return std::exchange(actions_, {});
}

void BaselinePolicy::handle(const EndpointsCached& event) {
  update_endpoints(event.endpoints);
  actions_.push_back(WatchEndpoints{});
  if (order_ == EndpointOrder::true_load) {
    set_relief_timer();
  }
}

void BaselinePolicy::handle(const EndpointsSnapshot& event) {
  for (auto& [id, known] : endpoints_) {
    const bool named = std::any_of(event.endpoints.begin(), event.endpoints.end(),
                                   [&id = id](const EndpointEntry& entry) { return entry.id == id; });
    if (!named) {
      known.entry.state = EndpointState::removed;
    }
  }
  update_endpoints(event.endpoints);
}

void BaselinePolicy::handle(const EndpointsUpdate& event) {
  update_endpoints(event.endpoints);
}

void BaselinePolicy::handle(const EndpointWatchFailed&) {
  actions_.push_back(SetTimer{watch_list, kWatchRetryDelay});
}

void BaselinePolicy::handle(const ShutdownStarted&) {
  migrate_all();
}

void BaselinePolicy::handle(const RequestReceived& event) {
  requests_[event.request.id].attributes = event.request;
  start_attempt(event.request.id);
}

void BaselinePolicy::handle(const AttemptEstablished& event) {
  requests_[event.request_id].established = true;
}

void BaselinePolicy::handle(const AttemptEnded& event) {
  const auto found = requests_.find(event.request_id);
  if (found == requests_.end()) {
    return;
  }
  KnownEndpoint& endpoint = endpoints_[event.endpoint];
  endpoint.connections = std::max(0, endpoint.connections - 1);
  if (event.is_final || found->second.established) {
    requests_.erase(found);
    return;
  }
  if (!may_repeat(event, found->second)) {
    actions_.push_back(FailRequest{event.request_id});
    requests_.erase(found);
    return;
  }
  start_attempt(event.request_id);
}

void BaselinePolicy::handle(const ClientDisconnected& event) {
  requests_.erase(event.request_id);
}

void BaselinePolicy::handle(const TimerFired& event) {
  if (event.timer == relieve_endpoints) {
    relieve_full_endpoints();
  } else {
    actions_.push_back(WatchEndpoints{});
  }
}

void BaselinePolicy::update_endpoints(const std::vector<EndpointEntry>& entries) {
  for (const EndpointEntry& entry : entries) {
    endpoints_[entry.id].entry = entry;
    if (entry.state != EndpointState::healthy) {
      migrate_from(entry.id);
    }
  }
}

void BaselinePolicy::relieve_full_endpoints() {
  set_relief_timer();
  for (const auto& [id, endpoint] : endpoints_) {
    const double load = true_load_(id);
    if (load <= kFullLoad) {
      continue;
    }
    const bool cannot_serve = load > kCannotServeLoad;
    int remaining = cannot_serve ? INT32_MAX : static_cast<int>(kReliefShare * endpoint.connections);
    for (const auto& [request_id, request] : requests_) {
      if (remaining > 0 && request.established && request.tried.back() == id) {
        actions_.push_back(MigrateConnection{request_id, id});
        --remaining;
      }
    }
  }
}

void BaselinePolicy::set_relief_timer() {
  actions_.push_back(SetTimer{relieve_endpoints, kReliefInterval});
}

void BaselinePolicy::migrate_all() {
  for (const auto& [request_id, request] : requests_) {
    if (request.established) {
      actions_.push_back(MigrateConnection{request_id, request.tried.back()});
    }
  }
}

void BaselinePolicy::migrate_from(const std::string& endpoint) {
  for (const auto& [request_id, request] : requests_) {
    if (request.established && request.tried.back() == endpoint) {
      actions_.push_back(MigrateConnection{request_id, endpoint});
    }
  }
}

bool BaselinePolicy::may_repeat(const AttemptEnded& event, const HeldRequest& request) const {
  const bool may_have_run = event.outcome != Outcome::rejected && event.outcome != Outcome::connect_failed &&
                            event.outcome != Outcome::not_sent;
  const TrafficClass* traffic = settings_.find_traffic(request.attributes.traffic_type);
  const bool idempotent = traffic && traffic->repeat_rule.idempotency == Idempotency::idempotent;
  return idempotent || !may_have_run;
}

void BaselinePolicy::start_attempt(const std::string& request_id) {
  HeldRequest& request = requests_[request_id];
  const bool exhausted = now_ >= request.attributes.deadline ||
                         static_cast<double>(request.tried.size()) >= settings_.max_attempts;
  const std::string endpoint = exhausted ? "" : select_endpoint(request);
  if (endpoint.empty()) {
    const double retry_after = static_cast<double>(settings_.max_retry_after) * random_.next_fraction();
    actions_.push_back(RejectRequest{request_id, static_cast<Duration>(retry_after)});
    requests_.erase(request_id);
    return;
  }
  request.tried.push_back(endpoint);
  ++endpoints_[endpoint].connections;
  const TrafficClass* traffic = settings_.find_traffic(request.attributes.traffic_type);
  const Duration objective = traffic ? traffic->setup_latency_objective.value_or(0) : 0;
  const Duration time_left = std::max<Duration>(1, request.attributes.deadline - now_);
  actions_.push_back(StartAttempt{request_id, endpoint, std::clamp<Duration>(objective / 2, 1, time_left)});
}

bool BaselinePolicy::holds_affinity_group(const HeldRequest& request, const std::string& endpoint) const {
  const std::optional<std::int64_t>& group = request.attributes.affinity_group;
  if (!group) {
    return false;
  }
  return std::any_of(requests_.begin(), requests_.end(), [&](const auto& entry) {
    const HeldRequest& other = entry.second;
    return other.established && other.attributes.affinity_group == group && other.tried.back() == endpoint;
  });
}

double BaselinePolicy::rank(const HeldRequest& request, const std::string& id,
                            const KnownEndpoint& endpoint) {
  if (defect_ == NodeDefect::prefers_cold) {
    return -static_cast<double>(endpoint.entry.started_at);
  }
  const bool tried = std::count(request.tried.begin(), request.tried.end(), id) > 0;
  const double tried_before = tried ? kTriedPenalty : 0;
  const double other_zone = endpoint.entry.zone == settings_.zone ? 0 : 1;
  switch (order_) {
    case EndpointOrder::true_load:
      return tried_before + true_load_(id) + kCrossZoneLoad * other_zone -
             (holds_affinity_group(request, id) ? kAffinityBonus : 0) +
             endpoint.connections * kConnectionTieBreak;
    case EndpointOrder::fewest_connections:
      return tried_before + kOtherZonePenalty * other_zone +
             endpoint.connections / std::max(endpoint.entry.size, kMinSize);
    case EndpointOrder::hash_ring:
      return tried_before + rank_on_ring(request, id, endpoint);
    case EndpointOrder::random:
      break;
  }
  return tried_before + kOtherZonePenalty * other_zone + random_.next_fraction();
}

double BaselinePolicy::rank_on_ring(const HeldRequest& request, const std::string& id,
                                    const KnownEndpoint& endpoint) const {
  const RequestAttributes& attributes = request.attributes;
  const std::uint64_t key = attributes.affinity_group
                                ? hash(static_cast<std::uint64_t>(*attributes.affinity_group))
                                : hash(attributes.id);
  const int points = std::max(1, static_cast<int>(kRingPoints * endpoint.entry.size));
  std::uint64_t nearest = UINT64_MAX;
  for (int point = 0; point < points; ++point) {
    nearest = std::min(nearest, hash(hash(id) + static_cast<unsigned>(point)) - key);
  }
  return static_cast<double>(nearest) / kRingSize;
}

std::string BaselinePolicy::select_endpoint(const HeldRequest& request) {
  std::string best;
  double best_rank = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    const bool healthy = endpoint.entry.state == EndpointState::healthy;
    if (!healthy && defect_ != NodeDefect::ignores_drain) {
      continue;
    }
    double endpoint_rank = rank(request, id, endpoint);
    if (!healthy && endpoint_rank < kMaxPreferredDrainingRank) {
      endpoint_rank -= kDrainingPreference;
    }
    if (best.empty() || endpoint_rank < best_rank) {
      best = id;
      best_rank = endpoint_rank;
    }
  }
  return best;
}

}  // namespace dapplewharf::emulator
