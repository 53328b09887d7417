// Tests of what the soak counts as a violation in the nodes' logs. The node's lines are made by the code that
// the node itself runs. If their text changes, the tests therefore show whether the soak still finds them.
#include "emulator/soak.h"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "base/counters.h"
#include "base/event_loop.h"
#include "base/log.h"
#include "base/log_events.h"

namespace dapplewharf::emulator {
namespace {

/// A folder with one log, removed at the end of the test.
struct LogFolder {
  std::filesystem::path path =
      std::filesystem::temp_directory_path() / ("dapplewharf-soak-test-" + std::to_string(getpid()));
  explicit LogFolder(const std::string& log) {
    std::filesystem::create_directories(path);
    std::ofstream(path / "node-0.log") << log;
  }
  LogFolder(const LogFolder&) = delete;
  ~LogFolder() { std::filesystem::remove_all(path); }
};

int count_violations(const std::string& log) {
  const LogFolder folder(log);
  return count_violations_in_logs(folder.path.string());
}

/// What the node's own logger writes to standard output while `write_lines` runs.
template <class WriteLines>
std::string logged(const LogSettings& settings, WriteLines write_lines) {
  const auto former = spdlog::default_logger();
  start_logging();
  configure_logging(settings);
  testing::internal::CaptureStdout();
  write_lines();
  std::string log = testing::internal::GetCapturedStdout();
  spdlog::set_default_logger(former);
  return log;
}

void log_rule_violation() {
  spdlog::error("{}", format_rule_violation("begin an attempt for", "2e", "none"));
}

TEST(SoakViolations, CountsARuleViolationInTheFormThatTheNodeLogs) {
  for (const bool json : {false, true}) {
    const std::string log = logged({.json = json}, [] {
      log_rule_violation();
      spdlog::info("started");
      log_rule_violation();
    });
    ASSERT_NE(log.find("started"), std::string::npos) << log;
    EXPECT_EQ(count_violations(log), 2) << log;
  }
}

TEST(SoakViolations, IgnoresTheCounterOfRuleViolations) {
  for (const std::uint64_t value : {0, 3}) {
    Counters counters;
    counters.rule_violations = value;
    const std::string log = logged({}, [&] {
      spdlog::info("{}", counters.format());
      spdlog::info("{}", counters.format_with_former_names());
    });
    ASSERT_NE(log.find("rule_violations="), std::string::npos) << log;
    EXPECT_EQ(count_violations(log), 0) << log;
  }
}

TEST(SoakViolations, CountsAnExceptionThatTheEventLoopCaught) {
  const std::string log = logged({}, [] {
    EventLoop loop;
    EventLoop::Deadline deadline;
    loop.schedule(deadline, loop.now(), [] { throw std::logic_error("thrown by a test"); });
    loop.run_once(0);
  });
  ASSERT_NE(log.find("thrown by a test"), std::string::npos) << log;
  EXPECT_EQ(count_violations(log), 1) << log;
}

TEST(SoakViolations, CountsFindingsOfTheSanitizers) {
  EXPECT_EQ(count_violations("==7==ERROR: AddressSanitizer: heap-use-after-free on address 0x1\n"), 1);
  EXPECT_EQ(count_violations("node.cpp:3:5: runtime error: signed integer overflow\n"), 1);
}

}  // namespace
}  // namespace dapplewharf::emulator
