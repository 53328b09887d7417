// Connection shedding: moving connections off an endpoint that is overloaded, unresponsive or leaving, a part
// at a time, so that what stays is served again. Design: docs/design.md.
#pragma once
#include <optional>

#include "base/time.h"

namespace dapplewharf {

/// Why an endpoint sheds connections. Where several apply the first counts.
enum class SheddingReason {
  unresponsive,   // it serves nobody any more: everything is to go
  leaving,        // it drains or has been removed
  over_objective  // messages miss their objective
};

/// One step of shedding.
struct SheddingBatch {
  double share = 0;             // of the connections that stood when shedding began, in all so far; up to 1
  bool starts_episode = false;  // no shedding was going on before
};

/// When connections are to migrate off one endpoint, and what share of them.
class ConnectionShedding {
 public:
  /// Decides on the next step, if one is due. To be called only while there is a reason to shed.
  /// @param weights_frozen most endpoints are in trouble: only a leaving endpoint sheds then.
  /// @param leaving the endpoint drains or has been removed, whatever the reason is.
  /// @return nothing while no step is due.
  std::optional<SheddingBatch> next_batch(TimePoint now, SheddingReason reason, bool leaving,
                                          bool weights_frozen);

  /// The earliest time of the next step.
  [[nodiscard]] TimePoint next_batch_at() const { return next_batch_at_; }

 private:
  TimePoint next_batch_at_ = 0;
  TimePoint episode_started_at_ = 0;
};

}  // namespace dapplewharf
