// The settings of the load-balancing policy, parsed once. The platform's JSON is read by
// config/platform_settings; docs/configuration.md names the setting behind each field. Times are in ticks of
// 0.1 ms, shares from 0 to 1.
#pragma once
#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/time.h"
#include "policy/retry_policy.h"

namespace dapplewharf {

/// A setting that is missing or of the wrong kind.
class SettingsError : public std::runtime_error {
 public:
  /// The setting is missing.
  explicit SettingsError(const std::string& setting);
  /// The setting has this value, and another kind of value is expected.
  SettingsError(const std::string& setting, const std::string& found, const std::string& expected);

  std::string setting;
  std::string found;     // empty: nothing
  std::string expected;  // empty: any value
};

/// Requests of one kind: how they may be repeated and how long their clients wait.
struct TrafficClass {
  std::string name;
  RepeatRule repeat_rule;
  std::optional<Duration> setup_latency_objective;
  std::optional<Duration> deadline;  // after its arrival a client gives up
};

struct Tenant {
  std::string name;                   // empty: only a quota is known
  std::optional<double> connections;  // quota of open connections, all nodes together
};

/// Retries that all requests of this node may take together within a window.
struct RetryBudgetSettings {
  double min_retries = 0;  // allowed whatever arrives
  double retry_ratio = 0;  // further ones, of the requests that arrived within the window
  Duration window = 0;
};

struct Settings {
  // The fleet of nodes, and this node's place in it.
  double node_count = 1;  // at least 1
  double node_index = 0;
  std::string zone;

  // Slow start: what a cold endpoint bears.
  double cold_capacity_share = 0;  // of its capacity, right after its start
  Duration warm_up_time = 0;
  Duration overload_window = 0;  // a cold endpoint is overloaded by what it gets within this time,
  double overload_multiple = 0;  // if that is more than so many times what it sustains

  // The endpoint list.
  Duration drain_grace =
      0;  // from the notice of a drain until nothing may go there; before that mid-connection requests only
  Duration notified_within = 0;   // a node counts as told so long after a change; 0: no such limit
  bool polls_endpoints = false;   // the list is asked for; otherwise changes come unasked
  bool only_drains_bind = false;  // a removed endpoint may be used while its health checks succeed
  bool weights_follow_load = false;

  // Requests.
  std::vector<TrafficClass> traffic;
  std::vector<Tenant> tenants;
  double max_attempts = 1;
  std::optional<RetryBudgetSettings> retry_budget;  // nothing: retries are not limited
  bool retry_after_allowed = false;
  Duration max_retry_after = 0;
  Duration connect_timeout = kSecond;

  // Endpoints.
  Duration shortest_message_objective = 0;  // of all message latency objectives; 0: none is set
  bool health_checks_allowed = false;
  std::optional<std::size_t>
      load_report_index;  // which figure of a health check's report is load over capacity

  // Prices, of all that service can be worth.
  double cross_zone_price = 0;
  double health_check_price = 0;
  double migration_price = 0;

  /// The traffic class of this name, null if there is none.
  [[nodiscard]] const TrafficClass* find_traffic(const std::string& name) const;
  /// The tenant of this name, null if there is none.
  [[nodiscard]] const Tenant* find_tenant(const std::string& name) const;
  /// The sum of all tenants' quotas of open connections.
  [[nodiscard]] double granted_connections() const;
  /// The longest time that any client waits; nothing where the first traffic class states none.
  [[nodiscard]] std::optional<Duration> longest_deadline() const;
};

}  // namespace dapplewharf
