#include "emulator/live/rig_process.h"

#include <spdlog/fmt/fmt.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <iostream>
#include <stdexcept>
#include <utility>

namespace dapplewharf::emulator {
namespace {

constexpr Duration kTurnLimit = 20 * kMs;  // lateness is seen at least so often

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
  const sockaddr_in at = *parse_address(fmt::format("127.{}.255.254:7999", net));
  if (!made || bind(made.descriptor(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
    return false;
  }
  held = std::move(made);
  return true;
}

void listen_or_throw(const std::string& address, Socket& socket) {
  if (const auto error = listen_on(*parse_address(address), socket)) {
    throw std::runtime_error("cannot listen at " + address + ": " + *error);
  }
}

RigProcess::RigProcess(const Scenario& scenario, const Plan& plan, const LoopbackAddresses& addresses,
                       ParentChannel parent)
    : scenario_(scenario), plan_(plan), addresses_(addresses), parent_(std::move(parent)) {}

void RigProcess::once(TimePoint when, EventLoop::DueCallback due) {
  EventLoop::Deadline deadline;
  at(deadline, when, std::move(due));
}

void RigProcess::report_descriptors_exhausted() {
  if (!std::exchange(descriptors_exhausted_, true)) {
    record(Seen::starved, "");
  }
}

void RigProcess::watch_lateness() {
  loop_.schedule(lateness_check_, loop_.now() + kTurnLimit, [this] { watch_lateness(); });
  if (loop_.lateness() <= worst_lateness_) {
    return;
  }
  worst_lateness_ = loop_.lateness();
  record(Seen::late, "", static_cast<long>(worst_lateness_));
}

int RigProcess::run(double for_s) {
  try {
    // Without this a parent that was killed would leave the rig's processes behind.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    for (const int number : {SIGINT, SIGPIPE}) {
      std::signal(number, SIG_IGN);
    }
    prepare();
    while (!prepared()) {
      loop_.run_once(kTurnLimit);
    }
    if (!await_beginning()) {
      return 1;
    }
    play(for_s);
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "dapplewharf_emulator: " << error.what() << "\n";
    return 1;
  }
}

bool RigProcess::await_beginning() {
  TimePoint begun = 0;
  if (write(parent_.ready, "r", 1) != 1) {
    return false;
  }
  if (read(parent_.go, &begun, sizeof begun) != sizeof begun) {
    return false;
  }
  begun_ = loop_.from_steady(begun);
  return true;
}

void RigProcess::play(double for_s) {
  loop_.run_once(0);
  begin();
  watch_lateness();
  while (now() < from_seconds(for_s)) {
    loop_.run_once(kTurnLimit);
  }
  end();
  records_.write(parent_.file);
}

}  // namespace dapplewharf::emulator
