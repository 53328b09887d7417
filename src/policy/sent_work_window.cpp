// Sums over the latest pieces of work sent to an endpoint (policy/sent_work_window.h).
#include "policy/sent_work_window.h"

namespace dapplewharf {

void SentWorkWindow::add(TimePoint now, double work) {
  pieces_.push_back({now, work});
  if (pieces_.size() > kMaxPieces) {
    pieces_.pop_front();
  }
}

double SentWorkWindow::sum_within(TimePoint now, double span, double least_piece) const {
  double sum = 0;
  for (const Piece& piece : pieces_) {
    const bool within = static_cast<double>(now - piece.sent_at) < span;
    sum += within && piece.work >= least_piece ? piece.work : 0;
  }
  return sum;
}

}  // namespace dapplewharf
