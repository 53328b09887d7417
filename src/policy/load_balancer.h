// The interface of the load-balancing policy: every decision of one node and nothing else (docs/design.md).
// Events go in, actions come out; the policy reads no clock, opens no socket and draws chance only from its
// seed, so that the node, the simulator's adapter and the emulator run the very same decisions.
#pragma once
#include <cstdint>
#include <memory>
#include <vector>

#include "policy/actions.h"
#include "policy/events.h"
#include "policy/settings.h"

namespace dapplewharf {

/// The decisions of one node. It shares nothing with any other node's.
class LoadBalancer {
 public:
  /// @param seed of all chance drawn here.
  /// @param now monotonic time in ticks of 0.1 ms.
  LoadBalancer(Settings settings, std::uint64_t seed, TimePoint now);
  ~LoadBalancer();

  /// Replaces the settings from the next event on.
  void update_settings(Settings settings);

  /// Decides on a batch of events, in their order.
  /// @param now monotonic time; a time before the last one counts as the last one.
  /// @return the actions to carry out, in order.
  std::vector<PolicyAction> handle_events(TimePoint now, const std::vector<PolicyEvent>& events);

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace dapplewharf
