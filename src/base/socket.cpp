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

constexpr int kSendTries = 64;
constexpr int kPassingTries = 80;  // 8 s: a restarted process is to be ready within 10 s
constexpr int kBindTries = 20;
constexpr std::chrono::milliseconds kBindDelay{100};

// Of a read or write on a socket that stands: nothing has happened to the connection.
bool may_be_called_again(int error) {
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
  sockaddr_in to{};
  to.sin_family = AF_INET;
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, fault] = std::from_chars(text.data() + colon + 1, end, port);
  if (fault != std::errc() || rest != end || port == 0) {
    return std::nullopt;
  }
  to.sin_port = htons(port);
  if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &to.sin_addr) != 1) {
    return std::nullopt;
  }
  return to;
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
    ::close(descriptor_), --held_;
  }
  descriptor_ = -1;
}

void Socket::close_with_reset() {
  const linger now{1, 0};
  if (descriptor_ >= 0) {
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  }
  close();
}

void Socket::shut_down_sending() const {
  if (descriptor_ >= 0) {
    shutdown(descriptor_, SHUT_WR);
  }
}

std::optional<std::size_t> Socket::receive(std::string& to, std::size_t most, bool& ended) const {
  char bytes[16 * 1024];
  const ssize_t got = recv(descriptor_, bytes, std::min(most, sizeof bytes), 0);
  if (got > 0) {
    to.append(bytes, static_cast<std::size_t>(got));
  }
  if (got >= 0) {
    ended = got == 0;
    return static_cast<std::size_t>(got);
  }
  if (may_be_called_again(errno)) {
    return 0;
  }
  return std::nullopt;
}

std::optional<std::size_t> Socket::send(const char* bytes, std::size_t size) const {
  const ssize_t given = ::send(descriptor_, bytes, size, MSG_NOSIGNAL);
  if (given >= 0) {
    return static_cast<std::size_t>(given);
  }
  if (may_be_called_again(errno)) {
    return 0;
  }
  return std::nullopt;
}

void Socket::send_without_waiting(std::string_view bytes) const {
  for (int i = 0; i < kSendTries && !bytes.empty(); ++i) {
    const auto sent = send(bytes.data(), bytes.size());
    if (!sent) {
      return;
    }
    bytes.remove_prefix(*sent);
  }
}

bool Socket::has_input() const {
  char byte;
  return recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || !may_be_called_again(errno);
}

bool Socket::is_connected() const {
  int fault = 0;
  socklen_t size = sizeof fault;
  return getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &fault, &size) == 0 && fault == 0;
}

ConnectStart start_connecting(const sockaddr_in& to, int limit, int kept_back, Socket& socket) {
  Socket made(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  // Danger: tries that take the last descriptors leave none to tell clients so.
  if (Socket::is_short_of_descriptors(limit, kept_back)) {
    return ConnectStart::no_descriptor;
  }
  if (!made) {
    return ConnectStart::local_failure;
  }
  const int on = 1;
  setsockopt(made.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const int done = connect(made.descriptor(), reinterpret_cast<const sockaddr*>(&to), sizeof to);
  if (done != 0 && errno != EINPROGRESS && errno != EINTR) {
    return is_transient_local_error(errno) ? ConnectStart::local_failure : ConnectStart::refused;
  }
  socket = std::move(made);
  return ConnectStart::in_progress;
}

std::optional<std::string> listen_on(const sockaddr_in& at, Socket& socket) {
  int error = 0;
  const bool listens = retry_blocking({kPassingTries, kBindDelay}, [&](int attempt) {
    Socket made(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    if (made) {
      setsockopt(made.descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    }
    if (made && bind(made.descriptor(), reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 &&
        listen(made.descriptor(), SOMAXCONN) == 0) {
      socket = std::move(made);
      return StepResult::succeeded;
    }
    error = errno;
    if (error == EADDRINUSE) {  // the process before this one may not quite have ended
      return attempt < kBindTries ? StepResult::retry : StepResult::failed;
    }
    // An address that is not this machine's never becomes one.
    const bool passing = is_transient_local_error(error) && error != EADDRNOTAVAIL;
    return passing ? StepResult::retry : StepResult::failed;
  });
  return listens ? std::nullopt : std::optional(std::string(std::strerror(error)));
}

}  // namespace dapplewharf
