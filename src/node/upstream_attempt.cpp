// The steps of an attempt in order: begin, connect, send the request, await the answer, end. Design:
// docs/design.md.
#include "node/upstream_attempt.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace dapplewharf {
namespace {

constexpr Duration kConnectRetryDelay = 10 * kMs;  // after a failure on this machine
constexpr std::size_t kLoggedAnswerBytes = 80;

}  // namespace

UpstreamAttempts::UpstreamAttempts(EventLoop& loop, Counters& counters, const Limits& limits,
                                   LogRateLimit& log_limit, AttemptOwner& owner)
    : loop_(loop), counters_(counters), limits_(limits), log_limit_(log_limit), owner_(owner) {}

void UpstreamAttempts::begin(Handle handle, const AttemptParameters& parameters) {
  ProxiedConnection* connection = owner_.find(handle);
  if (!connection || connection->phase != ProxiedConnection::Phase::awaiting_answer ||
      connection->attempt.is_active) {
    return;
  }
  ++counters_.attempts;
  connection->attempt = {};
  connection->attempt.is_active = true;
  connection->attempt.deadline = loop_.now() + parameters.timeout;
  // The client may have disconnected in this turn; the host's work would then be wasted.
  connection = read_pending_client_input(handle);
  if (!connection) {
    return;
  }
  if (!parameters.address) {
    return end(handle, *connection, TerminationReason::connection_broken);
  }
  const Duration connect_timeout = parameters.connect_timeout.value_or(limits_.connect_timeout);
  connect(handle,
          {*parameters.address, std::min(connection->attempt.deadline, loop_.now() + connect_timeout)});
}

ProxiedConnection* UpstreamAttempts::find_active(Handle handle) {
  ProxiedConnection* connection = owner_.find(handle);
  return connection && connection->attempt.is_active ? connection : nullptr;
}

// Reads what the client has sent, or that it has closed. Returns null if that has ended the attempt.
ProxiedConnection* UpstreamAttempts::read_pending_client_input(Handle handle) {
  if (owner_.find(handle)->client.socket.has_input()) {
    owner_.read_client(handle);
  }
  return find_active(handle);
}

void UpstreamAttempts::connect(Handle handle, const ConnectTarget& target) {
  ProxiedConnection* connection = find_active(handle);
  if (!connection) {
    return;
  }
  if (Socket::is_short_of_descriptors(limits_.descriptors, kReservedDescriptors)) {
    owner_.free_descriptor();
  }
  switch (
      start_connecting(target.address, limits_.descriptors, kReservedDescriptors, connection->host.socket)) {
    case ConnectStart::refused:
      return end(handle, *connection, TerminationReason::connection_broken);
    case ConnectStart::no_descriptor:
      return end(handle, *connection, TerminationReason::no_descriptor);
    case ConnectStart::local_failure:
      return retry_connect(handle, *connection, target);
    case ConnectStart::in_progress:
      break;
  }
  connection->host.watch_handle = loop_.watch(connection->host.socket.descriptor(), POLLOUT,
                                              [this, handle](short) { owner_.on_host_ready(handle); });
  set_timeout(handle, *connection, target.deadline);
}

// A connect that fails on this machine is retried until the connect timeout. Reported immediately, it would
// count against the endpoint's health or use up the request's attempts.
void UpstreamAttempts::retry_connect(Handle handle, ProxiedConnection& connection,
                                     const ConnectTarget& target) {
  ++counters_.local_connect_failures;
  if (loop_.now() + kConnectRetryDelay >= target.deadline) {
    return end(handle, connection, TerminationReason::local_failure);
  }
  loop_.schedule(connection.deadline, loop_.now() + kConnectRetryDelay, [this, handle, target] {
    if (find_active(handle) && may_still_send(handle)) {
      connect(handle, target);
    }
  });
}

void UpstreamAttempts::set_timeout(Handle handle, ProxiedConnection& connection, TimePoint when) {
  loop_.schedule(connection.deadline, when, [this, handle] {
    if (ProxiedConnection* overdue = owner_.find(handle)) {
      end(handle, *overdue, TerminationReason::timed_out);
    }
  });
}

// A connection may be established long after its host was chosen. Meanwhile the client may have disconnected,
// the host's endpoint may have started draining, or the deadline may have passed, for example while this
// process was paused. Nothing has been sent yet, so the host cannot have run the request.
bool UpstreamAttempts::may_still_send(Handle handle) {
  ProxiedConnection* connection = read_pending_client_input(handle);
  if (!connection) {
    return false;
  }
  if (loop_.now() >= connection->attempt.deadline) {
    end(handle, *connection, TerminationReason::timed_out);
    return false;
  }
  if (!owner_.may_send(handle)) {
    end(handle, *connection, TerminationReason::withdrawn);
    return false;
  }
  return true;
}

void UpstreamAttempts::on_host_ready(Handle handle, ProxiedConnection& connection) {
  if (connection.attempt.progress == AttemptProgress::not_connected && !begin_sending(handle, connection)) {
    return;
  }
  if (connection.attempt.progress == AttemptProgress::partly_written && !send_request(handle, connection)) {
    return;
  }
  await_answer(handle, connection);
}

// Returns false if the attempt has ended.
bool UpstreamAttempts::begin_sending(Handle handle, ProxiedConnection& connection) {
  if (!connection.host.socket.is_connected()) {
    end(handle, connection, TerminationReason::connection_broken);
    return false;
  }
  if (!may_still_send(handle)) {
    return false;
  }
  connection.attempt.progress = AttemptProgress::partly_written;
  connection.host.pending = with_wait(connection.request, connection.attempt.deadline - loop_.now());
  set_timeout(handle, connection, connection.attempt.deadline);
  return true;
}

// Returns false if the attempt has ended.
bool UpstreamAttempts::send_request(Handle handle, ProxiedConnection& connection) {
  Peer& host = connection.host;
  const auto sent = host.socket.send(host.pending.data(), host.pending.size());
  if (!sent) {
    end(handle, connection, TerminationReason::connection_broken);
    return false;
  }
  host.pending.erase(0, *sent);
  if (host.pending.empty()) {
    connection.attempt.progress = AttemptProgress::written;
    ++counters_.attempts_written;
  }
  loop_.update_interest(host.watch_handle, host.pending.empty() ? POLLIN : POLLIN | POLLOUT);
  return true;
}

void UpstreamAttempts::await_answer(Handle handle, ProxiedConnection& connection) {
  std::string& answer = connection.attempt.answer;
  bool host_closed = false;
  const auto received = connection.host.socket.receive(answer, kPeerBufferBytes - answer.size(), host_closed);
  if (!received) {
    return end(handle, connection, TerminationReason::connection_broken);
  }
  const std::size_t line_end = answer.find('\n');
  if (line_end != std::string::npos) {
    return handle_answer_line(handle, connection, line_end + 1, host_closed);
  }
  if (host_closed) {
    end(handle, connection, TerminationReason::closed);
  } else if (answer.size() > kMaxLineBytes) {
    end(handle, connection, TerminationReason::malformed_answer);
  }
}

void UpstreamAttempts::handle_answer_line(Handle handle, ProxiedConnection& connection,
                                          std::size_t answer_bytes, bool host_closed) {
  const std::string_view line = std::string_view(connection.attempt.answer).substr(0, answer_bytes);
  const LineType answer = line_type_of(line);
  if (answer == LineType::busy) {
    return end(handle, connection, TerminationReason::busy);
  }
  if (answer == LineType::error) {
    return end(handle, connection, TerminationReason::error);
  }
  if (answer != LineType::up || connection.attempt.progress != AttemptProgress::written) {
    if (log_limit_.allow()) {
      spdlog::warn("malformed_answer line=\"{}\"",
                   line.substr(0, std::min(answer_bytes - 1, kLoggedAnswerBytes)));
    }
    return end(handle, connection, TerminationReason::malformed_answer);
  }
  loop_.cancel(connection.deadline);
  connection.attempt.progress = AttemptProgress::established;
  connection.host.is_read_closed = host_closed;
  ++counters_.attempts_established;
  owner_.on_attempt_established(handle, connection, answer_bytes);
}

void UpstreamAttempts::end(Handle handle, ProxiedConnection& connection, TerminationReason reason) {
  if (!connection.attempt.is_active) {
    return;
  }
  connection.attempt.is_active = false;
  loop_.cancel(connection.deadline);
  close_host(connection);
  owner_.on_attempt_ended(handle, {connection.attempt.progress, reason});
}

void UpstreamAttempts::shorten(Handle handle, ProxiedConnection& connection, TimePoint deadline) {
  AttemptState& attempt = connection.attempt;
  const bool is_awaiting_answer = connection.phase == ProxiedConnection::Phase::awaiting_answer;
  if (!attempt.is_active || !is_awaiting_answer || attempt.deadline <= deadline) {
    return;
  }
  attempt.deadline = deadline;
  set_timeout(handle, connection, std::min(connection.deadline.when, deadline));
}

void UpstreamAttempts::close_host(ProxiedConnection& connection) {
  loop_.unwatch(connection.host.watch_handle);
  connection.host = Peer();
}

}  // namespace dapplewharf
