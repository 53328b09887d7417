// A host as both drivers play it: work that is piled up and done in turn, warm-up, falling over, the time
// that a message takes. Owns its queue and its load, in the driver's time; knows no sockets and no events.
// Work is in seconds of a core of speed 1.
#pragma once
#include <deque>
#include <map>
#include <vector>

#include "base/time.h"
#include "emulator/model/plan.h"

namespace dapplewharf::emulator {

/// What is left of an endpoint's process or machine.
enum class EndpointCondition {
  up,
  silent,    // accepts and reads nothing, and holds its connections
  vanished,  // its machine is gone; nothing answers
  down       // its process has ended; connections are reset
};

class HostModel {
 public:
  HostModel(const Scenario& scenario, const Plan& plan, const PlannedHost& planned);

  void start(TimePoint now, bool cold);  // a fresh process: nothing held
  void advance(TimePoint now);

  using SetupId = std::uint64_t;  // a set-up
  bool is_setup_queue_full() const { return queue_.size() >= queue_most_; }
  SetupId add_setup(double work);                // in turn behind those that wait
  std::vector<SetupId> take_completed_setups();  // that have come out since the last call
  void cancel_setup(SetupId work);               // nobody waits for it any more
  TimePoint next_advance() const;                // when to look again; far away if nothing is in the queue

  void add_connection(double load, int group);
  void remove_connection(double load, int group);
  void change_load(double by) { load_ += by / per_core_; }

  // New work has come; its share of what pushes a cold host over, from 0. Over 1 it falls.
  double record_setup_arrival();
  bool is_cold() const;
  double warm_up_factor() const;
  double capacity() const;  // cores of speed 1, as of now
  double load() const { return load_ + groups_held_ * group_work_; }
  double backlog_s() const;                      // that messages wait for what lies before them
  double health_check_ms() const;                // that a probe takes now
  double mean_service_ms() const;                // mean of a message's own time
  double share_within(double goal_ms) const;     // share of messages
  double delay_quantile_ms(double share) const;  // below which that share of messages stays

  double slowdown = 1, neighbour_share = 0;  // faults: times slower; share that another program takes

 private:
  void step(TimePoint to);
  double stretch() const;
  double left() const;  // of its capacity for set-ups

  double cores_, speed_, per_core_, cold_from_, message_s_, probe_s_, group_work_, fall_multiple_,
      full_connections_;
  std::size_t queue_most_;
  Duration cold_time_, fall_time_;
  TimePoint now_ = 0, started_ = -1;  // started_ below 0: long ago
  double load_ = 0, piled_ = 0;       // work of connections that should have been done by now
  double come_ = 0, done_ = 0;        // all work of set-ups
  std::map<int, int> groups_;
  double groups_held_ = 0;
  struct Waiting {
    SetupId number;
    double until;  // of done_
  };
  std::deque<Waiting> queue_;
  SetupId numbers_ = 0;
  std::deque<TimePoint> pushes_;
};

}  // namespace dapplewharf::emulator
