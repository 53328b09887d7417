// A single-threaded event loop: poll(2) on file descriptors, and timers ordered by their due time. It owns no
// sockets. It blocks only in poll, and it catches and logs exceptions that callbacks throw.
#pragma once
#include <poll.h>

#include <functional>
#include <map>

#include "base/slot_map.h"
#include "base/time.h"

namespace dapplewharf {

/// Calls callbacks when descriptors are ready and when deadlines pass.
class EventLoop {
 public:
  /// Called with the events that poll(2) returned for the descriptor.
  using ReadyCallback = std::function<void(short)>;
  using DueCallback = std::function<void()>;
  /// Identifies a scheduled callback. Callbacks that are due at the same time run in the order of `number`.
  struct Deadline {
    TimePoint when = 0;
    std::uint64_t number = 0;  ///< unique; 0 if nothing is scheduled
    auto operator<=>(const Deadline&) const = default;
  };

  EventLoop();
  /// The time of the current iteration: monotonic, and equal to Unix time when the loop was constructed.
  TimePoint now() const { return now_; }
  /// The system clock, since the Unix epoch.
  static TimePoint unix_now();
  /// The monotonic clock of this machine, which all its processes share.
  static TimePoint steady_now();
  /// Converts a time of `steady_now` to the clock of this loop.
  TimePoint from_steady(TimePoint steady) const { return steady_clock_offset_ + steady; }

  /// Starts polling a descriptor.
  /// @param events of poll(2), as in `pollfd::events`.
  Handle watch(int descriptor, short events, ReadyCallback ready);
  /// @param events of poll(2); with 0 the descriptor is not polled, so its closing is not reported either.
  void update_interest(Handle watched, short events);
  void unwatch(Handle watched) { watched_.erase(watched); }

  /// Schedules a callback; cancels the one that `deadline` identified before.
  void schedule(Deadline& deadline, TimePoint when, DueCallback due);
  void cancel(Deadline& deadline);

  /// Runs one iteration: polls once, calls the callbacks of ready descriptors, then those that are due.
  /// @param max_wait the longest time to block in poll.
  void run_once(Duration max_wait);
  /// How long after its due time the earliest deadline was noticed in the current iteration; 0 if none was
  /// due. A large value means that the process was suspended or starved of CPU time, so that durations
  /// measured meanwhile are too long.
  Duration lateness() const { return lateness_; }

 private:
  struct Watched {
    int descriptor = -1;
    short events = 0;
    ReadyCallback ready;
  };
  void update_time();
  void run_guarded(const DueCallback& callback) const;

  TimePoint steady_clock_offset_ = 0;  // of this loop's clock from the monotonic clock
  TimePoint now_ = 0;
  Duration lateness_ = 0;
  std::uint64_t last_number_ = 0;
  SlotMap<Watched> watched_;
  std::map<Deadline, DueCallback> deadlines_;
};

}  // namespace dapplewharf
