// How long an attempt may take. An attempt that hangs has to leave time for another one within the setup
// latency objective; the last one may use all the time that is left. Owns the setup times of the last
// established connections. Pure; times are in ticks of 0.1 ms.
#pragma once
#include <deque>
#include <optional>

#include "base/time.h"

namespace dapplewharf {

class AttemptTimeout {
 public:
  /// A connection was established after this time.
  void record_setup(Duration setup_time);

  /// The timeout of an attempt that may be followed by another one.
  /// @param left until the request's deadline.
  /// @param objective the request's setup latency objective, if it has one.
  [[nodiscard]] Duration with_retry(Duration left, std::optional<Duration> objective) const;

 private:
  [[nodiscard]] Duration usual_setup_time() const;

  std::deque<Duration> setup_times_;
};

}  // namespace dapplewharf
