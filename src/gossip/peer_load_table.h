// Estimates how many connections the other nodes hold at each endpoint. Each node sends its counts to a few
// others, to more of them after a change; from the latest message of each node this table estimates the sum
// over all others. Owns these messages and their byte format (docs/architecture.md). Pure: it uses no
// sockets, and the caller passes the time. Messages can be lost, late, duplicated or from an earlier run of
// their sender, so an estimate may be used to balance load but not to decide whether an endpoint is healthy.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "base/time.h"

namespace dapplewharf {

/// The latest message of each other node.
class PeerLoadTable {
 public:
  /// Connections of one node at each endpoint.
  using Counts = std::map<std::string, int>;

  /// @param nodes the number of all nodes; with fewer than two nothing is sent.
  /// @param node_index this node's index among them, from 0.
  PeerLoadTable(int nodes, int node_index, std::uint64_t seed)
      : nodes_(nodes), node_index_(node_index), random_(seed) {}

  /// Returns the nodes to which `counts` is to be sent now; none until the next message is due, which is
  /// sooner after a change of the counts.
  std::vector<int> choose_recipients(TimePoint now, const Counts& counts);

  /// Encodes a message of at most 255 bytes: the version (1 byte), the time in steps of 100 ms (2 bytes),
  /// then the hash (2 bytes) and count (1 byte) of each endpoint, largest counts first.
  [[nodiscard]] static std::string encode(const Counts& counts, TimePoint unix_now);

  /// Processes a message from node `from`.
  /// @return false if it is malformed, of another version, stale, or older than the latest from that node.
  bool receive(int from, std::string_view bytes, TimePoint unix_now);

  /// Estimates the number of connections that all other nodes hold at an endpoint; nothing if there are
  /// recent messages from too few nodes.
  [[nodiscard]] std::optional<double> connections_elsewhere(const std::string& endpoint,
                                                            TimePoint unix_now) const;

 private:
  struct Message {
    TimePoint sent_at = 0;                // Unix time of the sender's clock
    std::map<std::uint16_t, int> counts;  // by the endpoint's hash
  };
  /// Returns when a message with this time stamp was sent; nothing if that is too long ago.
  [[nodiscard]] static std::optional<TimePoint> sent_time(int timestamp, TimePoint unix_now);

  int nodes_;
  int node_index_;
  RandomGenerator random_;
  Counts last_sent_;
  TimePoint next_send_ = 0;
  TimePoint next_send_after_change_ = 0;
  std::map<int, Message> latest_;  // by node index
};

}  // namespace dapplewharf
