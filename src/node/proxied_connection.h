// The state of one client's connection through the node, from its first byte to its end: both sockets and
// their buffers. Plain data that the components of the connection table share; each of them uses its own
// section. Design: docs/design.md.
#pragma once
#include <optional>
#include <string>

#include "base/event_loop.h"
#include "base/socket.h"
#include "node/attempt_result.h"
#include "wire/lines.h"

namespace dapplewharf {

/// The most bytes that are buffered for one side; when they are reached, the other side is not read.
constexpr std::size_t kPeerBufferBytes = 8 * 1024;

/// One side of a proxied connection: the client or the host.
struct Peer {
  Socket socket;
  Handle watch_handle;           ///< of the socket in the event loop
  std::string pending;           ///< bytes to be sent to this side
  bool is_read_closed = false;   ///< it has closed its sending side
  bool is_write_closed = false;  ///< this node has closed its sending side
};

/// The attempt in progress, or the last one.
struct AttemptState {
  bool is_active = false;
  AttemptProgress progress = AttemptProgress::not_connected;
  TimePoint deadline = 0;
  std::string answer;  ///< the host's first line, as far as it has been received
};

/// The state of the relay of an established connection.
struct RelayState {
  /// When the node received the end of the first client line since the host's last answer to a client line;
  /// nothing if there is none. Load reports, BYE and MOVE are not answers.
  std::optional<TimePoint> request_sent_at;
  std::string partial_line;              ///< the beginning of the host's incomplete line
  LineType last_line = LineType::other;  ///< the host's last complete line
  std::size_t complete_bytes = 0;      ///< of the bytes pending for the client, those up to the last line end
  bool is_mid_line = false;            ///< the client has been sent the start of a line, but not its end
  bool has_pending_migration = false;  ///< MOVE is to be sent at the end of that line
  bool has_client_closed_first = false;  ///< before the host has closed
  TimePoint last_activity = 0;           ///< when bytes were last received from either side
};

/// The connection of one client, and the one to its host if there is one.
struct ProxiedConnection {
  enum class Phase {
    awaiting_request,  ///< the client has not sent a complete request yet
    awaiting_answer,   ///< the client waits for the answer to its request
    established,       ///< bytes are relayed in both directions
    closing            ///< the final answer is being sent
  };
  Phase phase = Phase::awaiting_request;
  Peer client;
  Peer host;
  EventLoop::Deadline deadline;  ///< of the current phase
  std::string client_prefix;     ///< what the client has sent, up to the end of the request line
  RequestLine request;
  AttemptState attempt;
  RelayState relay;
  int unanswered_pings = 0;         ///< before the request line
  std::size_t discarded_bytes = 0;  ///< received and discarded while closing
};

}  // namespace dapplewharf
