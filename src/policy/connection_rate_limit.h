// The new-connection rate limit during a surge. Connections that one endpoint drops come back at once and
// would overload the next endpoint; while that may happen, each endpoint admits new connections at a limited
// rate and the excess requests are rejected with Retry-After. Design: docs/design.md.
#pragma once
#include "base/time.h"
#include "policy/sent_work_window.h"
#include "policy/settings.h"

namespace dapplewharf {

/// What the limit for one endpoint depends on.
struct SurgeConditions {
  double size = 1;                // the endpoint's relative capacity
  int open_connections = 0;       // of this node, here
  double mean_connections = 0;    // of this node, for an endpoint of size 1
  double quota_per_size = 0;      // connections of all nodes that tenants' quotas grant, for size 1
  double surge_rate = 0;          // new connections a second, of the mean; 0: no surge, no limit
  bool reports_headroom = false;  // the endpoint itself reported little load just now
};

/// Whether an endpoint may be sent one more new connection of this node during a surge.
class ConnectionRateLimit {
 public:
  /// @param settings must outlive this object; read anew at each call.
  explicit ConnectionRateLimit(const Settings& settings) : settings_(settings) {}

  /// @param sent what this node has sent to the endpoint of late.
  [[nodiscard]] bool admits_connection(TimePoint now, const SurgeConditions& conditions,
                                       const SentWorkWindow& sent) const;

 private:
  [[nodiscard]] double connections_per_second(const SurgeConditions& conditions) const;

  const Settings& settings_;
};

}  // namespace dapplewharf
