// What this node has sent to one endpoint of late, so that rates can be limited over any recent span.
#pragma once
#include <cstddef>
#include <deque>

#include "base/time.h"

namespace dapplewharf {

/// The latest pieces of work sent to an endpoint. Work is counted in connections: one new connection is 1.
class SentWorkWindow {
 public:
  void add(TimePoint now, double work);

  /// The work sent within the span before now.
  /// @param span ticks of 0.1 ms, with fractions.
  /// @param least_piece smaller pieces, such as health checks, are left out.
  [[nodiscard]] double sum_within(TimePoint now, double span, double least_piece) const;

 private:
  struct Piece {
    TimePoint sent_at;
    double work;
  };
  static constexpr std::size_t kMaxPieces = 400;

  std::deque<Piece> pieces_;  // oldest first
};

}  // namespace dapplewharf
