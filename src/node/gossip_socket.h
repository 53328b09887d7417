// The UDP socket for gossip between nodes, on which this node sends its connection counts and receives those
// of the other nodes. Owns the socket and the peer load table; accepts messages only from the configured
// addresses. If no addresses are configured or the socket cannot be opened, the node works without gossip.
// Design: docs/design.md.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "base/counters.h"
#include "base/event_loop.h"
#include "base/socket.h"
#include "gossip/peer_load_table.h"

namespace dapplewharf {

/// The addresses of the nodes that exchange gossip.
struct GossipSettings {
  std::string listen;              ///< a.b.c.d:port; empty if there is no gossip
  std::vector<std::string> peers;  ///< the addresses of all nodes, including this one, by node index
  int node_index = 0;              ///< this node's index in `peers`
};

/// Sends and receives gossip messages.
class GossipSocket {
 public:
  GossipSocket(EventLoop& loop, Counters& counters, const GossipSettings& settings, std::uint64_t seed);

  /// Whether gossip is configured.
  explicit operator bool() const { return listen_address_.has_value(); }
  /// Sends `counts`, this node's connections per endpoint, to some of the other nodes if a message is due.
  void send_if_due(const PeerLoadTable::Counts& counts);
  /// Estimates how many connections all other nodes hold at `endpoint`; nothing if there are too few
  /// messages.
  [[nodiscard]] std::optional<double> connections_elsewhere(const std::string& endpoint) const;

 private:
  void open();
  void send(const PeerLoadTable::Counts& counts, const std::vector<int>& peers);
  void read();
  [[nodiscard]] int peer_index(const sockaddr_in& address) const;

  EventLoop& loop_;
  Counters& counters_;
  PeerLoadTable load_table_;
  std::vector<sockaddr_in> addresses_;
  std::optional<sockaddr_in> listen_address_;
  TimePoint last_open_attempt_at_ = 0;  // when opening the socket was last attempted
  bool has_logged_failure_ = false;
  Socket socket_;
};

}  // namespace dapplewharf
