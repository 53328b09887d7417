// The health checks that nodes of a simulated run send to endpoints. Changes health checks in the shared
// state. See docs/emulator.md.
#pragma once
#include "emulator/sim/simulation_parts.h"
#include "emulator/sim/simulation_state.h"

namespace dapplewharf::emulator {

class HealthCheckSimulator {
 public:
  explicit HealthCheckSimulator(SimulationParts& parts) : parts_(parts), state_(parts.state) {}

  void handle(const HealthCheckArrives& event);
  void handle(const HealthCheckEnds& event);

  /// Sends a health check, as a node's policy has decided; does nothing where no endpoint has this name.
  void begin(Index node, const std::string& endpoint_name);

 private:
  SimulationParts& parts_;
  SimulationState& state_;
};

}  // namespace dapplewharf::emulator
