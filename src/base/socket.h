// Non-blocking TCP sockets for IPv4: an owner of the file descriptor with its calls, and functions that
// connect and listen. Sending never raises SIGPIPE.
#pragma once
#include <netinet/in.h>
#include <sys/types.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/time.h"

namespace dapplewharf {

/// File descriptors that attempts leave free, so that clients can still be accepted and answered.
constexpr int kReservedDescriptors = 16;
/// File descriptors that health checks leave free, so that discovery can connect however many clients there
/// are.
constexpr int kReservedFromHealthChecks = 6;
/// File descriptors that calls to discovery leave free; without any, all hosts would look unreachable.
constexpr int kReservedFromDiscovery = 2;

/// Parses an address of the form a.b.c.d:port.
std::optional<sockaddr_in> parse_address(const std::string& text);
/// Sets the process's limit of file descriptors to `wanted`, or to the hard limit if that is lower.
/// @return the limit that now holds, at most `wanted`.
int descriptor_limit(int wanted);

/// Limits from the configuration that all parts of a node share.
struct Limits {
  int descriptors = 1024;                    ///< open file descriptors of the process
  Duration connect_timeout = 0;              ///< of a TCP connect
  std::size_t max_list_bytes = 1024 * 1024;  ///< size of an endpoint list
};

/// Owns the file descriptor of a non-blocking socket, or none.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : descriptor_(descriptor) { open_sockets_ += descriptor >= 0 ? 1 : 0; }
  Socket(Socket&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    return *this;
  }
  ~Socket() { close(); }

  int descriptor() const { return descriptor_; }
  explicit operator bool() const { return descriptor_ >= 0; }
  void close();
  /// Closes the connection with a TCP reset.
  void close_with_reset();
  /// Closes the sending direction only.
  void shut_down_sending() const;

  /// Appends received bytes to `destination`.
  /// @param max_bytes at most so many bytes are received.
  /// @param ended set to whether the peer has closed its sending direction; unchanged if nothing can be
  /// read now.
  /// @return the number of bytes, 0 if none are available now, and nullopt if the connection is broken.
  std::optional<std::size_t> receive(std::string& destination, std::size_t max_bytes, bool& ended) const;
  /// @return the number of bytes that were sent, 0 if none can be sent now, and nullopt if the connection is
  /// broken.
  std::optional<std::size_t> send(const char* bytes, std::size_t size) const;
  /// Sends a short message, continuing after partial writes and interruptions, but without waiting for the
  /// socket to become writable. It gives up where the connection is broken, as the message does not matter
  /// then.
  void send_without_waiting(std::string_view bytes) const;
  /// Whether bytes, the end of the stream or an error can be read.
  bool has_input() const;
  /// Whether connecting succeeded; valid once poll reports the socket as writable.
  bool is_connected() const;

  /// Whether at most `reserved` of the process's `limit` file descriptors are left. The sockets are counted,
  /// as the number of a new descriptor says nothing about it: the system assigns the lowest free number.
  static bool is_short_of_descriptors(int limit, int reserved) {
    return open_sockets_ + kOtherDescriptors >= limit - reserved;
  }

 private:
  static constexpr int kOtherDescriptors = 7;  // the standard streams, the signal pipe, a file being read
  inline static int open_sockets_ = 0;
  int descriptor_ = -1;
};

/// The result of beginning to connect.
enum class ConnectStart {
  in_progress,
  refused,        ///< by the peer
  no_descriptor,  ///< only reserved file descriptors are left
  local_failure   ///< a transient failure of this machine, which says nothing about the peer
};
/// Begins to connect; poll reports the socket as writable once it is connected or has failed.
/// @param limit of the process's file descriptors.
/// @param reserved the number of descriptors to leave free.
/// @param socket set where connecting is in progress.
ConnectStart start_connecting(const sockaddr_in& address, int limit, int reserved, Socket& socket);
/// Listens on an address. Blocks up to 2 s while the address is in use, and up to 8 s while the system is
/// short of memory, descriptors or buffers.
/// @return what went wrong, or nullopt.
std::optional<std::string> listen_on(const sockaddr_in& address, Socket& socket);

/// Whether an errno of a read or write says that the network path to the peer is broken; the peer may be
/// alive.
bool is_path_broken(int error);

/// Whether an errno of socket, connect, accept or a call on a file is a transient failure of this machine
/// alone.
bool is_transient_local_error(int error);

}  // namespace dapplewharf
