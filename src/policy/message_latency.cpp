// Conditions derived from an endpoint's last reported message latency (policy/message_latency.h).
#include "policy/message_latency.h"

#include <algorithm>
#include <cmath>

#include "policy/constants.h"

namespace dapplewharf {
namespace {

constexpr Duration kConnectionCapLifetime = 30 * kSecond;
// Messages are slow if their latency times this factor is over the objective.
constexpr double kSlowLatencyFactor = 3;
// A migration is worth its price if the share of messages over the objective is at least this multiple of the
// price.
constexpr double kMinBenefitOverPrice = 6.5;
constexpr double kMinMigrationPrice = 0.001;
constexpr double kMaxMigrationPrice = 0.05;

}  // namespace

double MessageLatency::objective() const {
  return static_cast<double>(settings_.min_message_latency_objective);
}

void MessageLatency::record(TimePoint now, double latency, int open_connections) {
  latency_ = latency;
  if (latency > objective()) {
    cap_ = ConnectionCap{.set_at = now, .connections = open_connections};
  }
  last_slow_report_at_.reset();
  if (latency * kSlowLatencyFactor > objective()) {
    last_slow_report_at_ = now;
  }
}

bool MessageLatency::is_slow(TimePoint now) const {
  return last_slow_report_at_ && now - *last_slow_report_at_ < kEndpointConditionLifetime;
}

TimePoint MessageLatency::slow_until() const {
  return last_slow_report_at_ ? *last_slow_report_at_ + kEndpointConditionLifetime : 0;
}

TimePoint MessageLatency::over_objective_until() const {
  return latency_ > objective() ? slow_until() : 0;
}

bool MessageLatency::exceeds_longest_deadline(TimePoint now) const {
  return is_slow(now) && latency_ > static_cast<double>(settings_.longest_deadline().value_or(kNever));
}

// If latencies are distributed exponentially with mean `latency`, a share of exp(-objective / latency) of the
// messages misses the objective.
bool MessageLatency::justifies_migration(TimePoint now) const {
  const double price = std::clamp(settings_.migration_price, kMinMigrationPrice, kMaxMigrationPrice);
  const double min_objective_share = std::clamp(-1 / std::log(kMinBenefitOverPrice * price), 0.5, 1.0);
  return is_slow(now) && latency_ > objective() * min_objective_share;
}

bool MessageLatency::is_at_connection_cap(TimePoint now, int open_connections) const {
  return cap_ && now - cap_->set_at < kConnectionCapLifetime && open_connections >= cap_->connections;
}

}  // namespace dapplewharf
