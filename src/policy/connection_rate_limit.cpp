// The rate of new connections to one endpoint during a surge (policy/connection_rate_limit.h).
#include "policy/connection_rate_limit.h"

#include <algorithm>

#include "policy/constants.h"

namespace dapplewharf {
namespace {

constexpr double kMinRateOfAllNodes = 2;   // connections a second
constexpr double kHeadroomRateFactor = 4;  // multiple of the rate if the endpoint reports spare capacity
constexpr double kUnlimitedQuotaShare =
    0.7;  // share of this node's part of the quotas; an endpoint that holds less is not limited

}  // namespace

bool ConnectionRateLimit::admits_connection(TimePoint now, const SurgeConditions& conditions,
                                            const SentWorkWindow& sent) const {
  if (conditions.surge_share_per_second == 0) {
    return true;
  }
  const double unlimited_connections =
      kUnlimitedQuotaShare * conditions.quota_per_capacity * conditions.capacity / settings_.node_count;
  if (conditions.open_connections + kConnectionCountMargin < unlimited_connections) {
    return true;
  }
  const double rate = connections_per_second(conditions);
  const double span = kSecond / std::min(1.0, rate);
  return sent.sum_within(now, span, 1) + 1 <= std::max(1.0, rate);
}

double ConnectionRateLimit::connections_per_second(const SurgeConditions& conditions) const {
  const double min_rate = kMinRateOfAllNodes / settings_.node_count;
  const double rate = std::max(
      min_rate, conditions.surge_share_per_second * conditions.mean_connections * conditions.capacity);
  return conditions.reports_headroom ? rate * kHeadroomRateFactor : rate;
}

}  // namespace dapplewharf
