// The score of an endpoint's two health signals (policy/endpoint_health.h).
#include "policy/endpoint_health.h"

#include <algorithm>

namespace dapplewharf {
namespace {

constexpr Duration kPassiveSignalStaleAfter = kSecond;
constexpr double kScoreWithOneSignalDegraded = 50;

}  // namespace

void EndpointHealth::start_over(double inherited_score) {
  active_ = HealthSignal();
  passive_ = HealthSignal();
  inherited_score_ = inherited_score;
}

bool EndpointHealth::add_result(SignalSource source, bool succeeded) {
  return (source == SignalSource::active ? active_ : passive_).add(succeeded);
}

void EndpointHealth::note_check_outcome(Outcome outcome) {
  last_check_unanswered_ = outcome == Outcome::timed_out || outcome == Outcome::connect_failed;
}

bool EndpointHealth::checks_count_as_connections(TimePoint now) const {
  return now - last_connection_outcome_ > kPassiveSignalStaleAfter && passive_.success_share() < 1;
}

double EndpointHealth::score() const {
  if (!active_.healthy() && !passive_.healthy()) {
    return 0;
  }
  const double worse_share = std::min(active_.success_share(), passive_.success_share());
  const bool both_healthy = active_.healthy() && passive_.healthy();
  return std::min(
      {kFullScore * worse_share, inherited_score_, both_healthy ? kFullScore : kScoreWithOneSignalDegraded});
}

}  // namespace dapplewharf
