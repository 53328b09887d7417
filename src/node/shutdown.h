// The phases of the node's end after SIGTERM. Owns the times of the shutdown in progress, if any; sends
// nothing and ends nothing itself. Pure: the caller gives the time. Design: docs/design.md.
//
//  | phase                  | from                                | what happens | | ---------------------- |
//  ----------------------------------- | --------------------------------------------- | | running | start |
//  requests are served                           | | accepting_late_clients | SIGTERM | as before, each
//  answered by `answers_due`     | | finishing              | kLateClients after it               | as
//  before; ends once nothing is in flight     | | closing                | `requests_close_at` | what is in
//  flight is migrated or failed       | | overdue                | `ends_by`                           |
//  ends, whatever is in flight                   |
//
// A node whose last request ends while it is `closing` ends as in `finishing`.
#pragma once
#include <optional>

#include "base/time.h"

namespace dapplewharf {

enum class ShutdownPhase { running, accepting_late_clients, finishing, closing, overdue };

/// Times are in ticks of 0.1 ms on the event loop's clock.
class Shutdown {
 public:
  /// Starts the shutdown. The supervisor kills the process 0.7 s after the longest request deadline, or after
  /// `kLongestWait` and 0.7 s: what is in flight then is lost.
  /// @param longest_deadline of all traffic types; nothing when the settings name none.
  /// @return false when a shutdown is in progress already; it goes on unchanged.
  bool begin(Tenths now, std::optional<Tenths> longest_deadline);

  [[nodiscard]] bool in_progress() const { return began_at_.has_value(); }
  [[nodiscard]] ShutdownPhase phase(Tenths now) const;
  /// By when every request in flight should be answered.
  [[nodiscard]] Tenths answers_due() const { return ends_by_ - kAnswerMargin; }
  /// When what is still in flight is migrated or failed.
  [[nodiscard]] Tenths requests_close_at() const { return ends_by_ - kAnswerMargin / 2; }
  /// When the process ends at the latest.
  [[nodiscard]] Tenths ends_by() const { return ends_by_; }

  static constexpr Tenths kLateClients = kSecond;  // clients go on connecting that long after SIGTERM
  static constexpr Tenths kLongestWait = 3 * kSecond;
  static constexpr Tenths kKillMargin = 600 * kMs;
  static constexpr Tenths kAnswerMargin = 100 * kMs;

 private:
  std::optional<Tenths> began_at_;
  Tenths ends_by_ = 0;
};

}  // namespace dapplewharf
