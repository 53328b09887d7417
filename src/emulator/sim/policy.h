// The policies of simulated runs and their names: the project's load balancer, the baselines, and policies
// with one deliberate defect each, which show that the auditor finds violations. See docs/emulator.md.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "policy/actions.h"
#include "policy/events.h"
#include "policy/settings.h"

namespace dapplewharf::emulator {

/// The decisions of one node; the interface is that of LoadBalancer.
class Policy {
 public:
  virtual ~Policy() = default;

  /// Decides on a batch of events, in their order.
  /// @param now monotonic time in ticks of 0.1 ms.
  /// @return the actions to carry out, in order.
  virtual std::vector<PolicyAction> handle_events(TimePoint now, const std::vector<PolicyEvent>& events) = 0;
};

/// A deliberate defect of a node.
enum class NodeDefect {
  none,
  drops_answer,             ///< does not send a final answer
  answers_twice,            ///< sends a final answer twice
  duplicates_attempt,       ///< sends a duplicate of an attempt to another endpoint
  ignores_drain,            ///< prefers draining endpoints
  prefers_cold,             ///< prefers endpoints that have just started
  corrupts_bytes,           ///< changes the bytes of a message
  closes_without_migration  ///< closes a connection instead of migrating its client
};

/// @return an endpoint's load divided by its capacity in the model; above kCannotServeLoad if it cannot
/// serve.
using TrueLoad = std::function<double(const std::string& endpoint)>;
constexpr double kCannotServeLoad = 1e6;

std::vector<std::string> policy_names();

/// Throws InvalidInput if no policy has this name.
void check_policy(const std::string& name);

NodeDefect node_defect_of(const std::string& policy_name);

/// Makes the policy of one node.
/// @param name one of policy_names().
/// @param seed of the random numbers that the policy draws.
/// @param now monotonic time in ticks of 0.1 ms.
/// @param true_load used only by the baseline EndpointOrder::true_load.
std::unique_ptr<Policy> make_policy(const std::string& name, const Settings& settings, std::uint64_t seed,
                                    TimePoint now, TrueLoad true_load);

}  // namespace dapplewharf::emulator
