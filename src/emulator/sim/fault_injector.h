// Applies the planned faults of a simulated run when they begin and reverts them when they end. All state is
// in SimulationState and in the parts that a fault affects. See docs/emulator.md, and docs/scenario.md for
// the kinds.
#pragma once
#include "emulator/sim/simulation_parts.h"
#include "emulator/sim/simulation_state.h"

namespace dapplewharf::emulator {

/// Handles the events of faults.
class FaultInjector {
 public:
  explicit FaultInjector(SimulationParts& parts) : parts_(parts), state_(parts.state) {}

  void handle(const FaultBegins& event);
  void handle(const FaultEnds& event);
  void handle(const NeighbourLoadChanges& event);

 private:
  enum class Change { begins, ends };

  void apply(Index fault, Change change);
  void apply_to_endpoint(Index fault, std::size_t position, Change change);
  void stop_endpoint(Index fault, std::size_t position);
  void silence(Index endpoint, Change change);
  void apply_to_node(const Fault& fault, Index node);
  void apply_to_deployment(Index fault, Change change);
  int zone_number(const std::string& zone) const;

  SimulationParts& parts_;
  SimulationState& state_;
};

}  // namespace dapplewharf::emulator
