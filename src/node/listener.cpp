// Accepting connections, and the handling of failed accepts. Design: docs/design.md.
#include "node/listener.h"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

#include <cerrno>

namespace dapplewharf {
namespace {

constexpr int kAcceptsPerTurn = 32;  // limited so that established connections are served between accepts
constexpr Duration kRetryDelay = 5 * kMs;
// Clients are rejected once accepts have failed for this long. It is half of the time that a client has to
// send its request.
constexpr Duration kMaxAcceptFailureTime = kSecond;

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
      spare_descriptor_(open_spare()) {}

std::optional<std::string> Listener::listen(const sockaddr_in& address) {
  if (auto error = listen_on(address, socket_)) {
    return error;
  }
  watch_handle_ = loop_.watch(socket_.descriptor(), POLLIN, [this](short) { accept_ready(); });
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

// A client can wait in the kernel's accept queue during a temporary failure. One client is rejected only if
// accept failed for lack of descriptors and either accepts have failed for long or this process has no
// descriptor left.
void Listener::retry_later(int error) {
  ++counters_.accept_failures;
  if (!failing_since_) {
    failing_since_ = loop_.now();
    if (log_limit_.allow()) {
      spdlog::warn("accept_failed error={} action=retry", error);
    }
  }
  const bool is_lasting = loop_.now() - *failing_since_ >= kMaxAcceptFailureTime;
  const bool has_no_descriptor = Socket::is_short_of_descriptors(limits_.descriptors, 0);
  if ((error == EMFILE || error == ENFILE) && (is_lasting || has_no_descriptor) && reject_one()) {
    return;
  }
  loop_.update_interest(
      watch_handle_, 0);  // otherwise poll would return immediately, although the client cannot be accepted
  loop_.schedule(retry_deadline_, loop_.now() + kRetryDelay, [this] {
    loop_.update_interest(watch_handle_, POLLIN);
    accept_ready();
  });
}

// Frees the spare descriptor temporarily to accept one client and reject it. Returns whether there was one.
bool Listener::reject_one() {
  spare_descriptor_.close();
  Socket client(accept4(socket_.descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  const bool has_client = static_cast<bool>(client);
  if (has_client) {
    reject_for_descriptors(client, counters_);
  }
  client.close();
  spare_descriptor_ = open_spare();
  return has_client;
}

void reject_for_descriptors(const Socket& client, Counters& counters) {
  ++counters.clients_rejected_without_descriptor;
  client.send_without_waiting("BUSY\r\n");
  client.shut_down_sending();
}

}  // namespace dapplewharf
