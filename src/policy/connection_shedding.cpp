// The batches in which connections migrate off an endpoint (policy/connection_shedding.h).
#include "policy/connection_shedding.h"

#include <cmath>

#include "policy/constants.h"

namespace dapplewharf {
namespace {

constexpr Duration kBatchInterval = 500 * kMs;  // time for the last batch to take effect
constexpr double kBatchShare = 0.15;            // of the remaining connections

}  // namespace

std::optional<SheddingBatch> ConnectionShedding::next_batch(TimePoint now, SheddingReason reason,
                                                            bool is_leaving, bool weights_frozen) {
  if (now < next_batch_at_) {
    return {};
  }
  const bool starts_episode = now - next_batch_at_ > kEndpointConditionLifetime;
  if (starts_episode) {
    episode_started_at_ = now;
  }
  if (weights_frozen && !is_leaving) {
    return {};
  }
  if (reason == SheddingReason::unresponsive) {
    next_batch_at_ = now + kTimerInterval;
    return SheddingBatch{.cumulative_share = 1, .starts_episode = starts_episode};
  }
  next_batch_at_ = now + kBatchInterval;
  const Duration batches = (now - episode_started_at_) / kBatchInterval + 1;
  return SheddingBatch{.cumulative_share = 1 - std::pow(1 - kBatchShare, batches),
                       .starts_episode = starts_episode};
}

}  // namespace dapplewharf
