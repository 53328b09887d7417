// The state of one client's connection through the node, from its first byte to its end. Owns both sockets
// and their buffers; the parts of the connection table share it, each with its own section. Plain data.
// Design: docs/design.md.
#pragma once
#include <optional>
#include <string>

#include "base/event_loop.h"
#include "base/socket.h"
#include "node/attempt_result.h"
#include "wire/lines.h"

namespace dapplewharf {

/// The bytes held for one side before the other side is no longer read.
constexpr std::size_t kPeerBufferBytes = 8 * 1024;

/// One side of a proxied connection.
struct Peer {
  Socket socket;
  Handle watched;
  std::string pending;        ///< bytes to be sent to this side
  bool read_closed = false;   ///< it sends no more
  bool write_closed = false;  ///< nothing more is sent to it
};

/// The attempt that is in progress, or the last one.
struct AttemptState {
  bool active = false;
  AttemptProgress progress = AttemptProgress::not_connected;
  TimePoint deadline = 0;
  std::string answer;  ///< the host's first line, as far as it has come
};

/// What the relay knows of an established connection.
struct RelayState {
  std::optional<TimePoint> request_sent_at;  ///< of the client's first line since the host's last one
  std::string partial_line;                  ///< the start of the host's line that is coming
  LineType last_line = LineType::other;      ///< the host's last complete line
  std::size_t complete_bytes = 0;            ///< of the bytes pending for the client, up to the end of a line
  bool mid_line = false;                     ///< the client has the start of a line whose end has not come
  bool migration_pending = false;            ///< to be migrated at the end of that line
  bool client_closed_first = false;
  TimePoint last_activity = 0;  ///< when bytes last came from either side
};

struct ProxiedConnection {
  enum class Phase {
    greeting,     ///< the client has not sent a request yet
    waiting,      ///< the client waits for the answer to its request
    established,  ///< bytes pass both ways
    closing       ///< the final answer is being sent
  };
  Phase phase = Phase::greeting;
  Peer client;
  Peer host;
  EventLoop::Deadline deadline;  ///< of the current phase; a connection has only one
  std::string client_prefix;     ///< what the client has sent, up to the end of its request line
  RequestLine request;
  AttemptState attempt;
  RelayState relay;
  std::size_t discarded_bytes = 0;  ///< received while closing
};

}  // namespace dapplewharf
