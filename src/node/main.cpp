// The program: reads its configuration, turns signals into facts, and runs the loop until the node is done.
// Owns nothing that lasts beyond that; a fault in the configuration is told in one line and ends the process.
#include <fcntl.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <charconv>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <stdexcept>

#include "../notes.h"
#include "log.h"
#include "node.h"

using namespace dapplewharf;
using nlohmann::json;

namespace {

int signal_pipe[2] = {-1, -1};

void on_signal(int number) {
  const int kept = errno;
  const char byte = static_cast<char>(number);
  [[maybe_unused]] const ssize_t written = write(signal_pipe[1], &byte, 1);  // full: enough of them wait
  errno = kept;
}

std::string told(const json& from, const char* variable, const char* name) {
  if (const char* value = std::getenv(variable); value && *value) return value;
  if (!from.contains(name) || !from[name].is_string())
    throw std::runtime_error(std::string(variable) + " is not set and the configuration has no '" + name +
                             "'");
  return from[name].get<std::string>();
}

Configuration configuration() {
  const char* path = std::getenv("PROXY_CONFIG");
  if (!path || !*path) throw std::runtime_error("PROXY_CONFIG is not set");
  std::ifstream file(path);
  if (!file) throw std::runtime_error(std::string("PROXY_CONFIG cannot be read: ") + path);
  const json from = json::parse(file, nullptr, false);
  if (!from.is_object()) throw std::runtime_error(std::string("PROXY_CONFIG is no JSON object: ") + path);
  Configuration to;
  to.name = told(from, "PROXY_NAME", "name");
  to.listen = told(from, "PROXY_LISTEN", "listen");
  to.discovery = told(from, "PROXY_DISCOVERY", "discovery");
  if (!address_of(to.listen)) throw std::runtime_error("PROXY_LISTEN is no address: " + to.listen);
  if (!address_of(to.discovery)) throw std::runtime_error("PROXY_DISCOVERY is no address: " + to.discovery);
  if (!from.contains("settings") || !from["settings"].is_object())
    throw std::runtime_error("the configuration has no 'settings'");
  to.env = from["settings"];
  const std::string seed =
      from.contains("seed") && from["seed"].is_string() ? from["seed"].get<std::string>() : "";
  const auto [end, fault] = std::from_chars(seed.data(), seed.data() + seed.size(), to.seed, 16);
  if (fault != std::errc() || end != seed.data() + seed.size())
    throw std::runtime_error("the configuration has no hexadecimal 'seed'");
  if (from.contains("known")) to.known = from["known"];
  const json sockets = from.value("/limits/sockets"_json_pointer, json(1024));
  if (!sockets.is_number() || sockets.get<int>() < 4 * kKeptBack)
    throw std::runtime_error("'limits.sockets' is no number or too small to serve");
  to.descriptors = descriptor_limit(sockets.get<int>());
  return to;
}

}  // namespace

int main() {
  open_log();
  try {
    Loop loop;
    Node node(loop, configuration());
    if (pipe2(signal_pipe, O_NONBLOCK | O_CLOEXEC) != 0) throw std::runtime_error("no pipe for signals");
    for (const int number : {SIGTERM, SIGINT, SIGUSR1}) std::signal(number, on_signal);
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGHUP, SIG_IGN);
    loop.watch(signal_pipe[0], POLLIN, [&node](short) {
      char bytes[64];
      const ssize_t got = read(signal_pipe[0], bytes, sizeof bytes);
      for (ssize_t i = 0; i < got; ++i)
        if (bytes[i] == SIGUSR1) node.report();
        else node.stop();
    });
    if (const auto fault = node.start()) throw std::runtime_error("PROXY_LISTEN cannot be used: " + *fault);
    spdlog::info("started");
    while (!node.done()) {
      loop.turn(kSecond);
      node.settle();
    }
    node.report();
    spdlog::info("ended");
    return 0;
  } catch (const json::exception& error) {
    std::cerr << "dapplewharf: the configuration's 'settings' cannot be used: " << error.what() << std::endl;
    return 1;
  } catch (const std::exception& error) {
    std::cerr << "dapplewharf: " << error.what() << std::endl;
    return 1;
  }
}
