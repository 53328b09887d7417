// The clients of a simulated run: when they ask for a connection, what they do with an answer, when they
// retry and leave. Changes clients in the shared state and tells the auditor what they see. See
// docs/emulator.md.
#pragma once
#include "emulator/sim/simulation_parts.h"
#include "emulator/sim/simulation_state.h"

namespace dapplewharf::emulator {

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
  /// @param retry_after_ms told with a rejection; whole milliseconds count.
  void send_answer(Index client, Reply reply, double retry_after_ms = 0);

  /// A client's established connection has ended from the other side.
  /// @param endpoint_alive whether its endpoint was up then.
  void lose_connection(Index client, ConnectionEnd how, bool endpoint_alive);

  /// Schedules a client's next request after what it got for the last one.
  void retry(Index client, Reply got, double retry_after_ms);

  /// Closes the connections of a fault's share of the clients, which come back within the fault's span.
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
  std::size_t next_turn_ = 0;  // of the front's round robin
};

}  // namespace dapplewharf::emulator
