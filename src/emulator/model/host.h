// The performance model of an endpoint's host, which simulated and live runs share: queued connection setups,
// the backlog of message work, the warm-up of a fresh process, its failure under too many setups while it is
// cold, and the latency of messages. It owns its setup queue and its load; it has no sockets and no events,
// and gets the time from its caller. Work is in seconds of a core of speed 1.
#pragma once
#include <deque>
#include <map>
#include <vector>

#include "base/time.h"
#include "emulator/model/plan.h"

namespace dapplewharf::emulator {

/// The condition of an endpoint's process or machine.
enum class EndpointCondition {
  up,
  silent,    ///< accepts connections and keeps them open, but reads nothing
  vanished,  ///< its machine is gone; nothing answers
  down       ///< its process has ended; connections are reset
};

class HostModel {
 public:
  HostModel(const Scenario& scenario, const Plan& plan, const PlannedHost& planned);

  /// Starts a fresh process, without connections and setups.
  /// @param is_cold whether it still has to warm up.
  void start(TimePoint now, bool is_cold);
  /// Does the work that is possible until `now`.
  void advance(TimePoint now);

  /// Identifies a queued connection setup.
  using SetupId = std::uint64_t;
  bool is_setup_queue_full() const { return queue_.size() >= max_queued_setups_; }
  /// Queues a connection setup behind those that wait.
  /// @param work in seconds of a core of speed 1.
  SetupId add_setup(double work);
  /// @return the setups that have been completed since the last call, in order.
  std::vector<SetupId> take_completed_setups();
  /// Removes a setup that is no longer needed.
  void cancel_setup(SetupId setup);
  /// When `advance` has to be called next for the setup queue; an hour from now if the queue is empty.
  TimePoint next_advance() const;

  /// Counts an established connection.
  /// @param load in mean connections.
  /// @param group the affinity group, or -1 for none.
  void add_connection(double load, int group);
  void remove_connection(double load, int group);
  /// Changes the load of an established connection.
  /// @param change in mean connections.
  void change_load(double change) { load_ += change / connections_per_core_; }

  /// Records that a setup has arrived, if the process is cold.
  /// @return the setups within the failure window over the number that a cold process survives, where more
  /// than 1 means that the process fails; 0 for a warm process.
  double record_setup_arrival();
  bool is_cold() const;
  /// The share of its capacity that the process has by now, from 0 to 1.
  double warm_up_factor() const;
  /// In cores of speed 1, under the present faults.
  double capacity() const;
  /// The work that connections cause, in cores of speed 1.
  double load() const { return load_ + held_groups_ * work_per_group_; }
  /// How long messages wait for the work before them, in seconds.
  double backlog_s() const;
  /// The response time of a health check now.
  double health_check_ms() const;
  /// The mean time of a message, without the backlog before it.
  double mean_service_ms() const;
  /// The share of messages that are answered within a time.
  double share_within(double goal_ms) const;
  /// The delay that a share of the messages does not exceed.
  double delay_quantile_ms(double share) const;

  double slowdown = 1;         ///< by faults: the factor by which the cores are slower
  double neighbour_share = 0;  ///< by faults: the share of the cores that another program uses

 private:
  void advance_step(TimePoint to);
  double service_time_factor() const;
  double setup_capacity() const;

  double cores_;
  double speed_;
  double connections_per_core_;
  double cold_capacity_share_;
  double message_s_;
  double health_check_s_;
  double work_per_group_;
  double cold_failure_multiple_;
  double full_connections_;  // of mean load, that fill the host
  std::size_t max_queued_setups_;
  Duration warm_up_time_;
  Duration cold_failure_window_;
  TimePoint now_ = 0;
  TimePoint started_ = -1;       // below 0: long ago, so that the process is warm
  double load_ = 0;              // of connections, without the overhead of groups
  double backlog_ = 0;           // work of connections that is overdue
  double setup_work_added_ = 0;  // since the start
  double setup_work_done_ = 0;   // since the start
  std::map<int, int> connections_by_group_;
  double held_groups_ = 0;
  struct QueuedSetup {
    SetupId id;
    double completed_at;  // the value of setup_work_done_ at which it is complete
  };
  std::deque<QueuedSetup> queue_;
  SetupId last_setup_ = 0;
  std::deque<TimePoint> cold_arrivals_;  // of setups within the failure window
};

}  // namespace dapplewharf::emulator
