// The steps of a health check: connect where needed, send PING, read the answer. Design: docs/design.md.
#include "node/health_checker.h"

#include <utility>

#include "wire/lines.h"

namespace dapplewharf {
namespace {

const std::string kPing = "PING\r\n";
constexpr Duration kAnswerTime = 50 * kMs;  // for the answer, beyond the time to connect

TerminationReason reason_of(ConnectStart dialled) {
  switch (dialled) {
    case ConnectStart::no_descriptor:
      return TerminationReason::no_descriptor;
    case ConnectStart::local_failure:
      return TerminationReason::local_failure;
    case ConnectStart::refused:
    case ConnectStart::in_progress:
      break;
  }
  return TerminationReason::connection_broken;
}

TerminationReason reason_of(LineType answer) {
  if (answer == LineType::pong) {
    return TerminationReason::completed;
  }
  if (answer == LineType::error) {
    return TerminationReason::error;
  }
  return answer == LineType::busy ? TerminationReason::busy : TerminationReason::malformed_answer;
}

bool keeps_connection(TerminationReason reason) {
  return reason == TerminationReason::completed || reason == TerminationReason::error;
}

}  // namespace

HealthChecker::HealthChecker(EventLoop& loop, Counters& counters, const Limits& limits, OnEnded on_ended)
    : loop_(loop), counters_(counters), limits_(limits), on_ended_(std::move(on_ended)) {}

void HealthChecker::check(const std::string& host, const std::string& address) {
  Probe& probe = probes_[host];
  if (probe.in_progress) {
    return;
  }
  ++counters_.health_checks;
  probe.in_progress = true;
  probe.began_at = loop_.now();
  probe.sent = 0;
  probe.received.clear();
  loop_.schedule(probe.deadline, loop_.now() + limits_.connect_timeout + kAnswerTime, [this, host] {
    const auto found = probes_.find(host);
    if (found != probes_.end()) {
      end(host, found->second, TerminationReason::timed_out);
    }
  });
  if (probe.address != address) {  // the host has another address now
    loop_.unwatch(probe.watched);
    probe.socket.close();
    probe.address = address;
  }
  probe.reused = static_cast<bool>(probe.socket);
  if (!probe.socket) {
    return connect(host, probe);
  }
  loop_.update_interest(probe.watched, POLLIN | POLLOUT);
}

// Connections kept to machines that are gone without a word would add up.
void HealthChecker::forget(const std::string& host) {
  const auto found = probes_.find(host);
  if (found == probes_.end()) {
    return;
  }
  end(host, found->second, TerminationReason::cancelled);
  probes_.erase(host);
}

void HealthChecker::connect(const std::string& host, Probe& probe) {
  probe.progress = AttemptProgress::not_connected;
  probe.reused = false;
  probe.sent = 0;
  const auto address = parse_address(probe.address);
  const ConnectStart dialled =
      address ? start_connecting(*address, limits_.descriptors, kReservedFromHealthChecks, probe.socket)
              : ConnectStart::refused;
  if (dialled != ConnectStart::in_progress) {
    return end(host, probe, reason_of(dialled));
  }
  probe.watched = loop_.watch(probe.socket.descriptor(), POLLOUT, [this, host](short) { on_ready(host); });
}

void HealthChecker::on_ready(const std::string& host) {
  const auto found = probes_.find(host);
  if (found == probes_.end() || !found->second.socket) {
    return;
  }
  Probe& probe = found->second;
  if (probe.progress == AttemptProgress::not_connected) {
    if (!probe.socket.is_connected()) {
      return end(host, probe, TerminationReason::connection_broken);
    }
    probe.progress = AttemptProgress::partly_written;
  }
  bool closed = false;
  const auto received = probe.socket.receive(probe.received, kMaxLineBytes, closed);
  if (!received || closed || !send_ping(probe)) {
    return on_connection_ended(host, probe, closed);
  }
  const bool sending = probe.in_progress && probe.sent < kPing.size();
  loop_.update_interest(probe.watched, sending ? POLLIN | POLLOUT : POLLIN);
  read_answer(host, probe);
}

// Returns false when the connection is broken.
bool HealthChecker::send_ping(Probe& probe) {
  if (!probe.in_progress || probe.sent == kPing.size()) {
    return true;
  }
  const auto sent = probe.socket.send(kPing.data() + probe.sent, kPing.size() - probe.sent);
  if (!sent) {
    return false;
  }
  probe.sent += *sent;
  if (probe.sent == kPing.size()) {
    probe.progress = AttemptProgress::written;
    probe.written_at = loop_.now();
  }
  return true;
}

void HealthChecker::on_connection_ended(const std::string& host, Probe& probe, bool closed) {
  if (probe.in_progress && probe.reused && probe.received.empty()) {  // a kept connection had ended meanwhile
    loop_.unwatch(probe.watched);
    probe.socket.close();
    return connect(host, probe);
  }
  end(host, probe, closed ? TerminationReason::closed : TerminationReason::connection_broken);
}

void HealthChecker::read_answer(const std::string& host, Probe& probe) {
  const std::size_t line_end = probe.received.find('\n');
  if (line_end == std::string::npos) {
    if (probe.received.size() > kMaxLineBytes) {
      end(host, probe, TerminationReason::malformed_answer);
    }
    return;
  }
  const LineType answer = line_type_of(std::string_view(probe.received).substr(0, line_end + 1));
  probe.received.erase(0, line_end + 1);
  end(host, probe, reason_of(answer));
}

void HealthChecker::end(const std::string& host, Probe& probe, TerminationReason reason) {
  HealthCheckResult result{.result = {.progress = probe.progress, .reason = reason},
                           .duration = loop_.now() - probe.began_at,
                           .latency = 0};
  // An error comes at once, however long the host's queue is, so it says nothing of the latency.
  if (reason == TerminationReason::completed) {
    result.latency = loop_.now() - probe.written_at;
  }
  const bool was_in_progress = std::exchange(probe.in_progress, false);
  loop_.cancel(probe.deadline);
  if (!keeps_connection(reason)) {
    close(probe);
  }
  if (was_in_progress) {
    on_ended_(host, result);
  }
}

void HealthChecker::close(Probe& probe) {
  loop_.unwatch(probe.watched);
  probe.socket.close();
  probe.progress = AttemptProgress::not_connected;
}

}  // namespace dapplewharf
