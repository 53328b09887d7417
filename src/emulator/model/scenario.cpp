#include "emulator/model/scenario.h"

#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstring>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <variant>

namespace dapplewharf::emulator {
namespace {

// A setting: a number with its bounds, or a text that may be limited to a list of words.
template <class Target>
struct Setting {
  const char* section;  // "": top level
  const char* name;
  std::variant<double Target::*, std::string Target::*> field;
  double min, max;
  const char* words;  // the allowed ones, separated by blanks; "": any text
  const char* help;
};

const Setting<Scenario> kSettings[] = {
    {"", "name", &Scenario::name, 0, 0, "", "name in reports"},
    {"", "about", &Scenario::about, 0, 0, "", "purpose, in one sentence"},
    {"", "duration_s", &Scenario::duration_s, 1, 36000, "", "time during which clients arrive"},
    {"", "settle_s", &Scenario::settle_s, 0, 600, "", "initial time that the measurements exclude"},
    {"", "protocol", &Scenario::protocol, 0, 0, "line", "protocol of clients and hosts"},
    {"", "discovery", &Scenario::discovery, 0, 0, "platform", "source of the endpoint list"},
    {"hosts", "count", &Scenario::host_count, 1, 2000, "", "number of hosts at the start"},
    {"hosts", "per_core", &Scenario::connections_per_core, 1, 100000, "",
     "number of connections of load 1 that use a core of speed 1 fully"},
    {"hosts", "cap", &Scenario::max_connections_per_core, 1, 1000000, "", "limit of open connections"},
    {"hosts", "queue", &Scenario::max_queued_setups, 1, 1000000, "", "limit of waiting connection setups"},
    {"hosts", "cold_from", &Scenario::cold_capacity_share, 0.01, 1, "", "initial capacity share when cold"},
    {"hosts", "cold_s", &Scenario::warm_up_s, 0.1, 600, "", "time until a host is warm, linear growth"},
    {"hosts", "group_cost", &Scenario::group_overhead, 0, 100, "",
     "overhead of a host for each affinity group that has connections to it, in mean loads"},
    {"hosts", "probe_ms", &Scenario::health_check_work_ms, 0, 1000, "", "work of a health check"},
    {"hosts", "message_ms", &Scenario::message_service_ms, 0.1, 10000, "", "mean time of a message if idle"},
    {"hosts", "buffer_s", &Scenario::max_backlog_s, 0.05, 600, "", "backlog at which hosts shed load"},
    {"hosts", "speed_spread", &Scenario::speed_spread, 0, 1, "",
     "spread of the true speeds of hosts of one kind, as the deviation of a log-normal factor"},
    {"hosts", "sheds", &Scenario::shedding, 0, 0, "none newest", "connections that are shed first"},
    {"hosts", "goaway", &Scenario::drain_pace, 0, 0, "none paced at_once", "pace of draining a host"},
    {"nodes", "count", &Scenario::node_count, 1, 2000, "", "number of nodes"},
    {"nodes", "descriptors", &Scenario::node_descriptors, 64, 100000, "", "file descriptors per node (live)"},
    {"nodes", "memory_mb", &Scenario::node_memory_mb, 8, 100000, "", "configured memory limit (live)"},
    {"network", "same_ms", &Scenario::same_zone_delay_ms, 0, 1000, "", "one-way delay within a zone (sim)"},
    {"network", "cross_ms", &Scenario::cross_zone_delay_ms, 0, 1000, "", "one-way delay between zones"},
    {"network", "client_ms", &Scenario::client_delay_ms, 0, 1000, "", "one-way delay client to node (sim)"},
    {"network", "jitter", &Scenario::jitter, 0, 10, "", "largest random increase of a delay, share (sim)"},
    {"network", "loss", &Scenario::packet_loss, 0, 0.9, "", "share retransmitted after 200 ms (sim)"},
    {"network", "connect_ms", &Scenario::connect_timeout_ms, 1, 60000, "", "timeout of connecting to a host"},
    {"clients", "standing", &Scenario::initial_clients, 0, 1000000, "", "clients arriving in the ramp"},
    {"clients", "resumed", &Scenario::resumed_clients, 0, 1000000, "",
     "clients of the ramp that were connected before the run and name their host (live)"},
    {"clients", "ramp_s", &Scenario::ramp_s, 0, 3600, "", "length of the ramp"},
    {"clients", "arrivals_per_s", &Scenario::arrivals_per_s, -1, 1000000, "",
     "rate of arrivals after the ramp; -1: as many as leave"},
    {"clients", "line_every_s", &Scenario::message_interval_s, 0.02, 3600, "", "interval of messages (live)"},
    {"clients", "retries", &Scenario::max_quick_retries, 0, 100, "", "retries before a wait of about 5 s"},
    {"clients", "backoff", &Scenario::backoff, 0, 0, "none at_once after_wait",
     "delay of retries: after 5 s (none), at once, or by backoff_ms"},
    {"clients", "backoff_ms", &Scenario::backoff_ms, 1, 60000, "", "delay of a retry, doubled each time"},
    {"clients", "rejoin_ms", &Scenario::reconnect_delay_ms, 1, 60000, "", "delay after a lost connection"},
    {"clients", "honour", &Scenario::retry_after_honoured_share, 0, 1, "",
     "share of clients that honour the retry delay of a rejection"},
    {"clients", "leave", &Scenario::early_leave_share, 0, 1, "", "share of clients that leave early"},
    {"clients", "groups", &Scenario::group_count, 0, 1000000, "", "number of affinity groups; 0: none"},
    {"clients", "group_skew", &Scenario::group_skew, 0, 3, "", "Zipf exponent of the sizes of groups"},
    {"clients", "load_spread", &Scenario::load_spread, 0, 3, "", "log-normal deviation of loads"},
    {"clients", "swing", &Scenario::load_swing, 0, 3, "", "log-normal deviation of a load over time"},
    {"clients", "change_s", &Scenario::load_change_interval_s, 0.1, 3600, "", "interval of load changes"},
    {"clients", "notice_s", &Scenario::front_detection_s, 0, 60, "", "time until a dead node is noticed"},
    {"list", "mode", &Scenario::list_mode, 0, 0, "on_request pushed", "how nodes learn of changes"},
    {"list", "late_s", &Scenario::list_delay_s, 0, 600, "", "delay until the list contains a change"},
    {"list", "silent_s", &Scenario::list_removal_delay_s, 0, 600, "", "until a vanished host is removed"},
    {"list", "call_ms", &Scenario::list_response_ms, 0, 10000, "", "response time of a call to the list"},
    {"list", "ask_within_s", &Scenario::list_poll_limit_s, 0.5, 600, "",
     "time after its last call at which a polling node counts as notified"},
    {"rules", "drain_grace_ms", &Scenario::drain_grace_ms, 1, 60000, "",
     "time in which a notified node may still send requests to a leaving host"},
    {"rules", "fall_multiple", &Scenario::cold_failure_multiple, 1, 100, "",
     "rate of new connections at which a cold host fails, as a multiple of its present capacity"},
    {"rules", "fall_ms", &Scenario::cold_failure_window_ms, 100, 60000, "", "time window of that rate"},
    {"rules", "max_tries", &Scenario::max_attempts, 1, 20, "", "largest number of attempts for a request"},
    {"rules", "max_come_back_ms", &Scenario::max_retry_after_ms, 0, 60000, "",
     "longest retry delay that clients honour"},
    {"rules", "grace_to_answer_ms", &Scenario::grace_to_answer_ms, 0, 1000, "",
     "time after the deadline in which an answer still counts"},
    {"rules", "slack_ms", &Scenario::timing_slack_ms, 0, 1000, "", "tolerance of time limits (live)"},
};
const Setting<HostKind> kHostKinds[] = {
    {"hosts.kind", "name", &HostKind::name, 0, 0, "", "name in the endpoint list"},
    {"hosts.kind", "share", &HostKind::share, 0.0001, 1000, "",
     "share of the hosts, relative to the other kinds"},
    {"hosts.kind", "cores", &HostKind::cores, 0.1, 1024, "", ""},
    {"hosts.kind", "speed", &HostKind::speed, 0.01, 100, "", "of a core; cores x speed: nominal size"},
};
const Setting<TrafficType> kTraffic[] = {
    {"traffic", "name", &TrafficType::name, 0, 0, "", "name of the traffic type"},
    {"traffic", "share", &TrafficType::share, 0.0001, 1000, "",
     "share of the clients, relative to the other types"},
    {"traffic", "effect", &TrafficType::effect, 0, 0, "idempotent deduplicated unrepeatable",
     "effect of repeating a connection setup"},
    {"traffic", "repeat_group", &TrafficType::repeat_group, 0, 0, "all zone cell",
     "deduplicated: the hosts that recognise a repeated setup"},
    {"traffic", "repeat_window_ms", &TrafficType::repeat_window_ms, 0, 600000, "",
     "deduplicated: time for which they do"},
    {"traffic", "latency_goal_ms", &TrafficType::latency_goal_ms, 1, 600000, "",
     "latency objective of a connection setup"},
    {"traffic", "expiry_ms", &TrafficType::expiry_ms, 1, 600000, "", "deadline of a request"},
    {"traffic", "message_goal_ms", &TrafficType::message_goal_ms, 1, 600000, "",
     "latency objective of a message and its answer"},
    {"traffic", "value", &TrafficType::value, 0, 1000, "", "value of a second of good service"},
    {"traffic", "load", &TrafficType::load, 0.001, 1000, "", "mean load of a connection"},
    {"traffic", "life_s", &TrafficType::mean_lifetime_s, 0.5, 100000, "", "mean lifetime, exponential"},
    {"traffic", "setup_ms", &TrafficType::setup_ms, 0, 10000, "", "mean work of a connection setup"},
};
const Setting<Tenant> kTenants[] = {
    {"tenant", "name", &Tenant::name, 0, 0, "", ""},
    {"tenant", "share", &Tenant::share, 0.0001, 1, "", "share of the capacity and of the clients"},
};
const Setting<Fault> kFaults[] = {
    {"trouble", "kind", &Fault::name, 0, 0,
     "silent slow failing hang vanish restart drain neighbour reset drop burst grow list_stale list_down "
     "node_killed node_restarted node_reload zone_cut one_way hush crowd",
     "kind of the fault"},
    {"trouble", "at_s", &Fault::start_s, 0, 36000, "", "time at which it begins"},
    {"trouble", "for_s", &Fault::duration_s, 0.01, 36000, "", "duration"},
    {"trouble", "share", &Fault::share, 0, 1, "",
     "share of the hosts or nodes that are affected, drawn at random, unless they are named"},
    {"trouble", "size", &Fault::magnitude, 0, 1000, "", "magnitude, depending on the kind"},
    {"trouble", "every_s", &Fault::interval_s, 0, 3600, "",
     "neighbour: interval of on and off; drain: interval between hosts"},
    {"trouble", "zone", &Fault::from_zone, 0, 0, "", "zone_cut, one_way: the zone of the hosts"},
    {"trouble", "to", &Fault::to_zone, 0, 0, "", "zone_cut, one_way: the zone of the nodes"},
    {"trouble", "pace", &Fault::drain_pace, 0, 0, "none paced at_once",
     "drain: pace at which hosts send their clients away; default: hosts.goaway"},
};

// The stored names, in the order of FaultKind.
constexpr const char* kKindNames[] = {
    "silent",      "slow",           "failing",     "hang",     "vanish",  "restart",    "drain",
    "neighbour",   "reset",          "drop",        "burst",    "grow",    "list_stale", "list_down",
    "node_killed", "node_restarted", "node_reload", "zone_cut", "one_way", "hush",       "crowd"};
static_assert(std::size(kKindNames) == static_cast<std::size_t>(FaultKind::surge) + 1);

bool is_allowed(const char* words, const std::string& word) {
  std::istringstream in(words);
  for (std::string allowed; in >> allowed;) {
    if (allowed == word) {
      return true;
    }
  }
  return *words == 0;
}

std::string format_number(double value) {
  char text[40];
  std::snprintf(text, sizeof text, "%.10g", value);
  return text;
}

struct ScenarioReader {
  std::string file;  // for error messages

  [[noreturn]] void fail(SourcePosition position, const std::string& error) const {
    throw InvalidInput(file + ":" + std::to_string(position.line) + ":" + std::to_string(position.column) +
                       ": " + error);
  }
  static SourcePosition position_of(const toml::node& node) {
    return {node.source().begin.line, node.source().begin.column};
  }
  static SourcePosition position_of(const toml::key& key) {
    return {key.source().begin.line, key.source().begin.column};
  }

  template <class Target>
  void assign(Target& target, const Setting<Target>& setting, const toml::node& value) const {
    const std::string name = std::string(setting.section) + (*setting.section ? "." : "") + setting.name;
    if (const auto* number = std::get_if<double Target::*>(&setting.field)) {
      const auto parsed = value.value<double>();
      if (!value.is_number() || !parsed || !std::isfinite(*parsed)) {
        fail(position_of(value), "'" + name + "' is not a number; expected a number from " +
                                     format_number(setting.min) + " to " + format_number(setting.max));
      }
      if (*parsed < setting.min || *parsed > setting.max) {
        fail(position_of(value), "'" + name + "' is " + format_number(*parsed) + "; expected a number from " +
                                     format_number(setting.min) + " to " + format_number(setting.max));
      }
      target.** number = *parsed;
      return;
    }
    const auto parsed = value.value<std::string>();
    if (!value.is_string() || !parsed) {
      fail(position_of(value), "'" + name + "' is not a text; expected a text in quotes");
    }
    if (!is_allowed(setting.words, *parsed)) {
      fail(position_of(value), "'" + name + "' is '" + *parsed + "'; expected one of: " + setting.words);
    }
    target.*std::get<std::string Target::*>(setting.field) = *parsed;
  }

  template <class Target, std::size_t N>
  bool assign_by_name(Target& target, const Setting<Target> (&settings)[N], const char* section,
                      const toml::key& key, const toml::node& value) const {
    for (const Setting<Target>& setting : settings) {
      if (std::strcmp(setting.section, section) == 0 && key.str() == setting.name) {
        return assign(target, setting, value), true;
      }
    }
    return false;
  }

  template <class Target, std::size_t N>
  [[noreturn]] void fail_unknown_name(const Setting<Target> (&settings)[N], const char* section,
                                      const toml::key& key) const {
    std::string names;
    for (const Setting<Target>& setting : settings) {
      if (std::strcmp(setting.section, section) == 0) {
        names += std::string(names.empty() ? "" : ", ") + setting.name;
      }
    }
    fail(position_of(key), "unknown name '" + std::string(key.str()) + "'" +
                               (*section ? " in '" + std::string(section) + "'" : "") +
                               "; expected one of: " + names);
  }

  std::vector<int> parse_indices(const toml::node& value, const char* name) const {
    std::vector<int> out;
    const toml::array* list = value.as_array();
    if (!list || list->empty()) {
      fail(position_of(value), std::string("'") + name + "' is not a list; expected indices such as [0, 2]");
    }
    for (const toml::node& entry : *list) {
      const auto number = entry.value<std::int64_t>();
      if (!entry.is_integer() || !number || *number < 0 || *number > 100000) {
        fail(position_of(entry),
             std::string("'") + name + "' holds an invalid index; expected whole numbers from 0");
      }
      out.push_back(static_cast<int>(*number));
    }
    return out;
  }

  template <class Target, std::size_t N>
  std::vector<Target> parse_list(const toml::node& value, const Setting<Target> (&settings)[N],
                                 const char* section) const {
    std::vector<Target> out;
    const toml::array* array = value.as_array();
    if (!array) {
      fail(position_of(value), "'" + std::string(section) + "' is not a list; expected [[" + section + "]]");
    }
    for (const toml::node& entry : *array) {
      const toml::table* table = entry.as_table();
      if (!table) {
        fail(position_of(entry),
             "an entry of '" + std::string(section) + "' is not a table; expected [[" + section + "]]");
      }
      Target& item = out.emplace_back();
      if constexpr (std::is_same_v<Target, Fault>) {
        item.position = position_of(entry), item.drain_pace = "";
      }
      for (const auto& [key, inner] : *table) {
        if constexpr (std::is_same_v<Target, Fault>) {
          if (key.str() == "hosts") {
            item.hosts = parse_indices(inner, "hosts");
            continue;
          }
          if (key.str() == "nodes") {
            item.nodes = parse_indices(inner, "nodes");
            continue;
          }
        }
        if (!assign_by_name(item, settings, section, key, inner)) {
          fail_unknown_name(settings, section, key);
        }
      }
      if (item.name.empty()) {
        fail(position_of(entry), std::string("an entry of '") + section + "' has no '" +
                                     (std::is_same_v<Target, Fault> ? "kind" : "name") + "'; expected one");
      }
    }
    std::set<std::string> names;
    if constexpr (!std::is_same_v<Target, Fault>) {
      for (std::size_t i = 0; i < out.size(); ++i) {
        if (!names.insert(out[i].name).second) {
          fail(position_of((*array)[i]),
               "the name '" + out[i].name + "' occurs twice in '" + section + "'; expected unique names");
        }
      }
    }
    return out;
  }

  void parse_section(Scenario& scenario, const char* name, const toml::node& value) const {
    const toml::table* table = value.as_table();
    if (!table) {
      fail(position_of(value), "'" + std::string(name) + "' is not a section; expected [" + name + "]");
    }
    for (const auto& [key, inner] : *table) {
      if (std::strcmp(name, "hosts") == 0 && key.str() == "kind") {
        scenario.host_kinds = parse_list(inner, kHostKinds, "hosts.kind");
      } else if (std::strcmp(name, "network") == 0 && key.str() == "zones") {
        const toml::array* zones = inner.as_array();
        if (!zones || zones->empty()) {
          fail(position_of(inner), "'network.zones' is not a list of names; expected one such as [\"near\"]");
        }
        scenario.zones.clear();
        for (const toml::node& zone : *zones) {
          if (!zone.is_string()) {
            fail(position_of(zone), "a zone is not a text; expected a name in quotes");
          }
          scenario.zones.push_back(*zone.value<std::string>());
        }
        if (std::set<std::string>(scenario.zones.begin(), scenario.zones.end()).size() !=
            scenario.zones.size()) {
          fail(position_of(inner), "a zone occurs twice in 'network.zones'; expected unique names");
        }
      } else if (!assign_by_name(scenario, kSettings, name, key, inner)) {
        fail_unknown_name(kSettings, name, key);
      }
    }
  }

  void validate(Scenario& scenario) const {
    const SourcePosition file_start{1, 1};
    for (double count :
         {scenario.host_count, scenario.node_count, scenario.group_count, scenario.initial_clients}) {
      if (count != std::floor(count)) {
        fail(file_start, "a count is " + format_number(count) + "; expected a whole number");
      }
    }
    if (scenario.name.empty()) {
      fail(file_start, "the scenario has no 'name'; expected one");
    }
    if (scenario.traffic_types.empty()) {
      fail(file_start, "the scenario has no traffic type; expected at least one [[traffic]]");
    }
    if (scenario.host_kinds.empty()) {
      scenario.host_kinds.push_back({"plain", 1, 2, 1});
    }
    for (const TrafficType& type : scenario.traffic_types) {
      if (type.expiry_ms < type.latency_goal_ms) {
        fail(file_start, "traffic type '" + type.name +
                             "' expires before its latency goal; expected expiry_ms of at least " +
                             format_number(type.latency_goal_ms));
      }
    }
    if (scenario.ramp_s > scenario.duration_s) {
      fail(file_start, "'clients.ramp_s' is longer than 'duration_s'; expected at most that");
    }
    double shares = 0;
    for (const Tenant& tenant : scenario.tenants) {
      shares += tenant.share;
    }
    if (shares > 1.0001) {
      fail(file_start, "tenants' shares add up to " + format_number(shares) + "; expected at most 1");
    }
    for (Fault& fault : scenario.faults) {
      validate(scenario, fault);
    }
    reject_overlaps(scenario);
  }

  void validate(const Scenario& scenario, Fault& fault) const {
    const auto* found = std::find_if(std::begin(kKindNames), std::end(kKindNames),
                                     [&](const char* kind) { return fault.name == kind; });
    fault.kind = static_cast<FaultKind>(found - std::begin(kKindNames));
    if (fault.start_s >= scenario.duration_s) {
      fail(fault.position, "fault '" + fault.name + "' begins at " + format_number(fault.start_s) +
                               " s; expected a time before duration_s, " +
                               format_number(scenario.duration_s));
    }
    if (targets_hosts(fault.kind) && fault.hosts.empty() && fault.share * scenario.host_count < 0.5) {
      fail(fault.position,
           "fault '" + fault.name + "' affects no host; expected 'hosts' or a 'share' of at least one host");
    }
    if (targets_nodes(fault.kind) && fault.nodes.empty() && fault.share * scenario.node_count < 0.5) {
      fail(fault.position,
           "fault '" + fault.name + "' affects no node; expected 'nodes' or a 'share' of at least one node");
    }
    if (!targets_hosts(fault.kind) && !fault.hosts.empty()) {
      fail(fault.position, "fault '" + fault.name + "' does not affect single hosts; expected no 'hosts'");
    }
    if (!targets_nodes(fault.kind) && !fault.nodes.empty()) {
      fail(fault.position, "fault '" + fault.name + "' does not affect single nodes; expected no 'nodes'");
    }
    for (const int host : fault.hosts) {
      if (host >= scenario.host_count) {
        fail(fault.position, "there is no host " + std::to_string(host) + "; expected 0 to " +
                                 format_number(scenario.host_count - 1));
      }
    }
    for (const int node : fault.nodes) {
      if (node >= scenario.node_count) {
        fail(fault.position, "there is no node " + std::to_string(node) + "; expected 0 to " +
                                 format_number(scenario.node_count - 1));
      }
    }
    const bool cut = fault.kind == FaultKind::zone_cut || fault.kind == FaultKind::one_way;
    for (const std::string& zone : {fault.from_zone, fault.to_zone}) {
      if (cut ? !std::count(scenario.zones.begin(), scenario.zones.end(), zone) : !zone.empty()) {
        fail(fault.position,
             cut ? "there is no zone '" + zone + "'; expected 'zone' and 'to' out of network.zones"
                 : "fault '" + fault.name + "' does not affect zones; expected no 'zone' and no 'to'");
      }
    }
    if (cut && fault.from_zone == fault.to_zone && fault.kind == FaultKind::zone_cut) {
      fail(fault.position, "'zone' and 'to' are the same zone; expected two zones");
    }
    const auto check_magnitude = [&](double min, double max, double default_value) {
      if (fault.magnitude == 0) {
        fault.magnitude = default_value;
      }
      if (fault.magnitude < min || fault.magnitude > max) {
        fail(fault.position, "fault '" + fault.name + "' has size " + format_number(fault.magnitude) +
                                 "; expected " + format_number(min) + " to " + format_number(max));
      }
    };
    switch (fault.kind) {
      case FaultKind::slow:
        check_magnitude(1.01, 1000, 5);
        break;
      case FaultKind::failing:
        check_magnitude(0.01, 1, 0.5);
        break;
      case FaultKind::neighbour:
        check_magnitude(0.01, 0.99, 0.5);
        break;
      case FaultKind::reset:
        check_magnitude(0.01, 1, 0.5);
        break;
      case FaultKind::surge:
        check_magnitude(1, 10000, 100);
        break;
      case FaultKind::disconnect:
        check_magnitude(0.01, 1, 0.4);
        break;
      case FaultKind::burst:
        check_magnitude(1.01, 100, 3);
        break;
      case FaultKind::scale_out:
        check_magnitude(1, 1000, 2);
        break;
      case FaultKind::list_stale:
        check_magnitude(0.1, 600, 4);
        break;
      default:
        break;
    }
    if (fault.drain_pace.empty()) {
      fault.drain_pace = scenario.drain_pace;
    }
  }

  // Rejects two faults that stop the process of one host or node at the same time.
  void reject_overlaps(const Scenario& scenario) const {
    const auto stops = [](FaultKind kind) {
      return kind == FaultKind::vanish || kind == FaultKind::restart || kind == FaultKind::drain ||
             kind == FaultKind::silent || kind == FaultKind::node_killed || kind == FaultKind::node_restarted;
    };
    for (std::size_t i = 0; i < scenario.faults.size(); ++i) {
      for (std::size_t j = 0; j < i; ++j) {
        const Fault& a = scenario.faults[i];
        const Fault& b = scenario.faults[j];
        if (!stops(a.kind) || !stops(b.kind)) {
          continue;
        }
        if (a.start_s >= b.start_s + b.duration_s || b.start_s >= a.start_s + a.duration_s) {
          continue;
        }
        for (const auto& [left, right, what] :
             {std::tuple(&a.hosts, &b.hosts, "host"), std::tuple(&a.nodes, &b.nodes, "node")}) {
          for (const int index : *left) {
            if (std::count(right->begin(), right->end(), index)) {
              fail(a.position, "faults '" + a.name + "' and '" + b.name + "' (line " +
                                   std::to_string(b.position.line) + ") both stop " + what + " " +
                                   std::to_string(index) +
                                   " at the same time; expected times that do not overlap");
            }
          }
        }
      }
    }
  }
};

template <class Target, std::size_t N>
void append_rows(std::ostringstream& out, const Setting<Target> (&settings)[N]) {
  const Target defaults{};
  for (const Setting<Target>& setting : settings) {
    out << "| `" << setting.section << (*setting.section ? "." : "") << setting.name << "` | ";
    if (const auto* number = std::get_if<double Target::*>(&setting.field)) {
      out << format_number(setting.min) << " to " << format_number(setting.max) << " | "
          << format_number(defaults.**number);
    } else {
      out << (*setting.words ? setting.words : "text") << " | "
          << defaults.*std::get<std::string Target::*>(setting.field);
    }
    out << " | " << setting.help << " |\n";
  }
}

}  // namespace

bool targets_hosts(FaultKind kind) {
  return kind <= FaultKind::reset;
}
bool targets_nodes(FaultKind kind) {
  return kind >= FaultKind::node_killed && kind <= FaultKind::node_reload;
}

Scenario parse_scenario(const std::string& text, const std::string& file) {
  Scenario scenario;
  scenario.file = file;
  const ScenarioReader reader{file};
  toml::table table;
  try {
    table = toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    std::string what(error.description());
    std::replace(what.begin(), what.end(), '\n', ' ');
    reader.fail({error.source().begin.line, error.source().begin.column}, what + "; expected TOML");
  }
  for (const auto& [key, value] : table) {
    const std::string name(key.str());
    if (name == "hosts" || name == "nodes" || name == "network" || name == "clients" || name == "list" ||
        name == "rules") {
      reader.parse_section(scenario, name.c_str(), value);
    } else if (name == "traffic") {
      scenario.traffic_types = reader.parse_list(value, kTraffic, "traffic");
    } else if (name == "tenant") {
      scenario.tenants = reader.parse_list(value, kTenants, "tenant");
    } else if (name == "trouble") {
      scenario.faults = reader.parse_list(value, kFaults, "trouble");
    } else if (!reader.assign_by_name(scenario, kSettings, "", key, value)) {
      reader.fail_unknown_name(kSettings, "", key);
    }
  }
  reader.validate(scenario);
  return scenario;
}

Scenario read_scenario(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) {
    throw InvalidInput(path + ":0:0: the scenario cannot be read; expected a readable TOML file");
  }
  return parse_scenario(text.str(), path);
}

void set_setting(Scenario& scenario, const std::string& name, const std::string& value) {
  const std::size_t dot = name.rfind('.');
  const std::string section = dot == std::string::npos ? "" : name.substr(0, dot);
  const std::string key = dot == std::string::npos ? name : name.substr(dot + 1);
  double number = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
  const bool is_number = error == std::errc() && end == value.data() + value.size();
  const ScenarioReader reader{"--vary"};
  for (const Setting<Scenario>& setting : kSettings) {
    if (section == setting.section && key == setting.name) {
      if (is_number) {
        reader.assign(scenario, setting, toml::value<double>(number));
      } else {
        reader.assign(scenario, setting, toml::value<std::string>(value));
      }
      return reader.validate(scenario);
    }
  }
  throw InvalidInput("--vary:0:0: unknown name '" + name +
                     "'; expected one such as clients.standing, see docs/scenario.md");
}

std::string settings_reference() {
  std::ostringstream out;
  out << "| name | values | default | meaning |\n| --- | --- | --- | --- |\n";
  append_rows(out, kSettings);
  out << "| `network.zones` | names | [\"near\"] | zones, over which hosts and nodes are spread in turn |\n";
  append_rows(out, kHostKinds), append_rows(out, kTraffic), append_rows(out, kTenants),
      append_rows(out, kFaults);
  out << "| `trouble.hosts` | numbers from 0 | | the affected hosts, instead of a share |\n"
         "| `trouble.nodes` | numbers from 0 | | the affected nodes, instead of a share |\n";
  return out.str();
}

}  // namespace dapplewharf::emulator
