// The node's main program: reads the arguments and the configuration, dispatches signals to the node, and
// runs the event loop until the node may exit. An invalid configuration is reported in one line on standard
// error at the start and ends the process; on SIGHUP it is rejected and the node keeps running unchanged.
// Design: docs/architecture.md.
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

constexpr RetrySchedule kPipeRetries{.max_attempts = 20, .delay = std::chrono::milliseconds(50)};
constexpr const char* kVersion = "0.2.0";
constexpr int kExitSuccess = 0;
constexpr int kExitFailed = 1;
constexpr int kExitInvalidInput = 2;

int signal_pipe[2] = {-1, -1};  // global because a signal handler has no other access to it

void on_signal(int number) {
  const int saved_errno = errno;
  const char byte = static_cast<char>(number);
  // A full pipe is no problem: signals are pending then.
  [[maybe_unused]] const ssize_t written = write(signal_pipe[1], &byte, 1);
  errno = saved_errno;
}

// Installed before the configuration is read: a SIGHUP before the node is ready would otherwise end the
// process.
void install_signal_handlers() {
  const bool is_open = retry_blocking(kPipeRetries, [](int) {
    return pipe2(signal_pipe, O_NONBLOCK | O_CLOEXEC) == 0 ? StepResult::succeeded : StepResult::retry;
  });
  if (!is_open) {
    throw std::runtime_error("cannot create the pipe for signals");
  }
  for (const int number : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) {
    std::signal(number, on_signal);
  }
  std::signal(SIGPIPE, SIG_IGN);
}

void handle_signals(Node& node, Reloader& reloader) {
  char numbers[64];
  const ssize_t received = read(signal_pipe[0], numbers, sizeof numbers);
  bool reload = false;  // several pending SIGHUPs cause one reload, which reads the files as they are now
  for (ssize_t i = 0; i < received; ++i) {
    if (numbers[i] == SIGUSR1) {
      node.log_counters();
    } else if (numbers[i] == SIGHUP) {
      reload = true;
    } else {
      node.begin_shutdown();
    }
  }
  if (reload) {
    reloader.reload();
  }
}

// The files to read, or the exit code of an invocation such as --check that does not start the node.
struct CommandLine {
  ConfigurationFiles files;
  std::optional<int> exit_code;
};

// Prints the errors in the files, or that they are valid. Returns the exit code.
int check_configuration(const ConfigurationFiles& files) {
  const std::string diagnostics = format_all_diagnostics(files);
  std::cerr << diagnostics;
  const ConfigurationResult result = read_configuration(files, ConfigurationSource::environment_first);
  if (result.configuration) {
    std::cout << "the configuration is good" << std::endl;
    return kExitSuccess;
  }
  // Errors in JSON files are not among the diagnostics printed above.
  if (diagnostics.find(result.error.substr(0, result.error.find(": "))) == std::string::npos) {
    std::cerr << "dapplewharf: " << result.error << std::endl;
  }
  return kExitInvalidInput;
}

CommandLine parse_arguments(int count, char** arguments) {
  CommandLine command;
  CLI::App app(
      "A balancer for long-lived connections. Without arguments it reads the JSON that PROXY_CONFIG names.");
  bool is_check_only = false;
  app.add_option("--config", command.files.operators_language,
                 "a configuration in the operators' language, instead of PROXY_CONFIG");
  app.add_option("--operator", command.files.operator_settings,
                 "the operators' own settings, in addition to the configuration");
  app.add_option("--shadow", command.files.shadow_settings,
                 "settings to be shadowed: counts how they would have decided, without any other effect");
  app.add_flag("--check", is_check_only,
               "checks the configuration and exits with 0 if it is valid, 2 if not");
  app.set_version_flag("--version", std::string("dapplewharf ") + kVersion);
  app.footer("Example: dapplewharf --config host-floor.dw --check");
  try {
    app.parse(count, arguments);
  } catch (const CLI::Success& help_or_version) {
    return {{}, app.exit(help_or_version)};
  } catch (const CLI::ParseError& error) {
    std::cerr << "dapplewharf:0:0: " << error.what() << "; expected arguments as --help shows" << std::endl;
    return {{}, kExitInvalidInput};
  }
  const char* variable = std::getenv("PROXY_CONFIG");
  command.files.platform_json = variable ? variable : "";
  if (is_check_only) {
    command.exit_code = check_configuration(command.files);
  }
  return command;
}

int serve(const ConfigurationFiles& files) {
  install_signal_handlers();
  ConfigurationResult initial = read_configuration_at_start(files);
  if (!initial.configuration) {
    throw std::runtime_error(initial.error);
  }
  initial.configuration->descriptors = descriptor_limit(initial.configuration->descriptors);
  configure_logging(initial.configuration->log);
  EventLoop loop;
  Node node(loop, std::move(*initial.configuration));
  Reloader reloader(loop, node, files);
  loop.watch(signal_pipe[0], POLLIN, [&](short) { handle_signals(node, reloader); });
  if (const auto error = node.start()) {
    throw std::runtime_error("'listen' cannot be used: " + *error);
  }
  spdlog::info("started");
  while (!node.may_exit()) {
    loop.run_once(kSecond);
    node.process_events();
  }
  node.log_counters();
  spdlog::info("ended");
  return kExitSuccess;
}

}  // namespace

int main(int count, char** arguments) {
  const CommandLine command = parse_arguments(count, arguments);
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
