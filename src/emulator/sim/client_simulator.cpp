#include "emulator/sim/client_simulator.h"

#include <algorithm>

#include "emulator/model/chance.h"
#include "emulator/sim/connection_simulator.h"
#include "emulator/sim/node_simulator.h"
#include "emulator/sim/sim_time.h"

namespace dapplewharf::emulator {
namespace {

constexpr Duration kNoNodeRetryDelay = 500 * kMs;
constexpr std::uint64_t kAffinityGroupHashSeed = 7;
constexpr std::uint64_t kDisconnectDraw = 0xd409;
constexpr std::uint64_t kReconnectDraw = 0xd509;

}  // namespace

void ClientSimulator::handle(const ClientArrives& event) {
  SimulatedClient& client = state_.clients[event.client];
  if (client.finished || client.connected || client.waiting) {
    return;
  }
  if (!client.started) {
    start_session(event.client);
  }
  if (state_.now() >= state_.end) {
    return;
  }
  const std::optional<Index> node = next_node(state_.session(event.client).zone);
  if (!node) {
    state_.schedule(state_.now() + kNoNodeRetryDelay, ClientArrives{event.client});
    return;
  }
  client.node = node;
  client.node_incarnation = state_.nodes[*node].incarnation;
  ++client.request_number;
  client.request_id = request_id_of(state_.session(event.client), client.request_number);
  client.answered = false;
  client.connection.reset();
  client.attempts = 0;
  client.request_sent = state_.now();
  client.waiting = true;
  state_.schedule(state_.now() + state_.network.draw_client_delay(),
                  RequestArrives{event.client, client.request_number});
}

void ClientSimulator::start_session(Index client) {
  const Session& session = state_.session(client);
  state_.clients[client].started = true;
  ++state_.clients_in_session[static_cast<std::size_t>(session.traffic)];
  state_.schedule(state_.now() + from_seconds(session.lifetime_s), SessionEnds{client});
}

// Round robin over the nodes of the client's zone, or over all nodes where that zone has none.
std::optional<Index> ClientSimulator::next_node(int zone) {
  for (const bool any_zone : {false, true}) {
    for (std::size_t tried = 0; tried < state_.nodes.size(); ++tried) {
      const auto candidate = static_cast<Index>(next_turn_++ % state_.nodes.size());
      const SimulatedNode& node = state_.nodes[candidate];
      if (node.in_front && (any_zone || node.zone == zone)) {
        return candidate;
      }
    }
  }
  return std::nullopt;
}

bool ClientSimulator::waits_for(Index client, int request_number) const {
  return state_.clients[client].request_number == request_number && state_.clients[client].waiting;
}

void ClientSimulator::handle(const RequestArrives& event) {
  if (!waits_for(event.client, event.request_number)) {
    return;
  }
  SimulatedClient& client = state_.clients[event.client];
  const SimulatedNode& node = state_.nodes[*client.node];
  if (!node.alive || node.incarnation != client.node_incarnation) {
    client.waiting = false;
    retry(event.client, Reply::disconnected, 0);
    return;
  }
  const Session& session = state_.session(event.client);
  const TrafficType& type = state_.traffic_type(event.client);
  state_.audit.on_request_sent(client.request_id, static_cast<int>(*client.node), session.traffic,
                               state_.now());
  ++state_.current_second().requests;
  state_.requests[client.request_id] = event.client;
  const Duration longest_wait = from_milliseconds(type.expiry_ms + state_.scenario.grace_to_answer_ms);
  state_.schedule(state_.now() + longest_wait + 1, RequestDeadlinePasses{event.client, event.request_number});
  if (session.patience_ms > 0 && event.request_number == 1) {
    state_.schedule(state_.now() + from_milliseconds(session.patience_ms),
                    ClientLeavesEarly{event.client, event.request_number});
  }
  parts_.nodes.add_event(*client.node, request_event(event.client));
  parts_.nodes.run_policy(*client.node);
}

RequestReceived ClientSimulator::request_event(Index index) const {
  const SimulatedClient& client = state_.clients[index];
  const SimulatedNode& node = state_.nodes[*client.node];
  const Session& session = state_.session(index);
  const TrafficType& type = state_.traffic_type(index);
  RequestAttributes request;
  request.id = client.request_id;
  request.traffic_type = type.name;
  if (session.tenant >= 0) {
    request.tenant = state_.scenario.tenants[static_cast<std::size_t>(session.tenant)].name;
  }
  request.client_key = static_cast<std::int64_t>(session.seed >> 1);
  if (session.group >= 0) {
    const std::uint64_t hash = XXH64(&session.group, sizeof session.group, kAffinityGroupHashSeed);
    request.affinity_group = static_cast<std::int64_t>(hash >> 1);
  }
  request.deadline = kPolicyClockAtStart + state_.now() + from_milliseconds(type.expiry_ms);
  if (node.stopping) {
    const TimePoint last_answer =
        kPolicyClockAtStart + node.stop_requested + kNodeShutdownTime - kServiceStep;
    request.deadline = std::min(request.deadline, last_answer);
  }
  request.is_migrated = client.request_number > 1;
  return {.request = std::move(request)};
}

void ClientSimulator::handle(const RequestDeadlinePasses& event) {
  if (!waits_for(event.client, event.request_number)) {
    return;
  }
  abandon_request(event.client);
  retry(event.client, Reply::none, 0);
}

void ClientSimulator::handle(const ClientLeavesEarly& event) {
  const bool answer_in_flight = state_.clients[event.client].answered;
  if (!waits_for(event.client, event.request_number) || answer_in_flight) {
    return;
  }
  abandon_request(event.client);
  finish_session(event.client);
}

void ClientSimulator::abandon_request(Index index) {
  SimulatedClient& client = state_.clients[index];
  state_.audit.on_client_left(client.request_id, state_.now());
  client.waiting = false;
  const SimulatedNode& node = state_.nodes[*client.node];
  const bool in_flight = state_.requests.erase(client.request_id) > 0;
  if (!in_flight || !node.alive || node.incarnation != client.node_incarnation) {
    return;
  }
  parts_.nodes.add_event(*client.node, ClientDisconnected{client.request_id});
  if (client.connection) {
    parts_.connections.close(*client.connection, Outcome::cancelled, true);
  }
  parts_.nodes.run_policy(*client.node);
}

void ClientSimulator::retry(Index index, Reply reply, double retry_after_ms) {
  SimulatedClient& client = state_.clients[index];
  const bool failed = reply != Reply::disconnected && reply != Reply::migrated;
  if (failed) {
    ++client.failures;
  }
  if (client.finished) {
    return;
  }
  const double wait_ms =
      retry_delay_ms(state_.scenario, state_.session(index), reply, retry_after_ms,
                     std::max(1, client.failures), static_cast<std::uint64_t>(client.request_number));
  state_.schedule(state_.now() + from_milliseconds(wait_ms), ClientArrives{index});
}

void ClientSimulator::handle(const SessionEnds& event) {
  const SimulatedClient& client = state_.clients[event.client];
  if (client.finished) {
    return;
  }
  if (client.connected) {
    state_.audit.on_connection_ended(client.request_id, ConnectionEnd::by_client, true, state_.now());
    disconnect(event.client);
  }
  finish_session(event.client);
}

void ClientSimulator::finish_session(Index client) {
  if (!state_.clients[client].finished) {
    --state_.clients_in_session[static_cast<std::size_t>(state_.session(client).traffic)];
  }
  state_.clients[client].finished = true;
}

void ClientSimulator::handle(const AnswerArrives& event) {
  record_answer(event);
  SimulatedClient& client = state_.clients[event.client];
  if (!waits_for(event.client, event.request_number)) {
    return;
  }
  client.waiting = false;
  if (event.reply == Reply::established) {
    connect(event.client);
  } else {
    retry(event.client, event.reply, static_cast<double>(event.retry_after_ms));
  }
}

void ClientSimulator::record_answer(const AnswerArrives& event) {
  const std::string id = request_id_of(state_.session(event.client), event.request_number);
  switch (event.reply) {
    case Reply::established:
      state_.audit.on_answer_received(id, RequestOutcome::succeeded, state_.now());
      ++state_.current_second().succeeded;
      return;
    case Reply::rejected:
      state_.audit.on_answer_received(id, RequestOutcome::rejected, state_.now());
      ++state_.current_second().rejected;
      return;
    case Reply::failed:
      state_.audit.on_answer_received(id, RequestOutcome::failed, state_.now());
      ++state_.current_second().failed;
      return;
    case Reply::none:
    case Reply::disconnected:
    case Reply::migrated:
      return;
  }
}

void ClientSimulator::connect(Index index) {
  SimulatedClient& client = state_.clients[index];
  const double setup_ms = static_cast<double>(state_.now() - client.request_sent) / kMs;
  state_.current_second().setup_latency.add(setup_ms);
  state_.result.setup_latency.add(setup_ms);
  if (!client.connection || state_.connections[*client.connection].closed) {
    retry(index, Reply::disconnected, 0);
    return;
  }
  if (client.finished) {
    disconnect(index);
    return;
  }
  client.failures = 0;
  client.connected = true;
  count_served(index, +1);
}

void ClientSimulator::send_answer(Index index, Reply reply, double retry_after_ms) {
  SimulatedClient& client = state_.clients[index];
  client.answered = true;
  const bool answers_twice = state_.defect_occurs(NodeDefect::answers_twice);
  const bool drops_answer = state_.defect_occurs(NodeDefect::drops_answer);
  const int answers = drops_answer ? 0 : answers_twice ? 2 : 1;
  for (int sent = 0; sent < answers; ++sent) {
    state_.schedule(
        state_.now() + state_.network.draw_client_delay(),
        AnswerArrives{index, client.request_number, reply, static_cast<std::int64_t>(retry_after_ms)});
  }
}

void ClientSimulator::count_served(Index client, int change) {
  const SimulatedConnection& connection = state_.connections[*state_.clients[client].connection];
  const auto traffic = static_cast<std::size_t>(state_.session(client).traffic);
  const std::size_t position = state_.served_position(state_.nodes[connection.node].zone, traffic);
  state_.endpoints[connection.endpoint].served[position] += change;
}

void ClientSimulator::stop_service(Index client) {
  if (state_.clients[client].connected) {
    count_served(client, -1);
  }
  state_.clients[client].connected = false;
}

void ClientSimulator::disconnect(Index client) {
  stop_service(client);
  const std::optional<Index> connection = state_.clients[client].connection;
  if (!connection || state_.connections[*connection].closed) {
    return;
  }
  if (!state_.node_runs(state_.connections[*connection])) {
    return;
  }
  const Index node = state_.connections[*connection].node;
  parts_.connections.close(*connection, Outcome::cancelled, true);
  parts_.nodes.run_policy(node);
}

void ClientSimulator::lose_connection(Index index, ConnectionEnd how, bool endpoint_alive) {
  const SimulatedClient& client = state_.clients[index];
  state_.audit.on_connection_ended(client.request_id, how, endpoint_alive, state_.now());
  Second& second = state_.current_second();
  ++(how == ConnectionEnd::migrated ? second.migrated : second.cut);
  const bool answer_in_flight = !client.connected;
  if (answer_in_flight) {
    return;
  }
  stop_service(index);
  if (!client.finished) {
    retry(index, how == ConnectionEnd::migrated ? Reply::migrated : Reply::disconnected, 0);
  }
}

void ClientSimulator::disconnect_share(Index fault) {
  const Fault& fault_settings = state_.plan.faults[fault].fault;
  for (Index client = 0; client < state_.clients.size(); ++client) {
    const std::uint64_t seed = state_.session(client).seed;
    if (!state_.clients[client].connected ||
        stable_fraction(seed, kDisconnectDraw + fault) >= fault_settings.magnitude) {
      continue;
    }
    state_.audit.on_connection_ended(state_.clients[client].request_id, ConnectionEnd::by_client, true,
                                     state_.now());
    disconnect(client);
    const double reconnects_after_s =
        fault_settings.duration_s * stable_fraction(seed, kReconnectDraw + fault);
    state_.schedule(state_.now() + from_seconds(reconnects_after_s), ClientArrives{client});
  }
}

}  // namespace dapplewharf::emulator
