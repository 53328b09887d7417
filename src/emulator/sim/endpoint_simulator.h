// The endpoints of a simulated run: connection setups in their queues, loads, drains, restarts and shedding.
// Changes endpoints in the shared state. See docs/emulator.md.
#pragma once
#include "emulator/sim/simulation_parts.h"
#include "emulator/sim/simulation_state.h"

namespace dapplewharf::emulator {

/// Handles the events of endpoints.
class EndpointSimulator {
 public:
  explicit EndpointSimulator(SimulationParts& parts) : parts_(parts), state_(parts.state) {}

  void handle(const RequestLineArrives& event);
  void handle(const SetupWorkDue& event);
  void handle(const CloseArrives& event);
  void handle(const ConnectionLoadChanges& event);
  void handle(const DrainBegins& event);
  void handle(const DrainStep& event);
  void handle(const EndpointRestarts& event);
  void handle(const EndpointJoins& event);

  /// Recomputes when the next connection setup is complete, after the endpoint's speed or condition has
  /// changed.
  void reschedule_setup_work(Index endpoint);

  /// Stops an endpoint; it returns with a fresh process.
  /// @param how EndpointCondition::vanished or down.
  /// @param away_s seconds until it returns.
  /// @param noticed_after_s seconds until the endpoint list service removes it, unless it has returned by
  /// then.
  void take_away(Index endpoint, EndpointCondition how, double away_s, double noticed_after_s);

  /// Closes the newest connections while the backlog exceeds Scenario::max_backlog_s, if the scenario sheds
  /// load.
  void shed_overload(Index endpoint);

 private:
  enum class CloseKind { client_migrated, connection_lost };

  void admit_setup(Index connection);
  void respond(Index connection, Outcome outcome);
  void establish(Index connection);
  void schedule_setup_work(Index endpoint);
  double current_load(Index connection) const;
  void report_load(Index connection);
  void remove(Index connection);
  void close_from_endpoint(Index connection, CloseKind kind);
  void reset_all_connections(Index endpoint);
  void restart(Index endpoint);

  SimulationParts& parts_;
  SimulationState& state_;
};

}  // namespace dapplewharf::emulator
