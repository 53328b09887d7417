#include "emulator/sim/simulation.h"

#include <algorithm>
#include <utility>

#include "base/overloaded.h"
#include "emulator/sim/client_simulator.h"
#include "emulator/sim/connection_simulator.h"
#include "emulator/sim/endpoint_list_service.h"
#include "emulator/sim/endpoint_simulator.h"
#include "emulator/sim/fault_injector.h"
#include "emulator/sim/health_check_simulator.h"
#include "emulator/sim/measurements.h"
#include "emulator/sim/node_simulator.h"
#include "emulator/sim/sim_time.h"
#include "emulator/sim/simulation_parts.h"
#include "emulator/sim/simulation_state.h"

namespace dapplewharf::emulator {
namespace {

/// Time after the last deadline in which late answers may still arrive.
constexpr double kAnswerGraceMs = 100;

/// Passes an event to a part of the simulation, if that part has a handler for it.
template <class Part>
struct HandledBy {
  Part& part;

  template <class Event>
  auto operator()(const Event& event) const -> decltype(std::declval<Part&>().handle(event)) {
    return part.handle(event);
  }
};
template <class Part>
HandledBy(Part&) -> HandledBy<Part>;

class Simulation {
 public:
  Simulation(const Scenario& scenario, std::uint64_t seed, const std::string& policy)
      : state_(scenario, seed, policy) {}

  Result run(SimulationEffort* effort);

 private:
  void start_endpoints();
  void start_nodes();
  void schedule_plan();
  TimePoint end_of_answers() const;
  void dispatch(const SimEvent& event);

  SimulationState state_;
  SimulationParts parts_{.state = state_,
                         .clients = clients_,
                         .connections = connections_,
                         .endpoints = endpoints_,
                         .nodes = nodes_,
                         .health_checks = health_checks_,
                         .list_service = list_service_};
  ClientSimulator clients_{parts_};
  ConnectionSimulator connections_{parts_};
  EndpointSimulator endpoints_{parts_};
  NodeSimulator nodes_{parts_};
  HealthCheckSimulator health_checks_{parts_};
  EndpointListService list_service_{parts_};
  FaultInjector faults_{parts_};
  Measurements measurements_{parts_};
};

Result Simulation::run(SimulationEffort* effort) {
  start_endpoints();
  start_nodes();
  schedule_plan();
  measurements_.start();
  const TimePoint last = end_of_answers();
  while (state_.queue.has_event_until(last)) {
    dispatch(state_.queue.take_next());
  }
  state_.queue.advance_to(last);
  state_.audit.finish(last);
  state_.result.take_findings(state_.audit);
  if (effort) {
    *effort = {.virtual_s = to_seconds(last), .connection_s = measurements_.connection_seconds()};
  }
  return std::move(state_.result);
}

void Simulation::start_endpoints() {
  for (Index endpoint = 0; endpoint < state_.endpoints.size(); ++endpoint) {
    const double join_time_s = state_.plan.hosts[endpoint].join_time_s;
    if (join_time_s > 0) {
      state_.schedule(from_seconds(join_time_s), EndpointJoins{endpoint});
    }
  }
}

void Simulation::start_nodes() {
  for (Index index = 0; index < state_.nodes.size(); ++index) {
    SimulatedNode& node = state_.nodes[index];
    node.zone = state_.plan.zone_of_node(static_cast<int>(index), state_.scenario);
    node.established.assign(state_.endpoints.size(), 0);
    node.slow_endpoints.assign(state_.endpoints.size(), false);
    nodes_.start(index);
  }
}

void Simulation::schedule_plan() {
  for (Index client = 0; client < state_.clients.size(); ++client) {
    state_.schedule(from_seconds(state_.session(client).arrival_s), ClientArrives{client});
  }
  for (Index fault = 0; fault < state_.plan.faults.size(); ++fault) {
    state_.schedule(from_seconds(state_.plan.faults[fault].fault.start_s), FaultBegins{fault});
  }
}

TimePoint Simulation::end_of_answers() const {
  double longest_deadline_ms = 0;
  for (const TrafficType& type : state_.scenario.traffic_types) {
    longest_deadline_ms = std::max(longest_deadline_ms, type.expiry_ms);
  }
  return state_.end + from_milliseconds(longest_deadline_ms + kAnswerGraceMs);
}

void Simulation::dispatch(const SimEvent& event) {
  std::visit(Overloaded{HandledBy{clients_}, HandledBy{connections_}, HandledBy{endpoints_},
                        HandledBy{nodes_}, HandledBy{health_checks_}, HandledBy{list_service_},
                        HandledBy{faults_}, HandledBy{measurements_}},
             event);
}

}  // namespace

Result simulate(const Scenario& scenario, std::uint64_t seed, const std::string& policy,
                SimulationEffort* effort) {
  return Simulation(scenario, seed, policy).run(effort);
}

}  // namespace dapplewharf::emulator
