#include "emulator/sim/simulation_state.h"

#include <algorithm>
#include <limits>

#include "emulator/sim/sim_time.h"

namespace dapplewharf::emulator {
namespace {

/// A node's deliberate defect occurs once in so many opportunities.
constexpr int kDefectInterval = 20;

double shortest_message_objective(const Scenario& scenario) {
  double shortest = std::numeric_limits<double>::max();
  for (const TrafficType& type : scenario.traffic_types) {
    shortest = std::min(shortest, type.message_goal_ms);
  }
  return shortest;
}

}  // namespace

SimulationState::SimulationState(const Scenario& scenario, std::uint64_t seed, const std::string& policy_name)
    : scenario(scenario),
      seed(seed),
      policy_name(policy_name),
      defect(node_defect_of(policy_name)),
      plan(make_plan(scenario, seed)),
      end(from_seconds(scenario.duration_s)),
      audit(scenario, plan, 0),
      network(scenario, seed),
      nodes(static_cast<std::size_t>(scenario.node_count)),
      clients(plan.sessions.size()),
      clients_in_session(scenario.traffic_types.size(), 0),
      shortest_message_objective_ms(shortest_message_objective(scenario)) {
  result.driver = "sim";
  result.policy = policy_name;
  result.seed = seed;
  result.set_run(scenario, plan);
  for (const PlannedHost& planned : plan.hosts) {
    endpoints_by_name_[planned.id] = static_cast<Index>(endpoints.size());
    SimulatedEndpoint& endpoint = endpoints.emplace_back(scenario, plan, planned);
    const bool joins_later = planned.join_time_s > 0;
    endpoint.served.assign(scenario.zones.size() * scenario.traffic_types.size(), 0);
    endpoint.condition = joins_later ? EndpointCondition::down : EndpointCondition::up;
    endpoint.listed = planned.join_time_s == 0;
  }
}

const TrafficType& SimulationState::traffic_type(Index client) const {
  return scenario.traffic_types[static_cast<std::size_t>(session(client).traffic)];
}

std::string SimulationState::request_id(const SimulatedConnection& connection) const {
  return request_id_of(session(connection.client), connection.request_number);
}

std::optional<Index> SimulationState::find_endpoint(const std::string& name) const {
  const auto found = endpoints_by_name_.find(name);
  return found == endpoints_by_name_.end() ? std::nullopt : std::optional<Index>(found->second);
}

std::optional<Index> SimulationState::find_request(const std::string& request_id) const {
  const auto found = requests.find(request_id);
  return found == requests.end() ? std::nullopt : std::optional<Index>(found->second);
}

std::size_t SimulationState::served_position(int node_zone, std::size_t traffic) const {
  return static_cast<std::size_t>(node_zone) * scenario.traffic_types.size() + traffic;
}

bool SimulationState::node_runs(const SimulatedConnection& connection) const {
  const SimulatedNode& node = nodes[connection.node];
  return node.alive && node.incarnation == connection.node_incarnation;
}

Duration SimulationState::draw_node_delay(Index node, Index endpoint) {
  return network.draw_node_delay(zone_of_endpoint(endpoint), nodes[node].zone);
}

bool SimulationState::is_cut(Index node, Index endpoint) const {
  return network.cuts().is_cut(zone_of_endpoint(endpoint), nodes[node].zone);
}

bool SimulationState::responses_lost(Index node, Index endpoint) const {
  return network.cuts().responses_lost(zone_of_endpoint(endpoint), nodes[node].zone);
}

bool SimulationState::defect_occurs(NodeDefect kind) {
  return defect == kind && ++defect_opportunities_ % kDefectInterval == 0;
}

Second& SimulationState::current_second() {
  return result.second_at(to_seconds(now()));
}

}  // namespace dapplewharf::emulator
