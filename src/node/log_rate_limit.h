// A limit on the rate of log lines. Events whose line is suppressed are still counted in the counters.
// Design: docs/design.md.
#pragma once
#include "base/event_loop.h"

namespace dapplewharf {

/// Allows `kLinesPerSecond` log lines in each second, so that a flood of malformed input cannot fill the log.
class LogRateLimit {
 public:
  explicit LogRateLimit(const EventLoop& loop) : loop_(loop) {}

  /// Returns whether one more line may be logged now, and counts it.
  [[nodiscard]] bool allow() {
    if (loop_.now() - second_started_at_ >= kSecond) {
      second_started_at_ = loop_.now();
      lines_ = 0;
    }
    return ++lines_ <= kLinesPerSecond;
  }

 private:
  static constexpr int kLinesPerSecond = 5;

  const EventLoop& loop_;
  TimePoint second_started_at_ = 0;
  int lines_ = 0;
};

}  // namespace dapplewharf
