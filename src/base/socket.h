// One descriptor and the few calls made on it: addresses, listening, connecting, closing in kind. Owns the
// descriptor; never blocks, never raises SIGPIPE, never decides.
#pragma once
#include <netinet/in.h>
#include <sys/types.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/time.h"

namespace dapplewharf {

constexpr int kReservedDescriptors =
    16;  // descriptors that no setup try takes, so that clients get an answer
constexpr int kReservedFromHealthChecks =
    6;  // and that no probe takes: discovery can be dialled whatever clients hold
constexpr int kReservedFromDiscovery = 2;  // and that discovery leaves, lest all hosts look bad

std::optional<sockaddr_in> parse_address(const std::string& text);  // a.b.c.d:port
int descriptor_limit(int wanted);  // sets the process's limit as near to `wanted` as may be; returns it

// What a configuration says of descriptors and connecting. One holds for all parts of a node.
struct Limits {
  int descriptors = 1024;
  Duration connect_timeout = 0;
  std::size_t max_list_bytes = 1024 * 1024;  // the largest list of hosts that is read
};

class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : descriptor_(descriptor) { held_ += descriptor >= 0 ? 1 : 0; }
  Socket(Socket&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    return *this;
  }
  ~Socket() { close(); }

  int descriptor() const { return descriptor_; }
  explicit operator bool() const { return descriptor_ >= 0; }
  void close();
  void close_with_reset();         // closes with a reset
  void shut_down_sending() const;  // ends the sending only

  // Bytes taken or given; 0 for none now; nothing when the connection is broken. `ended`: no more will come.
  std::optional<std::size_t> receive(std::string& to, std::size_t most, bool& ended) const;
  std::optional<std::size_t> send(const char* bytes, std::size_t size) const;
  // A few bytes that have to go whole or not matter any more: sent on over short writes and interruptions,
  // while the system takes them at once.
  void send_without_waiting(std::string_view bytes) const;
  bool has_input() const;     // bytes to be read, or its end
  bool is_connected() const;  // asked once poll says that it is writable

  // Whether at most `kept_back` of the process's `limit` descriptors are left. Danger: the number of a new
  // one tells this only while no lower one is free.
  static bool is_short_of_descriptors(int limit, int kept_back) {
    return held_ + kOthers >= limit - kept_back;
  }

 private:
  static constexpr int kOthers = 7;  // the three standard ones, the signals' pipe, and a file being read
  inline static int held_ = 0;
  int descriptor_ = -1;
};

// no_descriptor: the process has none left to spend; local_failure: the system refused for now, which says
// nothing of the peer; refused: the peer's own doing.
enum class ConnectStart { in_progress, refused, no_descriptor, local_failure };
// A connection in the making; poll says when it stands. Leaves the last `kept_back` of `limit` descriptors.
ConnectStart start_connecting(const sockaddr_in& to, int limit, int kept_back, Socket& socket);
// What went wrong, if anything. Waits up to 2 s for an address that is still taken, up to 8 s for a system
// short of memory, descriptors or buffers.
std::optional<std::string> listen_on(const sockaddr_in& at, Socket& socket);

// Whether an errno of a read or write says that the way to the peer is broken, while the peer may well live.
bool is_path_broken(int error);

// Whether an errno of socket, connect, accept or a file's call tells of this machine alone, and may pass.
bool is_transient_local_error(int error);

}  // namespace dapplewharf
