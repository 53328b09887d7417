// Who decides in a simulated run: the project's load balancer, the baselines that only the emulator has, and
// policies with one defect each, which show that the auditor can fail. Owns the names of all policies. See
// docs/emulator.md.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "policy/actions.h"
#include "policy/events.h"
#include "policy/settings.h"

namespace dapplewharf::emulator {

/// The decisions of one node, with the interface of LoadBalancer.
class Policy {
 public:
  virtual ~Policy() = default;

  /// Decides on a batch of events, in their order.
  /// @param now monotonic time in ticks of 0.1 ms.
  /// @return the actions to carry out, in order.
  virtual std::vector<PolicyAction> handle_events(TimePoint now, const std::vector<PolicyEvent>& events) = 0;
};

/// A defect that a node has on purpose.
enum class NodeDefect {
  none,
  drops_answer,
  answers_twice,
  two_tries,      // sends a duplicate of an attempt to another endpoint
  ignores_drain,  // prefers draining endpoints
  heaps_on_cold,  // prefers endpoints that have just started
  changes_bytes,
  cuts_off  // closes a connection without telling its client to move
};

/// An endpoint's load over its capacity, as the model has it; over kCannotServeLoad if it cannot serve.
using TrueLoad = std::function<double(const std::string& endpoint)>;
constexpr double kCannotServeLoad = 1e6;

std::vector<std::string> policy_names();

/// Throws InvalidInput where no policy has this name.
void check_policy(const std::string& name);

NodeDefect node_defect_of(const std::string& policy_name);

/// Makes the policy of one node.
/// @param name one of policy_names().
/// @param seed of all chance that the policy draws.
/// @param now monotonic time in ticks of 0.1 ms.
/// @param true_load asked by the one baseline that knows the truth.
std::unique_ptr<Policy> make_policy(const std::string& name, const Settings& settings, std::uint64_t seed,
                                    TimePoint now, TrueLoad true_load);

}  // namespace dapplewharf::emulator
