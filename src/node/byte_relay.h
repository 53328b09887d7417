// Passes the bytes of established connections both ways, unchanged and through bounded buffers, and reads the
// host's lines on the way. Owns nothing beyond the relay's section of a ProxiedConnection, its buffers and
// its deadline; when either side ends, tells the owner. Design: docs/design.md.
#pragma once
#include <optional>
#include <string>

#include "base/counters.h"
#include "base/event_loop.h"
#include "node/proxied_connection.h"

namespace dapplewharf {

/// What the relay needs from the owner of the connections.
class RelayOwner {
 public:
  virtual ~RelayOwner() = default;
  /// @return the connection, or null when it has ended; valid until the connection ends.
  virtual ProxiedConnection* find(Handle handle) = 0;
  /// The host has answered a client's line after `latency`, in ticks of 0.1 ms.
  virtual void on_line_answered(Handle handle, Tenths latency) = 0;
  /// The host has reported the connection's load, in microseconds of work a second; below 0 when it gave no
  /// figure.
  virtual void on_load_reported(Handle handle, double load) = 0;
  /// The way to the host is broken, though the host may live: the client is to reconnect elsewhere.
  virtual void on_host_unreachable(Handle handle, ProxiedConnection& connection) = 0;
  /// The host's line that a migration waited for has come to its end.
  virtual void on_line_boundary(Handle handle) = 0;
  /// The connection has ended on both sides.
  virtual void on_finished(Handle handle, ProxiedConnection& connection) = 0;
};

class ByteRelay {
 public:
  ByteRelay(EventLoop& loop, Counters& counters, RelayOwner& owner);

  /// Turns an attempt that the host has answered into an established connection: its answer goes to the
  /// client. `answer_bytes` are the first line; more may stand behind it.
  void establish(ProxiedConnection& connection, std::size_t answer_bytes);
  /// Passes on what stood behind the host's answer.
  void start(Handle handle, ProxiedConnection& connection, std::size_t answer_bytes);
  void on_client_ready(Handle handle, ProxiedConnection& connection);
  void on_host_ready(Handle handle, ProxiedConnection& connection);
  /// Starts the deadline of a half-closed connection, unless one runs already.
  void start_linger(Handle handle, ProxiedConnection& connection);

  /// What ended `connection`, as far as its relay shows.
  [[nodiscard]] static TerminationReason termination_reason(const ProxiedConnection& connection);
  /// Appends to `buffer` what may be read from `peer` without passing the bound. Returns the bytes read, or
  /// nothing when the connection is broken.
  static std::optional<std::size_t> receive(const Peer& peer, std::string& buffer, bool& closed);

 private:
  void linger_ended(Handle handle);
  void on_client_bytes(ProxiedConnection& connection, std::size_t from);
  void on_host_bytes(Handle handle, ProxiedConnection& connection, std::size_t from);
  void on_host_line(Handle handle, ProxiedConnection& connection);
  void forward(Handle handle, ProxiedConnection& connection);
  void want_events(const ProxiedConnection& connection);
  static bool send_to_client(ProxiedConnection& connection);
  static bool send_to_host(ProxiedConnection& connection);
  static void pass_on_close(Peer& receiver, const Peer& sender);
  void on_host_broken(Handle handle, ProxiedConnection& connection);
  void reset_other(Handle handle, ProxiedConnection& connection, Peer& other);

  EventLoop& loop_;
  Counters& counters_;
  RelayOwner& owner_;
};

}  // namespace dapplewharf
