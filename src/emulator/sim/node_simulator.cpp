#include "emulator/sim/node_simulator.h"

#include <algorithm>
#include <utility>

#include "config/platform_settings.h"
#include "emulator/env.h"
#include "emulator/model/chance.h"
#include "emulator/sim/client_simulator.h"
#include "emulator/sim/connection_simulator.h"
#include "emulator/sim/endpoint_list_service.h"
#include "emulator/sim/health_check_simulator.h"
#include "emulator/sim/sim_time.h"

namespace dapplewharf::emulator {
namespace {

constexpr Duration kFrontRemovalDelay = 300 * kMs;
constexpr Duration kFrontAdditionDelay = 500 * kMs;
constexpr double kCannotServe = 1e7;  // a load that no endpoint reaches
constexpr double kColdPenalty = 0.5;
constexpr double kMinCapacity = 1e-6;

}  // namespace

void NodeSimulator::start(Index index) {
  SimulatedNode& node = state_.nodes[index];
  node.alive = true;
  node.stopping = false;
  node.watches_list = false;
  node.list_requested = state_.now();
  ++node.incarnation;
  std::fill(node.established.begin(), node.established.end(), 0);
  std::fill(node.slow_endpoints.begin(), node.slow_endpoints.end(), false);
  const nlohmann::json environment =
      make_node_settings(state_.scenario, state_.plan, static_cast<int>(index));
  const Settings settings = parse_platform_settings(environment);
  const std::uint64_t seed =
      XXH64(&index, sizeof index, state_.seed + static_cast<std::uint64_t>(node.incarnation));
  node.policy = make_policy(state_.policy_name, settings, seed, kPolicyClockAtStart + state_.now(),
                            [this](const std::string& endpoint) { return true_load(endpoint); });
  state_.audit.on_node_started(static_cast<int>(index));
  parts_.list_service.deliver_cached_list(index);
  run_policy(index);
  if (state_.scenario.list_mode == "pushed") {
    parts_.list_service.request_list(index, true);
  }
}

double NodeSimulator::true_load(const std::string& name) const {
  const SimulatedEndpoint& endpoint = state_.endpoints[state_.find_endpoint(name).value()];
  if (endpoint.condition != EndpointCondition::up || endpoint.draining || endpoint.hang_faults > 0 ||
      endpoint.failing_share > 0) {
    return kCannotServe;
  }
  const HostModel& model = endpoint.model;
  return (model.load() + model.backlog_s()) / std::max(model.capacity(), kMinCapacity) +
         (model.is_cold() ? kColdPenalty : 0);
}

void NodeSimulator::add_event(Index node, PolicyEvent event) {
  state_.nodes[node].pending_events.push_back(std::move(event));
}

void NodeSimulator::run_policy(Index index) {
  SimulatedNode& node = state_.nodes[index];
  if (std::exchange(node.policy_running, true)) {
    return;
  }
  while (node.alive && !node.pending_events.empty()) {
    const std::vector<PolicyEvent> events = std::exchange(node.pending_events, {});
    for (const PolicyAction& action :
         node.policy->handle_events(kPolicyClockAtStart + state_.now(), events)) {
      std::visit([this, index](const auto& typed_action) { perform(index, typed_action); }, action);
    }
  }
  node.policy_running = false;
}

void NodeSimulator::perform(Index node, const StartAttempt& action) {
  parts_.connections.begin_attempt(node, action);
}

void NodeSimulator::perform(Index, const RejectRequest& action) {
  answer(action.request_id, Reply::rejected, static_cast<double>(action.retry_after / kMs));
}

void NodeSimulator::perform(Index, const FailRequest& action) {
  answer(action.request_id, Reply::failed, 0);
}

void NodeSimulator::perform(Index node, const CheckHealth& action) {
  parts_.health_checks.begin(node, action.endpoint);
}

void NodeSimulator::perform(Index node, const SetTimer& action) {
  state_.schedule(state_.now() + std::max<Duration>(action.delay, 1),
                  PolicyTimerFires{node, action.timer, state_.nodes[node].incarnation});
}

void NodeSimulator::perform(Index node, const WatchEndpoints&) {
  parts_.list_service.request_list(node, true);
}

void NodeSimulator::perform(Index node, const FetchEndpoints&) {
  parts_.list_service.request_list(node, false);
}

void NodeSimulator::perform(Index, const LogMessage&) {}

void NodeSimulator::perform(Index, const CancelAttempt& action) {
  const std::optional<Index> client = state_.find_request(action.request_id);
  if (client && state_.clients[*client].connection) {
    parts_.connections.close(*state_.clients[*client].connection, Outcome::cancelled, false);
  }
}

void NodeSimulator::perform(Index, const MigrateConnection& action) {
  const std::optional<Index> client = state_.find_request(action.request_id);
  if (!client) {
    return;
  }
  const std::optional<Index> connection = state_.clients[*client].connection;
  if (!connection || state_.connections[*connection].closed) {
    return;
  }
  parts_.connections.close(*connection, Outcome::cancelled, true);
  const ConnectionEnd how =
      state_.defect == NodeDefect::closes_without_migration ? ConnectionEnd::cut : ConnectionEnd::migrated;
  parts_.clients.lose_connection(*client, how, state_.is_up(state_.connections[*connection].endpoint));
}

void NodeSimulator::answer(const std::string& request_id, Reply reply, double retry_after_ms) {
  const std::optional<Index> client = state_.find_request(request_id);
  if (!client) {
    return;
  }
  state_.requests.erase(request_id);
  parts_.clients.send_answer(*client, reply, retry_after_ms);
}

void NodeSimulator::handle(const PolicyTimerFires& event) {
  const SimulatedNode& node = state_.nodes[event.node];
  if (!node.alive || node.incarnation != event.incarnation) {
    return;
  }
  add_event(event.node, TimerFired{event.timer});
  run_policy(event.node);
}

void NodeSimulator::kill(Index node) {
  end_process(node);
  drop_connections(node, ConnectionEnd::node_killed);
  drop_requests(node);
  state_.schedule(state_.now() + from_seconds(state_.scenario.front_detection_s), FrontChecksNode{node});
}

void NodeSimulator::stop(Index index, Duration restart_after) {
  SimulatedNode& node = state_.nodes[index];
  node.stopping = true;
  node.stop_requested = state_.now();
  add_event(index, ShutdownStarted{});
  run_policy(index);
  const Duration restart = std::max(restart_after, kNodeShutdownTime + kServiceStep);
  state_.schedule(state_.now() + kFrontRemovalDelay, FrontRemovesNode{index});
  state_.schedule(state_.now() + kNodeShutdownTime, NodeExits{index, node.incarnation});
  state_.schedule(state_.now() + restart, NodeRestarts{index});
}

void NodeSimulator::handle(const NodeExits& event) {
  const SimulatedNode& node = state_.nodes[event.node];
  if (!node.alive || node.incarnation != event.incarnation) {
    return;
  }
  state_.audit.finish(state_.now());
  end_process(event.node);
  drop_connections(event.node, ConnectionEnd::cut);
  drop_requests(event.node);
}

void NodeSimulator::handle(const NodeRestarts& event) {
  if (state_.nodes[event.node].alive) {
    return;
  }
  start(event.node);
  state_.schedule(state_.now() + kFrontAdditionDelay, FrontChecksNode{event.node});
}

void NodeSimulator::handle(const FrontChecksNode& event) {
  SimulatedNode& node = state_.nodes[event.node];
  node.in_front = node.alive && !node.stopping;
}

void NodeSimulator::handle(const FrontRemovesNode& event) {
  state_.nodes[event.node].in_front = false;
}

void NodeSimulator::end_process(Index index) {
  SimulatedNode& node = state_.nodes[index];
  state_.audit.on_node_killed(static_cast<int>(index), state_.now());
  node.alive = false;
  node.watches_list = false;
  node.pending_events.clear();
  node.policy.reset();
}

void NodeSimulator::drop_connections(Index node, ConnectionEnd how) {
  for (Index index = 0; index < state_.connections.size(); ++index) {
    SimulatedConnection& connection = state_.connections[index];
    const bool of_this_process =
        connection.node == node && connection.node_incarnation == state_.nodes[node].incarnation;
    if (!of_this_process || connection.closed) {
      continue;
    }
    connection.closed = true;
    state_.schedule(state_.now() + state_.draw_node_delay(node, connection.endpoint), CloseArrives{index});
    if (connection.established_at_node && connection.attempt_number) {
      parts_.clients.lose_connection(connection.client, how, state_.is_up(connection.endpoint));
    }
  }
}

void NodeSimulator::drop_requests(Index node) {
  for (Index index = 0; index < state_.clients.size(); ++index) {
    SimulatedClient& client = state_.clients[index];
    if (client.node != node || client.node_incarnation != state_.nodes[node].incarnation) {
      continue;
    }
    state_.requests.erase(client.request_id);
    if (!client.waiting || client.answered) {
      continue;
    }
    client.waiting = false;
    parts_.clients.retry(index, Reply::disconnected, 0);
  }
}

}  // namespace dapplewharf::emulator
