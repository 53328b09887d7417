// Sums of the work recently sent to an endpoint (policy/sent_work_window.h).
#include "policy/sent_work_window.h"

namespace dapplewharf {

void SentWorkWindow::add(TimePoint now, double work) {
  entries_.push_back({now, work});
  if (entries_.size() > kMaxEntries) {
    entries_.pop_front();
  }
}

double SentWorkWindow::sum_within(TimePoint now, double span, double min_work) const {
  double sum = 0;
  for (const Entry& entry : entries_) {
    const bool is_within_span = static_cast<double>(now - entry.sent_at) < span;
    sum += is_within_span && entry.work >= min_work ? entry.work : 0;
  }
  return sum;
}

}  // namespace dapplewharf
