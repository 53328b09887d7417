// Decides what a new client's first bytes amount to and which silent client gives way. Owns the queue of
// clients that have not sent a request yet, the ids of open requests and those of the latest closed ones.
// Pure: reads no socket, the caller gives the time. Design: docs/design.md.
#pragma once
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "base/slot_map.h"
#include "base/socket.h"
#include "wire/lines.h"

namespace dapplewharf {

/// The client's line has not come to its end yet.
struct IncompleteLine {};
/// The client asked whether the node is alive; it has been taken off the client's bytes.
struct Ping {};
/// The client breaks the protocol, and how.
struct MalformedRequest {
  std::string reason;
};
using ClientMessage = std::variant<IncompleteLine, Ping, RequestLine, MalformedRequest>;

class ClientAdmission {
 public:
  /// @param limits and `schema` are the node's own and may change between calls.
  ClientAdmission(const Limits& limits, const RequestSchema& schema) : limits_(limits), schema_(schema) {}

  /// Reads the next message off `prefix`, the bytes that the client has sent. A request's id counts as open
  /// from then on, until `release`.
  /// @param pings how many messages of this client have been answered in the same turn.
  [[nodiscard]] ClientMessage next_message(std::string& prefix, int pings);
  /// The request with this id has ended; does nothing for an id that is not open.
  void release(const std::string& id);

  /// The client is silent from `now` on: it is new, or has only sent PING.
  void add_silent(Handle client, Tenths now);
  void remove_silent(Handle client);
  [[nodiscard]] std::optional<Handle> longest_silent() const;
  /// Whether silent clients hold more descriptors than their share. Many ordinary clients that connect at
  /// once are silent until their line has come; they are not counted against one another.
  [[nodiscard]] bool silent_clients_exceed_share(Tenths now) const;

 private:
  struct SilentClient {
    Handle handle;
    Tenths since = 0;
  };
  [[nodiscard]] bool is_taken(const std::string& id) const;

  const Limits& limits_;
  const RequestSchema& schema_;
  std::deque<SilentClient> silent_;  // the longest silent first
  std::set<std::string> open_ids_;
  std::deque<std::string> closed_ids_;  // the latest last
};

}  // namespace dapplewharf
