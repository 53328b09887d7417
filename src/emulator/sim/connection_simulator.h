// The attempts of a simulated run and the connections that they establish, on the side of nodes and the
// network. All state is in SimulationState. See docs/emulator.md.
#pragma once
#include "emulator/sim/simulation_parts.h"
#include "emulator/sim/simulation_state.h"

namespace dapplewharf::emulator {

/// Handles the events of attempts and connections at their nodes.
class ConnectionSimulator {
 public:
  explicit ConnectionSimulator(SimulationParts& parts) : parts_(parts), state_(parts.state) {}

  void handle(const RequestLineSent& event);
  void handle(const AttemptFails& event);
  void handle(const AttemptTimesOut& event);
  void handle(const EstablishedArrives& event);
  void handle(const AttemptResultArrives& event);

  /// Starts an attempt for a node's policy.
  void begin_attempt(Index node, const StartAttempt& action);

  /// Closes a connection at its node, and notifies the policy and the endpoint.
  /// @param final whether the client's request ends too, so that no other attempt follows.
  void close(Index connection, Outcome outcome, bool final);

 private:
  Index add_connection(Index client, Index node, Index endpoint, std::optional<int> attempt_number);
  void send_request(Index connection, Duration timeout);
  void end_attempt(Index connection, Outcome outcome);

  SimulationParts& parts_;
  SimulationState& state_;
};

}  // namespace dapplewharf::emulator
