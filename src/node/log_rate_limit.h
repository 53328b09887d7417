// Limits how many lines of one kind go into the log. Owns the count of the current second; the counters have
// every event. Design: docs/design.md.
#pragma once
#include "base/event_loop.h"

namespace dapplewharf {

/// Allows a few log lines in each second, so that a flood of malformed input cannot fill the log.
class LogRateLimit {
 public:
  explicit LogRateLimit(const EventLoop& loop) : loop_(loop) {}

  /// Whether one more line may be logged now; counts it.
  [[nodiscard]] bool allow() {
    if (loop_.now() - second_began_ >= kSecond) {
      second_began_ = loop_.now();
      lines_ = 0;
    }
    return ++lines_ <= kLinesPerSecond;
  }

 private:
  static constexpr int kLinesPerSecond = 5;

  const EventLoop& loop_;
  Tenths second_began_ = 0;
  int lines_ = 0;
};

}  // namespace dapplewharf
