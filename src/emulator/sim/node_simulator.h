// The nodes of a simulated run: their processes, and the delivery of events to their policies, whose actions
// are carried out. Changes the nodes in the shared state. See docs/emulator.md.
#pragma once
#include "emulator/sim/simulation_parts.h"
#include "emulator/sim/simulation_state.h"

namespace dapplewharf::emulator {

/// Handles the events of nodes and runs their policies.
class NodeSimulator {
 public:
  explicit NodeSimulator(SimulationParts& parts) : parts_(parts), state_(parts.state) {}

  void handle(const PolicyTimerFires& event);
  void handle(const NodeRestarts& event);
  void handle(const NodeExits& event);
  void handle(const FrontChecksNode& event);
  void handle(const FrontRemovesNode& event);

  /// Starts a node's process with its cached copy of the endpoint list.
  void start(Index node);
  /// Kills a node's process at once.
  void kill(Index node);
  /// Tells a node to stop; it exits after kNodeShutdownTime and restarts.
  /// @param restart_after from now; if the node exits later than that, it restarts just after its exit.
  void stop(Index node, Duration restart_after);

  /// Appends an event for a node's policy, which gets it when run_policy is called.
  void add_event(Index node, PolicyEvent event);

  /// Passes the pending events to a node's policy and carries out its actions, until no event is pending. A
  /// nested call, made while an action is carried out, does nothing, as the outer call handles the events.
  void run_policy(Index node);

 private:
  double true_load(const std::string& endpoint) const;
  void perform(Index node, const StartAttempt& action);
  void perform(Index node, const CancelAttempt& action);
  void perform(Index node, const RejectRequest& action);
  void perform(Index node, const FailRequest& action);
  void perform(Index node, const MigrateConnection& action);
  void perform(Index node, const CheckHealth& action);
  void perform(Index node, const SetTimer& action);
  void perform(Index node, const WatchEndpoints& action);
  void perform(Index node, const FetchEndpoints& action);
  void perform(Index node, const LogMessage& action);
  void answer(const std::string& request_id, Reply reply, double retry_after_ms);
  void end_process(Index node);
  void drop_connections(Index node, ConnectionEnd how);
  void drop_requests(Index node);

  SimulationParts& parts_;
  SimulationState& state_;
};

}  // namespace dapplewharf::emulator
