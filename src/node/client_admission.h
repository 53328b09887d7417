// Parses the first bytes of new clients and chooses the silent client to evict when descriptors are short.
// Owns the queue of clients that have not sent a request yet, and the ids of open and of recently closed
// requests. Pure: it uses no sockets, and the caller passes the time. Design: docs/design.md.
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

/// The end of the client's line has not been received yet.
struct IncompleteLine {};
/// The client has sent PING, which has been removed from its bytes.
struct Ping {};
/// The client has violated the protocol.
struct MalformedRequest {
  std::string reason;  ///< for the log
};
using ClientMessage = std::variant<IncompleteLine, Ping, RequestLine, MalformedRequest>;

/// Admits the requests of new clients and keeps track of silent clients.
class ClientAdmission {
 public:
  /// @param limits the node's own limits, which may change between calls; so may `schema`.
  ClientAdmission(const Limits& limits, const RequestSchema& schema) : limits_(limits), schema_(schema) {}

  /// Parses the next message of `prefix`, the bytes that the client has sent. The id of a request counts as
  /// open from then on until `release`.
  /// @param pings how many PINGs of this client have been answered in the same turn of the event loop.
  [[nodiscard]] ClientMessage next_message(std::string& prefix, int pings);
  /// Ends the use of a request's id; does nothing if the id is not open.
  void release(const std::string& id);

  /// Adds a client that is silent from `now` on because it is new or has sent only PING.
  void add_silent(Handle client, TimePoint now);
  /// Removes a client from the silent ones; does nothing if it is not among them.
  void remove_silent(Handle client);
  /// Returns the client that has been silent for the longest time.
  [[nodiscard]] std::optional<Handle> longest_silent() const;
  /// Whether silent clients hold more descriptors than their share. Returns false while all of them have
  /// connected only recently: many ordinary clients that connect at the same time must not evict each other
  /// before their request lines arrive.
  [[nodiscard]] bool silent_clients_exceed_share(TimePoint now) const;

 private:
  struct SilentClient {
    Handle handle;
    TimePoint since = 0;
  };
  [[nodiscard]] bool is_id_in_use(const std::string& id) const;

  const Limits& limits_;
  const RequestSchema& schema_;
  std::deque<SilentClient> silent_;  // ordered by `since`, the earliest first
  std::set<std::string> open_ids_;
  std::deque<std::string> closed_ids_;  // in the order of closing
};

}  // namespace dapplewharf
