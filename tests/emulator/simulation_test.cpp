// Whole runs in virtual time: the same bytes for the same seed, every rule findable, and the module keeping
// all of them.
#include "emulator/sim/simulation.h"

#include <gtest/gtest.h>

#include "emulator/sim/policy.h"

namespace dapplewharf::emulator {
namespace {

Scenario example(const std::string& name) {
  return read_scenario(std::string(EXAMPLES) + "/" + name + ".toml");
}

TEST(Sim, TheSameSeedGivesTheSameBytes) {
  const Scenario scenario = example("everything");
  const std::string first = simulate(scenario, 7, "dapplewharf").to_json().dump();
  EXPECT_EQ(first, simulate(scenario, 7, "dapplewharf").to_json().dump());
  EXPECT_NE(first, simulate(scenario, 8, "dapplewharf").to_json().dump());
}

struct Breach {
  const char* policy;
  Rule rule;
};
void PrintTo(const Breach& breach, std::ostream* out) {
  *out << breach.policy;
}
class FaultyPolicy : public testing::TestWithParam<Breach> {};

TEST_P(FaultyPolicy, IsFound) {
  const Result result = simulate(example("everything"), 1, GetParam().policy);
  EXPECT_GT(result.findings[static_cast<int>(GetParam().rule)].count, 0);
  EXPECT_FALSE(result.findings[static_cast<int>(GetParam().rule)].first_findings.front().description.empty());
  EXPECT_TRUE(result.has_violations());
}

INSTANTIATE_TEST_SUITE_P(All, FaultyPolicy,
                         testing::Values(Breach{"faulty-drops-answer", Rule::final_answer},
                                         Breach{"faulty-answers-twice", Rule::final_answer},
                                         Breach{"faulty-effect-twice", Rule::effect_twice},
                                         Breach{"faulty-drain", Rule::drain_kept},
                                         Breach{"faulty-cold", Rule::cold_pushed},
                                         Breach{"faulty-bytes", Rule::bytes_changed},
                                         Breach{"faulty-cut-off", Rule::cut_off}));

TEST(Sim, EveryFaultHasItsTest) {
  int faulty = 0;
  for (const std::string& name : policy_names()) {
    faulty += name.starts_with("faulty-");
  }
  EXPECT_EQ(faulty, 7);
}

class KeepsRules : public testing::TestWithParam<const char*> {};
TEST_P(KeepsRules, OnThreeSeeds) {
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
INSTANTIATE_TEST_SUITE_P(All, KeepsRules,
                         testing::Values("flapping", "mass-restart", "calm", "silent", "slow",
                                         "rolling-drain", "cold-return", "reconnect-crowd", "list-down",
                                         "node-killed", "zone-cut", "neighbour", "growth", "everything",
                                         "small", "unrepeatable"));

TEST(Sim, AFaultCostsWhatItShould) {
  const double calm = simulate(example("calm"), 1, "dapplewharf").service();
  EXPECT_GT(calm, 0.99);
  EXPECT_LT(simulate(example("silent"), 1, "dapplewharf").service(), calm - 0.02);
  EXPECT_GT(simulate(example("small"), 1, "dapplewharf").service(),
            simulate(example("small"), 1, "random").service());
}

}  // namespace
}  // namespace dapplewharf::emulator
