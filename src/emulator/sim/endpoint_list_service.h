// The endpoint list service of a simulated run: what it knows of endpoints and when nodes are notified. Owns
// its outages and its extra delay. See docs/emulator.md.
#pragma once
#include "emulator/sim/simulation_parts.h"
#include "emulator/sim/simulation_state.h"

namespace dapplewharf::emulator {

class EndpointListService {
 public:
  explicit EndpointListService(SimulationParts& parts) : parts_(parts), state_(parts.state) {}

  void handle(const EndpointListArrives& event);
  void handle(const EndpointListFails& event);
  void handle(const PollingNodeIsNotified& event);
  void handle(const EndpointStatePublished& event);

  /// Hands a starting node the list that the deployment keeps for it.
  void deliver_cached_list(Index node);

  /// A node asks for the whole list.
  /// @param watch whether it also asks to be notified of changes.
  void request_list(Index node, bool watch);

  /// Publishes an endpoint's state after `delay_s` seconds and the service's extra delay.
  void publish_later(Index endpoint, EndpointState state, double delay_s);

  /// Changes the service's extra delay by so many seconds.
  void change_delay(double change_s) { extra_delay_s_ += change_s; }

  /// Begins one more outage; the watches of all nodes break.
  void begin_outage();
  void end_outage() { --outages_; }

 private:
  bool is_down() const { return outages_ > 0; }
  bool runs(Index node, int incarnation) const;
  std::vector<EndpointEntry> whole_list() const;
  EndpointEntry entry(Index endpoint) const;
  void fail_request(Index node, int incarnation);
  void record_notification(Index node, const std::vector<EndpointEntry>& list);

  SimulationParts& parts_;
  SimulationState& state_;
  int outages_ = 0;
  double extra_delay_s_ = 0;
};

}  // namespace dapplewharf::emulator
