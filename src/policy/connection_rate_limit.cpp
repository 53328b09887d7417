// The rate of new connections for one endpoint during a surge (policy/connection_rate_limit.h).
#include "policy/connection_rate_limit.h"

#include <algorithm>

#include "policy/constants.h"

namespace dapplewharf {
namespace {

constexpr double kMinFleetRate = 2;          // connections a second, of all nodes together
constexpr double kHeadroomFactor = 4;        // so many times the rate where the endpoint reports headroom
constexpr double kHarmlessQuotaShare = 0.7;  // of this node's part of the quota: below, no surge does harm

}  // namespace

bool ConnectionRateLimit::admits_connection(TimePoint now, const SurgeConditions& conditions,
                                            const SentWorkWindow& sent) const {
  if (conditions.surge_rate == 0) {
    return true;
  }
  const double harmless =
      kHarmlessQuotaShare * conditions.quota_per_size * conditions.size / settings_.node_count;
  if (conditions.open_connections + kConnectionsOverMean < harmless) {
    return true;
  }
  const double rate = connections_per_second(conditions);
  const double span = kSecond / std::min(1.0, rate);
  return sent.sum_within(now, span, 1) + 1 <= std::max(1.0, rate);
}

double ConnectionRateLimit::connections_per_second(const SurgeConditions& conditions) const {
  const double least = kMinFleetRate / settings_.node_count;
  const double rate = std::max(least, conditions.surge_rate * conditions.mean_connections * conditions.size);
  return conditions.reports_headroom ? rate * kHeadroomFactor : rate;
}

}  // namespace dapplewharf
