#include "policy/attempt_timeout.h"

#include <algorithm>
#include <vector>

#include "base/keep_last.h"

namespace dapplewharf {
namespace {

constexpr std::size_t kSetupTimesKept = 40;
constexpr Duration kAttemptsPerObjective = 3;  // attempts that are to fit into one setup latency objective
constexpr Duration kMinTimeoutMultiple =
    3;  // the timeout is no shorter than this multiple of setup_time_p90()

}  // namespace

void AttemptTimeout::record_setup(Duration setup_time) {
  keep_last(setup_times_, setup_time, kSetupTimesKept);
}

// The 90th percentile of the recorded setup times; 0 if there are none.
Duration AttemptTimeout::setup_time_p90() const {
  if (setup_times_.empty()) {
    return 0;
  }
  std::vector<Duration> sorted(setup_times_.begin(), setup_times_.end());
  std::sort(sorted.begin(), sorted.end());
  return sorted[sorted.size() * 9 / 10];
}

Duration AttemptTimeout::timeout_before_retry(Duration time_left,
                                              std::optional<Duration> setup_latency_objective) const {
  const Duration timeout = std::max(setup_latency_objective.value_or(time_left) / kAttemptsPerObjective,
                                    kMinTimeoutMultiple * setup_time_p90());
  return std::clamp<Duration>(timeout, 1, std::max<Duration>(time_left, 1));
}

}  // namespace dapplewharf
