// How the statistics over all endpoints are computed (policy/fleet_statistics.h).
#include "policy/fleet_statistics.h"

#include <algorithm>
#include <cmath>

#include "base/keep_last.h"
#include "policy/constants.h"

namespace dapplewharf {
namespace {

constexpr double kDegradedScore = 75;          // endpoints with a lower score are degraded
constexpr double kMinWeightForMeans = 0.5;     // only endpoints with a higher weight are included in means
constexpr double kSurgeSharePerSecond = 0.25;  // new connections a second, as a share of the mean connections
constexpr double kMigrationShare = 0.15;  // share of the open connections that may migrate within a second
// Share of the migration budget that remains however many endpoints are slow.
constexpr double kMinMigrationBudgetShare = 0.5;
constexpr double kSustainedDecayTime = 30 * kSecond;  // time constant of exponential decay
constexpr double kMinReportedLoad = 0.1;         // extrapolating from lower loads would be too inaccurate
constexpr double kHealthCheckCostShare = 0.005;  // cost limit, as a share of the total value of service
constexpr std::size_t kMaxArrivals = 40;

}  // namespace

bool is_degraded(const EndpointStatus& status, TimePoint now) {
  return status.score < kDegradedScore && now >= status.slow_start_until;
}

void FleetStatisticsCollector::count_arrival(TimePoint now) {
  keep_last(arrivals_, now, kMaxArrivals);
}

void FleetStatisticsCollector::count_selection(TimePoint now, const std::optional<std::int64_t>& group) {
  selections_.emplace_back(now, group);
}

double FleetStatisticsCollector::recent_selections_of(std::int64_t group) const {
  return static_cast<double>(
      std::count_if(selections_.begin(), selections_.end(),
                    [group](const auto& selection) { return selection.second == group; }));
}

void FleetStatisticsCollector::add_in_service(Totals& totals, const EndpointStatus& status,
                                              TimePoint now) const {
  const bool is_warm = status.slow_start_until <= now;
  ++totals.endpoint_count;
  totals.score_sum += status.score;
  totals.has_endpoint_in_slow_start = totals.has_endpoint_in_slow_start || !is_warm;
  totals.degraded_count += is_degraded(status, now) ? 1 : 0;
  totals.has_overloaded_endpoint = totals.has_overloaded_endpoint ||
                                   status.dropping_connections_until > now ||
                                   (status.open_connections > 0 && status.over_objective_until > now);
  totals.connections.add(status.open_connections, status.capacity);
  if (status.weight <= kMinWeightForMeans) {
    return;
  }
  if (status.zone == settings_.zone) {
    totals.own_zone_connections.add(status.open_connections, status.capacity);
    if (status.connections_elsewhere >= 0) {
      totals.own_zone_connections_all_nodes.add(status.open_connections + status.connections_elsewhere,
                                                status.capacity);
    }
  }
  if (status.slow_until <= now) {
    totals.not_slow_capacity += status.capacity;
  }
  if (!is_warm) {
    return;
  }
  totals.warm_connections_by_type[status.machine_type].add(status.open_connections, status.capacity);
  totals.warm_connections.add(status.open_connections, status.capacity);
  if (status.reported_load >= 0) {
    totals.reported_load.add(status.reported_load * status.capacity, status.capacity);
  }
}

FleetStatisticsCollector::Totals FleetStatisticsCollector::compute_totals(
    const std::map<std::string, EndpointStatus>& statuses, TimePoint now) const {
  Totals totals;
  for (const auto& [id, status] : statuses) {
    if (status.is_in_service) {
      add_in_service(totals, status, now);
    } else {
      totals.leaving_connections += status.open_connections;
    }
  }
  return totals;
}

// Updates the connections that endpoints of each machine type sustain. The values decay slowly, so that they
// outlast a failure of all endpoints of a type. Endpoints that report low load sustain more connections than
// they hold, so their count is divided by the load.
void FleetStatisticsCollector::update_sustained_connections(const Totals& totals, double mean_reported_load,
                                                            TimePoint now) {
  std::map<std::string, CapacitySum> sums = totals.warm_connections_by_type;
  if (totals.warm_connections.capacity > 0) {
    sums[""] = totals.warm_connections;  // used for machine types that have had no warm endpoint yet
  }
  const double retained_share =
      std::exp(-static_cast<double>(now - std::exchange(sustained_updated_at_, now)) / kSustainedDecayTime);
  for (const auto& [type, sum] : sums) {
    const double current =
        sum.amount / sum.capacity /
        (mean_reported_load < 0 ? 1 : std::clamp(mean_reported_load, kMinReportedLoad, 1.0));
    sustained_by_type_[type] = std::max(current, sustained_by_type_[type] * retained_share);
  }
  if (!published_sustained_by_type_ || *published_sustained_by_type_ != sustained_by_type_) {
    published_sustained_by_type_ = std::make_shared<const std::map<std::string, double>>(sustained_by_type_);
  }
}

// If few requests arrive, health checks at the usual rate would cost more than kHealthCheckCostShare of the
// value of serving them. The endpoints are then still observed by the health checks that precede an admission
// and by message latencies.
Duration FleetStatisticsCollector::min_health_check_interval(int endpoint_count, TimePoint now) const {
  if (!settings_.load_value_index || arrivals_.empty()) {
    return 0;
  }
  return static_cast<Duration>(settings_.health_check_price * endpoint_count / kHealthCheckCostShare /
                               static_cast<double>(arrivals_.size()) *
                               static_cast<double>(now - arrivals_.front() + kSecond));
}

FleetStatisticsCollector::Result FleetStatisticsCollector::collect(
    const std::map<std::string, EndpointStatus>& statuses, TimePoint now) {
  const Totals totals = compute_totals(statuses, now);
  FleetStatistics fleet;
  fleet.has_endpoint_in_slow_start = totals.has_endpoint_in_slow_start;
  if (totals.has_overloaded_endpoint) {
    last_overload_at_ = now;
  }
  fleet.surge_share_per_second =
      last_overload_at_ > 0 && now - last_overload_at_ < kFleetConditionLifetime ? kSurgeSharePerSecond : 0;
  if (totals.connections.capacity > 0) {
    // If no endpoint of the own zone has enough weight, the mean over all zones is used: a mean of 0 would
    // limit the other endpoints to the lowest rate although they have spare capacity.
    fleet.mean_connections = totals.own_zone_connections.capacity > 0 ? totals.own_zone_connections.mean()
                                                                      : totals.connections.mean();
    fleet.quota_per_capacity = settings_.total_connection_quota() / totals.connections.capacity;
  }
  if (totals.own_zone_connections_all_nodes.capacity > 0) {
    fleet.mean_connections_all_nodes = totals.own_zone_connections_all_nodes.mean();
  }
  const double not_slow_share =
      totals.connections.capacity > 0
          ? std::max(totals.not_slow_capacity / totals.connections.capacity, kMinMigrationBudgetShare)
          : 0;
  // A node whose connections are all at leaving endpoints has to migrate them as well.
  const double connections = std::max(totals.connections.amount, totals.leaving_connections);
  fleet.migration_budget = static_cast<int>(std::ceil(kMigrationShare * connections * not_slow_share));
  if (totals.endpoint_count > 0) {
    fleet.mean_score = totals.score_sum / totals.endpoint_count;
    fleet.connections_per_endpoint = std::max(totals.connections.amount / totals.endpoint_count,
                                              kConnectionCountMargin / settings_.node_count);
  }
  if (totals.reported_load.capacity > 0) {
    fleet.mean_reported_load = totals.reported_load.mean();
  }
  update_sustained_connections(totals, fleet.mean_reported_load, now);
  fleet.sustained_connections_by_type = published_sustained_by_type_;
  fleet.min_health_check_interval = min_health_check_interval(totals.endpoint_count, now);
  fleet.is_load_unknown =
      fleet.mean_connections_all_nodes < 0 && fleet.connections_per_endpoint < kConnectionCountMargin;
  std::erase_if(selections_,
                [now](const auto& selection) { return now - selection.first > kSelectionWindow; });
  if (totals.connections.capacity > 0) {
    fleet.selections_per_capacity = static_cast<double>(selections_.size()) / totals.connections.capacity;
  }
  return {fleet, totals.endpoint_count, totals.degraded_count};
}

}  // namespace dapplewharf
