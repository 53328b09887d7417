// Gossip between nodes: one UDP socket on which this node reports what it holds and hears the others. Owns
// that socket and the peer load table; accepts messages only from the addresses that the configuration names.
// Where it names none, or the socket cannot be had, nothing is sent and the node goes on alone. Design:
// docs/design.md.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "base/counters.h"
#include "base/event_loop.h"
#include "base/socket.h"
#include "gossip/peer_load_table.h"

namespace dapplewharf {

struct PeerSettings {
  std::string listen;              ///< a.b.c.d:port; empty: no gossip
  std::vector<std::string> peers;  ///< by number, this node's own among them
  int me = 0;                      ///< this node's number
};

class GossipSocket {
 public:
  GossipSocket(EventLoop& loop, Counters& counters, const PeerSettings& settings, std::uint64_t seed);

  /// Whether gossip is configured.
  explicit operator bool() const { return listen_.has_value(); }
  /// Sends `counts`, this node's connections by host, to some of the others if it is time to.
  void tell(const PeerLoadTable::Counts& counts);
  /// Connections that all other nodes hold at `host`, as far as is known.
  [[nodiscard]] std::optional<double> elsewhere(const std::string& host) const;

 private:
  void open();
  void send(const PeerLoadTable::Counts& counts, const std::vector<int>& peers);
  void read();
  [[nodiscard]] int peer_at(const sockaddr_in& address) const;

  EventLoop& loop_;
  Counters& counters_;
  PeerLoadTable loads_;
  std::vector<sockaddr_in> addresses_;
  std::optional<sockaddr_in> listen_;
  TimePoint opened_at_ = 0;  // when that was last tried
  bool failure_logged_ = false;
  Socket socket_;
};

}  // namespace dapplewharf
