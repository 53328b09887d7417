// Flat events, actions and settings in which scripted tests are written: one struct for all kinds, settings
// by name. Converted to the typed ones of the policy by support/flat_conversions.h.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "policy/events.h"

namespace dapplewharf {

// The settings: names to values. Lists are spelt "traffic.0.name", "traffic.1.name" and so on. Times are
// tenths.
using SettingsMap = std::map<std::string, std::variant<double, std::string>>;

enum class EventKind {
  endpoints_cached,       // the list as this node last held it
  endpoints_snapshot,     // the complete list
  endpoints_update,       // the entries that changed
  endpoint_watch_failed,  // an inquiry failed or the subscription broke
  shutdown_started,       // this node is to end soon; what it holds has to go elsewhere
  request_received,       // a client wants a connection
  connection_adopted,     // a connection that was open when the node started
  attempt_established,    // a setup try stands
  load_reported,          // a connection's load has changed
  latency_reported,       // messages at a host take this long
  request_stalled,        // a client's line on a standing connection has been unanswered for this long
  attempt_ended,          // a setup try, or the connection it became, has ended
  client_disconnected,    // the client went away
  timer_fired,
  health_check_ended,
  gossip_received
};

struct FlatEvent {
  EventKind kind = EventKind::timer_fired;
  std::string id;                                          // attachment
  std::string host;                                        // host
  std::string traffic_type, tenant;                        // of an attachment
  std::optional<std::int64_t> client_key, affinity_group;  // the client key; the group that shares work
  TimePoint deadline = 0;  // when the client gives up; of stopping: when all are answered
  bool is_mid_connection = false, is_migrated = false, is_retry = false;
  bool pending = false;  // of one handed over: its host has not brought it up again yet
  int number = 0;        // of the setup try, or of the alarm
  Outcome outcome = Outcome::succeeded;
  Duration duration = 0;
  bool final = false;
  // The load in microseconds of work a second, the delay or wait in tenths, or the connections that all other
  // nodes hold at the host, below 0 where that is unknown.
  double figure = 0;
  std::vector<EndpointEntry> entries;
  std::vector<double> report;
};

enum class ActionKind {
  start_attempt,       // id, host, time: its time-out
  cancel_attempt,      // id, number
  reject_request,      // id, time: when to come back
  fail_request,        // id
  migrate_connection,  // id
  check_health,        // host
  set_timer,           // number, time: from now
  watch_endpoints,
  fetch_endpoints,
  log_message  // text
};

struct FlatAction {
  ActionKind kind = ActionKind::log_message;
  std::string id, host, text;
  int number = 0;
  Duration time = 0;
};

}  // namespace dapplewharf
