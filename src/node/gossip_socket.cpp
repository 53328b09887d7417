#include "node/gossip_socket.h"

#include <poll.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

namespace dapplewharf {
namespace {

constexpr std::size_t kLongestWord = 256;
constexpr Tenths kOpenEvery = kSecond;  // while the address cannot be listened at
constexpr int kAtOnce = 64;             // words read in one turn: a flood waits, and is dropped by the system

bool same(const sockaddr_in& a, const sockaddr_in& b) {
  return a.sin_addr.s_addr == b.sin_addr.s_addr && a.sin_port == b.sin_port;
}

}  // namespace

GossipSocket::GossipSocket(EventLoop& loop, Counters& counters, const PeerSettings& settings,
                           std::uint64_t seed)
    : loop_(loop), counters_(counters), tally_(static_cast<int>(settings.peers.size()), settings.me, seed) {
  const auto at = address_of(settings.listen);
  if (!at || settings.peers.size() < 2) {
    return;
  }
  for (const std::string& peer : settings.peers) {
    addresses_.push_back(address_of(peer).value_or(sockaddr_in{}));
  }
  listen_ = *at;
  open();
}

// Danger: a system that is short of something for a moment would leave this node alone for good.
void GossipSocket::open() {
  opened_at_ = loop_.now();
  Socket socket(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket || bind(socket.number(), reinterpret_cast<const sockaddr*>(&*listen_), sizeof *listen_) != 0) {
    const int error = errno;
    if (!std::exchange(told_, true)) {
      spdlog::warn("gossip_unavailable error={}", error);
    }
    return;
  }
  socket_ = std::move(socket);
  loop_.watch(socket_.number(), POLLIN, [this](short) { read(); });
}

void GossipSocket::tell(const PeerLoadTable::Counts& counts) {
  if (!socket_ && listen_ && loop_.now() - opened_at_ >= kOpenEvery) {
    open();
  }
  if (!socket_) {
    return;
  }
  const std::vector<int> others = tally_.tell_to(loop_.now(), counts);
  if (others.empty()) {
    return;
  }
  const std::string word = PeerLoadTable::word(counts, EventLoop::unix_now());
  for (const int other : others) {
    const sockaddr_in& to = addresses_[static_cast<std::size_t>(other)];
    // A word that the system does not take is lost like one on the way: the next one tells it all anew.
    if (sendto(socket_.number(), word.data(), word.size(), MSG_NOSIGNAL | MSG_DONTWAIT,
               reinterpret_cast<const sockaddr*>(&to), sizeof to) >= 0) {
      ++counters_.gossip_sent;
    }
  }
}

void GossipSocket::read() {
  char bytes[kLongestWord];
  for (int i = 0; i < kAtOnce; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t got = recvfrom(socket_.number(), bytes, sizeof bytes, MSG_DONTWAIT | MSG_TRUNC,
                                 reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0) {
      return;
    }
    int sender = -1;
    for (std::size_t k = 0; k < addresses_.size(); ++k) {
      if (same(addresses_[k], from)) {
        sender = static_cast<int>(k);
      }
    }
    const bool whole = got <= static_cast<ssize_t>(sizeof bytes);
    if (whole && tally_.hear(sender, {bytes, static_cast<std::size_t>(got)}, EventLoop::unix_now())) {
      ++counters_.gossip_received;
    } else {
      ++counters_.gossip_ignored;
    }
  }
}

std::optional<double> GossipSocket::elsewhere(const std::string& host) const {
  return socket_ ? tally_.elsewhere(host, EventLoop::unix_now()) : std::nullopt;
}

}  // namespace dapplewharf
