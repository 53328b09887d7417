// The work that this node has recently sent to one endpoint, for limiting its rate over any recent time span.
#pragma once
#include <cstddef>
#include <deque>

#include "base/time.h"

namespace dapplewharf {

/// The latest work sent to an endpoint, up to kMaxEntries entries. The unit of work is one new connection.
class SentWorkWindow {
 public:
  /// Adds one entry.
  /// @param work in new connections; a health check is a fraction of one.
  void add(TimePoint now, double work);

  /// The sum of the work sent within the span before now; an entry exactly `span` old is not included.
  /// @param span ticks of 0.1 ms, with fractions.
  /// @param min_work entries with less work, such as health checks, are not included.
  [[nodiscard]] double sum_within(TimePoint now, double span, double min_work) const;

 private:
  struct Entry {
    TimePoint sent_at;
    double work;
  };
  static constexpr std::size_t kMaxEntries = 400;

  std::deque<Entry> entries_;  // oldest first
};

}  // namespace dapplewharf
