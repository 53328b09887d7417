#include "sim_adapter/event_reader.h"

#include <stdexcept>
#include <string>
#include <utility>

#include "config/platform_settings.h"

using simdjson::dom::array;
using simdjson::dom::element;
using simdjson::dom::object;

namespace dapplewharf {

std::string_view required_text(const object& json, std::string_view name) {
  return json[name].get_string();
}

namespace {

constexpr std::int64_t kLoadHintSort = 1;  // "sort" of a hint with a load; all other hints hold a latency

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

// The value of a field; `fallback` if it is missing, null or of another type.
template <class Value>
Value field_or(const object& json, std::string_view name, Value fallback) {
  Value value;
  return json[name].get(value) == simdjson::SUCCESS ? value : fallback;
}
std::string text_or_empty(const object& json, std::string_view name) {
  return std::string(field_or<std::string_view>(json, name, {}));
}

// A number, without its fraction; nothing if the field is missing or not a number.
std::optional<std::int64_t> integer_if_present(const object& json, std::string_view name) {
  std::int64_t value;
  if (json[name].get(value) == simdjson::SUCCESS) {
    return value;
  }
  double fraction;
  if (json[name].get(fraction) == simdjson::SUCCESS) {
    return static_cast<std::int64_t>(fraction);
  }
  return std::nullopt;
}

EndpointEntry read_endpoint_entry(const object& json) {
  EndpointEntry entry;
  entry.id = required_text(json, "host");
  entry.zone = text_or_empty(json, "site");
  entry.machine_type = text_or_empty(json, "type");
  entry.cell = integer_if_present(json, "cell").value_or(0);
  const std::string_view state = required_text(json, "state");
  entry.state = state == "healthy"    ? EndpointState::healthy
                : state == "cordoned" ? EndpointState::draining
                                      : EndpointState::removed;
  entry.size = field_or(json, "scale", 1.0);
  entry.started_at = ticks_of_ms(field_or(json, "cameUpMs", 0.0));
  return entry;
}

std::string request_id_of(const object& json) {
  return text_or_empty(json, "req");
}
std::string endpoint_of(const object& json) {
  return text_or_empty(json, "host");
}
int attempt_of(const object& json) {
  return static_cast<int>(field_or<std::int64_t>(json, "n", 0));
}
Duration duration_of(const object& json) {
  return ticks_of_ms(field_or(json, "durationMs", 0.0));
}

PolicyEvent read_hint(const object& json) {
  const double value = field_or(json, "value", 0.0);
  if (field_or<std::int64_t>(json, "sort", 0) == kLoadHintSort) {
    return LoadReported{request_id_of(json), endpoint_of(json), value};
  }
  return LatencyReported{request_id_of(json), endpoint_of(json), value * kTicksPerMs};
}

std::vector<double> read_reported_values(const object& json) {
  std::vector<double> reported_values;
  array values;
  if (json["healthInfo"].get(values) != simdjson::SUCCESS) {
    return reported_values;
  }
  for (const element value : values) {
    double number = 0;
    reported_values.push_back(value.get(number) == simdjson::SUCCESS ? number : 0);
  }
  return reported_values;
}

RequestAttributes read_request_attributes(const object& json) {
  RequestAttributes attributes;
  attributes.id = required_text(json, "req");
  attributes.traffic_type = required_text(json, "service");
  attributes.tenant = text_or_empty(json, "team");
  attributes.client_key = integer_if_present(json, "resource");
  attributes.affinity_group = integer_if_present(json, "room");
  attributes.is_mid_connection = field_or(json, "midflow", false);
  attributes.is_migrated = field_or(json, "reconnect", false);
  attributes.is_retry = field_or(json, "againByClient", false);
  return attributes;
}

PolicyEvent read_request_received(const object& json) {
  RequestReceived event{read_request_attributes(json)};
  event.request.deadline = ticks_of_ms(json["clientDeadlineMs"].get_double());
  return event;
}

PolicyEvent read_endpoint_list(const object& json) {
  std::vector<EndpointEntry> endpoints;
  array hosts;
  if (json["hosts"].get(hosts) == simdjson::SUCCESS) {
    for (const element entry : hosts) {
      endpoints.push_back(read_endpoint_entry(entry.get_object()));
    }
  }
  const std::string_view how = required_text(json, "how");
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

std::optional<PolicyEvent> read_event(const object& json, std::string_view verb) {
  if (verb == "HintUpdate") {
    return read_hint(json);
  }
  if (verb == "Alarm") {
    return TimerFired{static_cast<int>(field_or<std::int64_t>(json, "handle", 0))};
  }
  if (verb == "Established") {
    return AttemptEstablished{request_id_of(json), endpoint_of(json), attempt_of(json), duration_of(json)};
  }
  if (verb == "Result") {
    return AttemptEnded{request_id_of(json), endpoint_of(json),
                        attempt_of(json),    outcome_of(required_text(json, "rc")),
                        duration_of(json),   field_or(json, "final", false)};
  }
  if (verb == "Echo") {
    return HealthCheckEnded{endpoint_of(json), outcome_of(required_text(json, "rc")), duration_of(json),
                            read_reported_values(json)};
  }
  if (verb == "Demand") {
    return read_request_received(json);
  }
  if (verb == "Handover") {
    return ConnectionAdopted{read_request_attributes(json), endpoint_of(json)};
  }
  if (verb == "ClientGone") {
    return ClientDisconnected{request_id_of(json)};
  }
  if (verb == "Registry") {
    return read_endpoint_list(json);
  }
  if (verb == "Peer") {
    return GossipReceived{endpoint_of(json), 0};
  }
  return std::nullopt;
}

}  // namespace dapplewharf
