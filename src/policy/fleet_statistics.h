// Statistics over all endpoints, computed on demand from their statuses: means, the surge limit, the
// migration budget and the sustainable connections of each machine type. FleetStatisticsCollector keeps the
// times of recent arrivals and selections, and the number of connections that each machine type has
// sustained. It reads no clock: the caller passes the time, in ticks of 0.1 ms. "Warm" endpoints are those
// that are past slow start and have a weight above kMinWeightForMeans.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/time.h"
#include "policy/endpoint_status.h"
#include "policy/settings.h"

namespace dapplewharf {

/// Means, limits and budgets over all endpoints in service, as observed by this node. "Per capacity" means
/// for an endpoint of capacity 1.
struct FleetStatistics {
  bool weights_frozen = false;
  double mean_score = 100;  // mean health score; the first score of a new endpoint
  /// New connections a second that an endpoint may get, as a share of mean_connections; 0: no limit.
  double surge_share_per_second = 0;
  /// Open connections of this node per capacity: in its own zone if an endpoint there has enough weight, else
  /// in all zones.
  double mean_connections = 0;
  /// Mean number of open connections of this node at one endpoint. At least kConnectionCountMargin divided by
  /// the number of nodes.
  double connections_per_endpoint = 1e9;
  /// This node cannot tell how loaded endpoints are: it has too few connections, and gossip is missing.
  bool is_load_unknown = false;
  /// Open connections of all nodes per capacity in this node's zone, by gossip; below 0: unknown.
  double mean_connections_all_nodes = -1;
  /// Mean load that warm endpoints report, as a share of their capacity; below 0: unknown.
  double mean_reported_load = -1;
  /// Shortest interval between health checks of an endpoint whose health is not suspect, such that the cost
  /// of all these checks stays within a fixed share of the value of service.
  Duration min_health_check_interval = 0;
  int migration_budget = 0;            // connections that may migrate within a second
  double selections_per_capacity = 0;  // within kSelectionWindow
  double group_selections = 0;  // selections within kSelectionWindow for the affinity group of the request
  /// Open connections of this node per capacity that warm endpoints sustain, by machine type; "" is over all
  /// types.
  std::shared_ptr<const std::map<std::string, double>> sustained_connections_by_type;
  bool has_endpoint_in_slow_start = false;
  /// Open connections of all nodes together, per capacity, that the tenants' quotas allow.
  double quota_per_capacity = 0;
};

/// Whether the endpoint counts as degraded for the freeze of weights: a low score outside slow start.
[[nodiscard]] bool is_degraded(const EndpointStatus& status, TimePoint now);

/// Computes FleetStatistics and keeps the history that they depend on.
class FleetStatisticsCollector {
 public:
  /// @param settings are read at each call and have to outlive this object.
  explicit FleetStatisticsCollector(const Settings& settings) : settings_(settings) {}

  /// Records the arrival of a request, or the start of this node.
  void count_arrival(TimePoint now);
  /// Records the selection of an endpoint for a request of this affinity group.
  void count_selection(TimePoint now, const std::optional<std::int64_t>& group);
  /// The number of recent selections for one affinity group.
  [[nodiscard]] double recent_selections_of(std::int64_t group) const;

  /// The statistics and the counts that decide whether weights are frozen.
  struct Result {
    FleetStatistics fleet;
    int endpoint_count = 0;  // in service
    int degraded_count = 0;  // of those
  };
  /// Computes the statistics from the present statuses of all endpoints.
  [[nodiscard]] Result collect(const std::map<std::string, EndpointStatus>& statuses, TimePoint now);

 private:
  // The sum of an amount (connections, or load weighted with capacity) and of the capacity that it refers to.
  struct CapacitySum {
    double amount = 0;
    double capacity = 0;
    void add(double more_amount, double more_capacity) {
      amount += more_amount;
      capacity += more_capacity;
    }
    [[nodiscard]] double mean() const { return amount / capacity; }
  };
  struct Totals {
    std::map<std::string, CapacitySum> warm_connections_by_type;
    CapacitySum connections;  // at endpoints in service
    // "Enough weight" means more than kMinWeightForMeans.
    CapacitySum warm_connections;                // at endpoints with enough weight that are past slow start
    CapacitySum own_zone_connections;            // at endpoints of this node's zone with enough weight
    CapacitySum own_zone_connections_all_nodes;  // the same, of all nodes, where gossip is available
    CapacitySum reported_load;                   // load times capacity, of warm endpoints that report it
    double score_sum = 0;
    double leaving_connections = 0;  // at endpoints that are not in service
    double not_slow_capacity = 0;    // of endpoints with enough weight
    int endpoint_count = 0;
    int degraded_count = 0;
    bool has_endpoint_in_slow_start = false;
    bool has_overloaded_endpoint = false;
  };
  [[nodiscard]] Totals compute_totals(const std::map<std::string, EndpointStatus>& statuses,
                                      TimePoint now) const;
  void add_in_service(Totals& totals, const EndpointStatus& status, TimePoint now) const;
  void update_sustained_connections(const Totals& totals, double mean_reported_load, TimePoint now);
  [[nodiscard]] Duration min_health_check_interval(int endpoint_count, TimePoint now) const;

  const Settings& settings_;
  std::deque<TimePoint> arrivals_;  // this node's start and the latest requests
  std::deque<std::pair<TimePoint, std::optional<std::int64_t>>> selections_;  // time and affinity group
  std::map<std::string, double> sustained_by_type_;  // connections per capacity, by machine type
  // A shared copy of sustained_by_type_ for FleetStatistics.
  std::shared_ptr<const std::map<std::string, double>> published_sustained_by_type_;
  TimePoint sustained_updated_at_ = 0;  // when sustained_by_type_ was last updated
  TimePoint last_overload_at_ = 0;      // when an endpoint was last observed to be overloaded
};

}  // namespace dapplewharf
