// The node's program: reads its arguments and configuration, turns signals into calls of the node, and runs
// the event loop until the node is done. Owns nothing beyond that. A fault in the configuration is one line
// on standard error; it ends the process at the start and changes nothing at a SIGHUP. Design:
// docs/architecture.md.
#include <fcntl.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <stdexcept>

#include "base/log.h"
#include "base/retry.h"
#include "node/reload.h"

using namespace dapplewharf;

namespace {

constexpr RetrySchedule kPipeAtStart{.max_attempts = 20, .delay = std::chrono::milliseconds(50)};
constexpr const char* kVersion = "0.2.0";
constexpr int kExitGood = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUnusable = 2;

int signal_pipe[2] = {-1, -1};  // a signal handler can reach nothing but globals

void on_signal(int number) {
  const int saved_errno = errno;
  const char byte = static_cast<char>(number);
  [[maybe_unused]] const ssize_t written = write(signal_pipe[1], &byte, 1);  // full: enough signals wait
  errno = saved_errno;
}

// Signals are handled from here on: a SIGHUP before the node is ready would otherwise end the process.
void open_signals() {
  const bool opened = retry_blocking(kPipeAtStart, [](int) {
    return pipe2(signal_pipe, O_NONBLOCK | O_CLOEXEC) == 0 ? StepResult::succeeded : StepResult::retry;
  });
  if (!opened) {
    throw std::runtime_error("no pipe for signals");
  }
  for (const int number : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) {
    std::signal(number, on_signal);
  }
  std::signal(SIGPIPE, SIG_IGN);
}

void read_signals(Node& node, Reloader& reloader) {
  char numbers[64];
  const ssize_t received = read(signal_pipe[0], numbers, sizeof numbers);
  bool reload = false;  // once for any number of SIGHUPs: the files as they are now count
  for (ssize_t i = 0; i < received; ++i) {
    if (numbers[i] == SIGUSR1) {
      node.report();
    } else if (numbers[i] == SIGHUP) {
      reload = true;
    } else {
      node.stop();
    }
  }
  if (reload) {
    reloader.reload();
  }
}

// The files to read, or the exit code of a call that serves nobody.
struct CommandLine {
  Files files;
  std::optional<int> exit_code;
};

// Prints what is wrong with the files, or that nothing is; returns the exit code.
int check(const Files& files) {
  const std::string faults = told_whole(files);
  std::cerr << faults;
  const Read read = read_configuration(files, Source::environment_first);
  if (read.taken) {
    std::cout << "the configuration is good" << std::endl;
    return kExitGood;
  }
  // Faults of files that are not in the language are not among those printed.
  if (faults.find(read.fault.substr(0, read.fault.find(": "))) == std::string::npos) {
    std::cerr << "dapplewharf: " << read.fault << std::endl;
  }
  return kExitUnusable;
}

CommandLine parse(int count, char** words) {
  CommandLine out;
  CLI::App app(
      "A balancer for long-lived connections. Without arguments it reads the JSON that PROXY_CONFIG names.");
  bool only_check = false;
  app.add_option("--config", out.files.language,
                 "a configuration in the operators' language, in place of PROXY_CONFIG");
  app.add_option("--operator", out.files.operators, "the operators' own settings, beside the configuration");
  app.add_option("--shadow", out.files.shadow,
                 "settings of another shape that are only watched: how they would have decided is counted");
  app.add_flag("--check", only_check, "only checks; exit 0 good, 2 faulty");
  app.set_version_flag("--version", std::string("dapplewharf ") + kVersion);
  app.footer("Example: dapplewharf --config host-floor.dw --check");
  try {
    app.parse(count, words);
  } catch (const CLI::Success& answered) {
    return {{}, app.exit(answered)};
  } catch (const CLI::ParseError& error) {
    std::cerr << "dapplewharf:0:0: " << error.what() << "; expected arguments as --help shows" << std::endl;
    return {{}, kExitUnusable};
  }
  const char* variable = std::getenv("PROXY_CONFIG");
  out.files.json = variable ? variable : "";
  if (only_check) {
    out.exit_code = check(out.files);
  }
  return out;
}

int serve(const Files& files) {
  open_signals();
  Read first = read_at_start(files);
  if (!first.taken) {
    throw std::runtime_error(first.fault);
  }
  first.taken->descriptors = descriptor_limit(first.taken->descriptors);
  configure_logging(first.taken->log);
  EventLoop loop;
  Node node(loop, std::move(*first.taken));
  Reloader reloader(loop, node, files);
  loop.watch(signal_pipe[0], POLLIN, [&](short) { read_signals(node, reloader); });
  if (const auto fault = node.start()) {
    throw std::runtime_error("'listen' cannot be used: " + *fault);
  }
  spdlog::info("started");
  while (!node.done()) {
    loop.run_once(kSecond);
    node.settle();
  }
  node.report();
  spdlog::info("ended");
  return kExitGood;
}

}  // namespace

int main(int count, char** words) {
  const CommandLine command = parse(count, words);
  if (command.exit_code) {
    return *command.exit_code;
  }
  start_logging();
  try {
    return serve(command.files);
  } catch (const std::exception& error) {
    std::cerr << "dapplewharf: " << error.what() << std::endl;
    return kExitFailed;
  }
}
