// Tests of sweeps: confidence intervals, the parsing of options, and sweeps that continue after an
// interruption.
#include "emulator/sweep.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>

namespace dapplewharf::emulator {
namespace {

TEST(Sweep, BootstrapIntervalHoldsTheMeanAndIsNarrowForEqualDifferences) {
  const ConfidenceInterval equal = bootstrap({0.1, 0.1, 0.1, 0.1}, 1);
  const ConfidenceInterval scattered = bootstrap({-0.3, 0.5, 0.2, -0.1, 0.2}, 1);
  EXPECT_NEAR(equal.mean, 0.1, 1e-12);
  EXPECT_NEAR(equal.high - equal.low, 0, 1e-12);
  EXPECT_LT(scattered.low, 0);
  EXPECT_GT(scattered.high, scattered.mean);
  EXPECT_DOUBLE_EQ(quantile({3, 1, 2}, 0.5), 2);
  EXPECT_DOUBLE_EQ(quantile({1, 2}, 0.5), 1.5);
}

TEST(Sweep, RejectsMalformedSeedsAndVariations) {
  EXPECT_EQ(parse_seeds("3..9"), (std::pair<std::uint64_t, std::uint64_t>(3, 9)));
  EXPECT_EQ(parse_seeds("4"), (std::pair<std::uint64_t, std::uint64_t>(4, 4)));
  for (const char* malformed : {"", "a..b", "9..3", "1..", "1..999999999", "-1..2"}) {
    EXPECT_THROW(parse_seeds(malformed), InvalidInput) << malformed;
  }
  EXPECT_EQ(parse_variation("a.b=1,2").second.size(), 2u);
  for (const char* malformed : {"a.b", "a.b=", "=,"}) {
    EXPECT_THROW(parse_variation(malformed), InvalidInput) << malformed;
  }
}

struct Folder {
  std::string path = testing::TempDir() + "/dapplewharf-sweep-" + std::to_string(getpid());
  ~Folder() { std::filesystem::remove_all(path); }
};

TEST(Sweep, ResultIsIndependentOfThreadsAndAnInterruptedSweepContinues) {
  const Folder folder;
  SweepOptions sweep;
  sweep.file = std::string(EXAMPLES) + "/calm.toml";
  sweep.policies = {"dapplewharf", "fewest"};
  sweep.vary = {{"clients.standing", {"60", "80"}}};
  sweep.last_seed = 3;
  const auto run = [&](const std::string& out, int jobs) {
    sweep.output = out, sweep.jobs = jobs;
    testing::internal::CaptureStdout();
    EXPECT_EQ(run_sweep(sweep), 0);
    return testing::internal::GetCapturedStdout();
  };
  const std::string first = run(folder.path + "-1", 1);
  const std::string second = run(folder.path + "-4", 4);
  EXPECT_EQ(first, second);
  EXPECT_NE(first.find("12 runs, 0 of them kept"), std::string::npos) << first;
  std::filesystem::remove(folder.path +
                          "-1/clients.standing=60,fewest/seed-2/mark");  // as if it had been interrupted
  const std::string continued = run(folder.path + "-1", 2);
  EXPECT_NE(continued.find("12 runs, 11 of them kept"), std::string::npos) << continued;
  EXPECT_EQ(continued.substr(0, continued.find("12 runs")), first.substr(0, first.find("12 runs")));
  std::filesystem::remove_all(folder.path + "-1"), std::filesystem::remove_all(folder.path + "-4");
}

}  // namespace
}  // namespace dapplewharf::emulator
