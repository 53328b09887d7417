#include "emulator/sim/endpoint_simulator.h"

#include <cmath>

#include "emulator/model/chance.h"
#include "emulator/sim/client_simulator.h"
#include "emulator/sim/connection_simulator.h"
#include "emulator/sim/endpoint_list_service.h"
#include "emulator/sim/node_simulator.h"
#include "emulator/sim/sim_time.h"

namespace dapplewharf::emulator {
namespace {

constexpr Duration kDrainStepInterval = 500 * kMs;
constexpr double kDrainStepShare = 0.2;  // of the remaining connections
constexpr double kNeverReturnsS = 1e5;   // longer than any run
constexpr int kMaxShedPerStep = 8;       // connections
constexpr double kMicroseconds = 1e6;    // in a second
constexpr std::uint64_t kSetupDrawStride = 31;
constexpr std::uint64_t kSetupDrawOffset = 5;

}  // namespace

void EndpointSimulator::handle(const RequestLineArrives& event) {
  SimulatedConnection& connection = state_.connections[event.connection];
  SimulatedEndpoint& endpoint = state_.endpoints[connection.endpoint];
  if (!connection.line_sent || connection.closed || !state_.node_runs(connection)) {
    return;
  }
  const bool restarted = endpoint.incarnation != connection.endpoint_incarnation;
  if (endpoint.condition == EndpointCondition::down || restarted) {
    respond(event.connection, Outcome::connection_lost);
    return;
  }
  ++endpoint.open_connections;
  connection.at_endpoint = true;
  const bool reads =
      endpoint.condition == EndpointCondition::up && !state_.is_cut(connection.node, connection.endpoint);
  if (reads) {
    admit_setup(event.connection);
  }
}

void EndpointSimulator::admit_setup(Index index) {
  SimulatedConnection& connection = state_.connections[index];
  SimulatedEndpoint& endpoint = state_.endpoints[connection.endpoint];
  endpoint.model.advance(state_.now());
  if (endpoint.draining || endpoint.model.is_setup_queue_full()) {
    respond(index, Outcome::rejected);
    return;
  }
  const std::string id = state_.request_id(connection);
  state_.audit.on_attempt_executed(id, static_cast<int>(connection.endpoint));
  if (request_fraction(id, connection.endpoint) < endpoint.failing_share) {
    respond(index, Outcome::error);
    return;
  }
  const double cold_setup_ratio = endpoint.model.record_setup_arrival();
  state_.audit.on_cold_load(static_cast<int>(connection.endpoint), cold_setup_ratio, state_.now());
  if (cold_setup_ratio > 1) {
    endpoint.failed_while_cold = true;
    take_away(connection.endpoint, EndpointCondition::down, kNeverReturnsS, state_.scenario.list_delay_s);
    return;
  }
  if (endpoint.hang_faults > 0) {
    return;
  }
  const std::uint64_t draw =
      kSetupDrawStride * static_cast<std::uint64_t>(connection.request_number) + kSetupDrawOffset;
  const double work_factor = -std::log(1 - stable_fraction(state_.session(connection.client).seed, draw));
  const HostModel::SetupId setup =
      endpoint.model.add_setup(state_.traffic_type(connection.client).setup_ms / 1000 * work_factor);
  connection.setup = setup;
  endpoint.setups[setup] = index;
  schedule_setup_work(connection.endpoint);
}

void EndpointSimulator::respond(Index index, Outcome outcome) {
  const SimulatedConnection& connection = state_.connections[index];
  const Duration one_way = state_.draw_node_delay(connection.node, connection.endpoint);
  state_.schedule(state_.now() + one_way, AttemptResultArrives{index, outcome});
}

void EndpointSimulator::schedule_setup_work(Index index) {
  SimulatedEndpoint& endpoint = state_.endpoints[index];
  const TimePoint next = endpoint.model.next_advance();
  const bool already_scheduled =
      endpoint.setup_due && *endpoint.setup_due >= state_.now() && *endpoint.setup_due <= next;
  if (already_scheduled || endpoint.setups.empty()) {
    return;
  }
  endpoint.setup_due = next;
  state_.schedule(next, SetupWorkDue{index, endpoint.incarnation});
}

void EndpointSimulator::reschedule_setup_work(Index index) {
  SimulatedEndpoint& endpoint = state_.endpoints[index];
  endpoint.setup_due.reset();
  if (endpoint.condition == EndpointCondition::up) {
    schedule_setup_work(index);
  }
}

void EndpointSimulator::handle(const SetupWorkDue& event) {
  SimulatedEndpoint& endpoint = state_.endpoints[event.endpoint];
  if (endpoint.incarnation != event.incarnation || endpoint.condition != EndpointCondition::up) {
    return;
  }
  endpoint.model.advance(state_.now());
  endpoint.setup_due.reset();
  for (const HostModel::SetupId setup : endpoint.model.take_completed_setups()) {
    const auto found = endpoint.setups.find(setup);
    if (found == endpoint.setups.end()) {
      continue;
    }
    const Index connection = found->second;
    endpoint.setups.erase(found);
    state_.connections[connection].setup.reset();
    if (state_.connections[connection].at_endpoint) {
      establish(connection);
    }
  }
  schedule_setup_work(event.endpoint);
}

void EndpointSimulator::establish(Index index) {
  SimulatedConnection& connection = state_.connections[index];
  SimulatedEndpoint& endpoint = state_.endpoints[connection.endpoint];
  connection.established_at_endpoint = true;
  connection.load = current_load(index);
  endpoint.model.add_connection(connection.load, state_.session(connection.client).group);
  endpoint.established.push_back(index);
  const Duration one_way = state_.draw_node_delay(connection.node, connection.endpoint);
  state_.schedule(state_.now() + one_way, EstablishedArrives{index});
  if (state_.scenario.load_swing > 0) {
    state_.schedule(state_.now() + from_seconds(state_.scenario.load_change_interval_s),
                    ConnectionLoadChanges{index});
  }
}

double EndpointSimulator::current_load(Index connection) const {
  const Session& session = state_.session(state_.connections[connection].client);
  return connection_load_at(state_.scenario, session, to_seconds(state_.now()) - session.arrival_s);
}

void EndpointSimulator::handle(const ConnectionLoadChanges& event) {
  SimulatedConnection& connection = state_.connections[event.connection];
  if (!connection.established_at_endpoint) {
    return;
  }
  SimulatedEndpoint& endpoint = state_.endpoints[connection.endpoint];
  const double load = current_load(event.connection);
  endpoint.model.advance(state_.now());
  endpoint.model.change_load(load - connection.load);
  connection.load = load;
  const bool reports = !connection.closed && state_.node_runs(connection) && connection.attempt_number;
  if (reports && endpoint.condition == EndpointCondition::up) {
    report_load(event.connection);
  }
  state_.schedule(state_.now() + from_seconds(state_.scenario.load_change_interval_s),
                  ConnectionLoadChanges{event.connection});
}

void EndpointSimulator::report_load(Index index) {
  const SimulatedConnection& connection = state_.connections[index];
  const Index node = connection.node;
  parts_.nodes.add_event(
      node,
      LoadReported{.request_id = state_.request_id(connection),
                   .endpoint = state_.plan.hosts[connection.endpoint].id,
                   .work_us_per_s = connection.load / state_.scenario.connections_per_core * kMicroseconds});
  parts_.nodes.run_policy(node);
}

void EndpointSimulator::handle(const CloseArrives& event) {
  const SimulatedConnection& connection = state_.connections[event.connection];
  SimulatedEndpoint& endpoint = state_.endpoints[connection.endpoint];
  if (!connection.at_endpoint || endpoint.incarnation != connection.endpoint_incarnation) {
    return;
  }
  const bool reset_on_return = endpoint.condition == EndpointCondition::vanished;
  if (reset_on_return) {
    return;
  }
  endpoint.model.advance(state_.now());
  remove(event.connection);
}

void EndpointSimulator::remove(Index index) {
  SimulatedConnection& connection = state_.connections[index];
  SimulatedEndpoint& endpoint = state_.endpoints[connection.endpoint];
  if (connection.established_at_endpoint) {
    endpoint.model.remove_connection(connection.load, state_.session(connection.client).group);
    std::erase(endpoint.established, index);
  }
  if (connection.setup) {
    endpoint.model.cancel_setup(*connection.setup);
    endpoint.setups.erase(*connection.setup);
  }
  connection.established_at_endpoint = false;
  connection.at_endpoint = false;
  connection.setup.reset();
  --endpoint.open_connections;
}

void EndpointSimulator::close_from_endpoint(Index index, CloseKind kind) {
  const SimulatedConnection& connection = state_.connections[index];
  if (connection.at_endpoint) {
    remove(index);
  }
  const Index node = connection.node;
  if (connection.closed || !state_.node_runs(connection) ||
      state_.responses_lost(node, connection.endpoint)) {
    return;
  }
  const Index client = connection.client;
  const bool was_established = connection.established_at_node;
  const bool migrated = kind == CloseKind::client_migrated;
  parts_.connections.close(index, migrated ? Outcome::cancelled : Outcome::connection_lost, was_established);
  if (was_established) {
    parts_.clients.lose_connection(client, migrated ? ConnectionEnd::migrated : ConnectionEnd::by_endpoint,
                                   true);
  }
  parts_.nodes.run_policy(node);
}

void EndpointSimulator::take_away(Index index, EndpointCondition how, double away_s, double noticed_after_s) {
  SimulatedEndpoint& endpoint = state_.endpoints[index];
  if (endpoint.condition != EndpointCondition::up && endpoint.condition != EndpointCondition::silent) {
    return;
  }
  endpoint.condition = how;
  endpoint.condition_since = state_.now();
  if (noticed_after_s < away_s) {
    parts_.list_service.publish_later(index, EndpointState::removed, noticed_after_s);
  }
  if (how == EndpointCondition::down) {
    reset_all_connections(index);
  }
  state_.schedule(state_.now() + from_seconds(away_s), EndpointRestarts{index, endpoint.incarnation});
}

void EndpointSimulator::reset_all_connections(Index index) {
  SimulatedEndpoint& endpoint = state_.endpoints[index];
  const std::vector<Index> established = endpoint.established;
  for (const Index connection : established) {
    close_from_endpoint(connection, CloseKind::connection_lost);
  }
  std::vector<Index> in_setup;
  for (const auto& [setup, connection] : endpoint.setups) {
    in_setup.push_back(connection);
  }
  for (const Index connection : in_setup) {
    close_from_endpoint(connection, CloseKind::connection_lost);
  }
  endpoint.setups.clear();
}

void EndpointSimulator::handle(const EndpointRestarts& event) {
  if (state_.endpoints[event.endpoint].incarnation == event.incarnation) {
    restart(event.endpoint);
  }
}

void EndpointSimulator::handle(const EndpointJoins& event) {
  restart(event.endpoint);
}

void EndpointSimulator::restart(Index index) {
  SimulatedEndpoint& endpoint = state_.endpoints[index];
  if (endpoint.failed_while_cold) {
    return;
  }
  reset_all_connections(index);
  ++endpoint.incarnation;
  endpoint.condition = EndpointCondition::up;
  endpoint.draining = false;
  endpoint.started = state_.now();
  endpoint.setup_due.reset();
  endpoint.open_connections = 0;
  endpoint.setups.clear();
  endpoint.established.clear();
  endpoint.model.start(state_.now(), true);
  parts_.list_service.publish_later(index, EndpointState::healthy, state_.scenario.list_delay_s);
}

void EndpointSimulator::handle(const DrainBegins& event) {
  SimulatedEndpoint& endpoint = state_.endpoints[event.endpoint];
  const Fault& fault = state_.plan.faults[event.fault].fault;
  if (endpoint.condition != EndpointCondition::up) {
    return;
  }
  endpoint.draining = true;
  endpoint.drain_pace = fault.drain_pace;
  parts_.list_service.publish_later(event.endpoint, EndpointState::draining, state_.scenario.list_delay_s);
  if (endpoint.drain_pace != "none") {
    state_.schedule(state_.now() + from_seconds(state_.scenario.list_delay_s),
                    DrainStep{event.endpoint, endpoint.incarnation});
  }
  state_.schedule(state_.now() + from_seconds(drain_duration_s(fault)),
                  EndpointRestarts{event.endpoint, endpoint.incarnation});
}

void EndpointSimulator::handle(const DrainStep& event) {
  SimulatedEndpoint& endpoint = state_.endpoints[event.endpoint];
  const bool drains = endpoint.draining && endpoint.condition == EndpointCondition::up;
  if (endpoint.incarnation != event.incarnation || !drains || endpoint.established.empty()) {
    return;
  }
  const double share = endpoint.drain_pace == "at_once" ? 1 : kDrainStepShare;
  const auto count =
      static_cast<std::ptrdiff_t>(std::ceil(static_cast<double>(endpoint.established.size()) * share));
  const std::vector<Index> leaving(endpoint.established.begin(), endpoint.established.begin() + count);
  endpoint.model.advance(state_.now());
  for (const Index connection : leaving) {
    close_from_endpoint(connection, CloseKind::client_migrated);
  }
  state_.schedule(state_.now() + kDrainStepInterval, DrainStep{event.endpoint, event.incarnation});
}

void EndpointSimulator::shed_overload(Index index) {
  SimulatedEndpoint& endpoint = state_.endpoints[index];
  if (state_.scenario.shedding == "none" || endpoint.condition != EndpointCondition::up) {
    return;
  }
  for (int shed = 0; shed < kMaxShedPerStep; ++shed) {
    if (endpoint.model.backlog_s() <= state_.scenario.max_backlog_s || endpoint.established.empty()) {
      return;
    }
    close_from_endpoint(endpoint.established.back(), CloseKind::connection_lost);
  }
}

}  // namespace dapplewharf::emulator
