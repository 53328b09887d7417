// The virtual clock of a simulated run and its queue of events. No real clock is read.
// See docs/emulator.md.
#pragma once
#include <queue>
#include <vector>

#include "base/time.h"
#include "emulator/sim/sim_event.h"

namespace dapplewharf::emulator {

/// Orders events by their times; events with the same time keep the order in which they were scheduled.
class EventQueue {
 public:
  /// The virtual time since the run began.
  TimePoint now() const { return now_; }

  /// Schedules an event; a time in the past counts as now.
  void schedule(TimePoint when, SimEvent event);

  /// Whether an event is due at `last` or before.
  bool has_event_until(TimePoint last) const;

  /// Removes the next event and sets the clock to its time. The queue must not be empty.
  SimEvent take_next();

  /// Sets the clock to the end of the run.
  void advance_to(TimePoint when) { now_ = when; }

 private:
  struct Entry {
    TimePoint when;
    std::uint64_t sequence;
    SimEvent event;
  };
  struct Later {
    bool operator()(const Entry& left, const Entry& right) const {
      return left.when != right.when ? left.when > right.when : left.sequence > right.sequence;
    }
  };

  TimePoint now_ = 0;
  std::uint64_t next_sequence_ = 0;
  std::priority_queue<Entry, std::vector<Entry>, Later> entries_;
};

}  // namespace dapplewharf::emulator
