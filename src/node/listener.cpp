// Accepting, and what follows when accept fails. Design: docs/design.md.
#include "node/listener.h"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

#include <cerrno>

namespace dapplewharf {
namespace {

constexpr int kAcceptsPerTurn = 32;  // so that established connections have their turn too
constexpr Duration kRetryDelay = 5 * kMs;
constexpr Duration kRejectAfter = kSecond;  // of failing accepts: half the time that a request line is given

Socket open_spare() {
  return Socket(::open("/dev/null", O_RDONLY | O_CLOEXEC));
}

}  // namespace

Listener::Listener(EventLoop& loop, Counters& counters, const Limits& limits, LogRateLimit& log_limit,
                   OnAccepted on_accepted)
    : loop_(loop),
      counters_(counters),
      limits_(limits),
      log_limit_(log_limit),
      on_accepted_(std::move(on_accepted)),
      spare_(open_spare()) {}

std::optional<std::string> Listener::listen(const sockaddr_in& address) {
  if (auto fault = listen_on(address, socket_)) {
    return fault;
  }
  watched_ = loop_.watch(socket_.descriptor(), POLLIN, [this](short) { accept_ready(); });
  return std::nullopt;
}

bool Listener::accept_pending() {
  const auto before = counters_.clients_accepted;
  accept_ready();
  return counters_.clients_accepted != before || failing_since_.has_value();
}

void Listener::accept_ready() {
  for (int i = 0; i < kAcceptsPerTurn; ++i) {
    Socket client(accept4(socket_.descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!client) {
      const int error = errno;
      if (error == ECONNABORTED || error == EINTR) {
        continue;
      }
      if (error != EAGAIN && error != EWOULDBLOCK) {
        return retry_later(error);
      }
      failing_since_.reset();
      return;
    }
    failing_since_.reset();
    ++counters_.clients_accepted;
    const int on = 1;
    setsockopt(client.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    on_accepted_(std::move(client));
  }
}

// A client in the kernel's queue loses nothing by waiting through a passing failure. Only where the failure
// lasts, or this process has no descriptor left, one client is rejected.
void Listener::retry_later(int error) {
  ++counters_.accept_failures;
  if (!failing_since_) {
    failing_since_ = loop_.now();
    if (log_limit_.allow()) {
      spdlog::warn("accept_failed error={} action=retry", error);
    }
  }
  const bool lasting = loop_.now() - *failing_since_ >= kRejectAfter;
  const bool none_left = Socket::is_short_of_descriptors(limits_.descriptors, 0);
  if ((error == EMFILE || error == ENFILE) && (lasting || none_left) && reject_one()) {
    return;
  }
  loop_.update_interest(watched_, 0);  // poll would return at once for a client that cannot be accepted
  loop_.schedule(retry_, loop_.now() + kRetryDelay, [this] {
    loop_.update_interest(watched_, POLLIN);
    accept_ready();
  });
}

// Gives up the spare descriptor for a moment. Returns whether there was a client to reject.
bool Listener::reject_one() {
  spare_.close();
  Socket client(accept4(socket_.descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  const bool any = static_cast<bool>(client);
  if (any) {
    reject_for_descriptors(client, counters_);
  }
  client.close();
  spare_ = open_spare();
  return any;
}

void reject_for_descriptors(const Socket& client, Counters& counters) {
  ++counters.clients_rejected_without_descriptor;
  client.send_without_waiting("BUSY\r\n");
  client.shut_down_sending();
}

}  // namespace dapplewharf
