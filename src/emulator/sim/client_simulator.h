// The clients of a simulated run: when they request a connection, how they react to an answer, and when they
// retry and leave. Changes the clients in the shared state and reports to the auditor what they observe. See
// docs/emulator.md.
#pragma once
#include "emulator/sim/simulation_parts.h"
#include "emulator/sim/simulation_state.h"

namespace dapplewharf::emulator {

/// Handles the events of clients.
class ClientSimulator {
 public:
  explicit ClientSimulator(SimulationParts& parts) : parts_(parts), state_(parts.state) {}

  void handle(const ClientArrives& event);
  void handle(const RequestArrives& event);
  void handle(const RequestDeadlinePasses& event);
  void handle(const ClientLeavesEarly& event);
  void handle(const SessionEnds& event);
  void handle(const AnswerArrives& event);

  /// Sends a node's final answer to its client.
  /// @param retry_after_ms sent with a rejection, truncated to whole milliseconds.
  void send_answer(Index client, Reply reply, double retry_after_ms = 0);

  /// Ends a client's established connection that its node or endpoint has closed.
  /// @param endpoint_alive whether its endpoint was up at that time.
  void lose_connection(Index client, ConnectionEnd how, bool endpoint_alive);

  /// Schedules a client's next request.
  /// @param reply how its last request or connection ended.
  /// @param retry_after_ms from a rejection; 0 if there was none.
  void retry(Index client, Reply reply, double retry_after_ms);

  /// Closes the connections of a share of the clients, as a fault `disconnect` does. The clients reconnect
  /// within the duration of the fault.
  void disconnect_share(Index fault);

 private:
  std::optional<Index> next_node(int zone);
  bool waits_for(Index client, int request_number) const;
  void start_session(Index client);
  RequestReceived request_event(Index client) const;
  void abandon_request(Index client);
  void finish_session(Index client);
  void record_answer(const AnswerArrives& event);
  void connect(Index client);
  void disconnect(Index client);
  void stop_service(Index client);
  void count_served(Index client, int change);

  SimulationParts& parts_;
  SimulationState& state_;
  std::size_t next_turn_ = 0;  // of the round robin over nodes
};

}  // namespace dapplewharf::emulator
