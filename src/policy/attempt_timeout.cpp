#include "policy/attempt_timeout.h"

#include <algorithm>
#include <vector>

#include "base/keep_last.h"

namespace dapplewharf {
namespace {

constexpr std::size_t kSetupTimesKept = 40;
constexpr Duration kObjectiveDivisor = 3;  // of the objective, one part for each attempt
constexpr Duration kUsualTimeMultiple =
    3;  // an attempt within so many times the usual setup time is not given up

}  // namespace

void AttemptTimeout::record_setup(Duration setup_time) {
  keep_last(setup_times_, setup_time, kSetupTimesKept);
}

// Nine in ten setups are no slower.
Duration AttemptTimeout::usual_setup_time() const {
  if (setup_times_.empty()) {
    return 0;
  }
  std::vector<Duration> sorted(setup_times_.begin(), setup_times_.end());
  std::sort(sorted.begin(), sorted.end());
  return sorted[sorted.size() * 9 / 10];
}

Duration AttemptTimeout::with_retry(Duration left, std::optional<Duration> objective) const {
  const Duration wanted =
      std::max(objective.value_or(left) / kObjectiveDivisor, kUsualTimeMultiple * usual_setup_time());
  return std::clamp<Duration>(wanted, 1, std::max<Duration>(left, 1));
}

}  // namespace dapplewharf
