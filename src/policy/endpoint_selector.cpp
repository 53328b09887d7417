#include "policy/endpoint_selector.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <optional>

#include "base/random.h"
#include "policy/constants.h"

namespace dapplewharf {
namespace {

constexpr int kPointsOfSizeOne = 30;        // on the ring
constexpr std::size_t kGoodCandidates = 8;  // more are hardly ever asked
constexpr double kCandidatesInSurge = 12;   // asked for one group by all nodes together
constexpr double kWellOverMean = 1.25;      // times the mean
constexpr double kBusyLoad = 0.3;           // of capacity, over the fleet
constexpr double kDearZoneCrossing = 0.1;   // of all that service can be worth

int point_count(const EndpointStatus& status) {
  return std::max(1, static_cast<int>(std::lround(kPointsOfSizeOne * status.size)));
}

// Where a request's walk on the ring begins. Connections of one affinity group share work, so the group's id
// goes before the client's key. A group that is too large for one endpoint is cut into parts with keys of
// their own.
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

void EndpointSelector::read(const SelectorMessage& message) {
  std::visit([this](const auto& one) { handle(one); }, message);
}

void EndpointSelector::handle(const WeightsFreezeChanged& message) {
  weights_frozen_ = message.frozen;
  for (const auto& [id, weight] : std::exchange(thawed_weights_, {})) {
    statuses_[id].weight = weight;
  }
}

void EndpointSelector::handle(const StatusChanged& message) {
  const auto [at, is_new] = statuses_.try_emplace(message.endpoint, message.status);
  if (is_new || at->second.size != message.status.size) {
    ring_is_stale_ = true;
  }
  const double weight = is_new || !weights_frozen_ ? message.status.weight : at->second.weight;
  if (weights_frozen_) {
    thawed_weights_[message.endpoint] = message.status.weight;
  }
  at->second = message.status;
  at->second.weight = weight;
}

void EndpointSelector::handle(const SelectEndpoints& message) {
  const SelectionQuery& query = *message.query;
  const Ranked ranked = rank_endpoints(query, message.fleet);
  CandidateList candidates;
  candidates.request_id = query.request.id;
  candidates.deadline = query.request.deadline;
  candidates.is_mid_connection = query.request.is_mid_connection;
  candidates.endpoints = std::make_shared<const std::vector<std::string>>(
      limit_candidates(ranked, message.fleet.surge_rate > 0));
  candidates.fleet = message.fleet;
  context_.post_to_request_table(std::move(candidates));
}

EndpointSelector::Ranked EndpointSelector::rank_endpoints(const SelectionQuery& query,
                                                          const FleetStatistics& fleet) {
  if (std::exchange(ring_is_stale_, false)) {
    ring_.lay(statuses_, point_count);
  }
  const bool is_mid_connection = query.request.is_mid_connection;
  const bool is_surge = fleet.surge_rate > 0;
  const TimePoint now = context_.now;
  const int parts =
      fleet.is_isolated ? 1 + static_cast<int>(query.group_connections / fleet.connections_per_endpoint) : 1;
  const int part = parts > 1 ? static_cast<int>(context_.random.next_fraction() * parts) : 0;
  const auto used_points = [is_mid_connection](const EndpointStatus& status) {
    return static_cast<int>(std::lround((is_mid_connection ? 1 : status.weight) * point_count(status)));
  };
  Ranked ranked;
  std::size_t good = 0;
  ring_.walk(ring_key(query.request, part), used_points,
             [&](const std::string& id, const EndpointStatus& status) {
               const bool is_overloaded = std::max(status.dropping_until, status.over_objective_until) > now;
               const bool is_usable = is_mid_connection || (!is_overloaded && status.in_service);
               if (!is_usable || !is_in_deduplication_scope(query, status)) {
                 return true;
               }
               if (good < kGoodCandidates || status.cold_until > now) {
                 ranked.emplace_back(tier_of(query, fleet, id, status), &id);
               }
               good += ranked.back().first <= SelectionTier::near ? 1 : 0;
               return good < kGoodCandidates || (is_surge && fleet.any_cold);
             });
  if (parts > 1 && !ranked.empty() && ranked.front().first <= SelectionTier::far_affinity) {
    ranked.front().first = SelectionTier::affinity;
  }
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  return ranked;
}

// In a surge only a few endpoints are asked, so that a group is not scattered over every endpoint that takes
// one of its connections. Those that report headroom are asked all the same, and cold ones last: each node
// has an allowance at some of them only, and none would find them on a short list.
std::vector<std::string> EndpointSelector::limit_candidates(const Ranked& ranked, bool is_surge) const {
  const auto limit =
      std::max<std::size_t>(1, static_cast<std::size_t>(kCandidatesInSurge / context_.settings.node_count));
  std::vector<std::string> candidates;
  std::vector<std::string> cold;
  for (const auto& [tier, id] : ranked) {
    const EndpointStatus& status = statuses_.at(*id);
    if (!is_surge || candidates.size() < limit || status.headroom_until > context_.now) {
      candidates.push_back(*id);
    } else if (status.cold_until > context_.now && tier < SelectionTier::near_slow) {
      cold.push_back(*id);
    }
  }
  candidates.insert(candidates.end(), cold.begin(), cold.end());
  return candidates;
}

// A repeat outside the scope that knows its idempotency key would take effect a second time.
bool EndpointSelector::is_in_deduplication_scope(const SelectionQuery& query,
                                                 const EndpointStatus& status) const {
  if (query.deduplicating_endpoint.empty() || query.scope == DeduplicationScope::all) {
    return true;
  }
  const auto first = statuses_.find(query.deduplicating_endpoint);
  if (first == statuses_.end()) {
    return false;
  }
  return is_in_scope(query.scope, first->second.zone, first->second.cell, status.zone, status.cell);
}

// A group that gathers on the same endpoints from all zones is paid for once. Zones count for it only while
// capacity is plentiful, or where crossing them is dear unless endpoints are short. Where endpoints report no
// load nobody would see capacity run out, so groups gather at any time.
bool EndpointSelector::counts_as_near(const SelectionQuery& query, const FleetStatistics& fleet,
                                      const EndpointStatus& status) const {
  if (status.zone == context_.settings.zone) {
    return true;
  }
  if (!query.request.affinity_group) {
    return false;
  }
  const bool is_surge = fleet.surge_rate > 0;
  if (context_.settings.cross_zone_price <= kDearZoneCrossing) {
    return is_surge || fleet.mean_reported_load > kBusyLoad || !context_.settings.load_value_index;
  }
  return is_surge && query.shortage;
}

SelectionTier EndpointSelector::tier_of(const SelectionQuery& query, const FleetStatistics& fleet,
                                        const std::string& id, const EndpointStatus& status) const {
  const bool near = counts_as_near(query, fleet, status);
  if (std::count(query.tried.begin(), query.tried.end(), id) > 0) {
    return SelectionTier::failed_before;
  }
  if (query.request.is_mid_connection) {
    return near ? SelectionTier::affinity : SelectionTier::near;
  }
  if (status.slow_until > context_.now) {
    return near ? SelectionTier::near_slow : SelectionTier::far_slow;
  }
  const bool holds_group = query.affinity_endpoints.count(id) != 0;
  // Where this node holds next to nothing, the connections of all nodes say whether an endpoint is well over
  // the mean.
  const bool by_gossip = fleet.mean_connections * status.size < kConnectionsOverMean &&
                         fleet.mean_connections_all_nodes >= 0 && status.connections_elsewhere >= 0;
  const double mean = (by_gossip ? fleet.mean_connections_all_nodes : fleet.mean_connections) * status.size;
  const double connections = status.open_connections + 1 + (by_gossip ? status.connections_elsewhere : 0);
  const double well_over = mean * (holds_group && !by_gossip ? kWellOverMeanForGroup : kWellOverMean);
  const bool is_over = connections >= mean + kConnectionsOverMean && connections > well_over;
  const bool is_full = fleet.quota_per_size > 0 && connections * 2 > fleet.quota_per_size * status.size;
  if (holds_group && !is_over && !is_full) {
    return near ? SelectionTier::affinity : SelectionTier::far_affinity;
  }
  if (near && !is_full) {
    return is_over ? SelectionTier::near_over_mean : SelectionTier::near;
  }
  return is_over || is_full ? SelectionTier::full_or_far_over : SelectionTier::far;
}

}  // namespace dapplewharf
