#include <spdlog/fmt/fmt.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <iostream>

#include "emulator/live/parts.h"

namespace dapplewharf::emulator {
namespace {

constexpr Tenths kBeat = 20 * kMs;  // lateness is seen at least so often

}  // namespace

std::string LoopbackAddresses::node(int node) const {
  return fmt::format("127.{}.0.{}:8000", net, 10 + node);
}
std::string LoopbackAddresses::host(int host, int node) const {
  return fmt::format("127.{}.{}.{}:8000", net, 1 + node, 10 + host);
}
std::string LoopbackAddresses::list(int node) const {
  return fmt::format("127.{}.{}.1:8500", net, 1 + node);
}

bool LoopbackAddresses::take(Socket& held) const {
  Socket made(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in at = *address_of(fmt::format("127.{}.255.254:7999", net));
  if (!made || bind(made.number(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
    return false;
  }
  held = std::move(made);
  return true;
}

Part::Part(const Scenario& scenario, const Plan& plan, const LoopbackAddresses& addresses,
           ParentChannel parent)
    : scenario_(scenario), plan_(plan), addresses_(addresses), parent_(std::move(parent)) {}

void Part::once(Tenths when, EventLoop::Due due) {
  EventLoop::Deadline one;
  at(one, when, std::move(due));
}

void Part::starves() {
  if (!std::exchange(starved_, true)) {
    records_.add(stamp(), Seen::starved, "");
  }
}

void Part::beat() {
  loop_.at(beat_, loop_.now() + kBeat, [this] { beat(); });
  if (loop_.late() <= late_) {
    return;
  }
  late_ = loop_.late();
  records_.add(stamp(), Seen::late, "", static_cast<long>(late_));
}

int Part::run(double for_s) {
  try {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // danger: a parent that was killed leaves its rig behind
    for (const int number : {SIGINT, SIGPIPE}) {
      std::signal(number, SIG_IGN);
    }
    prepare();
    while (!prepared()) {
      loop_.turn(20 * kMs);
    }
    Tenths begun = 0;
    if (write(parent_.ready, "r", 1) != 1) {
      return 1;
    }
    if (read(parent_.go, &begun, sizeof begun) != sizeof begun) {
      return 1;
    }
    begun_ = loop_.of_steady(begun);
    loop_.turn(0);
    begin();
    beat();
    while (now() < from_s(for_s)) {
      loop_.turn(kBeat);
    }
    end();
    records_.write(parent_.file);
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "dapplewharf_emulator: " << error.what() << "\n";
    return 1;
  }
}

}  // namespace dapplewharf::emulator
