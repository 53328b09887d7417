// Slots and allowances of an endpoint in slow start (policy/slow_start.h).
#include "policy/slow_start.h"

#include <algorithm>
#include <cmath>

#include "policy/constants.h"

namespace dapplewharf {
namespace {

// Shares of what would push an endpoint in slow start over: given out in slots, and by chance.
constexpr double kSlotShare = 0.7;
constexpr double kChanceShare = 0.4;
// How many times the mean may seek one endpoint where nodes tell what they hold, by when word has spread.
constexpr double kConcentrationWhenTold = 1.5;

}  // namespace

SlowStart::SlowStart(const Settings& settings, const std::string& endpoint_id)
    : settings_(settings), endpoint_hash_(static_cast<double>(hash(endpoint_id) >> 40)) {}

Duration SlowStart::age(TimePoint now) const {
  return started_ > 0 ? now - started_ : settings_.warm_up_time;
}

TimePoint SlowStart::ends_at() const {
  return started_ > 0 ? started_ + settings_.warm_up_time : 0;
}

double SlowStart::sustainable_connections(const SlowStartConditions& conditions) const {
  const double own_quota = conditions.quota_per_size / settings_.node_count;
  return std::max(conditions.sustained_by_warm, own_quota) * conditions.size *
         std::max(1.0, settings_.overload_multiple * kSlotShare);
}

// Capacity grows in a straight line from cold_capacity_share to 1, so the allowance is a square of the age.
double SlowStart::allowance_since_start(double age, const SlowStartConditions& conditions) const {
  if (age <= 0) {
    return 0;
  }
  const double sustainable = sustainable_connections(conditions);
  if (sustainable <= 0) {
    return age / static_cast<double>(settings_.overload_window) / settings_.node_count;
  }
  const double warm_up = std::max(static_cast<double>(settings_.warm_up_time), 1.0);
  const double cold_share = settings_.cold_capacity_share;
  const double capacity_time = cold_share * age + (1 - cold_share) * age * age / warm_up / 2;
  return sustainable * capacity_time / warm_up;
}

// Each node's slots begin at a place of its own, so that the nodes take turns at each endpoint.
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
  // A slot that was not taken within the window lapses: kept, the slots of all nodes would be used at once.
  const bool has_slot = sent.sum_within(now, window, 1) + 1 <= slots;
  if (has_slot || (conditions.is_surge && !conditions.reports_headroom)) {
    return has_slot;
  }
  return admits_by_chance(now, allowance - earlier_allowance, conditions, sent, random);
}

bool SlowStart::admits_by_chance(TimePoint now, double allowance_in_window,
                                 const SlowStartConditions& conditions, const SentWorkWindow& sent,
                                 RandomGenerator& random) const {
  const auto window = static_cast<double>(settings_.overload_window);
  const double budget = std::max(allowance_in_window * kChanceShare / kSlotShare, 1 / settings_.node_count);
  if (budget >= 1) {
    return sent.sum_within(now, window, 0) + 1 <= budget;
  }
  if (sent.sum_within(now, window * settings_.node_count, 1) >= 1) {
    return false;
  }
  const double concentration =
      conditions.knows_other_nodes_use ? kConcentrationWhenTold : kWellOverMeanForGroup;
  // The ring leads all nodes to one endpoint for an affinity group: without its own count, one connection
  // from each node of a burst would overload the endpoint.
  const double expected = std::max(conditions.selections_per_size * conditions.size * concentration,
                                   conditions.group_selections) *
                          window / kSelectionWindow;
  return random.next_fraction() * expected < budget;
}

}  // namespace dapplewharf
