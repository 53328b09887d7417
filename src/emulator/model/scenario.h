// A scenario: what a deployment is made of and what goes wrong, as plain values, read from TOML and checked
// whole. Owns the one table of settings that reading, `--vary` and the reference page share; never draws
// anything. Units: `_s` seconds, `_ms` milliseconds of a scenario's time; shares run from 0 to 1.
#pragma once
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace dapplewharf::emulator {

struct SourcePosition {  // in a scenario's file; line 0: nowhere
  std::uint32_t line = 0, column = 0;
};

// Faults in input. what() is one line: FILE:LINE:COLUMN: what is wrong; what is expected.
struct InvalidInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct HostKind {  // of hosts
  std::string name;
  double share = 1, cores = 2, speed = 1;
};

struct TrafficType {
  std::string name, effect = "idempotent", repeat_group = "all";
  double share = 1, latency_goal_ms = 800, expiry_ms = 3000, message_goal_ms = 100, value = 1, load = 1,
         mean_lifetime_s = 60, setup_ms = 8, repeat_window_ms = 5000;
};

struct Tenant {
  std::string name;
  double share = 1;
};

enum class FaultKind {
  silent,
  slow,
  failing,
  hang,
  vanish,
  restart,
  drain,
  neighbour,
  reset,
  disconnect,
  burst,
  scale_out,
  list_stale,
  list_down,
  node_killed,
  node_restarted,
  node_reload,
  zone_cut,
  one_way,
  quiet_period,
  surge
};

struct Fault {
  FaultKind kind = FaultKind::slow;
  std::string name;  // of its kind
  double start_s = 0, duration_s = 5, share = 0, magnitude = 0, interval_s = 0;
  std::vector<int> hosts, nodes;  // by number, from 0
  std::string from_zone, to_zone, drain_pace = "at_once";
  SourcePosition position;
};

struct Scenario {
  std::string file, name, about, protocol = "line", discovery = "platform";
  double duration_s = 20, settle_s = 0;
  // hosts
  double host_count = 8, connections_per_core = 30, max_connections_per_core = 4000, max_queued_setups = 200,
         cold_capacity_share = 0.35, warm_up_s = 6, group_overhead = 0, health_check_work_ms = 1,
         message_service_ms = 8, max_backlog_s = 2, speed_spread = 0.1;
  std::string shedding = "none", drain_pace = "at_once";
  // nodes
  double node_count = 2, node_descriptors = 4096, node_memory_mb = 192;
  // network
  std::vector<std::string> zones{"near"};
  double same_zone_delay_ms = 0.2, cross_zone_delay_ms = 4, client_delay_ms = 0.8, jitter = 0.2,
         packet_loss = 0, connect_timeout_ms = 250;
  // clients
  double resumed_clients = 0, initial_clients = 200, ramp_s = 3, arrivals_per_s = -1, message_interval_s = 1,
         max_quick_retries = 2, backoff_ms = 200, reconnect_delay_ms = 300, retry_after_honoured_share = 0.8,
         early_leave_share = 0.03, group_count = 60, group_skew = 0.7, load_spread = 0.5, load_swing = 0.3,
         load_change_interval_s = 10, front_detection_s = 2;
  std::string backoff = "after_wait";
  // list
  std::string list_mode = "on_request";
  double list_delay_s = 0.6, list_removal_delay_s = 6, list_response_ms = 20, list_poll_limit_s = 10;
  // rules
  double drain_grace_ms = 1500, cold_failure_multiple = 2.5, cold_failure_window_ms = 2000, max_attempts = 4,
         max_retry_after_ms = 1500, grace_to_answer_ms = 8, timing_slack_ms = 50;
  std::vector<HostKind> host_kinds;
  std::vector<TrafficType> traffic_types;
  std::vector<Tenant> tenants;
  std::vector<Fault> faults;
};

// Reads and checks the whole file; throws InvalidInput.
Scenario read_scenario(const std::string& path);
Scenario parse_scenario(const std::string& text, const std::string& file);
// Sets one number or word by its name, such as "clients.standing"; throws InvalidInput where there is none
// such.
void set_setting(Scenario& scenario, const std::string& name, const std::string& value);
std::string settings_reference();  // the table as Markdown, for docs/scenario.md
bool targets_hosts(FaultKind kind);
bool targets_nodes(FaultKind kind);

}  // namespace dapplewharf::emulator
