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

struct ActiveFault {
  Fault fault;
  std::int64_t injected_at_ms = 0;
  int matching_calls = 0;  // within the fault's period so far
};

std::int64_t monotonic_ms() {
  timespec now{};
  syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

const char* const kCallNames[] = {"socket", "connect", "accept4", "recv", "send", "poll", "open", "clock"};

std::vector<ActiveFault> parse_faults(const char* text) {
  std::vector<ActiveFault> faults;
  std::istringstream descriptions(text ? text : "");
  for (std::string description; std::getline(descriptions, description, ';');) {
    ActiveFault active;
    active.injected_at_ms = monotonic_ms();
    std::istringstream fields(description);
    std::string name;
    std::getline(fields, name, ',');
    int call = 0;
    while (call < 8 && name != kCallNames[call]) {
      ++call;
    }
    if (call == 8) {
      continue;
    }
    active.fault.call = static_cast<SystemCall>(call);
    for (std::string field; std::getline(fields, field, ',');) {
      const std::size_t equals = field.find('=');
      const std::string key = field.substr(0, equals);
      const double value = std::strtod(field.c_str() + equals + 1, nullptr);
      if (key == "errno") {
        active.fault.error = static_cast<int>(value);
      }
      if (key == "share") {
        active.fault.probability = value;
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
        active.fault.single_byte = value != 0;
      }
      if (key == "step_ms") {
        active.fault.clock_step_ms = static_cast<std::int64_t>(value);
      }
    }
    faults.push_back(active);
  }
  return faults;
}

std::vector<ActiveFault>& active_faults() {
  static std::vector<ActiveFault> faults = parse_faults(std::getenv("SYSTEM_FAULTS"));
  return faults;
}

// From 0 to 1, below 1; the sequence depends on SYSTEM_FAULTS_SEED alone.
double random_fraction() {
  static std::uint64_t state = [] {
    const char* seed = std::getenv("SYSTEM_FAULTS_SEED");
    return seed ? std::strtoull(seed, nullptr, 10) * 2654435761u + 88172645463325252u : 88172645463325252u;
  }();
  state ^= state << 13, state ^= state >> 7, state ^= state << 17;
  return static_cast<double>(state >> 11) / 9007199254740992.0;
}

std::int64_t affected_call_count = 0;

// The fault that applies to this call, after its delay; null if none does. Counts the call as affected.
const Fault* apply_fault(SystemCall call, int port) {
  for (ActiveFault& active : active_faults()) {
    const Fault& fault = active.fault;
    if (fault.call != call || (fault.port != 0 && fault.port != port)) {
      continue;
    }
    const std::int64_t elapsed_ms = monotonic_ms() - active.injected_at_ms;
    if (elapsed_ms < fault.from_ms || (fault.until_ms >= 0 && elapsed_ms >= fault.until_ms)) {
      continue;
    }
    if (active.matching_calls++ % fault.call_interval != 0) {
      continue;
    }
    if (fault.probability < 1 && random_fraction() >= fault.probability) {
      continue;
    }
    ++affected_call_count;
    if (fault.delay_ms > 0) {
      const timespec wait{fault.delay_ms / 1000, fault.delay_ms % 1000 * 1000000L};
      syscall(SYS_nanosleep, &wait, nullptr);
    }
    return &fault;
  }
  return nullptr;
}

// Whether a fault makes this call fail; if so errno is set.
bool fails(SystemCall call, int port = 0) {
  const Fault* fault = apply_fault(call, port);
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
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    return 0;
  }
  return port_of(reinterpret_cast<const sockaddr*>(&address));
}

int peer_port(int descriptor) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    return 0;
  }
  return port_of(reinterpret_cast<const sockaddr*>(&address));
}

// How many of `size` bytes the call may transfer. If a fault makes it fail, sets `failed` and errno.
std::size_t transfer_size(SystemCall call, int descriptor, std::size_t size, bool& failed) {
  const Fault* fault = apply_fault(call, peer_port(descriptor));
  failed = fault && fault->error != 0;
  if (failed) {
    errno = fault->error;
  }
  return fault && fault->single_byte && size > 1 ? 1 : size;
}

}  // namespace

void inject(const Fault& fault) {
  active_faults().push_back({fault, monotonic_ms(), 0});
}
void clear() {
  active_faults().clear();
}
std::int64_t affected_calls() {
  return affected_call_count;
}

}  // namespace dapplewharf::faults

using namespace dapplewharf::faults;

extern "C" {

int socket(int domain, int type, int protocol) {
  if (fails(SystemCall::socket)) {
    return -1;
  }
  return static_cast<int>(syscall(SYS_socket, domain, type, protocol));
}

int connect(int descriptor, const sockaddr* address, socklen_t size) {
  if (fails(SystemCall::connect, port_of(address))) {
    return -1;
  }
  return static_cast<int>(syscall(SYS_connect, descriptor, address, size));
}

int accept4(int descriptor, sockaddr* address, socklen_t* size, int flags) {
  if (fails(SystemCall::accept4, local_port(descriptor))) {
    return -1;
  }
  return static_cast<int>(syscall(SYS_accept4, descriptor, address, size, flags));
}

ssize_t recv(int descriptor, void* buffer, size_t size, int flags) {
  bool failed = false;
  const std::size_t permitted = transfer_size(SystemCall::recv, descriptor, size, failed);
  if (failed) {
    return -1;
  }
  return syscall(SYS_recvfrom, descriptor, buffer, permitted, flags, nullptr, nullptr);
}

ssize_t send(int descriptor, const void* bytes, size_t size, int flags) {
  bool failed = false;
  const std::size_t permitted = transfer_size(SystemCall::send, descriptor, size, failed);
  if (failed) {
    return -1;
  }
  return syscall(SYS_sendto, descriptor, bytes, permitted, flags, nullptr, 0);
}

int poll(pollfd* polled, nfds_t count, int timeout) {
  if (fails(SystemCall::poll)) {
    return -1;
  }
  // ppoll, since arm64 has no SYS_poll; a negative timeout waits without end, as with poll.
  timespec wait{timeout / 1000, timeout % 1000 * 1000000L};
  return static_cast<int>(syscall(SYS_ppoll, polled, count, timeout < 0 ? nullptr : &wait, nullptr, 0));
}

int open(const char* path, int flags, ...) {
  if (fails(SystemCall::open)) {
    return -1;
  }
  va_list arguments;
  va_start(arguments, flags);
  const int mode = (flags & O_CREAT) != 0 ? va_arg(arguments, int) : 0;
  va_end(arguments);
  return static_cast<int>(syscall(SYS_openat, AT_FDCWD, path, flags, mode));
}

int clock_gettime(clockid_t clock, timespec* now) {
  const int result = static_cast<int>(syscall(SYS_clock_gettime, clock, now));
  if (result != 0 || clock != CLOCK_REALTIME) {
    return result;
  }
  for (const ActiveFault& active : active_faults()) {
    const Fault& fault = active.fault;
    const std::int64_t elapsed_ms = monotonic_ms() - active.injected_at_ms;
    if (fault.call == SystemCall::clock && elapsed_ms >= fault.from_ms &&
        (fault.until_ms < 0 || elapsed_ms < fault.until_ms)) {
      now->tv_sec += fault.clock_step_ms / 1000;
    }
  }
  return 0;
}

}  // extern "C"
