// Sweeps: intervals, what is accepted on the command line, and runs that go on after an interruption.
#include "emulator/sweep.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>

namespace dapplewharf::emulator {
namespace {

TEST(Sweep, BootstrapHoldsTheMeanAndShrinksWithCertainty) {
  const Interval sure = bootstrap({0.1, 0.1, 0.1, 0.1}, 1);
  const Interval unsure = bootstrap({-0.3, 0.5, 0.2, -0.1, 0.2}, 1);
  EXPECT_NEAR(sure.mean, 0.1, 1e-12);
  EXPECT_NEAR(sure.high - sure.low, 0, 1e-12);
  EXPECT_LT(unsure.low, 0);
  EXPECT_GT(unsure.high, unsure.mean);
  EXPECT_DOUBLE_EQ(middle({3, 1, 2}, 0.5), 2);
  EXPECT_DOUBLE_EQ(middle({1, 2}, 0.5), 1.5);
}

TEST(Sweep, RefusesWhatIsNoSpanOrNoValue) {
  EXPECT_EQ(seeds_of("3..9"), (std::pair<std::uint64_t, std::uint64_t>(3, 9)));
  EXPECT_EQ(seeds_of("4"), (std::pair<std::uint64_t, std::uint64_t>(4, 4)));
  for (const char* bad : {"", "a..b", "9..3", "1..", "1..999999999", "-1..2"}) {
    EXPECT_THROW(seeds_of(bad), InvalidInput) << bad;
  }
  EXPECT_EQ(vary_of("a.b=1,2").second.size(), 2u);
  for (const char* bad : {"a.b", "a.b=", "=,"}) {
    EXPECT_THROW(vary_of(bad), InvalidInput) << bad;
  }
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
