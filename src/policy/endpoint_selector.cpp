// How candidates for a request are ranked and limited (policy/endpoint_selector.h).
#include "policy/endpoint_selector.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <optional>

#include "base/random.h"
#include "policy/constants.h"

namespace dapplewharf {
namespace {

constexpr int kRingPointsPerCapacity = 30;  // points on the ring for capacity 1
// The largest number of candidates of the tiers `affinity` and `near`. Further candidates would rarely be
// asked.
constexpr std::size_t kMaxPreferredCandidates = 8;
// The number of candidates that all nodes together ask for one affinity group during a surge.
constexpr double kSurgeCandidatesOfAllNodes = 12;
// Multiple of the mean number of connections above which an endpoint counts as over the mean.
constexpr double kOverMeanFactor = 1.25;
constexpr double kBusyFleetLoad = 0.3;       // mean reported load, as a share of capacity
constexpr double kHighCrossZonePrice = 0.1;  // as a share of the total value of service

int point_count(const EndpointStatus& status) {
  return std::max(1, static_cast<int>(std::lround(kRingPointsPerCapacity * status.capacity)));
}

// The key at which a request's walk on the ring starts. Connections of one affinity group share work, so the
// group's id takes precedence over the client's key. A group that is too large for one endpoint is split into
// parts with different keys.
std::uint64_t ring_key(const RequestAttributes& request, int part) {
  if (request.affinity_group) {
    return hash(static_cast<std::uint64_t>(*request.affinity_group + part));
  }
  if (request.client_key) {
    return hash(static_cast<std::uint64_t>(*request.client_key));
  }
  return hash(request.id);
}

}  // namespace

void EndpointSelector::handle_message(const SelectorMessage& message) {
  std::visit([this](const auto& concrete_message) { handle(concrete_message); }, message);
}

void EndpointSelector::handle(const WeightsFreezeChanged& message) {
  weights_frozen_ = message.frozen;
  for (const auto& [id, weight] : std::exchange(deferred_weights_, {})) {
    statuses_[id].weight = weight;
  }
}

void EndpointSelector::handle(const EndpointStatusChanged& message) {
  const auto [entry, is_new] = statuses_.try_emplace(message.endpoint, message.status);
  if (is_new || entry->second.capacity != message.status.capacity) {
    is_ring_stale_ = true;
  }
  const double weight = is_new || !weights_frozen_ ? message.status.weight : entry->second.weight;
  if (weights_frozen_) {
    deferred_weights_[message.endpoint] = message.status.weight;
  }
  entry->second = message.status;
  entry->second.weight = weight;
}

void EndpointSelector::handle(const SelectEndpoints& message) {
  const SelectionQuery& query = *message.query;
  const Ranked ranked = rank_endpoints(query, message.fleet);
  CandidateList candidates;
  candidates.request_id = query.request.id;
  candidates.deadline = query.request.deadline;
  candidates.is_mid_connection = query.request.is_mid_connection;
  candidates.endpoints = std::make_shared<const std::vector<std::string>>(
      limit_candidates(ranked, message.fleet.surge_share_per_second > 0));
  candidates.fleet = message.fleet;
  context_.post_to_request_table(std::move(candidates));
}

EndpointSelector::Ranked EndpointSelector::rank_endpoints(const SelectionQuery& query,
                                                          const FleetStatistics& fleet) {
  if (std::exchange(is_ring_stale_, false)) {
    ring_.rebuild(statuses_, point_count);
  }
  const bool is_mid_connection = query.request.is_mid_connection;
  const bool is_surge = fleet.surge_share_per_second > 0;
  const TimePoint now = context_.now;
  const int parts = fleet.is_load_unknown
                        ? 1 + static_cast<int>(query.open_group_connections / fleet.connections_per_endpoint)
                        : 1;
  const int part = parts > 1 ? static_cast<int>(context_.random.next_fraction() * parts) : 0;
  const auto used_points = [is_mid_connection](const EndpointStatus& status) {
    return static_cast<int>(std::lround((is_mid_connection ? 1 : status.weight) * point_count(status)));
  };
  Ranked ranked;
  std::size_t preferred_count = 0;
  ring_.walk(
      ring_key(query.request, part), used_points, [&](const std::string& id, const EndpointStatus& status) {
        const bool is_overloaded =
            std::max(status.dropping_connections_until, status.over_objective_until) > now;
        const bool is_usable = is_mid_connection || (!is_overloaded && status.is_in_service);
        if (!is_usable || !is_in_deduplication_scope(query, status)) {
          return true;
        }
        if (preferred_count < kMaxPreferredCandidates || status.slow_start_until > now) {
          ranked.emplace_back(selection_tier(query, fleet, id, status), &id);
        }
        preferred_count += ranked.back().first <= SelectionTier::near ? 1 : 0;
        return preferred_count < kMaxPreferredCandidates || (is_surge && fleet.has_endpoint_in_slow_start);
      });
  if (parts > 1 && !ranked.empty() && ranked.front().first <= SelectionTier::far_affinity) {
    ranked.front().first = SelectionTier::affinity;
  }
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  return ranked;
}

// During a surge only a few endpoints are asked, so that a group is not spread over every endpoint that
// admits one of its connections. Endpoints that report spare capacity are always asked. Endpoints in slow
// start that exceed the limit are asked after all others: each node has an allowance at only a few endpoints
// in slow start, and a short list would rarely contain these.
std::vector<std::string> EndpointSelector::limit_candidates(const Ranked& ranked, bool is_surge) const {
  const auto limit = std::max<std::size_t>(
      1, static_cast<std::size_t>(kSurgeCandidatesOfAllNodes / context_.settings.node_count));
  std::vector<std::string> candidates;
  std::vector<std::string> in_slow_start;
  for (const auto& [tier, id] : ranked) {
    const EndpointStatus& status = statuses_.at(*id);
    if (!is_surge || candidates.size() < limit || status.headroom_until > context_.now) {
      candidates.push_back(*id);
    } else if (status.slow_start_until > context_.now && tier < SelectionTier::near_slow) {
      in_slow_start.push_back(*id);
    }
  }
  candidates.insert(candidates.end(), in_slow_start.begin(), in_slow_start.end());
  return candidates;
}

// A repeated request would take effect a second time at an endpoint outside the scope in which its
// idempotency key is known.
bool EndpointSelector::is_in_deduplication_scope(const SelectionQuery& query,
                                                 const EndpointStatus& status) const {
  if (query.deduplicating_endpoint.empty() || query.deduplication_scope == DeduplicationScope::all) {
    return true;
  }
  const auto earlier_endpoint = statuses_.find(query.deduplicating_endpoint);
  if (earlier_endpoint == statuses_.end()) {
    return false;
  }
  return is_in_scope(query.deduplication_scope, earlier_endpoint->second.zone, earlier_endpoint->second.cell,
                     status.zone, status.cell);
}

// The shared work of an affinity group is done only once if the nodes of all zones place it on the same
// endpoints, so for a group an endpoint in another zone may count as near. If crossing zones is cheap, such
// an endpoint counts as near during a surge and while the mean reported load is high. If endpoints report no
// load, it always counts as near, because a shortage of capacity would not be noticed. If crossing zones is
// expensive, it counts as near only if some request has recently found no endpoint during a surge that still
// lasts.
bool EndpointSelector::counts_as_near(const SelectionQuery& query, const FleetStatistics& fleet,
                                      const EndpointStatus& status) const {
  if (status.zone == context_.settings.zone) {
    return true;
  }
  if (!query.request.affinity_group) {
    return false;
  }
  const bool is_surge = fleet.surge_share_per_second > 0;
  if (context_.settings.cross_zone_price <= kHighCrossZonePrice) {
    return is_surge || fleet.mean_reported_load > kBusyFleetLoad || !context_.settings.load_value_index;
  }
  return is_surge && query.is_capacity_short;
}

SelectionTier EndpointSelector::selection_tier(const SelectionQuery& query, const FleetStatistics& fleet,
                                               const std::string& id, const EndpointStatus& status) const {
  const bool is_near = counts_as_near(query, fleet, status);
  if (std::count(query.tried_endpoints.begin(), query.tried_endpoints.end(), id) > 0) {
    return SelectionTier::failed_before;
  }
  if (query.request.is_mid_connection) {
    return is_near ? SelectionTier::affinity : SelectionTier::near;
  }
  if (status.slow_until > context_.now) {
    return is_near ? SelectionTier::near_slow : SelectionTier::far_slow;
  }
  const bool holds_group = query.affinity_endpoints.count(id) != 0;
  // If this node has too few connections, those of all nodes decide whether an endpoint is over the mean.
  const bool uses_gossip = fleet.mean_connections * status.capacity < kConnectionCountMargin &&
                           fleet.mean_connections_all_nodes >= 0 && status.connections_elsewhere >= 0;
  const double mean =
      (uses_gossip ? fleet.mean_connections_all_nodes : fleet.mean_connections) * status.capacity;
  const double connections = status.open_connections + 1 + (uses_gossip ? status.connections_elsewhere : 0);
  const double over_mean_limit =
      mean * (holds_group && !uses_gossip ? kGroupOverMeanFactor : kOverMeanFactor);
  const bool is_over_mean = connections >= mean + kConnectionCountMargin && connections > over_mean_limit;
  const bool is_full =
      fleet.quota_per_capacity > 0 && connections * 2 > fleet.quota_per_capacity * status.capacity;
  if (holds_group && !is_over_mean && !is_full) {
    return is_near ? SelectionTier::affinity : SelectionTier::far_affinity;
  }
  if (is_near && !is_full) {
    return is_over_mean ? SelectionTier::near_over_mean : SelectionTier::near;
  }
  return is_over_mean || is_full ? SelectionTier::full_or_far_over_mean : SelectionTier::far;
}

}  // namespace dapplewharf
