// The interface of the load-balancing policy, which makes every decision of one node (docs/design.md). Events
// go in and actions come out. The policy reads no clock, opens no socket and draws random numbers only from
// its seed, so that the node, the simulator's adapter and the emulator make the same decisions.
#pragma once
#include <cstdint>
#include <memory>
#include <vector>

#include "policy/actions.h"
#include "policy/events.h"
#include "policy/settings.h"

namespace dapplewharf {

/// Makes the load-balancing decisions of one node. Instances share no state.
class LoadBalancer {
 public:
  /// @param seed of the only random generator that the policy draws from.
  /// @param now monotonic time in ticks of 0.1 ms.
  LoadBalancer(Settings settings, std::uint64_t seed, TimePoint now);
  ~LoadBalancer();

  /// Replaces the settings; the next event is handled with the new ones.
  void update_settings(Settings settings);

  /// Handles a batch of events in order.
  /// @param now monotonic time in ticks of 0.1 ms. If it is earlier than the time of a previous call, that
  ///     time is used instead.
  /// @return the actions to carry out, in order.
  std::vector<PolicyAction> handle_events(TimePoint now, const std::vector<PolicyEvent>& events);

 private:
  struct Components;
  std::unique_ptr<Components> components_;
};

}  // namespace dapplewharf
