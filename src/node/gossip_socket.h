// Words between nodes: one UDP socket on which this node tells others what it holds and hears them. Owns that
// socket and the tally; takes words only from the addresses that the configuration names. Where it names
// none, or the socket cannot be had, nothing is told and the node goes on alone.
#pragma once
#include "base/counters.h"
#include "base/event_loop.h"
#include "base/socket.h"
#include "gossip/peer_load_table.h"

namespace dapplewharf {

struct PeerSettings {
  std::string listen;              // a.b.c.d:port; empty: no words
  std::vector<std::string> peers;  // by number, this node's own among them
  int me = 0;
};

class GossipSocket {
 public:
  GossipSocket(EventLoop& loop, Counters& counters, const PeerSettings& settings, std::uint64_t seed);

  explicit operator bool() const { return listen_.has_value(); }  // whether any words may go or come
  void tell(const PeerLoadTable::Counts& counts);                 // if it is time to
  std::optional<double> elsewhere(const std::string& host) const;

 private:
  void read();
  void open();

  EventLoop& loop_;
  Counters& counters_;
  PeerLoadTable tally_;
  std::vector<sockaddr_in> addresses_;
  std::optional<sockaddr_in> listen_;
  Tenths opened_at_ = 0;  // when that was last tried
  bool told_ = false;     // that it failed
  Socket socket_;
};

}  // namespace dapplewharf
