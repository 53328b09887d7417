// References through which the parts of a simulated run reach the shared state and one another. See
// docs/emulator.md.
#pragma once

namespace dapplewharf::emulator {

class ClientSimulator;
class ConnectionSimulator;
class EndpointListService;
class EndpointSimulator;
class HealthCheckSimulator;
class NodeSimulator;
class SimulationState;

/// References to the parts, all owned by the Simulation.
struct SimulationParts {
  SimulationState& state;
  ClientSimulator& clients;
  ConnectionSimulator& connections;
  EndpointSimulator& endpoints;
  NodeSimulator& nodes;
  HealthCheckSimulator& health_checks;
  EndpointListService& list_service;
};

}  // namespace dapplewharf::emulator
