// Whole runs in virtual time: the same bytes for the same seed, every rule findable, and the module keeping
// all of them.
#include "emulator/sim/simulation.h"

#include <gtest/gtest.h>

#include <filesystem>

#include "emulator/sim/policy.h"
#include "emulator/sweep.h"

namespace dapplewharf::emulator {
namespace {

Scenario example(const std::string& name) {
  return read_scenario(std::string(EXAMPLES) + "/" + name + ".toml");
}

TEST(Sim, TheSameSeedGivesTheSameBytes) {
  const Scenario scenario = example("everything");
  const std::string first = simulate(scenario, 7, "dapplewharf").told().dump();
  EXPECT_EQ(first, simulate(scenario, 7, "dapplewharf").told().dump());
  EXPECT_NE(first, simulate(scenario, 8, "dapplewharf").told().dump());
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
  EXPECT_GT(result.found[static_cast<int>(GetParam().rule)].count, 0);
  EXPECT_FALSE(result.found[static_cast<int>(GetParam().rule)].first.front().what.empty());
  EXPECT_TRUE(result.broken());
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
      EXPECT_EQ(result.found[i].count, 0) << kRuleNames[i] << " seed " << seed;
    }
    const Audit::Totals& totals = result.totals;
    EXPECT_EQ(totals.asked,
              totals.honoured + totals.rejected + totals.scrapped + totals.unanswered + totals.left);
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

struct Folder {
  std::string path = testing::TempDir() + "/dapplewharf-sweep-" + std::to_string(getpid());
  ~Folder() { std::filesystem::remove_all(path); }
};

TEST(Sweep, GivesTheSameOnAnyNumberOfThreadsAndGoesOnWhereItStopped) {
  const Folder one;
  const Folder many;
  Sweep sweep;
  sweep.file = std::string(EXAMPLES) + "/calm.toml";
  sweep.policies = {"dapplewharf", "fewest"};
  sweep.vary = {{"clients.standing", {"60", "80"}}};
  sweep.last = 3;
  const auto run = [&](const std::string& out, int jobs) {
    sweep.out = out, sweep.jobs = jobs;
    testing::internal::CaptureStdout();
    EXPECT_EQ(run_sweep(sweep), 0);
    return testing::internal::GetCapturedStdout();
  };
  const std::string first = run(one.path + "-1", 1);
  const std::string second = run(one.path + "-4", 4);
  EXPECT_EQ(first, second);
  EXPECT_NE(first.find("12 runs, 0 of them kept"), std::string::npos) << first;
  std::filesystem::remove(one.path +
                          "-1/clients.standing=60,fewest/seed-2/mark");  // as after an interruption
  const std::string again = run(one.path + "-1", 2);
  EXPECT_NE(again.find("12 runs, 11 of them kept"), std::string::npos) << again;
  EXPECT_EQ(again.substr(0, again.find("12 runs")), first.substr(0, first.find("12 runs")));
  std::filesystem::remove_all(one.path + "-1"), std::filesystem::remove_all(one.path + "-4");
}

}  // namespace
}  // namespace dapplewharf::emulator
