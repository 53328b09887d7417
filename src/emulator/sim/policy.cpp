#include "emulator/sim/policy.h"

#include "emulator/model/scenario.h"
#include "emulator/sim/baseline_policy.h"
#include "policy/load_balancer.h"

namespace dapplewharf::emulator {
namespace {

constexpr const char* kLoadBalancerName = "dapplewharf";

struct NamedBaseline {
  const char* name;
  EndpointOrder order;
};
constexpr NamedBaseline kBaselines[] = {{"random", EndpointOrder::random},
                                        {"fewest", EndpointOrder::fewest_connections},
                                        {"ring", EndpointOrder::hash_ring},
                                        {"truth", EndpointOrder::true_load}};

struct NamedDefect {
  const char* name;
  NodeDefect defect;
};
constexpr NamedDefect kDefects[] = {{"faulty-drops-answer", NodeDefect::drops_answer},
                                    {"faulty-answers-twice", NodeDefect::answers_twice},
                                    {"faulty-effect-twice", NodeDefect::duplicates_attempt},
                                    {"faulty-drain", NodeDefect::ignores_drain},
                                    {"faulty-cold", NodeDefect::prefers_cold},
                                    {"faulty-bytes", NodeDefect::corrupts_bytes},
                                    {"faulty-cut-off", NodeDefect::closes_without_migration}};

/// The project's load balancer.
class LoadBalancerPolicy : public Policy {
 public:
  LoadBalancerPolicy(const Settings& settings, std::uint64_t seed, TimePoint now)
      : load_balancer_(settings, seed, now) {}

  std::vector<PolicyAction> handle_events(TimePoint now, const std::vector<PolicyEvent>& events) override {
    return load_balancer_.handle_events(now, events);
  }

 private:
  LoadBalancer load_balancer_;
};

EndpointOrder order_of(const std::string& name) {
  for (const NamedBaseline& baseline : kBaselines) {
    if (name == baseline.name) {
      return baseline.order;
    }
  }
  return EndpointOrder::random;
}

}  // namespace

std::vector<std::string> policy_names() {
  std::vector<std::string> names{kLoadBalancerName};
  for (const NamedBaseline& baseline : kBaselines) {
    names.emplace_back(baseline.name);
  }
  for (const NamedDefect& defect : kDefects) {
    names.emplace_back(defect.name);
  }
  return names;
}

void check_policy(const std::string& name) {
  std::string names;
  for (const std::string& known : policy_names()) {
    if (name == known) {
      return;
    }
    names += (names.empty() ? "" : ", ") + known;
  }
  throw InvalidInput("--policy:0:0: unknown policy '" + name + "'; expected one of: " + names);
}

NodeDefect node_defect_of(const std::string& policy_name) {
  for (const NamedDefect& known : kDefects) {
    if (policy_name == known.name) {
      return known.defect;
    }
  }
  return NodeDefect::none;
}

std::unique_ptr<Policy> make_policy(const std::string& name, const Settings& settings, std::uint64_t seed,
                                    TimePoint now, TrueLoad true_load) {
  const NodeDefect defect = node_defect_of(name);
  const bool is_defect_of_selection =
      defect == NodeDefect::ignores_drain || defect == NodeDefect::prefers_cold;
  const bool is_defect_outside_policy = defect != NodeDefect::none && !is_defect_of_selection;
  if (name == kLoadBalancerName || is_defect_outside_policy) {
    return std::make_unique<LoadBalancerPolicy>(settings, seed, now);
  }
  return std::make_unique<BaselinePolicy>(order_of(name), defect, settings, seed, std::move(true_load));
}

}  // namespace dapplewharf::emulator
