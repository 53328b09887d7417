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

struct Place {  // in a scenario's file; line 0: nowhere
  std::uint32_t line = 0, column = 0;
};

// Faults in input. what() is one line: FILE:LINE:COLUMN: what is wrong; what is expected.
struct BadInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct HostKind {  // of hosts
  std::string name;
  double share = 1, cores = 2, speed = 1;
};

struct Traffic {
  std::string name, effect = "idempotent", repeat_group = "all";
  double share = 1, latency_goal_ms = 800, expiry_ms = 3000, message_goal_ms = 100, value = 1, load = 1,
         life_s = 60, setup_ms = 8, repeat_window_ms = 5000;
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
  drop,
  burst,
  grow,
  list_stale,
  list_down,
  node_killed,
  node_restarted,
  node_reload,
  zone_cut,
  one_way,
  hush,
  crowd
};

struct Fault {
  FaultKind kind = FaultKind::slow;
  std::string name;  // of its kind
  double at_s = 0, for_s = 5, share = 0, size = 0, every_s = 0;
  std::vector<int> hosts, nodes;  // by number, from 0
  std::string zone, to, pace = "at_once";
  Place place;
};

struct Scenario {
  std::string file, name, about, protocol = "line", discovery = "platform";
  double duration_s = 20, settle_s = 0;
  // hosts
  double hosts = 8, per_core = 30, cap = 4000, queue = 200, cold_from = 0.35, cold_s = 6, group_cost = 0,
         probe_ms = 1, message_ms = 8, buffer_s = 2, speed_spread = 0.1;
  std::string sheds = "none", goaway = "at_once";
  // nodes
  double nodes = 2, descriptors = 4096, memory_mb = 192;
  // network
  std::vector<std::string> zones{"near"};
  double same_ms = 0.2, cross_ms = 4, client_ms = 0.8, jitter = 0.2, loss = 0, connect_ms = 250;
  // clients
  double resumed = 0, standing = 200, ramp_s = 3, arrivals_per_s = -1, line_every_s = 1, retries = 2,
         backoff_ms = 200, rejoin_ms = 300, honour = 0.8, leave = 0.03, groups = 60, group_skew = 0.7,
         load_spread = 0.5, swing = 0.3, change_s = 10, notice_s = 2;
  std::string backoff = "after_wait";
  // list
  std::string list_mode = "on_request";
  double list_late_s = 0.6, list_silent_s = 6, list_call_ms = 20, ask_within_s = 10;
  // rules
  double drain_grace_ms = 1500, fall_multiple = 2.5, fall_ms = 2000, max_tries = 4, max_come_back_ms = 1500,
         grace_to_answer_ms = 8, slack_ms = 50;
  std::vector<HostKind> kinds;
  std::vector<Traffic> traffic;
  std::vector<Tenant> tenants;
  std::vector<Fault> faults;
};

// Reads and checks the whole file; throws BadInput.
Scenario read_scenario(const std::string& path);
Scenario scenario_of(const std::string& text, const std::string& file);
// Sets one number or word by its name, such as "clients.standing"; throws BadInput where there is none such.
void vary(Scenario& scenario, const std::string& name, const std::string& value);
std::string reference();  // the table as Markdown, for docs/scenario.md
bool names_hosts(FaultKind kind);
bool names_nodes(FaultKind kind);

}  // namespace dapplewharf::emulator
