// The way of the bytes: received from one side, read for lines, sent to the other. A client is sent complete
// lines, so that MOVE can always stand between two. Design: docs/design.md.
#include "node/byte_relay.h"

#include <algorithm>
#include <cerrno>
#include <utility>

namespace dapplewharf {
namespace {

constexpr Duration kHalfClosedTimeout = 5 * kSecond;  // on a half-closed connection without bytes
constexpr Duration kHostClosedTimeout = 800 * kMs;    // for the client to end what its host has ended
constexpr std::size_t kPartialLineBytes = 32;         // of a host's line: enough to tell what it is

// How many of the bytes pending for the client may be sent. Lines longer than the protocol's, and what comes
// before the host's end, go out without waiting for the end of the line.
std::size_t sendable_to_client(const ProxiedConnection& connection) {
  const std::size_t all = connection.client.pending.size();
  const std::size_t complete = connection.relay.complete_bytes;
  const bool long_line = all - complete >= kMaxLineBytes || (connection.relay.mid_line && complete == 0);
  return connection.host.read_closed || long_line ? all : complete;
}

short events_of(const Peer& peer, const Peer& other, bool has_bytes_to_send) {
  const bool reads = !peer.read_closed && other.pending.size() < kPeerBufferBytes;
  return static_cast<short>((reads ? POLLIN : 0) | (has_bytes_to_send ? POLLOUT : 0));
}

// Removes bytes that have been sent. An empty buffer gives its memory back: most connections are idle.
void consume(std::string& pending, std::size_t sent) {
  pending.erase(0, sent);
  if (pending.empty()) {
    pending.shrink_to_fit();
  }
}

}  // namespace

ByteRelay::ByteRelay(EventLoop& loop, Counters& counters, RelayOwner& owner)
    : loop_(loop), counters_(counters), owner_(owner) {}

void ByteRelay::establish(ProxiedConnection& connection, std::size_t answer_bytes) {
  connection.phase = ProxiedConnection::Phase::established;
  connection.relay.last_activity = loop_.now();
  connection.relay.complete_bytes = answer_bytes;
  connection.client.pending = std::exchange(connection.attempt.answer, {});
  connection.request.line = {};  // no other attempt follows
}

void ByteRelay::start(Handle handle, ProxiedConnection& connection, std::size_t answer_bytes) {
  on_host_bytes(handle, connection, answer_bytes);
  if (connection.phase == ProxiedConnection::Phase::established) {
    forward(handle, connection);
  }
}

// Without the reservation a string that grows by doubling holds up to twice the bound, on every connection.
std::optional<std::size_t> ByteRelay::receive(const Peer& peer, std::string& buffer, bool& closed) {
  buffer.reserve(kPeerBufferBytes);
  return peer.socket.receive(buffer, kPeerBufferBytes - buffer.size(), closed);
}

void ByteRelay::on_client_ready(Handle handle, ProxiedConnection& connection) {
  Peer& client = connection.client;
  const std::size_t before = connection.host.pending.size();
  if (!client.read_closed && before < kPeerBufferBytes) {
    bool closed = false;
    if (!receive(client, connection.host.pending, closed)) {
      connection.relay.client_closed_first = true;
      return reset_other(handle, connection, connection.host);
    }
    on_client_bytes(connection, before);
    if (closed) {
      client.read_closed = true;
      connection.relay.client_closed_first = !connection.host.read_closed;
      start_linger(handle, connection);
    }
  }
  forward(handle, connection);
}

void ByteRelay::on_host_ready(Handle handle, ProxiedConnection& connection) {
  Peer& host = connection.host;
  const std::size_t before = connection.client.pending.size();
  if (!host.read_closed && before < kPeerBufferBytes) {
    bool closed = false;
    if (!receive(host, connection.client.pending, closed)) {
      return on_host_broken(handle, connection);
    }
    if (closed) {
      host.read_closed = true;
      start_linger(handle, connection);
    }
    on_host_bytes(handle, connection, before);
    if (connection.phase != ProxiedConnection::Phase::established) {
      return;  // migrated
    }
  }
  forward(handle, connection);
}

void ByteRelay::on_client_bytes(ProxiedConnection& connection, std::size_t from) {
  const std::string& pending = connection.host.pending;
  counters_.bytes_to_endpoints += pending.size() - from;
  connection.relay.last_activity = loop_.now();
  if (!connection.relay.request_sent_at && pending.find('\n', from) != std::string::npos) {
    connection.relay.request_sent_at = loop_.now();
  }
}

void ByteRelay::on_host_bytes(Handle handle, ProxiedConnection& connection, std::size_t from) {
  const std::string& pending = connection.client.pending;
  RelayState& relay = connection.relay;
  counters_.bytes_to_clients += pending.size() - from;
  relay.last_activity = loop_.now();
  for (std::size_t at = from; at < pending.size(); ++at) {
    if (relay.partial_line.size() < kPartialLineBytes) {
      relay.partial_line += pending[at];
    }
    if (pending[at] != '\n') {
      continue;
    }
    relay.complete_bytes = at + 1;
    relay.mid_line = false;
    on_host_line(handle, connection);
    relay.partial_line.clear();
    if (relay.migration_pending) {
      return owner_.on_line_boundary(handle);
    }
  }
}

void ByteRelay::on_host_line(Handle handle, ProxiedConnection& connection) {
  RelayState& relay = connection.relay;
  relay.last_line = line_type_of(relay.partial_line);
  if (relay.last_line == LineType::load) {
    return owner_.on_load_reported(handle, parse_load(relay.partial_line));
  }
  if (relay.last_line == LineType::bye || relay.last_line == LineType::move || !relay.request_sent_at) {
    return;
  }
  const TimePoint sent_at = *std::exchange(relay.request_sent_at, std::nullopt);
  owner_.on_line_answered(handle, loop_.now() - sent_at);
}

void ByteRelay::forward(Handle handle, ProxiedConnection& connection) {
  if (!send_to_host(connection)) {
    return on_host_broken(handle, connection);
  }
  if (!send_to_client(connection)) {
    RelayState& relay = connection.relay;
    relay.client_closed_first = relay.client_closed_first || !connection.host.read_closed;
    return reset_other(handle, connection, connection.host);
  }
  if (connection.client.write_closed && connection.host.write_closed) {
    return owner_.on_finished(handle, connection);
  }
  want_events(connection);
}

void ByteRelay::want_events(const ProxiedConnection& connection) {
  const Peer& client = connection.client;
  const Peer& host = connection.host;
  loop_.update_interest(client.watched, events_of(client, host, sendable_to_client(connection) > 0));
  loop_.update_interest(host.watched, events_of(host, client, !host.pending.empty()));
}

// Returns false when the client's connection is broken.
bool ByteRelay::send_to_client(ProxiedConnection& connection) {
  Peer& client = connection.client;
  RelayState& relay = connection.relay;
  const std::size_t sendable = sendable_to_client(connection);
  if (sendable > 0) {
    const auto sent = client.socket.send(client.pending.data(), sendable);
    if (!sent) {
      return false;
    }
    if (*sent > 0) {
      relay.mid_line = client.pending[*sent - 1] != '\n' && *sent >= relay.complete_bytes;
      relay.complete_bytes -= std::min(relay.complete_bytes, *sent);
    }
    consume(client.pending, *sent);
  }
  pass_on_close(client, connection.host);
  return true;
}

// Returns false when the host's connection is broken.
bool ByteRelay::send_to_host(ProxiedConnection& connection) {
  Peer& host = connection.host;
  if (!host.pending.empty()) {
    const auto sent = host.socket.send(host.pending.data(), host.pending.size());
    if (!sent) {
      return false;
    }
    consume(host.pending, *sent);
  }
  pass_on_close(host, connection.client);
  return true;
}

// An orderly close is passed on as one, once all bytes before it are sent.
void ByteRelay::pass_on_close(Peer& receiver, const Peer& sender) {
  if (sender.read_closed && receiver.pending.empty() && !receiver.write_closed) {
    receiver.write_closed = true;
    receiver.socket.shut_down_sending();
  }
}

// A host that cannot be reached from here may live and answer others, so the client is migrated; cut off
// without MOVE it would not reconnect. What the host itself has reset ends on the client's side alike.
void ByteRelay::on_host_broken(Handle handle, ProxiedConnection& connection) {
  if (!is_path_broken(errno) || connection.client.write_closed) {
    return reset_other(handle, connection, connection.client);
  }
  owner_.on_host_unreachable(handle, connection);
}

// One side is broken: the other gets the bytes that are pending for it, then a reset.
void ByteRelay::reset_other(Handle handle, ProxiedConnection& connection, Peer& other) {
  other.socket.send_without_waiting(other.pending);
  other.socket.close_with_reset();
  owner_.on_finished(handle, connection);
}

TerminationReason ByteRelay::termination_reason(const ProxiedConnection& connection) {
  if (connection.relay.last_line == LineType::bye) {
    return TerminationReason::completed;
  }
  if (connection.relay.last_line == LineType::move) {
    return TerminationReason::migrated;
  }
  if (connection.relay.client_closed_first) {
    return TerminationReason::client_gone;
  }
  return connection.host.read_closed ? TerminationReason::closed : TerminationReason::connection_broken;
}

void ByteRelay::start_linger(Handle handle, ProxiedConnection& connection) {
  if (connection.deadline.number != 0) {
    return;
  }
  const Duration timeout = connection.host.read_closed ? kHostClosedTimeout : kHalfClosedTimeout;
  loop_.schedule(connection.deadline, loop_.now() + timeout, [this, handle] { linger_ended(handle); });
}

// Half-closed connections that nobody ends would take all descriptors in time.
void ByteRelay::linger_ended(Handle handle) {
  ProxiedConnection* connection = owner_.find(handle);
  if (!connection) {
    return;
  }
  connection->deadline = {};
  const bool active = loop_.now() - connection->relay.last_activity < kHalfClosedTimeout;
  if (!connection->host.read_closed && active) {
    return start_linger(handle, *connection);
  }
  owner_.on_finished(handle, *connection);
}

}  // namespace dapplewharf
