#include "base/socket.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>

#include "base/retry.h"

namespace dapplewharf {
namespace {

constexpr int kMaxSendCalls = 64;       // for one short message
constexpr int kMaxListenAttempts = 80;  // 8 s in all, as a restarted process has to be ready within 10 s
constexpr int kMaxBindAttempts = 20;    // 2 s in all, while the address is in use
constexpr std::chrono::milliseconds kListenRetryDelay{100};

// Whether a read or write with this errno may be called again, as the connection is still intact.
bool is_retryable(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR || error == ENOBUFS || error == ENOMEM;
}

}  // namespace

bool is_path_broken(int error) {
  return error == ETIMEDOUT || error == EHOSTUNREACH || error == ENETUNREACH || error == ENETDOWN;
}

bool is_transient_local_error(int error) {
  switch (error) {
    case EINTR:
    case EAGAIN:
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EADDRNOTAVAIL:  // no local port is free
    case ENETUNREACH:    // no route from here
    case ENETDOWN:
      return true;
    default:
      return false;
  }
}

std::optional<sockaddr_in> parse_address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || parsed_end != end || port == 0) {
    return std::nullopt;
  }
  address.sin_port = htons(port);
  if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

int descriptor_limit(int wanted) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return wanted;
  }
  limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, static_cast<rlim_t>(wanted));
  setrlimit(RLIMIT_NOFILE, &limit);
  getrlimit(RLIMIT_NOFILE, &limit);
  return static_cast<int>(std::min<rlim_t>(limit.rlim_cur, static_cast<rlim_t>(wanted)));
}

void Socket::close() {
  if (descriptor_ >= 0) {
    ::close(descriptor_), --open_sockets_;
  }
  descriptor_ = -1;
}

void Socket::close_with_reset() {
  const linger reset_on_close{1, 0};
  if (descriptor_ >= 0) {
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
  }
  close();
}

void Socket::shut_down_sending() const {
  if (descriptor_ >= 0) {
    shutdown(descriptor_, SHUT_WR);
  }
}

std::optional<std::size_t> Socket::receive(std::string& destination, std::size_t max_bytes,
                                           bool& ended) const {
  char bytes[16 * 1024];
  const ssize_t received = recv(descriptor_, bytes, std::min(max_bytes, sizeof bytes), 0);
  if (received > 0) {
    destination.append(bytes, static_cast<std::size_t>(received));
  }
  if (received >= 0) {
    ended = received == 0;
    return static_cast<std::size_t>(received);
  }
  if (is_retryable(errno)) {
    return 0;
  }
  return std::nullopt;
}

std::optional<std::size_t> Socket::send(const char* bytes, std::size_t size) const {
  const ssize_t sent = ::send(descriptor_, bytes, size, MSG_NOSIGNAL);
  if (sent >= 0) {
    return static_cast<std::size_t>(sent);
  }
  if (is_retryable(errno)) {
    return 0;
  }
  return std::nullopt;
}

void Socket::send_without_waiting(std::string_view bytes) const {
  for (int i = 0; i < kMaxSendCalls && !bytes.empty(); ++i) {
    const auto sent = send(bytes.data(), bytes.size());
    if (!sent) {
      return;
    }
    bytes.remove_prefix(*sent);
  }
}

bool Socket::has_input() const {
  char byte;
  return recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || !is_retryable(errno);
}

bool Socket::is_connected() const {
  int error = 0;
  socklen_t size = sizeof error;
  return getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
}

ConnectStart start_connecting(const sockaddr_in& address, int limit, int reserved, Socket& socket) {
  Socket created(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  // Attempts that took the last descriptors would leave none for accepting clients and rejecting their
  // requests.
  if (Socket::is_short_of_descriptors(limit, reserved)) {
    return ConnectStart::no_descriptor;
  }
  if (!created) {
    return ConnectStart::local_failure;
  }
  const int on = 1;
  setsockopt(created.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const int result =
      connect(created.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (result != 0 && errno != EINPROGRESS && errno != EINTR) {
    return is_transient_local_error(errno) ? ConnectStart::local_failure : ConnectStart::refused;
  }
  socket = std::move(created);
  return ConnectStart::in_progress;
}

std::optional<std::string> listen_on(const sockaddr_in& address, Socket& socket) {
  int error = 0;
  const bool listening = retry_blocking({kMaxListenAttempts, kListenRetryDelay}, [&](int attempt) {
    Socket created(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    if (created) {
      setsockopt(created.descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    }
    if (created &&
        bind(created.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
        listen(created.descriptor(), SOMAXCONN) == 0) {
      socket = std::move(created);
      return StepResult::succeeded;
    }
    error = errno;
    if (error == EADDRINUSE) {  // the previous process may still be exiting
      return attempt < kMaxBindAttempts ? StepResult::retry : StepResult::failed;
    }
    // An address that this machine does not have is a permanent error here.
    const bool transient = is_transient_local_error(error) && error != EADDRNOTAVAIL;
    return transient ? StepResult::retry : StepResult::failed;
  });
  return listening ? std::nullopt : std::optional(std::string(std::strerror(error)));
}

}  // namespace dapplewharf
