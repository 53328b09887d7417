#include "sim_adapter/event_reader.h"

#include <stdexcept>
#include <string>
#include <utility>

#include "config/platform_settings.h"

using simdjson::dom::array;
using simdjson::dom::element;
using simdjson::dom::object;

namespace dapplewharf {

std::string_view needed_text(const object& from, std::string_view name) {
  return from[name].get_string();
}

namespace {

constexpr std::int64_t kLoadHint = 1;  // the sort of a hint that tells a load; all others tell a latency

Outcome outcome_of(std::string_view code) {
  if (code == "served") {
    return Outcome::succeeded;
  }
  if (code == "server_error") {
    return Outcome::error;
  }
  if (code == "turned_away") {
    return Outcome::rejected;
  }
  if (code == "no_answer") {
    return Outcome::timed_out;
  }
  if (code == "no_connection") {
    return Outcome::connect_failed;
  }
  if (code == "connection_lost") {
    return Outcome::connection_lost;
  }
  if (code == "called_off") {
    return Outcome::cancelled;
  }
  if (code == "not_sent") {
    return Outcome::not_sent;
  }
  throw std::invalid_argument("unknown outcome " + std::string(code));
}

// A field that may be missing or null reads as `otherwise`; one that must be there throws where it is not.
template <class Value>
Value field(const object& from, std::string_view name, Value otherwise) {
  Value value;
  return from[name].get(value) == simdjson::SUCCESS ? value : otherwise;
}
std::string text(const object& from, std::string_view name) {
  return std::string(field<std::string_view>(from, name, {}));
}

std::optional<std::int64_t> whole(const object& from, std::string_view name) {
  std::int64_t value;
  if (from[name].get(value) == simdjson::SUCCESS) {
    return value;
  }
  double fraction;
  if (from[name].get(fraction) == simdjson::SUCCESS) {
    return static_cast<std::int64_t>(fraction);
  }
  return std::nullopt;
}

EndpointEntry endpoint_entry_of(const object& from) {
  EndpointEntry to;
  to.host = needed_text(from, "host");
  to.zone = text(from, "site");
  to.kind = text(from, "type");
  to.cell = whole(from, "cell").value_or(0);
  const std::string_view state = needed_text(from, "state");
  to.state = state == "healthy"    ? EndpointState::healthy
             : state == "cordoned" ? EndpointState::draining
                                   : EndpointState::removed;
  to.size = field(from, "scale", 1.0);
  to.started = ticks_of_ms(field(from, "cameUpMs", 0.0));
  return to;
}

std::string request_id_of(const object& from) {
  return text(from, "req");
}
std::string endpoint_of(const object& from) {
  return text(from, "host");
}
int attempt_of(const object& from) {
  return static_cast<int>(field<std::int64_t>(from, "n", 0));
}
Duration duration_of(const object& from) {
  return ticks_of_ms(field(from, "durationMs", 0.0));
}

PolicyEvent read_hint(const object& from) {
  const double value = field(from, "value", 0.0);
  if (field<std::int64_t>(from, "sort", 0) == kLoadHint) {
    return LoadReported{request_id_of(from), endpoint_of(from), value};
  }
  return LatencyReported{request_id_of(from), endpoint_of(from), value * kTicksPerMs};
}

std::vector<double> read_report(const object& from) {
  std::vector<double> report;
  array figures;
  if (from["healthInfo"].get(figures) != simdjson::SUCCESS) {
    return report;
  }
  for (const element value : figures) {
    double figure = 0;
    report.push_back(value.get(figure) == simdjson::SUCCESS ? figure : 0);
  }
  return report;
}

RequestAttributes read_request(const object& from) {
  RequestAttributes to;
  to.id = needed_text(from, "req");
  to.traffic_type = needed_text(from, "service");
  to.tenant = text(from, "team");
  to.client_key = whole(from, "resource");
  to.affinity_group = whole(from, "room");
  to.is_mid_connection = field(from, "midflow", false);
  to.is_migrated = field(from, "reconnect", false);
  to.is_retry = field(from, "againByClient", false);
  return to;
}

PolicyEvent read_new_request(const object& from) {
  RequestReceived to{read_request(from)};
  to.request.deadline = ticks_of_ms(from["clientDeadlineMs"].get_double());
  return to;
}

PolicyEvent read_endpoints(const object& from) {
  std::vector<EndpointEntry> endpoints;
  array hosts;
  if (from["hosts"].get(hosts) == simdjson::SUCCESS) {
    for (const element entry : hosts) {
      endpoints.push_back(endpoint_entry_of(entry.get_object()));
    }
  }
  const std::string_view how = needed_text(from, "how");
  if (how == "total") {
    return EndpointsSnapshot{std::move(endpoints)};
  }
  if (how == "warm_copy") {
    return EndpointsCached{std::move(endpoints)};
  }
  if (how == "lost") {
    return EndpointWatchFailed{};
  }
  return EndpointsUpdate{std::move(endpoints)};
}

}  // namespace

std::optional<PolicyEvent> read_event(const object& from, std::string_view verb) {
  if (verb == "HintUpdate") {
    return read_hint(from);
  }
  if (verb == "Alarm") {
    return TimerFired{static_cast<int>(field<std::int64_t>(from, "handle", 0))};
  }
  if (verb == "Established") {
    return AttemptEstablished{request_id_of(from), endpoint_of(from), attempt_of(from), duration_of(from)};
  }
  if (verb == "Result") {
    return AttemptEnded{request_id_of(from), endpoint_of(from),
                        attempt_of(from),    outcome_of(needed_text(from, "rc")),
                        duration_of(from),   field(from, "final", false)};
  }
  if (verb == "Echo") {
    return HealthCheckEnded{endpoint_of(from), outcome_of(needed_text(from, "rc")), duration_of(from),
                            read_report(from)};
  }
  if (verb == "Demand") {
    return read_new_request(from);
  }
  if (verb == "Handover") {
    return ConnectionAdopted{read_request(from), endpoint_of(from)};
  }
  if (verb == "ClientGone") {
    return ClientDisconnected{request_id_of(from)};
  }
  if (verb == "Registry") {
    return read_endpoints(from);
  }
  if (verb == "Peer") {
    return GossipReceived{endpoint_of(from), 0};
  }
  return std::nullopt;
}

}  // namespace dapplewharf
