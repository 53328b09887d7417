// The endpoints of the list: passes the list on to each endpoint, wakes those that are due, and says when
// weights are frozen. Owns the endpoints' last statuses, the watch on the list (endpoint_list_watch) and what
// they add up to (fleet_statistics). docs/design.md describes the freeze of weights.
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

class EndpointSet {
 public:
  explicit EndpointSet(PolicyContext& context);

  /// Handles one message; posts to endpoints, the selector and the request table.
  void read(const EndpointSetMessage& message);

 private:
  void handle(const EndpointsCached& message);
  void handle(const EndpointsSnapshot& message);
  void handle(const EndpointsUpdate& message);
  void handle(const EndpointWatchFailed& message);
  void handle(const ShutdownStarted& message);
  void handle(const TimerFired& message);
  void handle(const StatusChanged& message);
  void handle(const SelectEndpoints& message);

  void replace_list(const std::vector<EndpointEntry>& entries);
  void update_list(const std::vector<EndpointEntry>& entries);
  void separate_load_from_weight(EndpointListed& message);
  void ask_for_list();
  void migrate_for_shutdown();
  void set_timer();
  [[nodiscard]] FleetStatistics statistics();

  PolicyContext& context_;
  EndpointListWatch list_watch_;
  FleetStatisticsCollector statistics_;
  std::map<std::string, EndpointStatus> statuses_;
  std::set<std::string> listed_;
  std::map<std::string, double> largest_weight_;         // of each machine type, where weights follow load
  std::set<std::pair<TimePoint, std::string>> wake_at_;  // the endpoints that want to be woken
  bool weights_frozen_ = false;
  bool freeze_to_check_ = false;  // a status has changed in what freezes weights
  TimePoint timer_at_ = 0;        // when the timer that was set last expires
  TimePoint timer_fired_at_ = 0;
  TimePoint shutdown_at_ = 0;  // 0: this node does not shut down
};

}  // namespace dapplewharf
