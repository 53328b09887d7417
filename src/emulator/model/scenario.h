// A scenario: the deployment, its clients and the faults of a run, as values that are read from a TOML file
// and validated. One table of settings serves reading, overrides by name and the reference page. Nothing is
// drawn here. Names that end in _s are in seconds and in _ms in milliseconds of the run; shares are from 0
// to 1.
#pragma once
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace dapplewharf::emulator {

/// A position in a scenario's file, counted from 1; line 0: unknown.
struct SourcePosition {
  std::uint32_t line = 0, column = 0;
};

/// An error in the input. what() is one line: FILE:LINE:COLUMN: what is wrong; expected ...
struct InvalidInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A machine type.
struct HostKind {
  std::string name;
  double share = 1;  ///< of the hosts, relative to the other kinds
  double cores = 2;
  double speed = 1;  ///< of a core
};

struct TrafficType {
  std::string name;
  std::string effect = "idempotent";  ///< of a connection setup: idempotent, deduplicated or unrepeatable
  std::string repeat_group = "all";   ///< the endpoints that deduplicate a setup together: all, zone or cell
  double share = 1;                   ///< of the clients, relative to the other types
  double latency_goal_ms = 800;       ///< for establishing a connection
  double expiry_ms = 3000;            ///< the deadline of a request
  double message_goal_ms = 100;       ///< for a message and its answer
  double value = 1;                   ///< of a second of good service
  double load = 1;                    ///< mean load of a connection
  double mean_lifetime_s = 60;        ///< of a connection, exponentially distributed
  double setup_ms = 8;                ///< mean work of a connection setup, on a core of speed 1
  double repeat_window_ms = 5000;     ///< for how long endpoints deduplicate a setup
};

struct Tenant {
  std::string name;
  double share = 1;  ///< of the capacity that is granted to it, and of the clients
};

enum class FaultKind {
  silent,          ///< endpoints accept connections but read nothing
  slow,            ///< cores of hosts are slower by the factor `magnitude`
  failing,         ///< endpoints answer a share of the requests with an error
  hang,            ///< endpoints begin no setup
  vanish,          ///< hosts stop answering, and return with a fresh process
  restart,         ///< endpoints exit and return with a fresh process
  drain,           ///< endpoints send their clients away, then restart
  neighbour,       ///< another program uses a share of the hosts' cores, on and off
  reset,           ///< endpoints reset a share of the requests
  disconnect,      ///< stored as drop: a share of the clients lose their connections
  burst,           ///< clients arrive faster by the factor `magnitude`
  scale_out,       ///< stored as grow: more hosts join
  list_stale,      ///< the endpoint list service learns of changes later
  list_down,       ///< the endpoint list service does not answer
  node_killed,     ///< nodes end without warning and are restarted
  node_restarted,  ///< nodes are told to stop and are restarted
  node_reload,     ///< nodes reload their configuration
  zone_cut,        ///< no packets between two zones
  one_way,         ///< packets from the endpoints of one zone to the nodes of another are lost
  quiet_period,    ///< stored as hush: no client arrives and none leaves
  surge            ///< stored as crowd: to each node so many connections are opened that stay silent
};

struct Fault {
  FaultKind kind = FaultKind::slow;
  std::string name;  ///< the stored name of the kind
  double start_s = 0;
  double duration_s = 5;
  double share = 0;        ///< of the hosts or nodes that are affected, if none are named
  double magnitude = 0;    ///< its meaning depends on the kind
  double interval_s = 0;   ///< neighbour: of on and off; drain: between the hosts
  std::vector<int> hosts;  ///< affected ones, by index
  std::vector<int> nodes;  ///< affected ones, by index
  std::string from_zone;   ///< zone_cut and one_way
  std::string to_zone;     ///< zone_cut and one_way
  std::string drain_pace = "at_once";
  SourcePosition position;
};

/// All settings of a scenario; their meaning and their stored names are in the table in scenario.cpp.
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

/// Reads a scenario from a file and validates it; throws InvalidInput.
Scenario read_scenario(const std::string& path);
/// Parses a scenario and validates it; throws InvalidInput.
/// @param file the name to use in error messages.
Scenario parse_scenario(const std::string& text, const std::string& file);
/// Sets a setting by its name, such as "clients.standing"; throws InvalidInput if the name or the value is
/// invalid.
void set_setting(Scenario& scenario, const std::string& name, const std::string& value);
/// The table of settings as Markdown, for docs/scenario.md.
std::string settings_reference();
/// Whether faults of this kind affect particular hosts.
bool targets_hosts(FaultKind kind);
/// Whether faults of this kind affect particular nodes.
bool targets_nodes(FaultKind kind);

}  // namespace dapplewharf::emulator
