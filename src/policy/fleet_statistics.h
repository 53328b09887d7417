// What the endpoints add up to, worked out from their statuses when somebody needs it: means, surge limit,
// migration budget, sustainable connections by machine type. Owns the recent arrivals and selections and what
// machine types have sustained. Pure: the caller gives the time, in ticks of 0.1 ms.
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

/// Means, limits and budgets over all endpoints in service, as this node sees them.
struct FleetStatistics {
  bool weights_frozen = false;
  double mean_score = 100;  // mean of the endpoints' scores, where a new endpoint starts
  double surge_rate =
      0;  // new connections a second that an endpoint takes, of the mean_connections; 0: no limit
  double mean_connections = 0;            // open connections for a size of 1, in this node's own zone
  double connections_per_endpoint = 1e9;  // open connections for one endpoint, at least two of all nodes
  bool is_isolated =
      false;  // endpoints hold next to nothing of this node, and of other nodes nothing is known
  double mean_connections_all_nodes =
      -1;  // open connections of all nodes for a size of 1, by gossip; below 0: unknown
  double mean_reported_load = -1;  // of warm endpoints over their capacity, as reported; below 0: unknown
  Duration health_check_interval =
      0;                           // least time between steady health checks of an endpoint, for their price
  int migration_budget = 0;        // connections that may migrate within a second
  double selections_per_size = 0;  // selections lately, for a size of 1
  double group_selections = 0;     // for a selection: how many of them were for its affinity group
  /// Open connections of this node that a warm endpoint of size 1 sustains, by machine type; "" over all
  /// types.
  std::shared_ptr<const std::map<std::string, double>> sustained_connections;
  bool any_cold = false;
  double quota_per_size = 0;  // open connections for a size of 1 that the tenants' quotas allow, of all nodes
};

/// An endpoint that weights count as degraded: low score, and not for being cold.
[[nodiscard]] bool is_degraded(const EndpointStatus& status, TimePoint now);

class FleetStatisticsCollector {
 public:
  /// @param settings are read at each call and have to outlive this object.
  explicit FleetStatisticsCollector(const Settings& settings) : settings_(settings) {}

  /// A request arrived, or this node started.
  void count_arrival(TimePoint now);
  /// An endpoint was sought for a request of this affinity group.
  void count_selection(TimePoint now, const std::optional<std::int64_t>& group);
  /// Recent selections for one affinity group.
  [[nodiscard]] double selections_of(std::int64_t group) const;

  struct Result {
    FleetStatistics fleet;
    int endpoints = 0;  // in service
    int degraded = 0;   // of those
  };
  [[nodiscard]] Result collect(const std::map<std::string, EndpointStatus>& statuses, TimePoint now);

 private:
  struct Sum {
    double connections = 0;
    double size = 0;
    void add(double more_connections, double more_size) {
      connections += more_connections;
      size += more_size;
    }
    [[nodiscard]] double mean() const { return connections / size; }
  };
  struct Totals {
    std::map<std::string, Sum> warm_by_type;
    Sum all;                 // in service
    Sum warm;                // at weight, and past slow start
    Sum own_zone;            // at weight
    Sum own_zone_all_nodes;  // at weight, where gossip tells
    Sum reported_load;       // load times size, of warm ones that report it
    double scores = 0;
    double leaving_connections = 0;
    double not_slow_size = 0;  // at weight
    int endpoints = 0;
    int degraded = 0;
    bool any_cold = false;
    bool any_overloaded = false;
  };
  [[nodiscard]] Totals sum_up(const std::map<std::string, EndpointStatus>& statuses, TimePoint now) const;
  void add_in_service(Totals& totals, const EndpointStatus& status, TimePoint now) const;
  void remember_sustained(const Totals& totals, double reported_load, TimePoint now);
  [[nodiscard]] Duration health_check_interval(int endpoints, TimePoint now) const;

  const Settings& settings_;
  std::deque<TimePoint> arrivals_;  // this node's start, then the last requests
  std::deque<std::pair<TimePoint, std::optional<std::int64_t>>> selections_;  // with their affinity group
  std::map<std::string, double> sustained_;                                   // by machine type
  std::shared_ptr<const std::map<std::string, double>> shared_sustained_;     // the same, as last handed out
  TimePoint sustained_at_ = 0;
  TimePoint overloaded_at_ = 0;  // when an endpoint was last seen overloaded
};

}  // namespace dapplewharf
