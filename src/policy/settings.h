// The settings of the load-balancing policy in typed form. config/platform_settings reads them from the
// platform's JSON; docs/configuration.md names the setting behind each field. Times are in ticks of 0.1 ms,
// shares are from 0 to 1.
#pragma once
#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/time.h"
#include "policy/retry_policy.h"

namespace dapplewharf {

/// A setting is missing or its value is of the wrong kind.
class SettingsError : public std::runtime_error {
 public:
  /// The setting with this path is missing.
  explicit SettingsError(const std::string& setting);
  /// @param setting path of the setting, for example /guarantees/coldMs.
  /// @param found its present value, as JSON text.
  /// @param expected the kind of value that it must have, for example "a number".
  SettingsError(const std::string& setting, const std::string& found, const std::string& expected);

  std::string setting;
  std::string found;     // empty: the setting is missing
  std::string expected;  // empty: any kind of value
};

/// A class of requests: how they may be repeated and how long their clients wait.
struct TrafficClass {
  std::string name;
  RepeatRule repeat_rule;
  std::optional<Duration> setup_latency_objective;
  std::optional<Duration> deadline;  // from a request's arrival until its client gives up
};

/// A tenant and its quota.
struct Tenant {
  std::string name;                        // empty: only the quota is known
  std::optional<double> connection_quota;  // open connections at all nodes together
};

/// How many retries all requests of this node together may use within a window.
struct RetryBudgetSettings {
  double min_retries = 0;  // allowed even if no request arrives
  double retry_ratio = 0;  // further retries, as a ratio of the requests that arrived within the window
  Duration window = 0;
};

/// All settings of the policy.
struct Settings {
  // The number of nodes, and the index and zone of this node.
  double node_count = 1;  // at least 1
  double node_index = 0;  // from 0
  std::string zone;

  // Slow start: the load that a cold endpoint can take.
  double cold_capacity_share = 0;  // share of its capacity that an endpoint has right after its start
  Duration warm_up_time = 0;       // from its start until it has its full capacity
  // A cold endpoint is overloaded if the work sent to it within the window exceeds this multiple of the work
  // that it can sustain.
  Duration overload_window = 0;
  double overload_multiple = 0;

  // The endpoint list.
  // The time from the notice that an endpoint drains until no request may be sent there. Before that time has
  // passed, only mid-connection requests may be sent there.
  Duration drain_grace = 0;
  // The time after a change of the endpoint list when a node counts as notified of the change; 0: no limit.
  Duration notification_limit = 0;
  // The policy decides when to request the list; otherwise the service pushes changes.
  bool polls_endpoint_list = false;
  bool may_use_removed_endpoints = false;  // while their health checks succeed
  bool weights_follow_load = false;        // an endpoint's weight is the part of its capacity not in use

  // Requests.
  std::vector<TrafficClass> traffic;
  std::vector<Tenant> tenants;
  double max_attempts = 1;                          // of one request, its first attempt included
  std::optional<RetryBudgetSettings> retry_budget;  // absent: no limit on retries
  bool retry_after_allowed = false;                 // rejections may name a time to wait
  Duration max_retry_after = 0;
  Duration connect_timeout = kSecond;

  // Endpoints.
  Duration min_message_latency_objective = 0;  // the shortest one that is set; 0: none is set
  bool health_checks_allowed = false;
  // Which of the values that a health check reports is the endpoint's load, as a share of its capacity.
  std::optional<std::size_t> load_value_index;

  // The price of each health check, migration and zone crossing, as a share of the highest possible value of
  // service.
  double cross_zone_price = 0;
  double health_check_price = 0;
  double migration_price = 0;

  /// The traffic class of this name, null if there is none.
  [[nodiscard]] const TrafficClass* find_traffic(const std::string& name) const;
  /// The tenant of this name, null if there is none.
  [[nodiscard]] const Tenant* find_tenant(const std::string& name) const;
  /// The sum of all tenants' quotas of open connections, at all nodes together.
  [[nodiscard]] double total_connection_quota() const;
  /// The longest deadline of all traffic classes; absent if the first one has none.
  [[nodiscard]] std::optional<Duration> longest_deadline() const;
};

}  // namespace dapplewharf
