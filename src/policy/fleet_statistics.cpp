#include "policy/fleet_statistics.h"

#include <algorithm>
#include <cmath>

#include "base/keep_last.h"
#include "policy/constants.h"

namespace dapplewharf {
namespace {

constexpr double kDegradedScore = 75;            // below
constexpr double kLeastWeight = 0.5;             // above: endpoints that count for the means
constexpr double kSurgeRate = 0.25;              // new connections a second, of the mean that endpoints hold
constexpr double kMigrationShare = 0.15;         // of the open connections, within a second
constexpr double kLeastRoom = 0.5;               // of the migration share that is left when most are slow
constexpr double kSustainedFade = 30 * kSecond;  // time constant
constexpr double kLeastReportedLoad = 0.1;       // lower loads say little of what an endpoint sustains
constexpr double kHealthCheckShare = 0.005;      // of all that service can be worth
constexpr std::size_t kArrivalsKept = 40;

}  // namespace

bool is_degraded(const EndpointStatus& status, TimePoint now) {
  return status.score < kDegradedScore && now >= status.cold_until;
}

void FleetStatisticsCollector::count_arrival(TimePoint now) {
  keep_last(arrivals_, now, kArrivalsKept);
}

void FleetStatisticsCollector::count_selection(TimePoint now, const std::optional<std::int64_t>& group) {
  selections_.emplace_back(now, group);
}

double FleetStatisticsCollector::selections_of(std::int64_t group) const {
  return static_cast<double>(std::count_if(selections_.begin(), selections_.end(),
                                           [group](const auto& one) { return one.second == group; }));
}

void FleetStatisticsCollector::add_in_service(Totals& totals, const EndpointStatus& status,
                                              TimePoint now) const {
  const bool is_warm = status.cold_until <= now;
  ++totals.endpoints;
  totals.scores += status.score;
  totals.any_cold = totals.any_cold || !is_warm;
  totals.degraded += is_degraded(status, now) ? 1 : 0;
  totals.any_overloaded = totals.any_overloaded || status.dropping_until > now ||
                          (status.open_connections > 0 && status.over_objective_until > now);
  totals.all.add(status.open_connections, status.size);
  if (status.weight <= kLeastWeight) {
    return;
  }
  if (status.zone == settings_.zone) {
    totals.own_zone.add(status.open_connections, status.size);
    if (status.connections_elsewhere >= 0) {
      totals.own_zone_all_nodes.add(status.open_connections + status.connections_elsewhere, status.size);
    }
  }
  if (status.slow_until <= now) {
    totals.not_slow_size += status.size;
  }
  if (!is_warm) {
    return;
  }
  totals.warm_by_type[status.machine_type].add(status.open_connections, status.size);
  totals.warm.add(status.open_connections, status.size);
  if (status.reported_load >= 0) {
    totals.reported_load.add(status.reported_load * status.size, status.size);
  }
}

FleetStatisticsCollector::Totals FleetStatisticsCollector::sum_up(
    const std::map<std::string, EndpointStatus>& statuses, TimePoint now) const {
  Totals totals;
  for (const auto& [id, status] : statuses) {
    if (status.in_service) {
      add_in_service(totals, status, now);
    } else {
      totals.leaving_connections += status.open_connections;
    }
  }
  return totals;
}

// What endpoints of each machine type sustain fades slowly, so that a type that fails as a whole is
// remembered for what it sustained before. Endpoints that report little load sustain more than they hold.
void FleetStatisticsCollector::remember_sustained(const Totals& totals, double reported_load, TimePoint now) {
  std::map<std::string, Sum> sums = totals.warm_by_type;
  if (totals.warm.size > 0) {
    sums[""] = totals.warm;  // for machine types that were never seen warm
  }
  const double kept =
      std::exp(-static_cast<double>(now - std::exchange(sustained_at_, now)) / kSustainedFade);
  for (const auto& [type, sum] : sums) {
    const double current = sum.connections / sum.size /
                           (reported_load < 0 ? 1 : std::clamp(reported_load, kLeastReportedLoad, 1.0));
    sustained_[type] = std::max(current, sustained_[type] * kept);
  }
  if (!shared_sustained_ || *shared_sustained_ != sustained_) {
    shared_sustained_ = std::make_shared<const std::map<std::string, double>>(sustained_);
  }
}

// Where few requests arrive, health checks at the usual rate would cost more than the service is worth; the
// checks before an admission and the messages' latencies watch the endpoints there too.
Duration FleetStatisticsCollector::health_check_interval(int endpoints, TimePoint now) const {
  if (!settings_.load_value_index || arrivals_.empty()) {
    return 0;
  }
  return static_cast<Duration>(settings_.health_check_price * endpoints / kHealthCheckShare /
                               static_cast<double>(arrivals_.size()) *
                               static_cast<double>(now - arrivals_.front() + kSecond));
}

FleetStatisticsCollector::Result FleetStatisticsCollector::collect(
    const std::map<std::string, EndpointStatus>& statuses, TimePoint now) {
  const Totals totals = sum_up(statuses, now);
  FleetStatistics fleet;
  fleet.any_cold = totals.any_cold;
  if (totals.any_overloaded) {
    overloaded_at_ = now;
  }
  fleet.surge_rate = overloaded_at_ > 0 && now - overloaded_at_ < kFleetConditionHeld ? kSurgeRate : 0;
  if (totals.all.size > 0) {
    // With no endpoint of the own zone at weight a mean of nothing would close the others to a surge that
    // they have room for.
    fleet.mean_connections = totals.own_zone.size > 0 ? totals.own_zone.mean() : totals.all.mean();
    fleet.quota_per_size = settings_.total_connection_quota() / totals.all.size;
  }
  if (totals.own_zone_all_nodes.size > 0) {
    fleet.mean_connections_all_nodes = totals.own_zone_all_nodes.mean();
  }
  const double room = totals.all.size > 0 ? std::max(totals.not_slow_size / totals.all.size, kLeastRoom) : 0;
  // A node all of whose connections stand at leaving endpoints has to migrate them as well.
  const double connections = std::max(totals.all.connections, totals.leaving_connections);
  fleet.migration_budget = static_cast<int>(std::ceil(kMigrationShare * connections * room));
  if (totals.endpoints > 0) {
    fleet.mean_score = totals.scores / totals.endpoints;
    fleet.connections_per_endpoint =
        std::max(totals.all.connections / totals.endpoints, kConnectionsOverMean / settings_.node_count);
  }
  if (totals.reported_load.size > 0) {
    fleet.mean_reported_load = totals.reported_load.mean();
  }
  remember_sustained(totals, fleet.mean_reported_load, now);
  fleet.sustained_connections = shared_sustained_;
  fleet.health_check_interval = health_check_interval(totals.endpoints, now);
  fleet.is_isolated =
      fleet.mean_connections_all_nodes < 0 && fleet.connections_per_endpoint < kConnectionsOverMean;
  std::erase_if(selections_, [now](const auto& one) { return now - one.first > kSelectionWindow; });
  if (totals.all.size > 0) {
    fleet.selections_per_size = static_cast<double>(selections_.size()) / totals.all.size;
  }
  return {fleet, totals.endpoints, totals.degraded};
}

}  // namespace dapplewharf
