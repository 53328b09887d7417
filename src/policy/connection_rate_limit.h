// The rate limit on new connections during a surge. When an endpoint drops connections, their clients
// reconnect at once and would overload the next endpoint. While that may happen, each endpoint gets new
// connections at a limited rate, and further requests are rejected with Retry-After. Design: docs/design.md.
#pragma once
#include "base/time.h"
#include "policy/sent_work_window.h"
#include "policy/settings.h"

namespace dapplewharf {

/// The inputs for the rate limit of one endpoint.
struct SurgeConditions {
  double capacity = 1;          // of the endpoint, relative to a standard endpoint
  int open_connections = 0;     // of this node at the endpoint
  double mean_connections = 0;  // of this node at an endpoint of capacity 1
  /// Open connections of all nodes together that the tenants' quotas allow, per endpoint of capacity 1.
  double quota_per_capacity = 0;
  /// New connections a second, as a share of mean_connections; 0: no surge, no limit.
  double surge_share_per_second = 0;
  bool reports_headroom = false;  // the endpoint recently reported spare capacity
};

/// Limits the rate at which this node opens connections to one endpoint during a surge.
class ConnectionRateLimit {
 public:
  /// @param settings are read at each call and must outlive this object.
  explicit ConnectionRateLimit(const Settings& settings) : settings_(settings) {}

  /// Whether this node may open one more connection to the endpoint now.
  /// @param sent the work that this node has recently sent to the endpoint.
  [[nodiscard]] bool admits_connection(TimePoint now, const SurgeConditions& conditions,
                                       const SentWorkWindow& sent) const;

 private:
  [[nodiscard]] double connections_per_second(const SurgeConditions& conditions) const;

  const Settings& settings_;
};

}  // namespace dapplewharf
