// Who decides in a simulated run: the project's module, the baselines that only the fleet has, and policies
// with one defect each, which show that the auditor can fail. A policy gets what the module gets and answers
// in its words.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "policy/load_balancer.h"

namespace dapplewharf::emulator {

class Policy {
 public:
  virtual ~Policy() = default;
  virtual std::vector<Action> handle_events(Tenths now, const std::vector<Event>& events) = 0;
};

// A defect of the node around the policy, carried out by the driver.
enum class NodeDefect {
  none,
  drops_answer,
  answers_twice,
  two_tries,
  ignores_drain,
  heaps_on_cold,
  changes_bytes,
  cuts_off
};

// What the policy that knows the truth is told: a host's load over its capacity now; over 1e6 if it can't
// serve.
using Truth = std::function<double(const std::string& host)>;

std::vector<std::string> policy_names();
void check_policy(const std::string& name);  // throws BadInput where there is none such
NodeDefect node_defect_of(const std::string& name);
std::unique_ptr<Policy> policy_of(const std::string& name, const SettingsMap& settings, std::uint64_t seed,
                                  Tenths now, Truth truth);

}  // namespace dapplewharf::emulator
