// The timeout of a connection attempt that a retry may follow. An attempt that hangs has to leave time for
// another one within the setup latency objective; the last attempt may use all the time that is left. Owns
// the setup times of recently established connections; reads no clock. Times are in ticks of 0.1 ms.
#pragma once
#include <deque>
#include <optional>

#include "base/time.h"

namespace dapplewharf {

/// Computes attempt timeouts from recent setup times.
class AttemptTimeout {
 public:
  /// Records how long it took to establish a connection.
  void record_setup(Duration setup_time);

  /// The timeout of an attempt that another one may follow.
  /// @param time_left until the request's deadline.
  /// @param setup_latency_objective of the request, if it has one.
  /// @return from 1 tick to `time_left`.
  [[nodiscard]] Duration timeout_before_retry(Duration time_left,
                                              std::optional<Duration> setup_latency_objective) const;

 private:
  [[nodiscard]] Duration setup_time_p90() const;

  std::deque<Duration> setup_times_;
};

}  // namespace dapplewharf
