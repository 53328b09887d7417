#include "support/system_faults.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <cerrno>
#include <cstdarg>
#include <cstdlib>
#include <sstream>
#include <string>
#include <vector>

namespace dapplewharf::faults {
namespace {

struct Active {
  Fault fault;
  std::int64_t since_ms = 0;
  int calls = 0;  // in the fault's span so far
};

std::int64_t monotonic_ms() {
  timespec now{};
  syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

const char* const kNames[] = {"socket", "connect", "accept4", "recv", "send", "poll", "open", "clock"};

std::vector<Active> parsed(const char* text) {
  std::vector<Active> faults;
  std::istringstream all(text ? text : "");
  for (std::string one; std::getline(all, one, ';');) {
    Active active;
    active.since_ms = monotonic_ms();
    std::istringstream words(one);
    std::string name;
    std::getline(words, name, ',');
    int call = 0;
    while (call < 8 && name != kNames[call]) {
      ++call;
    }
    if (call == 8) {
      continue;
    }
    active.fault.call = static_cast<Call>(call);
    for (std::string word; std::getline(words, word, ',');) {
      const std::size_t equals = word.find('=');
      const std::string key = word.substr(0, equals);
      const double value = std::strtod(word.c_str() + equals + 1, nullptr);
      if (key == "errno") {
        active.fault.error = static_cast<int>(value);
      }
      if (key == "share") {
        active.fault.share = value;
      }
      if (key == "from_ms") {
        active.fault.from_ms = static_cast<std::int64_t>(value);
      }
      if (key == "until_ms") {
        active.fault.until_ms = static_cast<std::int64_t>(value);
      }
      if (key == "port") {
        active.fault.port = static_cast<int>(value);
      }
      if (key == "delay_ms") {
        active.fault.delay_ms = static_cast<int>(value);
      }
      if (key == "short") {
        active.fault.shortened = value != 0;
      }
      if (key == "step_ms") {
        active.fault.step_ms = static_cast<std::int64_t>(value);
      }
    }
    faults.push_back(active);
  }
  return faults;
}

std::vector<Active>& active_faults() {
  static std::vector<Active> faults = parsed(std::getenv("SYSTEM_FAULTS"));
  return faults;
}

double chance() {
  static std::uint64_t state = [] {
    const char* seed = std::getenv("SYSTEM_FAULTS_SEED");
    return seed ? std::strtoull(seed, nullptr, 10) * 2654435761u + 88172645463325252u : 88172645463325252u;
  }();
  state ^= state << 13, state ^= state >> 7, state ^= state << 17;
  return static_cast<double>(state >> 11) / 9007199254740992.0;
}

std::int64_t changed_calls = 0;

// The fault that this call meets, if any; its delay has been waited for.
const Fault* met(Call call, int port) {
  for (Active& active : active_faults()) {
    const Fault& fault = active.fault;
    if (fault.call != call || (fault.port != 0 && fault.port != port)) {
      continue;
    }
    const std::int64_t at = monotonic_ms() - active.since_ms;
    if (at < fault.from_ms || (fault.until_ms >= 0 && at >= fault.until_ms)) {
      continue;
    }
    if (active.calls++ % fault.every != 0) {
      continue;
    }
    if (fault.share < 1 && chance() >= fault.share) {
      continue;
    }
    ++changed_calls;
    if (fault.delay_ms > 0) {
      const timespec wait{fault.delay_ms / 1000, fault.delay_ms % 1000 * 1000000L};
      syscall(SYS_nanosleep, &wait, nullptr);
    }
    return &fault;
  }
  return nullptr;
}

bool fails(Call call, int port = 0) {
  const Fault* fault = met(call, port);
  if (!fault || fault->error == 0) {
    return false;
  }
  errno = fault->error;
  return true;
}

int port_of(const sockaddr* address) {
  if (!address || address->sa_family != AF_INET) {
    return 0;
  }
  return ntohs(reinterpret_cast<const sockaddr_in*>(address)->sin_port);
}

int local_port(int descriptor) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&at), &size) != 0) {
    return 0;
  }
  return port_of(reinterpret_cast<const sockaddr*>(&at));
}

int peer_port(int descriptor) {
  sockaddr_in to{};
  socklen_t size = sizeof to;
  if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&to), &size) != 0) {
    return 0;
  }
  return port_of(reinterpret_cast<const sockaddr*>(&to));
}

std::size_t allowed(Call call, int descriptor, std::size_t size, bool& failed) {
  const Fault* fault = met(call, peer_port(descriptor));
  failed = fault && fault->error != 0;
  if (failed) {
    errno = fault->error;
  }
  return fault && fault->shortened && size > 1 ? 1 : size;
}

}  // namespace

void inject(const Fault& fault) {
  active_faults().push_back({fault, monotonic_ms(), 0});
}
void clear() {
  active_faults().clear();
}
std::int64_t hits() {
  return changed_calls;
}

}  // namespace dapplewharf::faults

using namespace dapplewharf::faults;

extern "C" {

int socket(int domain, int type, int protocol) {
  if (fails(Call::socket)) {
    return -1;
  }
  return static_cast<int>(syscall(SYS_socket, domain, type, protocol));
}

int connect(int descriptor, const sockaddr* address, socklen_t size) {
  if (fails(Call::connect, port_of(address))) {
    return -1;
  }
  return static_cast<int>(syscall(SYS_connect, descriptor, address, size));
}

int accept4(int descriptor, sockaddr* address, socklen_t* size, int flags) {
  if (fails(Call::accept4, local_port(descriptor))) {
    return -1;
  }
  return static_cast<int>(syscall(SYS_accept4, descriptor, address, size, flags));
}

ssize_t recv(int descriptor, void* to, size_t size, int flags) {
  bool failed = false;
  const std::size_t most = allowed(Call::recv, descriptor, size, failed);
  if (failed) {
    return -1;
  }
  return syscall(SYS_recvfrom, descriptor, to, most, flags, nullptr, nullptr);
}

ssize_t send(int descriptor, const void* from, size_t size, int flags) {
  bool failed = false;
  const std::size_t most = allowed(Call::send, descriptor, size, failed);
  if (failed) {
    return -1;
  }
  return syscall(SYS_sendto, descriptor, from, most, flags, nullptr, 0);
}

int poll(pollfd* polled, nfds_t count, int timeout) {
  if (fails(Call::poll)) {
    return -1;
  }
  return static_cast<int>(syscall(SYS_poll, polled, count, timeout));
}

int open(const char* path, int flags, ...) {
  if (fails(Call::open)) {
    return -1;
  }
  va_list rest;
  va_start(rest, flags);
  const int mode = (flags & O_CREAT) != 0 ? va_arg(rest, int) : 0;
  va_end(rest);
  return static_cast<int>(syscall(SYS_openat, AT_FDCWD, path, flags, mode));
}

int clock_gettime(clockid_t clock, timespec* now) {
  const int done = static_cast<int>(syscall(SYS_clock_gettime, clock, now));
  if (done != 0 || clock != CLOCK_REALTIME) {
    return done;
  }
  for (const Active& active : active_faults()) {
    const Fault& fault = active.fault;
    const std::int64_t at = monotonic_ms() - active.since_ms;
    if (fault.call == Call::clock && at >= fault.from_ms && (fault.until_ms < 0 || at < fault.until_ms)) {
      now->tv_sec += fault.step_ms / 1000;
    }
  }
  return 0;
}

}  // extern "C"
