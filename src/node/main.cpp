// The program: reads its configuration, turns signals into facts, and runs the loop until the node is done.
// Owns nothing that lasts beyond that; a fault in the configuration is told in one line, which at the start
// ends the process and at a SIGHUP leaves everything as it was.
#include <fcntl.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <stdexcept>

#include "base/log.h"
#include "node/reload.h"
#include "policy/notes.h"

using namespace dapplewharf;

namespace {

int signal_pipe[2] = {-1, -1};

void on_signal(int number) {
  const int kept = errno;
  const char byte = static_cast<char>(number);
  [[maybe_unused]] const ssize_t written = write(signal_pipe[1], &byte, 1);  // full: enough of them wait
  errno = kept;
}

constexpr int kPipeTries = 20, kPipeWaitUs = 50000;
constexpr const char* kVersion = "0.2.0";

// The files to read, or the exit code of a call that only asks something.
struct Asked {
  Files files;
  std::optional<int> code;
};
Asked asked_of(int count, char** words) {
  Asked out;
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
    return {{}, 2};
  }
  const char* variable = std::getenv("PROXY_CONFIG");
  out.files.json = variable ? variable : "";
  if (!only_check) {
    return out;
  }
  const std::string told = told_whole(out.files);
  std::cerr << told;
  const Read read = read_configuration(out.files, Source::environment_first);
  // What is no file in the language is not among those: the platform's JSON, and settings to watch.
  if (!read.taken && told.find(read.fault.substr(0, read.fault.find(": "))) == std::string::npos) {
    std::cerr << "dapplewharf: " << read.fault << std::endl;
  }
  if (read.taken) {
    std::cout << "the configuration is good" << std::endl;
  }
  out.code = read.taken ? 0 : 2;
  return out;
}

}  // namespace

int main(int count, char** words) {
  const Asked asked = asked_of(count, words);
  if (asked.code) {
    return *asked.code;
  }
  open_log();
  try {
    for (int i = 1; pipe2(signal_pipe, O_NONBLOCK | O_CLOEXEC) != 0; ++i) {
      if (i == kPipeTries) {
        throw std::runtime_error("no pipe for signals");
      }
      usleep(kPipeWaitUs);  // danger: a system short of descriptors for a moment would refuse the start
    }
    // Danger: a SIGHUP that comes before the node is ready would end it.
    for (const int number : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) {
      std::signal(number, on_signal);
    }
    std::signal(SIGPIPE, SIG_IGN);
    Read first = read_at_start(asked.files);
    if (!first.taken) {
      throw std::runtime_error(first.fault);
    }
    first.taken->descriptors = descriptor_limit(first.taken->descriptors);
    set_log(first.taken->log);
    EventLoop loop;
    Node node(loop, std::move(*first.taken));
    Reloader reloader(loop, node, asked.files);
    loop.watch(signal_pipe[0], POLLIN, [&node, &reloader](short) {
      char bytes[64];
      const ssize_t got = read(signal_pipe[0], bytes, sizeof bytes);
      bool anew = false;  // however many came: the file as it is now is what counts
      for (ssize_t i = 0; i < got; ++i) {
        if (bytes[i] == SIGUSR1) {
          node.report();
        } else if (bytes[i] == SIGHUP) {
          anew = true;
        } else {
          node.stop();
        }
      }
      if (anew) {
        reloader.reload();
      }
    });
    if (const auto fault = node.start()) {
      throw std::runtime_error("'listen' cannot be used: " + *fault);
    }
    spdlog::info("started");
    while (!node.done()) {
      loop.turn(kSecond);
      node.settle();
    }
    node.report();
    spdlog::info("ended");
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "dapplewharf: " << error.what() << std::endl;
    return 1;
  }
}
