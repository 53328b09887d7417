// Connection shedding: migrating connections off an endpoint that is overloaded, unresponsive or leaving, in
// batches, so that an overloaded endpoint can serve the remaining ones again. Design: docs/design.md.
#pragma once
#include <optional>

#include "base/time.h"

namespace dapplewharf {

/// Why an endpoint sheds connections. If several reasons apply, the first in this order is used.
enum class SheddingReason {
  unresponsive,   // it answers nothing, so all connections are to migrate
  leaving,        // it drains or has been removed
  over_objective  // too many messages miss their latency objective
};

/// One batch of connections to shed.
struct SheddingBatch {
  // Share (0 to 1) of the connections that existed at the start of the shedding episode. This batch and the
  // earlier ones together migrate this share. An episode is a series of batches without a pause longer than
  // kEndpointConditionLifetime.
  double cumulative_share = 0;
  bool starts_episode = false;  // the endpoint was not shedding before
};

/// Schedules the batches in which connections migrate off one endpoint.
class ConnectionShedding {
 public:
  /// Returns the next batch if one is due. To be called only while there is a reason to shed.
  /// @param is_leaving whether the endpoint drains or has been removed; `reason` may still be another one.
  /// @param weights_frozen whether weights are frozen; only a leaving endpoint sheds then.
  /// @return nothing if no batch is due.
  std::optional<SheddingBatch> next_batch(TimePoint now, SheddingReason reason, bool is_leaving,
                                          bool weights_frozen);

  /// The earliest time of the next batch.
  [[nodiscard]] TimePoint next_batch_at() const { return next_batch_at_; }

 private:
  TimePoint next_batch_at_ = 0;
  TimePoint episode_started_at_ = 0;
};

}  // namespace dapplewharf
