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
  list_copy,     // the list as this node last held it
  list_whole,    // the complete list
  list_changes,  // the entries that changed
  list_lost,     // an inquiry failed or the subscription broke
  stopping,      // this node is to end soon; what it holds has to go elsewhere
  attachment,    // a client wants a connection
  handed_over,   // a connection that was open when the node started
  established,   // a setup try stands
  load_told,     // a connection's load has changed
  delay_told,    // messages at a host take this long
  unanswered,    // a client's line on a standing connection has been unanswered for this long
  try_ended,     // a setup try, or the connection it became, has ended
  client_left,   // the client went away
  alarm,
  probe_ended,
  peer_word
};

struct Event {
  EventKind kind = EventKind::alarm;
  std::string id;                          // attachment
  std::string host;                        // host
  std::string traffic_type, tenant;        // of an attachment
  std::optional<std::int64_t> key, group;  // the client key; the group that shares work
  TimePoint expiry = 0;                    // when the client gives up; of stopping: when all are answered
  bool mid_flow = false, returned = false, repeated = false;
  bool pending = false;  // of one handed over: its host has not brought it up again yet
  int number = 0;        // of the setup try, or of the alarm
  Outcome outcome = Outcome::succeeded;
  Duration took = 0;
  bool final = false;
  // The load in microseconds of work a second, the delay or wait in tenths, or the connections that all other
  // nodes hold at the host, below 0 where that is unknown.
  double figure = 0;
  std::vector<EndpointEntry> listings;
  std::vector<double> report;
};

enum class ActionKind {
  setup_try,   // id, host, time: its time-out
  cancel_try,  // id, number
  reject,      // id, time: when to come back
  scrap,       // id
  move,        // id
  probe,       // host
  set_alarm,   // number, time: from now
  subscribe,
  fetch_list,
  log  // text
};

struct Action {
  ActionKind kind = ActionKind::log;
  std::string id, host, text;
  int number = 0;
  Duration time = 0;
};

}  // namespace dapplewharf
