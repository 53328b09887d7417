// The health checks that nodes of a simulated run send to endpoints. Changes health checks in the shared
// state. See docs/emulator.md.
#pragma once
#include "emulator/sim/simulation_parts.h"
#include "emulator/sim/simulation_state.h"

namespace dapplewharf::emulator {

/// Handles the events of health checks.
class HealthCheckSimulator {
 public:
  explicit HealthCheckSimulator(SimulationParts& parts) : parts_(parts), state_(parts.state) {}

  void handle(const HealthCheckArrives& event);
  void handle(const HealthCheckEnds& event);

  /// Starts a health check for a node's policy; does nothing if no endpoint has this name.
  void begin(Index node, const std::string& endpoint_name);

 private:
  SimulationParts& parts_;
  SimulationState& state_;
};

}  // namespace dapplewharf::emulator
