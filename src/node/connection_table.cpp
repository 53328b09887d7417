// A connection's phases from the first byte to the end, and the joins between the parts. Design:
// docs/design.md.
#include "node/connection_table.h"

#include <spdlog/spdlog.h>

#include <variant>

#include "base/overloaded.h"

namespace dapplewharf {
namespace {

constexpr Duration kGreetingTimeout = 2 * kSecond;  // for the request line to come; three seconds are allowed
constexpr Duration kPingedTimeout = 60 * kSecond;   // for the next line, from a client that has sent PING
constexpr Duration kClosingTimeout = kSecond;       // for the last bytes to be taken
constexpr std::size_t kDiscardedBytes = 64 * 1024;  // read while closing, so that the client reads why

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

// ---- a client's first bytes ----

void ConnectionTable::on_accepted(Socket client) {
  if (admission_.silent_clients_exceed_share(loop_.now()) ||
      Socket::is_short_of_descriptors(limits_.descriptors, kReservedDescriptors / 2)) {
    evict_longest_silent();
  }
  // The last descriptors are kept to answer clients; without them a client would hang unanswered.
  if (Socket::is_short_of_descriptors(limits_.descriptors, kReservedDescriptors / 2)) {
    return reject_for_descriptors(client, counters_);
  }
  const int descriptor = client.descriptor();
  ProxiedConnection opened;
  opened.client.socket = std::move(client);
  const Handle handle = connections_.insert(std::move(opened));
  ProxiedConnection& connection = *connections_.find(handle);
  connection.client.watched = loop_.watch(descriptor, POLLIN, [this, handle](short) {
    contain_faults(handle, &ConnectionTable::on_client_ready);
  });
  start_greeting_deadline(handle, connection, kGreetingTimeout);
  admission_.add_silent(handle, loop_.now());
  // Its request may have come with the connection; then it is not a silent client.
  contain_faults(handle, &ConnectionTable::on_client_ready);
}

// Clients that connect and say nothing, or only PING, could take every descriptor. An ordinary client sends
// its request at once, so the longest silent one gives way, unless it has spoken meanwhile.
void ConnectionTable::evict_longest_silent() {
  while (const std::optional<Handle> handle = admission_.longest_silent()) {
    contain_faults(*handle, &ConnectionTable::on_client_ready);
    if (admission_.longest_silent() != handle) {
      continue;
    }
    ++counters_.silent_clients_evicted;
    connections_.find(*handle)->client.socket.send_without_waiting("BUSY\r\n");
    return drop(*handle);
  }
}

void ConnectionTable::start_greeting_deadline(Handle handle, ProxiedConnection& connection,
                                              Duration timeout) {
  loop_.schedule(connection.deadline, loop_.now() + timeout, [this, handle] {
    ProxiedConnection* late = connections_.find(handle);
    if (late && !late->client_prefix.empty()) {
      refuse(handle, *late, "half a line");
    } else {
      drop(handle);
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
    case Phase::greeting:
    case Phase::waiting:
      return read_request(handle, *connection);
    case Phase::established:
      return relay_.on_client_ready(handle, *connection);
    case Phase::closing:
      return discard_input(handle, *connection);
  }
}

// Reads from a client that has not been answered yet.
void ConnectionTable::read_request(Handle handle, ProxiedConnection& connection) {
  std::string& prefix = connection.client_prefix;
  bool closed = false;
  const auto received = connection.client.socket.receive(prefix, 2 * kMaxLineBytes - prefix.size(), closed);
  const bool greeting = connection.phase == Phase::greeting;
  if (!received || closed) {
    return greeting ? on_greeting_closed(handle, connection, !received)
                    : on_waiting_client_gone(handle, connection, !received);
  }
  if (greeting) {
    return read_client_messages(handle, connection);
  }
  if (prefix.empty()) {
    return;
  }
  // A client waits for its answer. Commands sent behind the request would reach the host of that request.
  observer_.on_client_left(handle);
  attempts_.end(handle, connection, TerminationReason::client_gone);
  refuse(handle, connection, "more before its answer");
}

void ConnectionTable::on_greeting_closed(Handle handle, ProxiedConnection& connection, bool broken) {
  if (connection.client_prefix.empty() || broken) {
    return drop(handle);
  }
  refuse(handle, connection, "half a line");
}

// The client has left, or has only ended its sending side; it gets an answer in case it still listens.
void ConnectionTable::on_waiting_client_gone(Handle handle, ProxiedConnection& connection, bool broken) {
  ++counters_.clients_left;
  observer_.on_client_left(handle);
  attempts_.end(handle, connection, TerminationReason::client_gone);
  if (broken) {
    drop(handle);
  } else {
    close_after(handle, connection, "ERR\r\n");
  }
}

void ConnectionTable::read_client_messages(Handle handle, ProxiedConnection& connection) {
  for (int pings = 0;; ++pings) {
    ClientMessage message = admission_.next_message(connection.client_prefix, pings);
    if (std::holds_alternative<Ping>(message)) {
      answer_ping(handle, connection);
      continue;
    }
    return std::visit(
        Overloaded{[](Ping) {},
                   [&](IncompleteLine) {
                     // A client that has sent PING has longer for its request to begin, but not to end.
                     if (!connection.client_prefix.empty() &&
                         connection.deadline.when > loop_.now() + kGreetingTimeout) {
                       start_greeting_deadline(handle, connection, kGreetingTimeout);
                     }
                   },
                   [&](RequestLine& request) { open_request(handle, connection, std::move(request)); },
                   [&](const MalformedRequest& malformed) { refuse(handle, connection, malformed.reason); }},
        message);
  }
}

void ConnectionTable::answer_ping(Handle handle, ProxiedConnection& connection) {
  ++counters_.pings_answered;
  connection.client.socket.send_without_waiting("PONG\r\n");
  start_greeting_deadline(handle, connection, kPingedTimeout);
  admission_.remove_silent(handle);
  admission_.add_silent(handle, loop_.now());
}

void ConnectionTable::open_request(Handle handle, ProxiedConnection& connection, RequestLine request) {
  connection.client_prefix = {};
  connection.request = std::move(request);
  admission_.remove_silent(handle);
  connection.phase = Phase::waiting;
  loop_.cancel(connection.deadline);
  ++counters_.requests_received;
  observer_.on_request(handle, connection.request);
}

void ConnectionTable::refuse(Handle handle, ProxiedConnection& connection, const std::string& reason) {
  ++counters_.malformed_requests;
  if (log_limit_.allow()) {
    spdlog::warn("malformed_request reason=\"{}\"", reason);
  }
  close_after(handle, connection, "ERR\r\n");
}

// ---- attempts and established connections ----

void ConnectionTable::begin_attempt(Handle handle, const AttemptParameters& parameters) {
  attempts_.begin(handle, parameters);
}

void ConnectionTable::cancel_attempt(Handle handle) {
  ProxiedConnection* connection = connections_.find(handle);
  if (connection && connection->phase == Phase::waiting) {
    attempts_.end(handle, *connection, TerminationReason::cancelled);
  }
}

void ConnectionTable::shorten_attempts(TimePoint deadline) {
  connections_.for_each(
      [&](Handle handle, ProxiedConnection& connection) { attempts_.shorten(handle, connection, deadline); });
}

void ConnectionTable::on_host_ready(Handle handle) {
  contain_faults(handle, &ConnectionTable::continue_with_host);
}

void ConnectionTable::continue_with_host(Handle handle) {
  ProxiedConnection* connection = connections_.find(handle);
  if (!connection || !connection->host.socket) {
    return;
  }
  if (connection->phase == Phase::waiting) {
    attempts_.on_host_ready(handle, *connection);
  } else {
    relay_.on_host_ready(handle, *connection);
  }
}

void ConnectionTable::on_attempt_established(Handle handle, ProxiedConnection& connection,
                                             std::size_t answer_bytes) {
  ++counters_.requests_succeeded;
  relay_.establish(connection, answer_bytes);
  if (connection.host.read_closed) {
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
  drop(handle);
}

// An exception that one connection's bytes lead to ends that connection and no other.
void ConnectionTable::contain_faults(Handle handle, void (ConnectionTable::*step)(Handle)) {
  try {
    (this->*step)(handle);
  } catch (const std::exception& error) {
    spdlog::error("connection_dropped error=\"{}\"", error.what());
    ProxiedConnection* connection = connections_.find(handle);
    if (!connection) {
      return;
    }
    if (connection->phase == Phase::waiting) {
      observer_.on_client_left(handle);  // nobody is left to be answered
    }
    on_finished(handle, *connection);
  }
}

// ---- final answers and the end ----

void ConnectionTable::answer(Handle handle, const std::string& line) {
  ProxiedConnection* connection = connections_.find(handle);
  if (!connection || connection->phase != Phase::waiting) {
    return;
  }
  attempts_.end(handle, *connection, TerminationReason::cancelled);
  close_after(handle, *connection, line);
}

void ConnectionTable::migrate(Handle handle) {
  ProxiedConnection* connection = connections_.find(handle);
  if (connection && connection->phase == Phase::waiting) {  // adopted and not established again yet
    connection->attempt.active = false;
    return close_after(handle, *connection, "MOVE\r\n");
  }
  if (!connection || connection->phase != Phase::established) {
    return;
  }
  RelayState& relay = connection->relay;
  if (relay.mid_line && !relay.migration_pending) {  // MOVE within a line would be a part of that line
    relay.migration_pending = true;
    return loop_.schedule(connection->deadline, loop_.now() + kClosingTimeout,
                          [this, handle] { drop(handle); });
  }
  connection->attempt.active = false;
  connection->client.pending.resize(relay.complete_bytes);
  close_after(handle, *connection, connection->client.write_closed ? "" : "MOVE\r\n");
}

// Waits for the client's end: closing with unread bytes resets the connection and the answer would be lost.
void ConnectionTable::close_after(Handle handle, ProxiedConnection& connection, const std::string& line) {
  connection.phase = Phase::closing;
  admission_.remove_silent(handle);
  attempts_.close_host(connection);
  connection.client_prefix = {};
  connection.request.line = {};
  connection.client.pending += line;
  loop_.schedule(connection.deadline, loop_.now() + kClosingTimeout, [this, handle] { drop(handle); });
  send_last_bytes(handle, connection);
}

void ConnectionTable::send_last_bytes(Handle handle, ProxiedConnection& connection) {
  Peer& client = connection.client;
  if (!client.pending.empty()) {
    const auto sent = client.socket.send(client.pending.data(), client.pending.size());
    if (!sent) {
      return drop(handle);
    }
    client.pending.erase(0, *sent);
  }
  if (client.pending.empty() && !client.write_closed) {
    client.write_closed = true;
    client.socket.shut_down_sending();
  }
  if (client.pending.empty() && client.read_closed) {
    return drop(handle);
  }
  loop_.update_interest(client.watched, client.pending.empty() ? POLLIN : POLLIN | POLLOUT);
}

// A client that goes on sending is cut off after a bounded number of bytes: reading them costs turns.
void ConnectionTable::discard_input(Handle handle, ProxiedConnection& connection) {
  std::string ignored;
  bool closed = false;
  const auto received = connection.client.socket.receive(ignored, kPeerBufferBytes, closed);
  connection.discarded_bytes += received.value_or(0);
  if (!received || closed || connection.discarded_bytes > kDiscardedBytes) {
    return drop(handle);
  }
  send_last_bytes(handle, connection);
}

void ConnectionTable::drop(Handle handle) {
  ProxiedConnection* connection = connections_.find(handle);
  if (!connection) {
    return;
  }
  loop_.cancel(connection->deadline);
  loop_.unwatch(connection->client.watched);
  loop_.unwatch(connection->host.watched);
  admission_.remove_silent(handle);
  admission_.release(connection->request.id);
  connections_.erase(handle);
}

std::size_t ConnectionTable::busy() {
  std::size_t count = 0;
  connections_.for_each([&](Handle, const ProxiedConnection& connection) {
    const bool idle = connection.phase == Phase::greeting && connection.client_prefix.empty();
    count += idle ? 0 : 1;
  });
  return count;
}

}  // namespace dapplewharf
