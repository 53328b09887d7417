// EndpointSet manages the endpoints of the endpoint list. It passes each endpoint its entry of the list,
// wakes up endpoints whose periodic work is due, and decides when weights are frozen. It keeps the endpoints'
// last statuses, the watch on the list (endpoint_list_watch), the selections that wait for the list and the
// statistics over all endpoints (fleet_statistics). docs/design.md describes the freeze of weights.
#pragma once
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "policy/endpoint_list_watch.h"
#include "policy/fleet_statistics.h"
#include "policy/messages.h"

namespace dapplewharf {

/// Manages the endpoint list, the selections that wait for it, the wake-ups and the freeze of weights.
class EndpointSet {
 public:
  explicit EndpointSet(PolicyContext& context);

  /// Handles one message; posts to endpoints, the selector and the request table.
  void handle_message(const EndpointSetMessage& message);

 private:
  void handle(const EndpointsCached& message);
  void handle(const EndpointsSnapshot& message);
  void handle(const EndpointsUpdate& message);
  void handle(const EndpointWatchFailed& message);
  void handle(const EndpointListFreshnessChanged& message);
  void handle(const ShutdownStarted& message);
  void handle(const TimerFired& message);
  void handle(const EndpointStatusChanged& message);
  void handle(const SelectEndpoints& message);

  void select(SelectEndpoints selection);
  void hold(SelectEndpoints selection);
  void release_held_selections();
  void reject_held_selections_if_due();
  [[nodiscard]] Duration time_to_set_up() const;
  void replace_list(const std::vector<EndpointEntry>& entries);
  void update_list(const std::vector<EndpointEntry>& entries);
  void separate_load_from_weight(EndpointListed& message);
  void watch_list_if_due();
  void migrate_for_shutdown();
  void set_timer();
  [[nodiscard]] FleetStatistics collect_statistics();

  PolicyContext& context_;
  EndpointListWatch list_watch_;
  FleetStatisticsCollector statistics_;
  std::map<std::string, EndpointStatus> statuses_;
  std::set<std::string> known_endpoints_;  // all that a list has named so far
  // The largest weight that a list has named, by machine type; only if weights follow load.
  std::map<std::string, double> largest_weight_by_type_;
  std::set<std::pair<TimePoint, std::string>> wake_up_queue_;  // endpoints, by the time of their next wake-up
  // The selections that wait for the endpoint list, by the time at which they are given up.
  std::multimap<TimePoint, SelectEndpoints> held_selections_;
  bool weights_frozen_ = false;
  bool is_freeze_check_due_ = false;  // a status change may freeze or unfreeze weights
  TimePoint timer_expires_at_ = 0;    // when the last timer that was set expires
  TimePoint timer_fired_at_ = 0;
  TimePoint shutdown_started_at_ = 0;  // 0: this node is not shutting down
};

}  // namespace dapplewharf
