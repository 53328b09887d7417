// The phases of the node's shutdown after SIGTERM. Owns the times of the shutdown in progress; the node
// carries out what each phase requires. Pure: the caller passes the time. Design: docs/design.md.
#pragma once
#include <optional>

#include "base/time.h"

namespace dapplewharf {

// clang-format off
// | phase                  | begins                    | requests                | process exits        |
// | ---------------------- | ------------------------- | ----------------------- | -------------------- |
// | running                | at the start              | served                  | never                |
// | accepting_late_clients | with SIGTERM              | served to `answers_due` | never                |
// | finishing              | `kLateClientPeriod` later | served to `answers_due` | when nothing is left |
// | closing                | `requests_close_at`       | migrated or failed      | when nothing is left |
// | overdue                | `ends_by`                 | dropped                 | immediately          |
// clang-format on
enum class ShutdownPhase { running, accepting_late_clients, finishing, closing, overdue };

/// The times of a shutdown, in ticks of 0.1 ms on the event loop's clock.
class Shutdown {
 public:
  /// Starts the shutdown. The supervisor kills the process after the longest request deadline plus 0.7 s,
  /// both counted from SIGTERM, but no later than `kMaxRequestWait` plus 0.7 s. Requests and connections that
  /// are still in flight at that time are lost.
  /// @param longest_deadline the longest of all traffic types; nothing if the settings name none.
  /// @return false if a shutdown is already in progress, which continues unchanged.
  bool begin(TimePoint now, std::optional<Duration> longest_deadline);

  [[nodiscard]] bool in_progress() const { return began_at_.has_value(); }
  /// The phase at `now`.
  [[nodiscard]] ShutdownPhase phase(TimePoint now) const;
  /// When every request in flight should have been answered.
  [[nodiscard]] TimePoint answers_due() const { return ends_by_ - kAnswerMargin; }
  /// When connections and requests still in flight are migrated or failed.
  [[nodiscard]] TimePoint requests_close_at() const { return ends_by_ - kAnswerMargin / 2; }
  /// When the process exits at the latest.
  [[nodiscard]] TimePoint ends_by() const { return ends_by_; }

  /// For how long after SIGTERM clients may keep connecting.
  static constexpr Duration kLateClientPeriod = kSecond;
  static constexpr Duration kMaxRequestWait = 3 * kSecond;
  /// From the longest request deadline, or `kMaxRequestWait` if that is shorter, to the exit of this process.
  /// The supervisor kills the process 100 ms after that.
  static constexpr Duration kKillMargin = 600 * kMs;
  static constexpr Duration kAnswerMargin = 100 * kMs;  // between the last answers and the exit

 private:
  std::optional<TimePoint> began_at_;
  TimePoint ends_by_ = 0;
};

}  // namespace dapplewharf
