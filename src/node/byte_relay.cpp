// The steps of the relay: receive from one side, parse the host's lines, send to the other side. Clients are
// sent complete lines, so that MOVE can be sent between two lines at any time. Design: docs/design.md.
#include "node/byte_relay.h"

#include <algorithm>
#include <cerrno>
#include <utility>

namespace dapplewharf {
namespace {

// How long a half-closed connection may be without traffic.
constexpr Duration kHalfClosedTimeout = 5 * kSecond;
// How long a client may take to close its side after its host has closed.
constexpr Duration kHostClosedTimeout = 800 * kMs;
// The bytes that are kept of a host's incomplete line; enough to determine the type of the line.
constexpr std::size_t kMaxPartialLineBytes = 32;

// Returns how many of the bytes pending for the client may be sent. Lines that are longer than the protocol
// allows, and the last bytes before the host closes, are sent without waiting for the end of the line.
std::size_t sendable_bytes_to_client(const ProxiedConnection& connection) {
  const std::size_t pending = connection.client.pending.size();
  const std::size_t complete = connection.relay.complete_bytes;
  const bool has_long_line =
      pending - complete >= kMaxLineBytes || (connection.relay.is_mid_line && complete == 0);
  return connection.host.is_read_closed || has_long_line ? pending : complete;
}

short poll_events_for(const Peer& peer, const Peer& other, bool has_bytes_to_send) {
  const bool may_read = !peer.is_read_closed && other.pending.size() < kPeerBufferBytes;
  return static_cast<short>((may_read ? POLLIN : 0) | (has_bytes_to_send ? POLLOUT : 0));
}

// Removes bytes that have been sent. Frees the memory of an empty buffer, because most connections are idle.
void remove_sent_bytes(std::string& pending, std::size_t sent) {
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
  connection.request.line = {};  // no further attempt needs it
}

void ByteRelay::start(Handle handle, ProxiedConnection& connection, std::size_t answer_bytes) {
  on_host_bytes(handle, connection, answer_bytes);
  if (connection.phase == ProxiedConnection::Phase::established) {
    forward(handle, connection);
  }
}

// Reserves `kPeerBufferBytes` first: a buffer that grows by doubling could take twice `kPeerBufferBytes` of
// memory for each connection.
std::optional<std::size_t> ByteRelay::receive(const Peer& peer, std::string& buffer, bool& closed) {
  buffer.reserve(kPeerBufferBytes);
  return peer.socket.receive(buffer, kPeerBufferBytes - buffer.size(), closed);
}

void ByteRelay::on_client_ready(Handle handle, ProxiedConnection& connection) {
  Peer& client = connection.client;
  const std::size_t before = connection.host.pending.size();
  if (!client.is_read_closed && before < kPeerBufferBytes) {
    bool closed = false;
    if (!receive(client, connection.host.pending, closed)) {
      connection.relay.has_client_closed_first = true;
      return reset_remaining_side(handle, connection, connection.host);
    }
    on_client_bytes(connection, before);
    if (closed) {
      client.is_read_closed = true;
      connection.relay.has_client_closed_first = !connection.host.is_read_closed;
      start_linger(handle, connection);
    }
  }
  forward(handle, connection);
}

void ByteRelay::on_host_ready(Handle handle, ProxiedConnection& connection) {
  Peer& host = connection.host;
  const std::size_t before = connection.client.pending.size();
  if (!host.is_read_closed && before < kPeerBufferBytes) {
    bool closed = false;
    if (!receive(host, connection.client.pending, closed)) {
      return on_host_connection_broken(handle, connection);
    }
    if (closed) {
      host.is_read_closed = true;
      start_linger(handle, connection);
    }
    on_host_bytes(handle, connection, before);
    if (connection.phase != ProxiedConnection::Phase::established) {
      return;  // the connection has been migrated
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
  for (std::size_t offset = from; offset < pending.size(); ++offset) {
    if (relay.partial_line.size() < kMaxPartialLineBytes) {
      relay.partial_line += pending[offset];
    }
    if (pending[offset] != '\n') {
      continue;
    }
    relay.complete_bytes = offset + 1;
    relay.is_mid_line = false;
    on_host_line(handle, connection);
    relay.partial_line.clear();
    if (relay.has_pending_migration) {
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
    return on_host_connection_broken(handle, connection);
  }
  if (!send_to_client(connection)) {
    RelayState& relay = connection.relay;
    relay.has_client_closed_first = relay.has_client_closed_first || !connection.host.is_read_closed;
    return reset_remaining_side(handle, connection, connection.host);
  }
  if (connection.client.is_write_closed && connection.host.is_write_closed) {
    return owner_.on_finished(handle, connection);
  }
  update_poll_interest(connection);
}

void ByteRelay::update_poll_interest(const ProxiedConnection& connection) {
  const Peer& client = connection.client;
  const Peer& host = connection.host;
  loop_.update_interest(client.watch_handle,
                        poll_events_for(client, host, sendable_bytes_to_client(connection) > 0));
  loop_.update_interest(host.watch_handle, poll_events_for(host, client, !host.pending.empty()));
}

// Returns false if the client's connection is broken.
bool ByteRelay::send_to_client(ProxiedConnection& connection) {
  Peer& client = connection.client;
  RelayState& relay = connection.relay;
  const std::size_t sendable = sendable_bytes_to_client(connection);
  if (sendable > 0) {
    const auto sent = client.socket.send(client.pending.data(), sendable);
    if (!sent) {
      return false;
    }
    if (*sent > 0) {
      relay.is_mid_line = client.pending[*sent - 1] != '\n' && *sent >= relay.complete_bytes;
      relay.complete_bytes -= std::min(relay.complete_bytes, *sent);
    }
    remove_sent_bytes(client.pending, *sent);
  }
  forward_close(client, connection.host);
  return true;
}

// Returns false if the host's connection is broken.
bool ByteRelay::send_to_host(ProxiedConnection& connection) {
  Peer& host = connection.host;
  if (!host.pending.empty()) {
    const auto sent = host.socket.send(host.pending.data(), host.pending.size());
    if (!sent) {
      return false;
    }
    remove_sent_bytes(host.pending, *sent);
  }
  forward_close(host, connection.client);
  return true;
}

// Forwards an orderly close as an orderly close, after all bytes that precede it have been sent.
void ByteRelay::forward_close(Peer& receiver, const Peer& sender) {
  if (sender.is_read_closed && receiver.pending.empty() && !receiver.is_write_closed) {
    receiver.is_write_closed = true;
    receiver.socket.shut_down_sending();
  }
}

// A host that this node cannot reach may still serve others, so the client is migrated; without MOVE it would
// not reconnect. If the host itself has reset the connection, the client's connection is reset as well.
void ByteRelay::on_host_connection_broken(Handle handle, ProxiedConnection& connection) {
  if (!is_path_broken(errno) || connection.client.is_write_closed) {
    return reset_remaining_side(handle, connection, connection.client);
  }
  owner_.on_host_unreachable(handle, connection);
}

// One side is broken: the remaining side is sent its pending bytes and then reset.
void ByteRelay::reset_remaining_side(Handle handle, ProxiedConnection& connection, Peer& remaining) {
  remaining.socket.send_without_waiting(remaining.pending);
  remaining.socket.close_with_reset();
  owner_.on_finished(handle, connection);
}

TerminationReason ByteRelay::termination_reason(const ProxiedConnection& connection) {
  if (connection.relay.last_line == LineType::bye) {
    return TerminationReason::completed;
  }
  if (connection.relay.last_line == LineType::move) {
    return TerminationReason::migrated;
  }
  if (connection.relay.has_client_closed_first) {
    return TerminationReason::client_gone;
  }
  return connection.host.is_read_closed ? TerminationReason::closed : TerminationReason::connection_broken;
}

void ByteRelay::start_linger(Handle handle, ProxiedConnection& connection) {
  if (connection.deadline.number != 0) {
    return;
  }
  const Duration timeout = connection.host.is_read_closed ? kHostClosedTimeout : kHalfClosedTimeout;
  loop_.schedule(connection.deadline, loop_.now() + timeout, [this, handle] { on_linger_timeout(handle); });
}

// Half-closed connections that neither side ends would eventually use up all descriptors.
void ByteRelay::on_linger_timeout(Handle handle) {
  ProxiedConnection* connection = owner_.find(handle);
  if (!connection) {
    return;
  }
  connection->deadline = {};
  const bool has_recent_activity = loop_.now() - connection->relay.last_activity < kHalfClosedTimeout;
  if (!connection->host.is_read_closed && has_recent_activity) {
    return start_linger(handle, *connection);
  }
  owner_.on_finished(handle, *connection);
}

}  // namespace dapplewharf
