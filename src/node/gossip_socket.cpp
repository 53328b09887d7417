// Sending and reading of gossip messages. Design: docs/design.md.
#include "node/gossip_socket.h"

#include <poll.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

namespace dapplewharf {
namespace {

constexpr std::size_t kReceiveBufferBytes = 256;
constexpr Duration kOpenInterval = kSecond;  // between attempts to open the socket
constexpr int kMessagesPerTurn = 64;         // the kernel drops further messages when its buffer is full
constexpr int kUnknownPeer = -1;

bool is_same_address(const sockaddr_in& a, const sockaddr_in& b) {
  return a.sin_addr.s_addr == b.sin_addr.s_addr && a.sin_port == b.sin_port;
}

}  // namespace

GossipSocket::GossipSocket(EventLoop& loop, Counters& counters, const GossipSettings& settings,
                           std::uint64_t seed)
    : loop_(loop),
      counters_(counters),
      load_table_(static_cast<int>(settings.peers.size()), settings.node_index, seed) {
  const auto listen_address = parse_address(settings.listen);
  if (!listen_address || settings.peers.size() < 2) {
    return;
  }
  for (const std::string& peer : settings.peers) {
    addresses_.push_back(parse_address(peer).value_or(sockaddr_in{}));
  }
  listen_address_ = *listen_address;
  open();
}

// After a failure another attempt follows later; otherwise a temporary shortage of resources would end gossip
// for good.
void GossipSocket::open() {
  last_open_attempt_at_ = loop_.now();
  Socket socket(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket || bind(socket.descriptor(), reinterpret_cast<const sockaddr*>(&*listen_address_),
                      sizeof *listen_address_) != 0) {
    const int error = errno;
    if (!std::exchange(has_logged_failure_, true)) {
      spdlog::warn("gossip_unavailable error={}", error);
    }
    return;
  }
  socket_ = std::move(socket);
  loop_.watch(socket_.descriptor(), POLLIN, [this](short) { read(); });
}

void GossipSocket::send_if_due(const PeerLoadTable::Counts& counts) {
  if (!socket_ && listen_address_ && loop_.now() - last_open_attempt_at_ >= kOpenInterval) {
    open();
  }
  if (!socket_) {
    return;
  }
  if (const std::vector<int> peers = load_table_.choose_recipients(loop_.now(), counts); !peers.empty()) {
    send(counts, peers);
  }
}

void GossipSocket::send(const PeerLoadTable::Counts& counts, const std::vector<int>& peers) {
  const std::string message = PeerLoadTable::encode(counts, EventLoop::unix_now());
  for (const int peer : peers) {
    const sockaddr_in& recipient = addresses_[static_cast<std::size_t>(peer)];
    // A message that the kernel does not accept is lost like one in the network; the next one replaces it.
    if (sendto(socket_.descriptor(), message.data(), message.size(), MSG_NOSIGNAL | MSG_DONTWAIT,
               reinterpret_cast<const sockaddr*>(&recipient), sizeof recipient) >= 0) {
      ++counters_.gossip_sent;
    }
  }
}

int GossipSocket::peer_index(const sockaddr_in& address) const {
  int found = kUnknownPeer;
  for (std::size_t peer = 0; peer < addresses_.size(); ++peer) {
    if (is_same_address(addresses_[peer], address)) {
      found = static_cast<int>(peer);
    }
  }
  return found;
}

void GossipSocket::read() {
  char bytes[kReceiveBufferBytes];
  for (int i = 0; i < kMessagesPerTurn; ++i) {
    sockaddr_in from{};
    socklen_t from_size = sizeof from;
    const ssize_t size = recvfrom(socket_.descriptor(), bytes, sizeof bytes, MSG_DONTWAIT | MSG_TRUNC,
                                  reinterpret_cast<sockaddr*>(&from), &from_size);
    if (size < 0) {
      return;
    }
    const bool complete = size <= static_cast<ssize_t>(sizeof bytes);
    if (complete && load_table_.receive(peer_index(from), {bytes, static_cast<std::size_t>(size)},
                                        EventLoop::unix_now())) {
      ++counters_.gossip_received;
    } else {
      ++counters_.gossip_ignored;
    }
  }
}

std::optional<double> GossipSocket::connections_elsewhere(const std::string& endpoint) const {
  return socket_ ? load_table_.connections_elsewhere(endpoint, EventLoop::unix_now()) : std::nullopt;
}

}  // namespace dapplewharf
