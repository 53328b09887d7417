// The steps in which connections migrate off an endpoint (policy/connection_shedding.h).
#include "policy/connection_shedding.h"

#include <cmath>

#include "policy/constants.h"

namespace dapplewharf {
namespace {

constexpr Duration kBatchInterval = 500 * kMs;  // time to see what the last batch has changed
constexpr double kBatchShare = 0.15;            // of what is left

}  // namespace

std::optional<SheddingBatch> ConnectionShedding::next_batch(TimePoint now, SheddingReason reason,
                                                            bool leaving, bool weights_frozen) {
  if (now < next_batch_at_) {
    return {};
  }
  const bool starts_episode = now - next_batch_at_ > kConditionHeld;
  if (starts_episode) {
    episode_started_at_ = now;
  }
  if (weights_frozen && !leaving) {
    return {};
  }
  if (reason == SheddingReason::unresponsive) {
    next_batch_at_ = now + kTimerInterval;
    return SheddingBatch{.share = 1, .starts_episode = starts_episode};
  }
  next_batch_at_ = now + kBatchInterval;
  const Duration steps = (now - episode_started_at_) / kBatchInterval + 1;
  return SheddingBatch{.share = 1 - std::pow(1 - kBatchShare, steps), .starts_episode = starts_episode};
}

}  // namespace dapplewharf
