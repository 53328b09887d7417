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

constexpr Duration kMaxTurn = 20 * kMs;  // the lateness is checked at least this often

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

bool LoopbackAddresses::claim(Socket& claim_socket) const {
  Socket bound(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = *parse_address(fmt::format("127.{}.255.254:7999", net));
  if (!bound || bind(bound.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    return false;
  }
  claim_socket = std::move(bound);
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

void RigProcess::schedule_once(TimePoint when, EventLoop::DueCallback due) {
  EventLoop::Deadline deadline;
  schedule(deadline, when, std::move(due));
}

void RigProcess::report_descriptors_exhausted() {
  if (!std::exchange(descriptors_exhausted_, true)) {
    record(RecordKind::descriptors_exhausted, "");
  }
}

void RigProcess::watch_lateness() {
  loop_.schedule(lateness_check_, loop_.now() + kMaxTurn, [this] { watch_lateness(); });
  if (loop_.lateness() <= worst_lateness_) {
    return;
  }
  worst_lateness_ = loop_.lateness();
  record(RecordKind::event_loop_late, "", static_cast<long>(worst_lateness_));
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
      loop_.run_once(kMaxTurn);
    }
    if (!await_start()) {
      return 1;
    }
    play(for_s);
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "dapplewharf_emulator: " << error.what() << "\n";
    return 1;
  }
}

bool RigProcess::await_start() {
  TimePoint start = 0;
  if (write(parent_.ready, "r", 1) != 1) {
    return false;
  }
  if (read(parent_.start, &start, sizeof start) != sizeof start) {
    return false;
  }
  started_at_ = loop_.from_steady(start);
  return true;
}

void RigProcess::play(double for_s) {
  loop_.run_once(0);
  begin();
  watch_lateness();
  while (now() < from_seconds(for_s)) {
    loop_.run_once(kMaxTurn);
  }
  end();
  records_.write(parent_.file);
}

}  // namespace dapplewharf::emulator
