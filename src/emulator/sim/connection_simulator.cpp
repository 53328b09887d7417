#include "emulator/sim/connection_simulator.h"

#include <algorithm>
#include <utility>

#include "emulator/sim/client_simulator.h"
#include "emulator/sim/node_simulator.h"
#include "emulator/sim/sim_time.h"

namespace dapplewharf::emulator {

void ConnectionSimulator::begin_attempt(Index node, const StartAttempt& action) {
  const std::optional<Index> client = state_.find_request(action.request_id);
  const std::optional<Index> endpoint = state_.find_endpoint(action.endpoint);
  if (!client || !endpoint) {
    return;
  }
  const int attempt_number = state_.clients[*client].attempts++;
  const Index connection = add_connection(*client, node, *endpoint, attempt_number);
  state_.clients[*client].connection = connection;
  send_request(connection, action.timeout);
  if (state_.nodes[node].zone != state_.zone_of_endpoint(*endpoint)) {
    ++state_.result.cross_zone_attempts;
  }
  if (!state_.defect_occurs(NodeDefect::duplicates_attempt) || state_.endpoints.size() < 2) {
    return;
  }
  const Index next_endpoint = (*endpoint + 1) % static_cast<Index>(state_.endpoints.size());
  const Index duplicate = add_connection(*client, node, next_endpoint, std::nullopt);
  send_request(duplicate, action.timeout);
}

Index ConnectionSimulator::add_connection(Index client, Index node, Index endpoint,
                                          std::optional<int> attempt_number) {
  state_.connections.push_back({.client = client,
                                .node = node,
                                .endpoint = endpoint,
                                .attempt_number = attempt_number,
                                .request_number = state_.clients[client].request_number,
                                .endpoint_incarnation = state_.endpoints[endpoint].incarnation,
                                .node_incarnation = state_.nodes[node].incarnation,
                                .started = state_.now()});
  return static_cast<Index>(state_.connections.size() - 1);
}

void ConnectionSimulator::send_request(Index index, Duration timeout) {
  const Index node = state_.connections[index].node;
  const Index endpoint = state_.connections[index].endpoint;
  const SimulatedEndpoint& target = state_.endpoints[endpoint];
  const Duration one_way = state_.draw_node_delay(node, endpoint);
  const TimePoint now = state_.now();
  const double max_connections = state_.scenario.max_connections_per_core * state_.plan.hosts[endpoint].cores;
  const bool reachable =
      target.condition != EndpointCondition::vanished && !state_.responses_lost(node, endpoint);
  const bool refused =
      target.condition == EndpointCondition::down || target.open_connections >= max_connections;
  if (!reachable) {
    const Duration connect_timeout = from_milliseconds(state_.scenario.connect_timeout_ms);
    state_.schedule(now + std::min(timeout, connect_timeout), AttemptFails{index, Outcome::connect_failed});
  } else if (refused) {
    state_.schedule(now + 2 * one_way, AttemptFails{index, Outcome::connect_failed});
  } else {
    state_.schedule(now + 2 * one_way, RequestLineSent{index});
    state_.schedule(now + 3 * one_way, RequestLineArrives{index});
  }
  state_.schedule(now + timeout, AttemptTimesOut{index});
}

void ConnectionSimulator::handle(const RequestLineSent& event) {
  SimulatedConnection& connection = state_.connections[event.connection];
  if (connection.closed || !state_.node_runs(connection)) {
    return;
  }
  connection.line_sent = true;
  state_.audit.on_attempt_received(state_.request_id(connection), static_cast<int>(connection.node),
                                   static_cast<int>(connection.endpoint), state_.now());
}

void ConnectionSimulator::handle(const AttemptFails& event) {
  end_attempt(event.connection, event.outcome);
}

void ConnectionSimulator::handle(const AttemptTimesOut& event) {
  const bool line_sent = state_.connections[event.connection].line_sent;
  end_attempt(event.connection, line_sent ? Outcome::timed_out : Outcome::connect_failed);
}

void ConnectionSimulator::handle(const EstablishedArrives& event) {
  SimulatedConnection& connection = state_.connections[event.connection];
  const Index node = connection.node;
  if (connection.closed || !state_.node_runs(connection) ||
      state_.responses_lost(node, connection.endpoint)) {
    return;
  }
  if (!connection.attempt_number) {
    return;
  }
  const std::string id = state_.request_id(connection);
  state_.audit.on_attempt_ended(id, static_cast<int>(connection.endpoint), true, state_.now());
  parts_.nodes.add_event(node, AttemptEstablished{.request_id = id,
                                                  .endpoint = state_.plan.hosts[connection.endpoint].id,
                                                  .attempt = *connection.attempt_number,
                                                  .setup_time = state_.now() - connection.started});
  ++state_.nodes[node].established[connection.endpoint];
  connection.established_at_node = true;
  parts_.clients.send_answer(connection.client, Reply::established);
  parts_.nodes.run_policy(node);
}

void ConnectionSimulator::handle(const AttemptResultArrives& event) {
  const SimulatedConnection& connection = state_.connections[event.connection];
  if (state_.responses_lost(connection.node, connection.endpoint)) {
    return;
  }
  end_attempt(event.connection, event.outcome);
}

void ConnectionSimulator::end_attempt(Index index, Outcome outcome) {
  const SimulatedConnection& connection = state_.connections[index];
  if (connection.closed || connection.established_at_node || !state_.node_runs(connection)) {
    return;
  }
  const Index node = connection.node;
  close(index, outcome, false);
  parts_.nodes.run_policy(node);
}

void ConnectionSimulator::close(Index index, Outcome outcome, bool final) {
  SimulatedConnection& connection = state_.connections[index];
  if (std::exchange(connection.closed, true)) {
    return;
  }
  const bool was_established = connection.established_at_node;
  const std::string id = state_.request_id(connection);
  if (was_established) {
    --state_.nodes[connection.node].established[connection.endpoint];
  } else {
    const bool may_have_run = connection.line_sent && outcome != Outcome::rejected;
    state_.audit.on_attempt_ended(id, static_cast<int>(connection.endpoint), may_have_run, state_.now());
  }
  if (connection.attempt_number) {
    parts_.nodes.add_event(connection.node,
                           AttemptEnded{.request_id = id,
                                        .endpoint = state_.plan.hosts[connection.endpoint].id,
                                        .attempt = *connection.attempt_number,
                                        .outcome = outcome,
                                        .duration = state_.now() - connection.started,
                                        .is_final = final || was_established});
    if (was_established) {
      state_.requests.erase(id);
    }
  }
  const Duration one_way = state_.draw_node_delay(connection.node, connection.endpoint);
  state_.schedule(state_.now() + one_way, CloseArrives{index});
}

}  // namespace dapplewharf::emulator
