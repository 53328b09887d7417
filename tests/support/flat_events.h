// Flat events, actions and settings in which scripted tests are written: one struct for events of all kinds,
// one for actions of all kinds, and settings by name. support/flat_conversions.h converts them to and from
// the policy's typed ones. Times are in ticks of 0.1 ms.
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

/// The settings by name. The names are those of the fields of Settings; elements of lists are named
/// "traffic.0.name", "traffic.1.name" and so on. Times are in ticks of 0.1 ms, booleans are 0 or 1.
using SettingsMap = std::map<std::string, std::variant<double, std::string>>;

/// The kinds of PolicyEvent, in the order of policy/events.h.
enum class EventKind {
  endpoints_cached,       // the endpoint list as this node last held it
  endpoints_snapshot,     // the complete endpoint list
  endpoints_update,       // the entries that changed
  endpoint_watch_failed,  // a call to the list service failed or its watch broke
  shutdown_started,       // this node shuts down soon; its connections have to migrate
  request_received,       // a client wants a connection
  connection_adopted,     // a connection that was open before this node started
  attempt_established,    // an attempt has become an established connection
  load_reported,          // a connection's load has changed
  latency_reported,       // how long messages take at an endpoint
  request_stalled,        // a client's message on an established connection has been unanswered for a while
  attempt_ended,          // an attempt, or the connection that it became, has ended
  client_disconnected,    // the client closed its connection or cancelled its request
  timer_fired,
  health_check_ended,
  gossip_received
};

/// One event of any kind; fields that its kind doesn't have are ignored.
struct FlatEvent {
  EventKind kind = EventKind::timer_fired;
  std::string request_id;
  std::string endpoint;
  std::string traffic_type, tenant;
  std::optional<std::int64_t> client_key, affinity_group;
  TimePoint deadline = 0;  // request_received: when the client gives up; shutdown_started: `answer_deadline`
  bool is_mid_connection = false, is_migrated = false, is_retry = false;
  bool is_pending = false;   // connection_adopted: the endpoint has not confirmed it yet
  int attempt_or_timer = 0;  // timer_fired: the timer; otherwise the attempt, from 0
  Outcome outcome = Outcome::succeeded;
  Duration duration = 0;
  bool is_final = false;
  // load_reported: microseconds of processor time a second. latency_reported, request_stalled: ticks of 0.1
  // ms. gossip_received: connections that all other nodes hold at the endpoint, below 0 where that is
  // unknown.
  double value = 0;
  std::vector<EndpointEntry> endpoints;
  std::vector<double> health_report;
};

/// The kinds of PolicyAction, each with the fields of FlatAction that it fills.
enum class ActionKind {
  start_attempt,       // request_id, endpoint, delay: the attempt's timeout
  cancel_attempt,      // request_id, attempt_or_timer
  reject_request,      // request_id, delay: Retry-After
  fail_request,        // request_id
  migrate_connection,  // request_id, endpoint
  check_health,        // endpoint
  set_timer,           // attempt_or_timer, delay
  watch_endpoints,
  fetch_endpoints,
  log_message  // text
};

struct FlatAction {
  ActionKind kind = ActionKind::log_message;
  std::string request_id, endpoint, text;
  int attempt_or_timer = 0;
  Duration delay = 0;
};

}  // namespace dapplewharf
