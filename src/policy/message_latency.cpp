// Verdicts on an endpoint's last reported message latency (policy/message_latency.h).
#include "policy/message_latency.h"

#include <algorithm>
#include <cmath>

#include "policy/constants.h"

namespace dapplewharf {
namespace {

constexpr Duration kCapHeldFor = 30 * kSecond;
constexpr double kSlowFactor = 3;  // messages count as slow from a third of their objective on
// A migration is worth its price from so many times that price on, as a share of messages over the objective.
constexpr double kMigrationWorth = 6.5;
constexpr double kLeastMigrationPrice = 0.001;
constexpr double kMostMigrationPrice = 0.05;

}  // namespace

double MessageLatency::objective() const {
  return static_cast<double>(settings_.min_message_latency_objective);
}

void MessageLatency::record(TimePoint now, double latency, int open_connections) {
  latency_ = latency;
  if (latency > objective()) {
    cap_ = ConnectionCap{.set_at = now, .connections = open_connections};
  }
  slow_report_at_.reset();
  if (latency * kSlowFactor > objective()) {
    slow_report_at_ = now;
  }
}

bool MessageLatency::slow(TimePoint now) const {
  return slow_report_at_ && now - *slow_report_at_ < kConditionHeld;
}

TimePoint MessageLatency::slow_until() const {
  return slow_report_at_ ? *slow_report_at_ + kConditionHeld : 0;
}

TimePoint MessageLatency::over_objective_until() const {
  return latency_ > objective() ? slow_until() : 0;
}

bool MessageLatency::over_every_deadline(TimePoint now) const {
  return slow(now) && latency_ > static_cast<double>(settings_.longest_deadline().value_or(kNever));
}

// With latencies spread exponentially, exp(-objective / latency) of the messages miss the objective.
bool MessageLatency::justifies_migration(TimePoint now) const {
  const double price = std::clamp(settings_.migration_price, kLeastMigrationPrice, kMostMigrationPrice);
  const double from_objective_share = std::clamp(-1 / std::log(kMigrationWorth * price), 0.5, 1.0);
  return slow(now) && latency_ > objective() * from_objective_share;
}

bool MessageLatency::at_connection_cap(TimePoint now, int open_connections) const {
  return cap_ && now - cap_->set_at < kCapHeldFor && open_connections >= cap_->connections;
}

}  // namespace dapplewharf
