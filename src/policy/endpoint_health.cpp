// The health score that follows from an endpoint's two signals (policy/endpoint_health.h).
#include "policy/endpoint_health.h"

#include <algorithm>

namespace dapplewharf {
namespace {

constexpr Duration kPassiveSignalStaleAfter = kSecond;
constexpr double kScoreWithOneSignalDegraded = 50;

}  // namespace

void EndpointHealth::reset(double score_limit) {
  active_ = HealthSignal();
  passive_ = HealthSignal();
  score_limit_ = score_limit;
}

bool EndpointHealth::add_result(SignalSource source, bool succeeded) {
  return (source == SignalSource::active ? active_ : passive_).add_result(succeeded);
}

void EndpointHealth::record_check_outcome(Outcome outcome) {
  was_last_check_unanswered_ = outcome == Outcome::timed_out || outcome == Outcome::connect_failed;
}

bool EndpointHealth::checks_count_for_passive_signal(TimePoint now) const {
  return now - last_connection_outcome_ > kPassiveSignalStaleAfter && passive_.success_share() < 1;
}

double EndpointHealth::score() const {
  if (!active_.is_healthy() && !passive_.is_healthy()) {
    return 0;
  }
  const double worse_share = std::min(active_.success_share(), passive_.success_share());
  const bool both_healthy = active_.is_healthy() && passive_.is_healthy();
  return std::min(
      {kMaxScore * worse_share, score_limit_, both_healthy ? kMaxScore : kScoreWithOneSignalDegraded});
}

}  // namespace dapplewharf
