#include "policy/flat_words.h"

#include <algorithm>

#include "policy/notes.h"

namespace dapplewharf {
namespace {

template <class... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <class... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

Event of(EventKind kind, const std::string& id = "", const std::string& host = "") {
  Event flat;
  flat.kind = kind;
  flat.id = id;
  flat.host = host;
  return flat;
}

Event of_list(EventKind kind, const std::vector<EndpointEntry>& endpoints) {
  Event flat = of(kind);
  flat.listings = endpoints;
  return flat;
}

Event of_request(EventKind kind, const RequestAttributes& request) {
  Event flat = of(kind, request.id);
  flat.traffic_type = request.traffic_type;
  flat.tenant = request.tenant;
  flat.key = request.client_key;
  flat.group = request.affinity_group;
  flat.expiry = request.deadline;
  flat.mid_flow = request.is_mid_connection;
  flat.returned = request.is_migrated;
  flat.repeated = request.is_retry;
  return flat;
}

std::optional<Duration> time_at(const SettingsMap& from, const std::string& name) {
  if (!from.count(name)) {
    return std::nullopt;
  }
  return static_cast<Duration>(number(from, name, 0));
}

TrafficClass traffic_of(const SettingsMap& from, const std::string& at) {
  TrafficClass to;
  to.name = text(from, at + "name");
  const std::string effect = text(from, at + "effect");
  const std::string group = text(from, at + "repeat_group");
  to.repeat_rule.idempotency = effect == "idempotent"     ? Idempotency::idempotent
                               : effect == "deduplicated" ? Idempotency::deduplicated
                                                          : Idempotency::non_idempotent;
  to.repeat_rule.scope = group == "all"    ? DeduplicationScope::all
                         : group == "zone" ? DeduplicationScope::zone
                                           : DeduplicationScope::cell;
  to.repeat_rule.window = time_at(from, at + "repeat_window").value_or(0);
  to.setup_latency_objective = time_at(from, at + "latency_goal");
  to.deadline = time_at(from, at + "expiry");
  return to;
}

}  // namespace

Event to_flat(const PolicyEvent& event) {
  return std::visit(
      Overloaded{[](const EndpointsCached& e) { return of_list(EventKind::list_copy, e.endpoints); },
                 [](const EndpointsSnapshot& e) { return of_list(EventKind::list_whole, e.endpoints); },
                 [](const EndpointsUpdate& e) { return of_list(EventKind::list_changes, e.endpoints); },
                 [](const EndpointWatchFailed&) { return of(EventKind::list_lost); },
                 [](const ShutdownStarted& e) {
                   Event flat = of(EventKind::stopping);
                   flat.expiry = e.answer_by;
                   return flat;
                 },
                 [](const RequestReceived& e) { return of_request(EventKind::attachment, e.request); },
                 [](const ConnectionAdopted& e) {
                   Event flat = of_request(EventKind::handed_over, e.request);
                   flat.host = e.endpoint;
                   flat.pending = e.is_pending;
                   return flat;
                 },
                 [](const AttemptEstablished& e) {
                   Event flat = of(EventKind::established, e.request_id, e.endpoint);
                   flat.number = e.attempt;
                   flat.took = e.setup_time;
                   return flat;
                 },
                 [](const AttemptEnded& e) {
                   Event flat = of(EventKind::try_ended, e.request_id, e.endpoint);
                   flat.number = e.attempt;
                   flat.outcome = e.outcome;
                   flat.took = e.duration;
                   flat.final = e.is_final;
                   return flat;
                 },
                 [](const LoadReported& e) {
                   Event flat = of(EventKind::load_told, e.request_id, e.endpoint);
                   flat.figure = e.work;
                   return flat;
                 },
                 [](const LatencyReported& e) {
                   Event flat = of(EventKind::delay_told, e.request_id, e.endpoint);
                   flat.figure = e.latency;
                   return flat;
                 },
                 [](const RequestStalled& e) {
                   Event flat = of(EventKind::unanswered, e.request_id, e.endpoint);
                   flat.figure = static_cast<double>(e.unanswered_for);
                   return flat;
                 },
                 [](const ClientDisconnected& e) { return of(EventKind::client_left, e.request_id); },
                 [](const TimerFired& e) {
                   Event flat = of(EventKind::alarm);
                   flat.number = e.timer;
                   return flat;
                 },
                 [](const HealthCheckEnded& e) {
                   Event flat = of(EventKind::probe_ended, "", e.endpoint);
                   flat.outcome = e.outcome;
                   flat.took = e.duration;
                   flat.report = e.report;
                   return flat;
                 },
                 [](const GossipReceived& e) {
                   Event flat = of(EventKind::peer_word, "", e.endpoint);
                   flat.figure = e.connections_elsewhere.value_or(-1);
                   return flat;
                 }},
      event);
}

PolicyAction from_flat(const Action& action) {
  switch (action.kind) {
    case ActionKind::setup_try:
      return StartAttempt{action.id, action.host, action.time};
    case ActionKind::cancel_try:
      return CancelAttempt{action.id, action.number};
    case ActionKind::reject:
      return RejectRequest{action.id, action.time};
    case ActionKind::scrap:
      return FailRequest{action.id};
    case ActionKind::move:
      return MigrateConnection{action.id, action.host};
    case ActionKind::probe:
      return CheckHealth{action.host};
    case ActionKind::set_alarm:
      return SetTimer{action.number, action.time};
    case ActionKind::subscribe:
      return WatchEndpoints{};
    case ActionKind::fetch_list:
      return FetchEndpoints{};
    case ActionKind::log:
      break;
  }
  return LogMessage{action.text};
}

Settings settings_from_map(const SettingsMap& from) {
  const auto duration_of = [&](const char* name) { return time_at(from, name).value_or(0); };
  Settings to;
  to.node_count = std::max(1.0, number(from, "nodes", 1));
  to.node_index = number(from, "me", 0);
  to.zone = text(from, "zone");
  to.cold_capacity_share = needed(from, "cold_from");
  to.warm_up_time = static_cast<Duration>(needed(from, "cold_time"));
  to.overload_window = static_cast<Duration>(needed(from, "fall_time"));
  to.overload_multiple = needed(from, "fall_multiple");
  to.drain_grace = static_cast<Duration>(needed(from, "drain_grace"));
  to.notified_within = duration_of("ask_within");
  to.polls_endpoints = text(from, "discovery") == "on_request";
  to.only_drains_bind = number(from, "drain_binds_alone", 0) != 0;
  to.weights_follow_load = text(from, "weights") == "live";
  for (int i = 0; from.count("traffic." + std::to_string(i) + ".name"); ++i) {
    to.traffic.push_back(traffic_of(from, "traffic." + std::to_string(i) + "."));
  }
  for (int i = 0;; ++i) {
    const std::string at = "tenant." + std::to_string(i) + ".";
    if (!from.count(at + "name") && !from.count(at + "open")) {
      break;
    }
    Tenant& tenant = to.tenants.emplace_back();
    tenant.name = text(from, at + "name");
    if (from.count(at + "open")) {
      tenant.connections = number(from, at + "open", 0);
    }
  }
  to.max_attempts = number(from, "max_tries", 1);
  if (const Duration window = duration_of("further_tries_span"); window > 0) {
    to.retry_budget = {number(from, "further_tries_least", 0), number(from, "further_tries_share", 0),
                       window};
  }
  to.retry_after_allowed = number(from, "come_back_told", 0) != 0;
  to.max_retry_after = duration_of("max_come_back");
  to.connect_timeout = time_at(from, "connect_time").value_or(kSecond);
  to.shortest_message_objective = static_cast<Duration>(extreme(from, "message_goal.", "", -1, 0));
  to.health_checks_allowed = number(from, "probes_allowed", 0) != 0;
  if (const double index = number(from, "report.load", -1); index >= 0) {
    to.load_report_index = static_cast<std::size_t>(index);
  }
  to.cross_zone_price = number(from, "price_crossing", 0);
  to.health_check_price = number(from, "price_probe", 0);
  to.migration_price = number(from, "price_move", 0);
  return to;
}

}  // namespace dapplewharf
