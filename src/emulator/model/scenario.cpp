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

// What a setting is: a number with its bounds, or a word out of a list.
template <class Thing>
struct Setting {
  const char* section;  // "" : at the top
  const char* name;
  std::variant<double Thing::*, std::string Thing::*> at;
  double least, most;
  const char* words;  // allowed, with blanks between; "": any
  const char* help;
};

const Setting<Scenario> kSettings[] = {
    {"", "name", &Scenario::name, 0, 0, "", "what reports call it"},
    {"", "about", &Scenario::about, 0, 0, "", "a sentence on what it shows"},
    {"", "duration_s", &Scenario::duration_s, 1, 36000, "", "how long clients come"},
    {"", "settle_s", &Scenario::settle_s, 0, 600, "", "the start that service is not counted in"},
    {"", "protocol", &Scenario::protocol, 0, 0, "line", "what clients and hosts speak"},
    {"", "discovery", &Scenario::discovery, 0, 0, "platform", "whose list of hosts"},
    {"hosts", "count", &Scenario::host_count, 1, 2000, "", "hosts at the start"},
    {"hosts", "per_core", &Scenario::connections_per_core, 1, 100000, "",
     "connections of load 1 that fill a core of speed 1"},
    {"hosts", "cap", &Scenario::max_connections_per_core, 1, 1000000, "", "connections a core accepts"},
    {"hosts", "queue", &Scenario::max_queued_setups, 1, 1000000, "", "set-ups that may wait at a host"},
    {"hosts", "cold_from", &Scenario::cold_capacity_share, 0.01, 1, "",
     "share of its capacity that a cold host has"},
    {"hosts", "cold_s", &Scenario::warm_up_s, 0.1, 600, "", "until it is warm, growing evenly"},
    {"hosts", "group_cost", &Scenario::group_overhead, 0, 100, "",
     "mean loads that each host pays for a group it holds some of"},
    {"hosts", "probe_ms", &Scenario::health_check_work_ms, 0, 1000, "",
     "work of a probe, on a core of speed 1"},
    {"hosts", "message_ms", &Scenario::message_service_ms, 0.1, 10000, "",
     "a message's own time on an idle host of speed 1"},
    {"hosts", "buffer_s", &Scenario::max_backlog_s, 0.05, 600, "", "piled up work beyond which a host sheds"},
    {"hosts", "speed_spread", &Scenario::speed_spread, 0, 1, "",
     "true speeds around their kind's, deviation"},
    {"hosts", "sheds", &Scenario::shedding, 0, 0, "none newest", "what goes when too much is piled up"},
    {"hosts", "goaway", &Scenario::drain_pace, 0, 0, "none paced at_once",
     "how a draining host sends its clients away"},
    {"nodes", "count", &Scenario::node_count, 1, 2000, "", "nodes"},
    {"nodes", "descriptors", &Scenario::node_descriptors, 64, 100000, "", "each node's limit (live)"},
    {"nodes", "memory_mb", &Scenario::node_memory_mb, 8, 100000, "", "each node's limit, told only (live)"},
    {"network", "same_ms", &Scenario::same_zone_delay_ms, 0, 1000, "", "one way within a zone (sim)"},
    {"network", "cross_ms", &Scenario::cross_zone_delay_ms, 0, 1000, "", "one way between zones"},
    {"network", "client_ms", &Scenario::client_delay_ms, 0, 1000, "",
     "one way between client and node (sim)"},
    {"network", "jitter", &Scenario::jitter, 0, 10, "", "a delay grows by up to this share (sim)"},
    {"network", "loss", &Scenario::packet_loss, 0, 0.9, "",
     "share of packets sent twice, 200 ms later the second time (sim)"},
    {"network", "connect_ms", &Scenario::connect_timeout_ms, 1, 60000, "",
     "until a connection counts as not made"},
    {"clients", "standing", &Scenario::initial_clients, 0, 1000000, "", "clients that come in the ramp"},
    {"clients", "resumed", &Scenario::resumed_clients, 0, 1000000, "",
     "of the first clients: those that stood before the run and name their host (live)"},
    {"clients", "ramp_s", &Scenario::ramp_s, 0, 3600, "", "in which those come"},
    {"clients", "arrivals_per_s", &Scenario::arrivals_per_s, -1, 1000000, "",
     "more clients after the ramp; -1: as many as leave"},
    {"clients", "line_every_s", &Scenario::message_interval_s, 0.02, 3600, "",
     "a client's line on a standing connection (live)"},
    {"clients", "retries", &Scenario::max_quick_retries, 0, 100, "",
     "times a client comes again after a refusal before it waits long"},
    {"clients", "backoff", &Scenario::backoff, 0, 0, "none at_once after_wait",
     "manner of coming again; none: after 5 s only"},
    {"clients", "backoff_ms", &Scenario::backoff_ms, 1, 60000, "", "first wait, doubled each time"},
    {"clients", "rejoin_ms", &Scenario::reconnect_delay_ms, 1, 60000, "",
     "until a client cut off or moved comes again"},
    {"clients", "honour", &Scenario::retry_after_honoured_share, 0, 1, "",
     "share of clients that heed when to come back"},
    {"clients", "leave", &Scenario::early_leave_share, 0, 1, "",
     "share of clients that leave before an answer's time is up"},
    {"clients", "groups", &Scenario::group_count, 0, 1000000, "", "groups that clients belong to; 0: none"},
    {"clients", "group_skew", &Scenario::group_skew, 0, 3, "", "Zipf's exponent of their sizes"},
    {"clients", "load_spread", &Scenario::load_spread, 0, 3, "", "of connections' loads, log-normal"},
    {"clients", "swing", &Scenario::load_swing, 0, 3, "",
     "of one connection's load over its life, log-normal"},
    {"clients", "change_s", &Scenario::load_change_interval_s, 0.1, 3600, "", "how often that changes"},
    {"clients", "notice_s", &Scenario::front_detection_s, 0, 60, "",
     "until the front notices that a node is dead"},
    {"list", "mode", &Scenario::list_mode, 0, 0, "on_request pushed", "how nodes hear of changes"},
    {"list", "late_s", &Scenario::list_delay_s, 0, 600, "", "how late changes are told"},
    {"list", "silent_s", &Scenario::list_removal_delay_s, 0, 600, "",
     "until a vanished host is taken off the list"},
    {"list", "call_ms", &Scenario::list_response_ms, 0, 10000, "", "time of a call"},
    {"list", "ask_within_s", &Scenario::list_poll_limit_s, 0.5, 600, "",
     "a node that has not asked for so long counts as told"},
    {"rules", "drain_grace_ms", &Scenario::drain_grace_ms, 1, 60000, "",
     "new work to a host told to drain or to be gone"},
    {"rules", "fall_multiple", &Scenario::cold_failure_multiple, 1, 100, "",
     "of a cold host's present capacity, sent to it"},
    {"rules", "fall_ms", &Scenario::cold_failure_window_ms, 100, 60000, "", "for so long pushes it over"},
    {"rules", "max_tries", &Scenario::max_attempts, 1, 20, "", "setup tries of an attachment"},
    {"rules", "max_come_back_ms", &Scenario::max_retry_after_ms, 0, 60000, "",
     "longest time to come back that clients heed"},
    {"rules", "grace_to_answer_ms", &Scenario::grace_to_answer_ms, 0, 1000, "",
     "after the expiry, for an answer to count"},
    {"rules", "slack_ms", &Scenario::timing_slack_ms, 0, 1000, "", "longer limits on sockets (live)"},
};
const Setting<HostKind> kHostKinds[] = {
    {"hosts.kind", "name", &HostKind::name, 0, 0, "", "told by the list"},
    {"hosts.kind", "share", &HostKind::share, 0.0001, 1000, "", "of the hosts, against the other kinds"},
    {"hosts.kind", "cores", &HostKind::cores, 0.1, 1024, "", ""},
    {"hosts.kind", "speed", &HostKind::speed, 0.01, 100, "", "of a core; cores x speed is the nominal size"},
};
const Setting<TrafficType> kTraffic[] = {
    {"traffic", "name", &TrafficType::name, 0, 0, "", "of the traffic type"},
    {"traffic", "share", &TrafficType::share, 0.0001, 1000, "", "of the clients, against the other types"},
    {"traffic", "effect", &TrafficType::effect, 0, 0, "idempotent deduplicated unrepeatable",
     "of a setup try"},
    {"traffic", "repeat_group", &TrafficType::repeat_group, 0, 0, "all zone cell",
     "the hosts that drop repeats, where deduplicated"},
    {"traffic", "repeat_window_ms", &TrafficType::repeat_window_ms, 0, 600000, "", "for how long they do"},
    {"traffic", "latency_goal_ms", &TrafficType::latency_goal_ms, 1, 600000, "", "for the set-up"},
    {"traffic", "expiry_ms", &TrafficType::expiry_ms, 1, 600000, "", "when the client gives up"},
    {"traffic", "message_goal_ms", &TrafficType::message_goal_ms, 1, 600000, "", "for a line and its answer"},
    {"traffic", "value", &TrafficType::value, 0, 1000, "", "of a second well served"},
    {"traffic", "load", &TrafficType::load, 0.001, 1000, "", "mean load of a connection"},
    {"traffic", "life_s", &TrafficType::mean_lifetime_s, 0.5, 100000, "", "mean life, exponential"},
    {"traffic", "setup_ms", &TrafficType::setup_ms, 0, 10000, "", "work of a set-up, on a core of speed 1"},
};
const Setting<Tenant> kTenants[] = {
    {"tenant", "name", &Tenant::name, 0, 0, "", ""},
    {"tenant", "share", &Tenant::share, 0.0001, 1, "", "granted, and asked for"},
};
const Setting<Fault> kFaults[] = {
    {"trouble", "kind", &Fault::name, 0, 0,
     "silent slow failing hang vanish restart drain neighbour reset drop burst grow list_stale list_down "
     "node_killed "
     "node_restarted node_reload zone_cut one_way hush crowd",
     "what goes wrong"},
    {"trouble", "at_s", &Fault::start_s, 0, 36000, "", "when it begins"},
    {"trouble", "for_s", &Fault::duration_s, 0.01, 36000, "", "for how long"},
    {"trouble", "share", &Fault::share, 0, 1, "", "of the hosts, nodes or clients, drawn; or name them"},
    {"trouble", "size", &Fault::magnitude, 0, 1000, "", "how bad, see the kinds"},
    {"trouble", "every_s", &Fault::interval_s, 0, 3600, "",
     "neighbour: on and off; drain: one host after another"},
    {"trouble", "zone", &Fault::from_zone, 0, 0, "", "zone_cut, one_way: from this zone's hosts"},
    {"trouble", "to", &Fault::to_zone, 0, 0, "", "to nodes of this one"},
    {"trouble", "pace", &Fault::drain_pace, 0, 0, "none paced at_once",
     "drain: how the host sends its clients away; hosts.goaway otherwise"},
};

// In the order of FaultKind.
constexpr const char* kKindNames[] = {
    "silent",      "slow",           "failing",     "hang",     "vanish",  "restart",    "drain",
    "neighbour",   "reset",          "drop",        "burst",    "grow",    "list_stale", "list_down",
    "node_killed", "node_restarted", "node_reload", "zone_cut", "one_way", "hush",       "crowd"};
static_assert(std::size(kKindNames) == static_cast<std::size_t>(FaultKind::surge) + 1);

bool allowed(const char* words, const std::string& word) {
  std::istringstream in(words);
  for (std::string one; in >> one;) {
    if (one == word) {
      return true;
    }
  }
  return *words == 0;
}

std::string number_told(double value) {
  char text[40];
  std::snprintf(text, sizeof text, "%.10g", value);
  return text;
}

struct Reader {
  std::string file;

  [[noreturn]] void fail(SourcePosition at, const std::string& what) const {
    throw InvalidInput(file + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " + what);
  }
  static SourcePosition place(const toml::node& node) {
    return {node.source().begin.line, node.source().begin.column};
  }
  static SourcePosition place(const toml::key& key) {
    return {key.source().begin.line, key.source().begin.column};
  }

  template <class Thing>
  void set(Thing& to, const Setting<Thing>& setting, const toml::node& value) const {
    const std::string name = std::string(setting.section) + (*setting.section ? "." : "") + setting.name;
    if (const auto* number = std::get_if<double Thing::*>(&setting.at)) {
      const auto told = value.value<double>();
      if (!value.is_number() || !told || !std::isfinite(*told)) {
        fail(place(value), "'" + name + "' is no number; expected one from " + number_told(setting.least) +
                               " to " + number_told(setting.most));
      }
      if (*told < setting.least || *told > setting.most) {
        fail(place(value), "'" + name + "' is " + number_told(*told) + "; expected a number from " +
                               number_told(setting.least) + " to " + number_told(setting.most));
      }
      to.** number = *told;
      return;
    }
    const auto told = value.value<std::string>();
    if (!value.is_string() || !told) {
      fail(place(value), "'" + name + "' is no text; expected a text in quotes");
    }
    if (!allowed(setting.words, *told)) {
      fail(place(value), "'" + name + "' is '" + *told + "'; expected one of: " + setting.words);
    }
    to.*std::get<std::string Thing::*>(setting.at) = *told;
  }

  template <class Thing, std::size_t N>
  bool take(Thing& to, const Setting<Thing> (&settings)[N], const char* section, const toml::key& key,
            const toml::node& value) const {
    for (const Setting<Thing>& setting : settings) {
      if (std::strcmp(setting.section, section) == 0 && key.str() == setting.name) {
        return set(to, setting, value), true;
      }
    }
    return false;
  }

  template <class Thing, std::size_t N>
  [[noreturn]] void unknown(const Setting<Thing> (&settings)[N], const char* section,
                            const toml::key& key) const {
    std::string names;
    for (const Setting<Thing>& setting : settings) {
      if (std::strcmp(setting.section, section) == 0) {
        names += std::string(names.empty() ? "" : ", ") + setting.name;
      }
    }
    fail(place(key), "unknown name '" + std::string(key.str()) + "'" +
                         (*section ? " in '" + std::string(section) + "'" : "") +
                         "; expected one of: " + names);
  }

  std::vector<int> numbers(const toml::node& value, const char* what) const {
    std::vector<int> out;
    const toml::array* list = value.as_array();
    if (!list || list->empty()) {
      fail(place(value), std::string("'") + what + "' is no list; expected numbers such as [0, 2]");
    }
    for (const toml::node& one : *list) {
      const auto number = one.value<std::int64_t>();
      if (!one.is_integer() || !number || *number < 0 || *number > 100000) {
        fail(place(one), std::string("'") + what + "' holds no number; expected whole ones from 0");
      }
      out.push_back(static_cast<int>(*number));
    }
    return out;
  }

  template <class Thing, std::size_t N>
  std::vector<Thing> list(const toml::node& value, const Setting<Thing> (&settings)[N],
                          const char* section) const {
    std::vector<Thing> out;
    const toml::array* array = value.as_array();
    if (!array) {
      fail(place(value), "'" + std::string(section) + "' is no list; expected [[" + section + "]]");
    }
    for (const toml::node& one : *array) {
      const toml::table* table = one.as_table();
      if (!table) {
        fail(place(one),
             "an entry of '" + std::string(section) + "' is no table; expected [[" + section + "]]");
      }
      Thing& made = out.emplace_back();
      if constexpr (std::is_same_v<Thing, Fault>) {
        made.position = place(one), made.drain_pace = "";
      }
      for (const auto& [key, inner] : *table) {
        if constexpr (std::is_same_v<Thing, Fault>) {
          if (key.str() == "hosts") {
            made.hosts = numbers(inner, "hosts");
            continue;
          }
          if (key.str() == "nodes") {
            made.nodes = numbers(inner, "nodes");
            continue;
          }
        }
        if (!take(made, settings, section, key, inner)) {
          unknown(settings, section, key);
        }
      }
      if (made.name.empty()) {
        fail(place(one), std::string("an entry of '") + section + "' has no '" +
                             (std::is_same_v<Thing, Fault> ? "kind" : "name") + "'; expected one");
      }
    }
    std::set<std::string> names;
    if constexpr (!std::is_same_v<Thing, Fault>) {
      for (std::size_t i = 0; i < out.size(); ++i) {
        if (!names.insert(out[i].name).second) {
          fail(place((*array)[i]),
               "the name '" + out[i].name + "' stands twice in '" + section + "'; expected each once");
        }
      }
    }
    return out;
  }

  void section(Scenario& to, const char* name, const toml::node& value) const {
    const toml::table* table = value.as_table();
    if (!table) {
      fail(place(value), "'" + std::string(name) + "' is no section; expected [" + name + "]");
    }
    for (const auto& [key, inner] : *table) {
      if (std::strcmp(name, "hosts") == 0 && key.str() == "kind") {
        to.host_kinds = list(inner, kHostKinds, "hosts.kind");
      } else if (std::strcmp(name, "network") == 0 && key.str() == "zones") {
        const toml::array* zones = inner.as_array();
        if (!zones || zones->empty()) {
          fail(place(inner), "'network.zones' is no list; expected names");
        }
        to.zones.clear();
        for (const toml::node& zone : *zones) {
          if (!zone.is_string()) {
            fail(place(zone), "a zone is no text; expected a name in quotes");
          }
          to.zones.push_back(*zone.value<std::string>());
        }
        if (std::set<std::string>(to.zones.begin(), to.zones.end()).size() != to.zones.size()) {
          fail(place(inner), "a zone stands twice in 'network.zones'; expected each once");
        }
      } else if (!take(to, kSettings, name, key, inner)) {
        unknown(kSettings, name, key);
      }
    }
  }

  void check(Scenario& to) const {
    const SourcePosition top{1, 1};
    for (double whole : {to.host_count, to.node_count, to.group_count, to.initial_clients}) {
      if (whole != std::floor(whole)) {
        fail(top, "a count is " + number_told(whole) + "; expected a whole number");
      }
    }
    if (to.name.empty()) {
      fail(top, "the scenario has no 'name'; expected one");
    }
    if (to.traffic_types.empty()) {
      fail(top, "the scenario has no traffic type; expected at least one [[traffic]]");
    }
    if (to.host_kinds.empty()) {
      to.host_kinds.push_back({"plain", 1, 2, 1});
    }
    for (const TrafficType& type : to.traffic_types) {
      if (type.expiry_ms < type.latency_goal_ms) {
        fail(top, "traffic type '" + type.name +
                      "' expires before its latency goal; expected expiry_ms of at least " +
                      number_told(type.latency_goal_ms));
      }
    }
    if (to.ramp_s > to.duration_s) {
      fail(top, "'clients.ramp_s' is longer than 'duration_s'; expected less");
    }
    double shares = 0;
    for (const Tenant& tenant : to.tenants) {
      shares += tenant.share;
    }
    if (shares > 1.0001) {
      fail(top, "tenants' shares add up to " + number_told(shares) + "; expected 1 at the most");
    }
    for (Fault& fault : to.faults) {
      check(to, fault);
    }
    clashes(to);
  }

  void check(const Scenario& to, Fault& fault) const {
    const auto* found = std::find_if(std::begin(kKindNames), std::end(kKindNames),
                                     [&](const char* one) { return fault.name == one; });
    fault.kind = static_cast<FaultKind>(found - std::begin(kKindNames));
    if (fault.start_s >= to.duration_s) {
      fail(fault.position, "trouble '" + fault.name + "' begins at " + number_told(fault.start_s) +
                               " s; expected within duration_s, " + number_told(to.duration_s));
    }
    if (targets_hosts(fault.kind) && fault.hosts.empty() && fault.share * to.host_count < 0.5) {
      fail(fault.position,
           "trouble '" + fault.name + "' names no host; expected 'hosts' or a 'share' that makes one");
    }
    if (targets_nodes(fault.kind) && fault.nodes.empty() && fault.share * to.node_count < 0.5) {
      fail(fault.position,
           "trouble '" + fault.name + "' names no node; expected 'nodes' or a 'share' that makes one");
    }
    if (!targets_hosts(fault.kind) && !fault.hosts.empty()) {
      fail(fault.position, "trouble '" + fault.name + "' is none of hosts; expected no 'hosts'");
    }
    if (!targets_nodes(fault.kind) && !fault.nodes.empty()) {
      fail(fault.position, "trouble '" + fault.name + "' is none of nodes; expected no 'nodes'");
    }
    for (const int host : fault.hosts) {
      if (host >= to.host_count) {
        fail(fault.position, "there is no host " + std::to_string(host) + "; expected 0 to " +
                                 number_told(to.host_count - 1));
      }
    }
    for (const int node : fault.nodes) {
      if (node >= to.node_count) {
        fail(fault.position, "there is no node " + std::to_string(node) + "; expected 0 to " +
                                 number_told(to.node_count - 1));
      }
    }
    const bool cut = fault.kind == FaultKind::zone_cut || fault.kind == FaultKind::one_way;
    for (const std::string& zone : {fault.from_zone, fault.to_zone}) {
      if (cut ? !std::count(to.zones.begin(), to.zones.end(), zone) : !zone.empty()) {
        fail(fault.position,
             cut ? "there is no zone '" + zone + "'; expected 'zone' and 'to' out of network.zones"
                 : "trouble '" + fault.name + "' knows no zones; expected none");
      }
    }
    if (cut && fault.from_zone == fault.to_zone && fault.kind == FaultKind::zone_cut) {
      fail(fault.position, "a zone is cut from itself; expected two");
    }
    const auto size = [&](double least, double most, double otherwise) {
      if (fault.magnitude == 0) {
        fault.magnitude = otherwise;
      }
      if (fault.magnitude < least || fault.magnitude > most) {
        fail(fault.position, "trouble '" + fault.name + "' has size " + number_told(fault.magnitude) +
                                 "; expected " + number_told(least) + " to " + number_told(most));
      }
    };
    switch (fault.kind) {
      case FaultKind::slow:
        size(1.01, 1000, 5);
        break;
      case FaultKind::failing:
        size(0.01, 1, 0.5);
        break;
      case FaultKind::neighbour:
        size(0.01, 0.99, 0.5);
        break;
      case FaultKind::reset:
        size(0.01, 1, 0.5);
        break;
      case FaultKind::surge:
        size(1, 10000, 100);
        break;
      case FaultKind::disconnect:
        size(0.01, 1, 0.4);
        break;
      case FaultKind::burst:
        size(1.01, 100, 3);
        break;
      case FaultKind::scale_out:
        size(1, 1000, 2);
        break;
      case FaultKind::list_stale:
        size(0.1, 600, 4);
        break;
      default:
        break;
    }
    if (fault.drain_pace.empty()) {
      fault.drain_pace = to.drain_pace;
    }
  }

  // Two faults that say different things of one host's or node's process at one time.
  void clashes(const Scenario& to) const {
    const auto stops = [](FaultKind kind) {
      return kind == FaultKind::vanish || kind == FaultKind::restart || kind == FaultKind::drain ||
             kind == FaultKind::silent || kind == FaultKind::node_killed || kind == FaultKind::node_restarted;
    };
    for (std::size_t i = 0; i < to.faults.size(); ++i) {
      for (std::size_t j = 0; j < i; ++j) {
        const Fault& a = to.faults[i];
        const Fault& b = to.faults[j];
        if (!stops(a.kind) || !stops(b.kind)) {
          continue;
        }
        if (a.start_s >= b.start_s + b.duration_s || b.start_s >= a.start_s + a.duration_s) {
          continue;
        }
        for (const auto& [left, right, what] :
             {std::tuple(&a.hosts, &b.hosts, "host"), std::tuple(&a.nodes, &b.nodes, "node")}) {
          for (const int one : *left) {
            if (std::count(right->begin(), right->end(), one)) {
              fail(a.position, "troubles '" + a.name + "' and '" + b.name + "' (line " +
                                   std::to_string(b.position.line) + ") both stop " + what + " " +
                                   std::to_string(one) + " at one time; expected spans that do not overlap");
            }
          }
        }
      }
    }
  }
};

template <class Thing, std::size_t N>
void rows(std::ostringstream& out, const Setting<Thing> (&settings)[N]) {
  const Thing plain{};
  for (const Setting<Thing>& setting : settings) {
    out << "| `" << setting.section << (*setting.section ? "." : "") << setting.name << "` | ";
    if (const auto* number = std::get_if<double Thing::*>(&setting.at)) {
      out << number_told(setting.least) << " to " << number_told(setting.most) << " | "
          << number_told(plain.**number);
    } else {
      out << (*setting.words ? setting.words : "text") << " | "
          << plain.*std::get<std::string Thing::*>(setting.at);
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
  Scenario to;
  to.file = file;
  const Reader reader{file};
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
      reader.section(to, name.c_str(), value);
    } else if (name == "traffic") {
      to.traffic_types = reader.list(value, kTraffic, "traffic");
    } else if (name == "tenant") {
      to.tenants = reader.list(value, kTenants, "tenant");
    } else if (name == "trouble") {
      to.faults = reader.list(value, kFaults, "trouble");
    } else if (!reader.take(to, kSettings, "", key, value)) {
      reader.unknown(kSettings, "", key);
    }
  }
  reader.check(to);
  return to;
}

Scenario read_scenario(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) {
    throw InvalidInput(path + ":0:0: the scenario cannot be read; expected a TOML file");
  }
  return parse_scenario(text.str(), path);
}

void set_setting(Scenario& scenario, const std::string& name, const std::string& value) {
  const std::size_t dot = name.rfind('.');
  const std::string section = dot == std::string::npos ? "" : name.substr(0, dot);
  const std::string last = dot == std::string::npos ? name : name.substr(dot + 1);
  double number = 0;
  const auto [end, fault] = std::from_chars(value.data(), value.data() + value.size(), number);
  const bool whole = fault == std::errc() && end == value.data() + value.size();
  const Reader reader{"--vary"};
  for (const Setting<Scenario>& setting : kSettings) {
    if (section == setting.section && last == setting.name) {
      if (whole) {
        reader.set(scenario, setting, toml::value<double>(number));
      } else {
        reader.set(scenario, setting, toml::value<std::string>(value));
      }
      return reader.check(scenario);
    }
  }
  throw InvalidInput("--vary:0:0: unknown name '" + name +
                     "'; expected one such as clients.standing, see docs/scenario.md");
}

std::string settings_reference() {
  std::ostringstream out;
  out << "| name | values | default | meaning |\n| --- | --- | --- | --- |\n";
  rows(out, kSettings);
  out << "| `network.zones` | names | [\"near\"] | hosts and nodes are dealt over them in turn |\n";
  rows(out, kHostKinds), rows(out, kTraffic), rows(out, kTenants), rows(out, kFaults);
  out << "| `trouble.hosts` | numbers from 0 | | the hosts concerned, in place of a share |\n"
         "| `trouble.nodes` | numbers from 0 | | the nodes concerned |\n";
  return out.str();
}

}  // namespace dapplewharf::emulator
