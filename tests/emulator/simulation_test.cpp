// Complete simulated runs: they are reproducible, the auditor finds each kind of rule violation, and the load
// balancer violates no rule.
#include "emulator/sim/simulation.h"

#include <gtest/gtest.h>

#include "emulator/sim/policy.h"

namespace dapplewharf::emulator {
namespace {

Scenario example(const std::string& name) {
  return read_scenario(std::string(EXAMPLES) + "/" + name + ".toml");
}

TEST(Simulation, TheSameSeedGivesTheSameReport) {
  const Scenario scenario = example("everything");
  const std::string first = simulate(scenario, 7, "dapplewharf").to_json().dump();
  EXPECT_EQ(first, simulate(scenario, 7, "dapplewharf").to_json().dump());
  EXPECT_NE(first, simulate(scenario, 8, "dapplewharf").to_json().dump());
}

struct DefectivePolicy {
  const char* policy;
  Rule rule;
};
void PrintTo(const DefectivePolicy& defective, std::ostream* out) {
  *out << defective.policy;
}
class FaultyPolicy : public testing::TestWithParam<DefectivePolicy> {};

TEST_P(FaultyPolicy, ViolatesItsRuleAndTheAuditorFindsIt) {
  const Result result = simulate(example("everything"), 1, GetParam().policy);
  EXPECT_GT(result.findings[static_cast<int>(GetParam().rule)].count, 0);
  EXPECT_FALSE(result.findings[static_cast<int>(GetParam().rule)].first_findings.front().description.empty());
  EXPECT_TRUE(result.has_violations());
}

INSTANTIATE_TEST_SUITE_P(All, FaultyPolicy,
                         testing::Values(DefectivePolicy{"faulty-drops-answer", Rule::final_answer},
                                         DefectivePolicy{"faulty-answers-twice", Rule::final_answer},
                                         DefectivePolicy{"faulty-effect-twice", Rule::effect_twice},
                                         DefectivePolicy{"faulty-drain", Rule::drain_kept},
                                         DefectivePolicy{"faulty-cold", Rule::cold_pushed},
                                         DefectivePolicy{"faulty-bytes", Rule::bytes_changed},
                                         DefectivePolicy{"faulty-cut-off", Rule::cut_off}));

TEST(Simulation, EveryDefectivePolicyHasATest) {
  int defective_policies = 0;
  for (const std::string& name : policy_names()) {
    defective_policies += name.starts_with("faulty-");
  }
  EXPECT_EQ(defective_policies, 7);
}

class LoadBalancerRuns : public testing::TestWithParam<const char*> {};
TEST_P(LoadBalancerRuns, ViolateNoRuleOnThreeSeeds) {
  const Scenario scenario = example(GetParam());
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const Result result = simulate(scenario, seed, "dapplewharf");
    for (int i = 0; i < kRules; ++i) {
      EXPECT_EQ(result.findings[i].count, 0) << kRuleNames[i] << " seed " << seed;
    }
    const Audit::Totals& totals = result.totals;
    EXPECT_EQ(totals.requests,
              totals.succeeded + totals.rejected + totals.failed + totals.unanswered + totals.abandoned);
    EXPECT_GT(result.service(), 0.4);
    EXPECT_LE(result.service(), 1);
  }
}
INSTANTIATE_TEST_SUITE_P(All, LoadBalancerRuns,
                         testing::Values("flapping", "mass-restart", "calm", "silent", "slow",
                                         "rolling-drain", "cold-return", "reconnect-crowd", "list-down",
                                         "node-killed", "zone-cut", "neighbour", "growth", "everything",
                                         "small", "unrepeatable"));

TEST(Simulation, AFaultReducesServiceAndTheLoadBalancerBeatsRandom) {
  const double calm = simulate(example("calm"), 1, "dapplewharf").service();
  EXPECT_GT(calm, 0.99);
  EXPECT_LT(simulate(example("silent"), 1, "dapplewharf").service(), calm - 0.02);
  EXPECT_GT(simulate(example("small"), 1, "dapplewharf").service(),
            simulate(example("small"), 1, "random").service());
}

}  // namespace
}  // namespace dapplewharf::emulator
