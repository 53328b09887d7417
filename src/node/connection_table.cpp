// The phases of a connection from the client's first byte to its end, and the calls between the table's
// components. Design: docs/design.md.
#include "node/connection_table.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <variant>

#include "base/overloaded.h"

namespace dapplewharf {
namespace {

constexpr Duration kRequestLineTimeout = 2 * kSecond;  // to receive the request line; the protocol allows 3 s
// How long a client that has sent PING may take until it sends its next line.
constexpr Duration kNextLineAfterPingTimeout = 60 * kSecond;
constexpr int kMaxUnansweredPings = 4;         // of one client; more are not counted
constexpr Duration kClosingTimeout = kSecond;  // for the client to receive the last bytes
// The bytes that are read and discarded while a connection closes, so that the client receives the answer.
constexpr std::size_t kMaxDiscardedBytes = 64 * 1024;

}  // namespace

ConnectionTable::ConnectionTable(EventLoop& loop, Counters& counters, const Limits& limits,
                                 const RequestSchema& schema, ConnectionObserver& observer)
    : loop_(loop),
      counters_(counters),
      observer_(observer),
      log_limit_(loop),
      admission_(limits, schema),
      listener_(loop, counters, limits, log_limit_,
                [this](Socket client) { on_accepted(std::move(client)); }),
      attempts_(loop, counters, limits, log_limit_, *this),
      relay_(loop, counters, *this),
      limits_(limits) {}

// ---- until the request line is complete ----

void ConnectionTable::on_accepted(Socket client) {
  if (admission_.silent_clients_exceed_share(loop_.now()) ||
      Socket::is_short_of_descriptors(limits_.descriptors, kReservedDescriptors / 2)) {
    evict_longest_silent();
  }
  // Descriptors are reserved to answer clients BUSY; without them a client would wait without an answer.
  if (Socket::is_short_of_descriptors(limits_.descriptors, kReservedDescriptors / 2)) {
    return reject_for_descriptors(client, counters_);
  }
  const int descriptor = client.descriptor();
  ProxiedConnection opened;
  opened.client.socket = std::move(client);
  const Handle handle = connections_.insert(std::move(opened));
  ProxiedConnection& connection = *connections_.find(handle);
  connection.client.watch_handle = loop_.watch(descriptor, POLLIN, [this, handle](short) {
    run_contained(handle, &ConnectionTable::on_client_ready);
  });
  start_request_line_deadline(handle, connection, kRequestLineTimeout);
  admission_.add_silent(handle, loop_.now());
  // The request may have arrived together with the connection; then the client is not a silent one.
  run_contained(handle, &ConnectionTable::on_client_ready);
}

// Clients that connect and send nothing, or only PING, could use up all descriptors. An ordinary client sends
// its request immediately, so the client that has been silent longest is evicted, unless its request has
// arrived meanwhile.
void ConnectionTable::evict_longest_silent() {
  while (const std::optional<Handle> handle = admission_.longest_silent()) {
    run_contained(*handle, &ConnectionTable::on_client_ready);
    if (admission_.longest_silent() != handle) {
      continue;
    }
    ++counters_.silent_clients_evicted;
    connections_.find(*handle)->client.socket.send_without_waiting("BUSY\r\n");
    return close_connection(*handle);
  }
}

void ConnectionTable::start_request_line_deadline(Handle handle, ProxiedConnection& connection,
                                                  Duration timeout) {
  loop_.schedule(connection.deadline, loop_.now() + timeout, [this, handle] {
    ProxiedConnection* overdue = connections_.find(handle);
    if (overdue && !overdue->client_prefix.empty()) {
      reject_malformed(handle, *overdue, "incomplete line");
    } else {
      close_connection(handle);
    }
  });
}

void ConnectionTable::read_client(Handle handle) {
  on_client_ready(handle);
}

void ConnectionTable::on_client_ready(Handle handle) {
  ProxiedConnection* connection = connections_.find(handle);
  if (!connection) {
    return;
  }
  switch (connection->phase) {
    case Phase::awaiting_request:
    case Phase::awaiting_answer:
      return read_request(handle, *connection);
    case Phase::established:
      return relay_.on_client_ready(handle, *connection);
    case Phase::closing:
      return discard_input(handle, *connection);
  }
}

// Reads from a client whose request has not been answered yet.
void ConnectionTable::read_request(Handle handle, ProxiedConnection& connection) {
  std::string& prefix = connection.client_prefix;
  bool closed = false;
  const auto received = connection.client.socket.receive(prefix, 2 * kMaxLineBytes - prefix.size(), closed);
  const bool is_awaiting_request = connection.phase == Phase::awaiting_request;
  if (!received || closed) {
    return is_awaiting_request ? on_client_closed_before_request(handle, connection, !received)
                               : on_client_closed_before_answer(handle, connection, !received);
  }
  if (is_awaiting_request) {
    return read_client_messages(handle, connection);
  }
  if (prefix.empty()) {
    return;
  }
  // A client has to wait for the answer. Commands sent after the request would otherwise reach the request's
  // host.
  observer_.on_client_left(handle);
  attempts_.end(handle, connection, TerminationReason::client_gone);
  reject_malformed(handle, connection, "data before the answer");
}

void ConnectionTable::on_client_closed_before_request(Handle handle, ProxiedConnection& connection,
                                                      bool is_broken) {
  if (connection.client_prefix.empty() || is_broken) {
    return close_connection(handle);
  }
  reject_malformed(handle, connection, "incomplete line");
}

// The client has disconnected, or has only closed its sending side. If its connection is not broken, it is
// answered ERR, because it may still read.
void ConnectionTable::on_client_closed_before_answer(Handle handle, ProxiedConnection& connection,
                                                     bool is_broken) {
  ++counters_.clients_left;
  observer_.on_client_left(handle);
  attempts_.end(handle, connection, TerminationReason::client_gone);
  if (is_broken) {
    close_connection(handle);
  } else {
    begin_closing(handle, connection, "ERR\r\n");
  }
}

void ConnectionTable::read_client_messages(Handle handle, ProxiedConnection& connection) {
  for (int pings = 0;; ++pings) {
    ClientMessage message = admission_.next_message(connection.client_prefix, pings);
    if (std::holds_alternative<Ping>(message)) {
      on_ping(handle, connection);
      continue;
    }
    return std::visit(
        Overloaded{[](Ping) {},
                   [&](IncompleteLine) {
                     // A client that has sent PING may start its request later, but has no more time to
                     // complete it.
                     if (!connection.client_prefix.empty() &&
                         connection.deadline.when > loop_.now() + kRequestLineTimeout) {
                       start_request_line_deadline(handle, connection, kRequestLineTimeout);
                     }
                   },
                   [&](RequestLine& request) { open_request(handle, connection, std::move(request)); },
                   [&](const MalformedRequest& malformed) {
                     reject_malformed(handle, connection, malformed.reason);
                   }},
        message);
  }
}

void ConnectionTable::set_answers_pings(bool answers_pings) {
  answers_pings_ = answers_pings;
  if (answers_pings) {
    connections_.for_each([this](Handle, ProxiedConnection& connection) { answer_pings(connection); });
  }
}

void ConnectionTable::answer_pings(ProxiedConnection& connection) {
  for (; connection.unanswered_pings > 0; --connection.unanswered_pings) {
    ++counters_.pings_answered;
    connection.client.socket.send_without_waiting("PONG\r\n");
  }
}

void ConnectionTable::on_ping(Handle handle, ProxiedConnection& connection) {
  connection.unanswered_pings = std::min(connection.unanswered_pings + 1, kMaxUnansweredPings);
  if (answers_pings_) {
    answer_pings(connection);
  }
  start_request_line_deadline(handle, connection, kNextLineAfterPingTimeout);
  admission_.remove_silent(handle);
  admission_.add_silent(handle, loop_.now());
}

void ConnectionTable::open_request(Handle handle, ProxiedConnection& connection, RequestLine request) {
  answer_pings(connection);  // in the order in which the client expects the answers
  connection.client_prefix = {};
  connection.request = std::move(request);
  admission_.remove_silent(handle);
  connection.phase = Phase::awaiting_answer;
  loop_.cancel(connection.deadline);
  ++counters_.requests_received;
  observer_.on_request(handle, connection.request);
}

void ConnectionTable::reject_malformed(Handle handle, ProxiedConnection& connection,
                                       const std::string& reason) {
  ++counters_.malformed_requests;
  if (log_limit_.allow()) {
    spdlog::warn("malformed_request reason=\"{}\"", reason);
  }
  begin_closing(handle, connection, "ERR\r\n");
}

// ---- attempts and established connections ----

void ConnectionTable::begin_attempt(Handle handle, const AttemptParameters& parameters) {
  attempts_.begin(handle, parameters);
}

void ConnectionTable::cancel_attempt(Handle handle) {
  ProxiedConnection* connection = connections_.find(handle);
  if (connection && connection->phase == Phase::awaiting_answer) {
    attempts_.end(handle, *connection, TerminationReason::cancelled);
  }
}

void ConnectionTable::shorten_attempts(TimePoint deadline) {
  connections_.for_each(
      [&](Handle handle, ProxiedConnection& connection) { attempts_.shorten(handle, connection, deadline); });
}

void ConnectionTable::on_host_ready(Handle handle) {
  run_contained(handle, &ConnectionTable::handle_host_ready);
}

void ConnectionTable::handle_host_ready(Handle handle) {
  ProxiedConnection* connection = connections_.find(handle);
  if (!connection || !connection->host.socket) {
    return;
  }
  if (connection->phase == Phase::awaiting_answer) {
    attempts_.on_host_ready(handle, *connection);
  } else {
    relay_.on_host_ready(handle, *connection);
  }
}

void ConnectionTable::on_attempt_established(Handle handle, ProxiedConnection& connection,
                                             std::size_t answer_bytes) {
  ++counters_.requests_succeeded;
  relay_.establish(connection, answer_bytes);
  if (connection.host.is_read_closed) {
    relay_.start_linger(handle, connection);
  }
  observer_.on_established(handle);
  if (!connections_.find(handle) || connection.phase != Phase::established) {
    return;
  }
  relay_.start(handle, connection, answer_bytes);
}

void ConnectionTable::on_attempt_ended(Handle handle, AttemptResult result) {
  observer_.on_attempt_ended(handle, result);
}

void ConnectionTable::on_line_answered(Handle handle, Duration latency) {
  observer_.on_line_answered(handle, latency);
}

void ConnectionTable::on_load_reported(Handle handle, double load) {
  observer_.on_load_reported(handle, load);
}

void ConnectionTable::on_host_unreachable(Handle handle, ProxiedConnection& connection) {
  attempts_.end(handle, connection, TerminationReason::connection_broken);
  migrate(handle);
}

void ConnectionTable::on_finished(Handle handle, ProxiedConnection& connection) {
  attempts_.end(handle, connection, ByteRelay::termination_reason(connection));
  close_connection(handle);
}

// An exception that is thrown while one connection is handled ends only that connection.
void ConnectionTable::run_contained(Handle handle, void (ConnectionTable::*step)(Handle)) {
  try {
    (this->*step)(handle);
  } catch (const std::exception& error) {
    spdlog::error("connection_dropped error=\"{}\"", error.what());
    ProxiedConnection* connection = connections_.find(handle);
    if (!connection) {
      return;
    }
    if (connection->phase == Phase::awaiting_answer) {
      observer_.on_client_left(handle);  // the client can no longer be answered
    }
    on_finished(handle, *connection);
  }
}

// ---- final answers and closing ----

void ConnectionTable::answer(Handle handle, const std::string& line) {
  ProxiedConnection* connection = connections_.find(handle);
  if (!connection || connection->phase != Phase::awaiting_answer) {
    return;
  }
  attempts_.end(handle, *connection, TerminationReason::cancelled);
  begin_closing(handle, *connection, line);
}

void ConnectionTable::migrate(Handle handle) {
  ProxiedConnection* connection = connections_.find(handle);
  if (connection && connection->phase == Phase::awaiting_answer) {  // adopted, not established again yet
    connection->attempt.is_active = false;
    return begin_closing(handle, *connection, "MOVE\r\n");
  }
  if (!connection || connection->phase != Phase::established) {
    return;
  }
  RelayState& relay = connection->relay;
  // MOVE in the middle of a line would become part of that line.
  if (relay.is_mid_line && !relay.has_pending_migration) {
    relay.has_pending_migration = true;
    return loop_.schedule(connection->deadline, loop_.now() + kClosingTimeout,
                          [this, handle] { close_connection(handle); });
  }
  connection->attempt.is_active = false;
  connection->client.pending.resize(relay.complete_bytes);
  begin_closing(handle, *connection, connection->client.is_write_closed ? "" : "MOVE\r\n");
}

// Sends `last_line` and waits for the client to close: closing a socket with unread bytes would reset the
// connection, and the answer would be lost.
void ConnectionTable::begin_closing(Handle handle, ProxiedConnection& connection,
                                    const std::string& last_line) {
  connection.phase = Phase::closing;
  admission_.remove_silent(handle);
  attempts_.close_host(connection);
  connection.client_prefix = {};
  connection.request.line = {};
  connection.client.pending += last_line;
  loop_.schedule(connection.deadline, loop_.now() + kClosingTimeout,
                 [this, handle] { close_connection(handle); });
  send_last_bytes(handle, connection);
}

void ConnectionTable::send_last_bytes(Handle handle, ProxiedConnection& connection) {
  Peer& client = connection.client;
  if (!client.pending.empty()) {
    const auto sent = client.socket.send(client.pending.data(), client.pending.size());
    if (!sent) {
      return close_connection(handle);
    }
    client.pending.erase(0, *sent);
  }
  if (client.pending.empty() && !client.is_write_closed) {
    client.is_write_closed = true;
    client.socket.shut_down_sending();
  }
  if (client.pending.empty() && client.is_read_closed) {
    return close_connection(handle);
  }
  loop_.update_interest(client.watch_handle, client.pending.empty() ? POLLIN : POLLIN | POLLOUT);
}

// A client that keeps sending is disconnected after `kMaxDiscardedBytes`, because reading them takes time
// from other connections.
void ConnectionTable::discard_input(Handle handle, ProxiedConnection& connection) {
  std::string discarded;
  bool closed = false;
  const auto received = connection.client.socket.receive(discarded, kPeerBufferBytes, closed);
  connection.discarded_bytes += received.value_or(0);
  if (!received || closed || connection.discarded_bytes > kMaxDiscardedBytes) {
    return close_connection(handle);
  }
  send_last_bytes(handle, connection);
}

void ConnectionTable::close_connection(Handle handle) {
  ProxiedConnection* connection = connections_.find(handle);
  if (!connection) {
    return;
  }
  loop_.cancel(connection->deadline);
  loop_.unwatch(connection->client.watch_handle);
  loop_.unwatch(connection->host.watch_handle);
  admission_.remove_silent(handle);
  admission_.release(connection->request.id);
  connections_.erase(handle);
}

std::size_t ConnectionTable::active_count() {
  std::size_t count = 0;
  connections_.for_each([&](Handle, const ProxiedConnection& connection) {
    const bool is_silent = connection.phase == Phase::awaiting_request && connection.client_prefix.empty();
    count += is_silent ? 0 : 1;
  });
  return count;
}

}  // namespace dapplewharf
