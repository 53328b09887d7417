// The endpoint list service of a simulated run: the list that it publishes, and when nodes are notified of
// changes. It holds the number of its outages and its extra delay. See docs/emulator.md.
#pragma once
#include "emulator/sim/simulation_parts.h"
#include "emulator/sim/simulation_state.h"

namespace dapplewharf::emulator {

/// Answers requests for the endpoint list and notifies nodes that watch it.
class EndpointListService {
 public:
  explicit EndpointListService(SimulationParts& parts) : parts_(parts), state_(parts.state) {}

  void handle(const EndpointListArrives& event);
  void handle(const EndpointListFails& event);
  void handle(const PollingNodeIsNotified& event);
  void handle(const EndpointStatePublished& event);

  /// Gives a starting node its cached copy of the list.
  void deliver_cached_list(Index node);

  /// Requests the complete list for a node.
  /// @param watch whether the node also subscribes to changes.
  void request_list(Index node, bool watch);

  /// Publishes an endpoint's state after `delay_s` seconds and the service's extra delay.
  void publish_later(Index endpoint, EndpointState state, double delay_s);

  /// Changes the service's extra delay.
  void change_delay(double change_s) { extra_delay_s_ += change_s; }

  /// Begins an outage, in addition to those that last already; the subscriptions of all nodes break.
  void begin_outage();
  /// Ends one outage.
  void end_outage() { --outages_; }

 private:
  bool is_down() const { return outages_ > 0; }
  bool runs(Index node, int incarnation) const;
  std::vector<EndpointEntry> complete_list() const;
  EndpointEntry entry(Index endpoint) const;
  void fail_request(Index node, int incarnation);
  void record_notification(Index node, const std::vector<EndpointEntry>& list);

  SimulationParts& parts_;
  SimulationState& state_;
  int outages_ = 0;
  double extra_delay_s_ = 0;
};

}  // namespace dapplewharf::emulator
