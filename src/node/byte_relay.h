// Relays the bytes of established connections in both directions, unchanged and through bounded buffers, and
// parses the host's lines as they pass. Uses only the relay's section of a ProxiedConnection, its buffers and
// its deadline; notifies the owner when either side has ended. Design: docs/design.md.
#pragma once
#include <optional>
#include <string>

#include "base/counters.h"
#include "base/event_loop.h"
#include "node/proxied_connection.h"

namespace dapplewharf {

/// The interface through which the relay looks up connections and notifies their owner.
class RelayOwner {
 public:
  virtual ~RelayOwner() = default;
  /// @return the connection, or null if it has ended; valid until the connection ends.
  virtual ProxiedConnection* find(Handle handle) = 0;
  /// The host has answered a client's line after `latency`, in ticks of 0.1 ms.
  virtual void on_line_answered(Handle handle, Duration latency) = 0;
  /// The host has reported the connection's load, in microseconds of work a second; below 0 if the report had
  /// no value.
  virtual void on_load_reported(Handle handle, double load) = 0;
  /// The network path to the host has failed, though the host may be running: the client is to reconnect
  /// elsewhere.
  virtual void on_host_unreachable(Handle handle, ProxiedConnection& connection) = 0;
  /// A migration is pending, and the end of the host's line that delayed it has been received.
  virtual void on_line_boundary(Handle handle) = 0;
  /// The connection has ended on both sides.
  virtual void on_finished(Handle handle, ProxiedConnection& connection) = 0;
};

/// Relays bytes between the two sides of established connections.
class ByteRelay {
 public:
  ByteRelay(EventLoop& loop, Counters& counters, RelayOwner& owner);

  /// Turns an attempt that the host has answered into an established connection and queues the answer for the
  /// client.
  /// @param answer_bytes the length of the answer line; more bytes of the host may follow it in the buffer.
  void establish(ProxiedConnection& connection, std::size_t answer_bytes);
  /// Starts relaying, beginning with the bytes that followed the host's answer.
  void start(Handle handle, ProxiedConnection& connection, std::size_t answer_bytes);
  /// The client's socket is ready to be read or written.
  void on_client_ready(Handle handle, ProxiedConnection& connection);
  /// The host's socket is ready to be read or written.
  void on_host_ready(Handle handle, ProxiedConnection& connection);
  /// Starts the timeout of a half-closed connection, unless it is already running.
  void start_linger(Handle handle, ProxiedConnection& connection);

  /// What ended `connection`, as far as the relay's state shows.
  [[nodiscard]] static TerminationReason termination_reason(const ProxiedConnection& connection);
  /// Appends available bytes of `peer` to `buffer`, up to `kPeerBufferBytes` in all. Returns the number of
  /// bytes read, or nothing if the connection is broken.
  static std::optional<std::size_t> receive(const Peer& peer, std::string& buffer, bool& closed);

 private:
  void on_linger_timeout(Handle handle);
  void on_client_bytes(ProxiedConnection& connection, std::size_t from);
  void on_host_bytes(Handle handle, ProxiedConnection& connection, std::size_t from);
  void on_host_line(Handle handle, ProxiedConnection& connection);
  void forward(Handle handle, ProxiedConnection& connection);
  void update_poll_interest(const ProxiedConnection& connection);
  static bool send_to_client(ProxiedConnection& connection);
  static bool send_to_host(ProxiedConnection& connection);
  static void forward_close(Peer& receiver, const Peer& sender);
  void on_host_connection_broken(Handle handle, ProxiedConnection& connection);
  void reset_remaining_side(Handle handle, ProxiedConnection& connection, Peer& remaining);

  EventLoop& loop_;
  Counters& counters_;
  RelayOwner& owner_;
};

}  // namespace dapplewharf
