// The steps of a health check: connect if necessary, send PING, read the answer. Design: docs/design.md.
#include "node/health_checker.h"

#include <utility>

#include "wire/lines.h"

namespace dapplewharf {
namespace {

const std::string kPing = "PING\r\n";
constexpr Duration kAnswerTimeout = 50 * kMs;  // for the answer, in addition to the connect timeout

TerminationReason reason_of(ConnectStart connect_start) {
  switch (connect_start) {
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

void HealthChecker::check(const std::string& endpoint, const std::string& address) {
  CheckedEndpoint& checked = checked_endpoints_[endpoint];
  if (checked.is_in_progress) {
    return;
  }
  ++counters_.health_checks;
  checked.is_in_progress = true;
  checked.began_at = loop_.now();
  checked.sent = 0;
  checked.received.clear();
  loop_.schedule(checked.deadline, loop_.now() + limits_.connect_timeout + kAnswerTimeout, [this, endpoint] {
    const auto found = checked_endpoints_.find(endpoint);
    if (found != checked_endpoints_.end()) {
      end(endpoint, found->second, TerminationReason::timed_out);
    }
  });
  if (checked.address != address) {  // the endpoint's address has changed
    loop_.unwatch(checked.watch_handle);
    checked.socket.close();
    checked.address = address;
  }
  checked.is_reused_connection = static_cast<bool>(checked.socket);
  if (!checked.socket) {
    return connect(endpoint, checked);
  }
  loop_.update_interest(checked.watch_handle, POLLIN | POLLOUT);
}

// Otherwise connections to machines that have disappeared without closing them would accumulate.
void HealthChecker::stop_checking(const std::string& endpoint) {
  const auto found = checked_endpoints_.find(endpoint);
  if (found == checked_endpoints_.end()) {
    return;
  }
  end(endpoint, found->second, TerminationReason::cancelled);
  checked_endpoints_.erase(endpoint);
}

void HealthChecker::connect(const std::string& endpoint, CheckedEndpoint& checked) {
  checked.progress = AttemptProgress::not_connected;
  checked.is_reused_connection = false;
  checked.sent = 0;
  const auto address = parse_address(checked.address);
  const ConnectStart connect_start =
      address ? start_connecting(*address, limits_.descriptors, kReservedFromHealthChecks, checked.socket)
              : ConnectStart::refused;
  if (connect_start != ConnectStart::in_progress) {
    return end(endpoint, checked, reason_of(connect_start));
  }
  checked.watch_handle =
      loop_.watch(checked.socket.descriptor(), POLLOUT, [this, endpoint](short) { on_ready(endpoint); });
}

void HealthChecker::on_ready(const std::string& endpoint) {
  const auto found = checked_endpoints_.find(endpoint);
  if (found == checked_endpoints_.end() || !found->second.socket) {
    return;
  }
  CheckedEndpoint& checked = found->second;
  if (checked.progress == AttemptProgress::not_connected) {
    if (!checked.socket.is_connected()) {
      return end(endpoint, checked, TerminationReason::connection_broken);
    }
    checked.progress = AttemptProgress::partly_written;
  }
  bool closed = false;
  const auto received = checked.socket.receive(checked.received, kMaxLineBytes, closed);
  if (!received || closed || !send_ping(checked)) {
    return on_connection_ended(endpoint, checked, closed);
  }
  const bool is_sending = checked.is_in_progress && checked.sent < kPing.size();
  loop_.update_interest(checked.watch_handle, is_sending ? POLLIN | POLLOUT : POLLIN);
  read_answer(endpoint, checked);
}

// Returns false if the connection is broken.
bool HealthChecker::send_ping(CheckedEndpoint& checked) {
  if (!checked.is_in_progress || checked.sent == kPing.size()) {
    return true;
  }
  const auto sent = checked.socket.send(kPing.data() + checked.sent, kPing.size() - checked.sent);
  if (!sent) {
    return false;
  }
  checked.sent += *sent;
  if (checked.sent == kPing.size()) {
    checked.progress = AttemptProgress::written;
    checked.written_at = loop_.now();
  }
  return true;
}

void HealthChecker::on_connection_ended(const std::string& endpoint, CheckedEndpoint& checked, bool closed) {
  // The endpoint may have closed the connection while it was idle.
  if (checked.is_in_progress && checked.is_reused_connection && checked.received.empty()) {
    loop_.unwatch(checked.watch_handle);
    checked.socket.close();
    return connect(endpoint, checked);
  }
  end(endpoint, checked, closed ? TerminationReason::closed : TerminationReason::connection_broken);
}

void HealthChecker::read_answer(const std::string& endpoint, CheckedEndpoint& checked) {
  const std::size_t line_end = checked.received.find('\n');
  if (line_end == std::string::npos) {
    if (checked.received.size() > kMaxLineBytes) {
      end(endpoint, checked, TerminationReason::malformed_answer);
    }
    return;
  }
  const LineType answer = line_type_of(std::string_view(checked.received).substr(0, line_end + 1));
  checked.received.erase(0, line_end + 1);
  end(endpoint, checked, reason_of(answer));
}

void HealthChecker::end(const std::string& endpoint, CheckedEndpoint& checked, TerminationReason reason) {
  HealthCheckResult result{.result = {.progress = checked.progress, .reason = reason},
                           .duration = loop_.now() - checked.began_at,
                           .latency = 0};
  // An error is answered immediately, however long the endpoint's queue is, so it does not show the latency.
  if (reason == TerminationReason::completed) {
    result.latency = loop_.now() - checked.written_at;
  }
  const bool was_in_progress = std::exchange(checked.is_in_progress, false);
  loop_.cancel(checked.deadline);
  if (!keeps_connection(reason)) {
    close(checked);
  }
  if (was_in_progress) {
    on_ended_(endpoint, result);
  }
}

void HealthChecker::close(CheckedEndpoint& checked) {
  loop_.unwatch(checked.watch_handle);
  checked.socket.close();
  checked.progress = AttemptProgress::not_connected;
}

}  // namespace dapplewharf
