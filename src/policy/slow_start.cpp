// The slots and the random allowance of an endpoint in slow start (policy/slow_start.h).
#include "policy/slow_start.h"

#include <algorithm>
#include <cmath>

#include "policy/constants.h"

namespace dapplewharf {
namespace {

// Shares of the load that would overload an endpoint in slow start. The slots of all nodes together use up to
// kSlotShare. Connections are admitted at random up to kRandomShare. The two shares are not added: a node
// admits no connection at random if its recent connections, including those of its slots, already use that
// allowance.
constexpr double kSlotShare = 0.7;
constexpr double kRandomShare = 0.4;
// The multiple of the mean number of selections that one endpoint is assumed to get if gossip is available.
// It is above 1 because connections opened since the last gossip message are not known to the other nodes
// yet.
constexpr double kConcentrationWithGossip = 1.5;
// Connections of all nodes within the overload window that an endpoint of unknown capacity gets, and one
// whose start time is in doubt. An endpoint of any capacity bears at least 3.
constexpr double kMinConnections = 1;
constexpr double kMinConnectionsIfStartInDoubt = 2;

}  // namespace

SlowStart::SlowStart(const Settings& settings, const std::string& endpoint_id)
    : settings_(settings), endpoint_hash_(static_cast<double>(hash(endpoint_id) >> 40)) {}

Duration SlowStart::age(TimePoint now) const {
  const Duration known_age = started_at_ > 0 ? now - started_at_ : settings_.warm_up_time;
  return possible_start_at_ ? std::min(known_age, now - *possible_start_at_) : known_age;
}

TimePoint SlowStart::ends_at() const {
  return started_at_ > 0 ? started_at_ + settings_.warm_up_time : 0;
}

double SlowStart::sustainable_connections(const SlowStartConditions& conditions) const {
  const double own_quota = conditions.quota_per_capacity / settings_.node_count;
  return std::max(conditions.sustained_per_capacity, own_quota) * conditions.capacity *
         std::max(1.0, settings_.overload_multiple * kSlotShare);
}

// Capacity grows linearly from cold_capacity_share to 1, so the total allowance grows with the square of the
// age.
double SlowStart::allowance_since_start(double age, const SlowStartConditions& conditions) const {
  if (age <= 0) {
    return 0;
  }
  const double min_connections = possible_start_at_ ? kMinConnectionsIfStartInDoubt : kMinConnections;
  const double min_allowance =
      min_connections * age / static_cast<double>(settings_.overload_window) / settings_.node_count;
  const double sustainable = sustainable_connections(conditions);
  if (sustainable <= 0) {
    return min_allowance;
  }
  const double warm_up = std::max(static_cast<double>(settings_.warm_up_time), 1.0);
  const double cold_share = settings_.cold_capacity_share;
  const double capacity_time = cold_share * age + (1 - cold_share) * age * age / warm_up / 2;
  const double allowance = sustainable * capacity_time / warm_up;
  // A process that has just started has few connections to estimate the sustainable number from.
  return possible_start_at_ ? std::max(allowance, min_allowance) : allowance;
}

// The phase of this node's slots, as a fraction of one slot. It differs between nodes and between endpoints,
// so that the nodes take turns at each endpoint.
double SlowStart::slot_offset() const {
  return std::fmod(settings_.node_index + endpoint_hash_, settings_.node_count) / settings_.node_count;
}

bool SlowStart::admits_connection(TimePoint now, const SlowStartConditions& conditions,
                                  const SentWorkWindow& sent, RandomGenerator& random) const {
  const Duration current_age = age(now);
  const double allowance = allowance_since_start(static_cast<double>(current_age), conditions);
  const double earlier_allowance =
      allowance_since_start(static_cast<double>(current_age - settings_.overload_window), conditions);
  const double offset = slot_offset();
  const double slots = std::floor(offset + allowance) - std::floor(offset + earlier_allowance);
  const auto window = static_cast<double>(settings_.overload_window);
  // A slot that is not used within the window expires; otherwise all nodes could use saved slots at once.
  const bool has_slot = sent.sum_within(now, window, 1) + 1 <= slots;
  if (has_slot || (conditions.is_surge && !conditions.reports_headroom)) {
    return has_slot;
  }
  return admits_at_random(now, allowance - earlier_allowance, conditions, sent, random);
}

bool SlowStart::admits_at_random(TimePoint now, double allowance_in_window,
                                 const SlowStartConditions& conditions, const SentWorkWindow& sent,
                                 RandomGenerator& random) const {
  const auto window = static_cast<double>(settings_.overload_window);
  const double budget = std::max(allowance_in_window * kRandomShare / kSlotShare, 1 / settings_.node_count);
  if (budget >= 1) {
    return sent.sum_within(now, window, 0) + 1 <= budget;
  }
  if (sent.sum_within(now, window * settings_.node_count, 1) >= 1) {
    return false;
  }
  const double concentration =
      conditions.knows_other_nodes_connections ? kConcentrationWithGossip : kGroupOverMeanFactor;
  // All nodes select the same endpoint for an affinity group. Without counting the group's selections, a
  // burst of one connection from each node would overload that endpoint.
  const double expected_requests =
      std::max(conditions.selections_per_capacity * conditions.capacity * concentration,
               conditions.group_selections) *
      window / kSelectionWindow;
  return random.next_fraction() * expected_requests < budget;
}

}  // namespace dapplewharf
