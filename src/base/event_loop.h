// The one loop: poll(2) over all descriptors, and all deadlines in one ordered structure. Owns neither
// sockets nor what is done when one is ready; never blocks but in poll, and never lets an exception past the
// call that it was thrown in.
#pragma once
#include <poll.h>

#include <functional>
#include <map>

#include "base/slot_map.h"
#include "base/time.h"

namespace dapplewharf {

class EventLoop {
 public:
  using ReadyCallback = std::function<void(short)>;  // is given what poll found
  using DueCallback = std::function<void()>;
  struct Deadline {
    TimePoint when = 0;
    std::uint64_t number = 0;  // 0: none
    auto operator<=>(const Deadline&) const = default;
  };

  EventLoop();
  // Steady, and counted from Unix time as it was when the loop was made.
  TimePoint now() const { return now_; }
  static TimePoint unix_now();
  // For processes that share a beginning: the machine's steady clock, and a time on it as this loop counts.
  static TimePoint steady_now();
  TimePoint from_steady(TimePoint steady) const { return start_ + steady; }

  Handle watch(int descriptor, short events, ReadyCallback ready);
  void update_interest(Handle watched, short events);  // 0: nothing, not even its end
  void unwatch(Handle watched) { watched_.erase(watched); }

  void schedule(Deadline& deadline, TimePoint when, DueCallback due);  // in place of what stood there
  void cancel(Deadline& deadline);

  void run_once(Duration longest);  // one poll and what it found, then what is due
  // By how much this turn came too late for what was due: the process was held up, and so were all that it
  // measures.
  Duration lateness() const { return late_; }

 private:
  struct Watched {
    int descriptor = -1;
    short events = 0;
    ReadyCallback ready;
  };
  void tick();
  void run(const DueCallback& what) const;

  TimePoint start_ = 0, now_ = 0;
  Duration late_ = 0;
  std::uint64_t numbers_ = 0;
  SlotMap<Watched> watched_;
  std::map<Deadline, DueCallback> deadlines_;
};

}  // namespace dapplewharf
