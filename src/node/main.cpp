// The program: reads its configuration, turns signals into facts, and runs the loop until the node is done.
// Owns nothing that lasts beyond that; a fault in the configuration is told in one line, which at the start
// ends the process and at a SIGHUP leaves everything as it was.
#include <fcntl.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <stdexcept>

#include "base/log.h"
#include "node/node.h"
#include "notes.h"

using namespace dapplewharf;

namespace {

int signal_pipe[2] = {-1, -1};

void on_signal(int number) {
  const int kept = errno;
  const char byte = static_cast<char>(number);
  [[maybe_unused]] const ssize_t written = write(signal_pipe[1], &byte, 1);  // full: enough of them wait
  errno = kept;
}

}  // namespace

int main() {
  open_log();
  try {
    if (pipe2(signal_pipe, O_NONBLOCK | O_CLOEXEC) != 0) throw std::runtime_error("no pipe for signals");
    // Danger: a SIGHUP that comes before the node is ready would end it.
    for (const int number : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) std::signal(number, on_signal);
    std::signal(SIGPIPE, SIG_IGN);
    const char* variable = std::getenv("PROXY_CONFIG");
    const std::string path = variable ? variable : "";
    Read first = read_configuration(path, Source::environment_first);
    if (!first.taken) throw std::runtime_error(first.fault);
    first.taken->descriptors = descriptor_limit(first.taken->descriptors);
    Loop loop;
    Node node(loop, std::move(*first.taken));
    loop.watch(signal_pipe[0], POLLIN, [&node, &path](short) {
      char bytes[64];
      const ssize_t got = read(signal_pipe[0], bytes, sizeof bytes);
      bool anew = false;  // however many came: the file as it is now is what counts
      for (ssize_t i = 0; i < got; ++i)
        if (bytes[i] == SIGUSR1) node.report();
        else if (bytes[i] == SIGHUP) anew = true;
        else node.stop();
      if (anew) node.reload(read_configuration(path, Source::file_only));
    });
    if (const auto fault = node.start()) throw std::runtime_error("'listen' cannot be used: " + *fault);
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
