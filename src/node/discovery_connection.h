// A connection to the discovery service and the call in progress on it: connects, sends the request, receives
// the answer, and reports how the call has ended. It never gives a call up by itself and retries nothing.
// Design: docs/design.md.
#pragma once
#include <string>

#include "base/event_loop.h"
#include "base/socket.h"

namespace dapplewharf {

/// How a call has ended without an answer.
enum class DiscoveryCallEnd {
  connection_broken,  ///< refused, reset or closed
  idle_closed,    ///< the connection had served an earlier call; discovery may have closed it before this one
  local_failure,  ///< the connection could not be made because of a fault of this machine
  overloaded,     ///< answered that the service cannot take the call now
  refused,        ///< answered with another status than 200, or with no usable response
  overdue         ///< not answered in time; the call stays open beside the next one
};

/// The name of an end for logs, for example "refused".
[[nodiscard]] const char* name_of(DiscoveryCallEnd end);

class DiscoveryConnection;

/// Receives the ends of calls. Each method may destroy the connection that calls it.
class DiscoveryConnectionOwner {
 public:
  virtual void on_call_answered(DiscoveryConnection& connection, const std::string& body) = 0;
  virtual void on_call_ended(DiscoveryConnection& connection, DiscoveryCallEnd end) = 0;

 protected:
  ~DiscoveryConnectionOwner() = default;
};

/// One connection, which serves one call at a time.
class DiscoveryConnection {
 public:
  /// @param limits may change between calls and must outlive this object, like the owner.
  DiscoveryConnection(EventLoop& loop, const Limits& limits, DiscoveryConnectionOwner& owner)
      : loop_(loop), limits_(limits), owner_(owner) {}
  ~DiscoveryConnection() { close(); }
  DiscoveryConnection(const DiscoveryConnection&) = delete;
  DiscoveryConnection& operator=(const DiscoveryConnection&) = delete;

  /// Starts a call, on the open connection if there is one.
  /// @param address of the service, "a.b.c.d:port".
  /// @param target path and query.
  /// @param request_delay from the establishment of a new connection until the request is sent. A reset in
  /// between does not concern the request.
  void call(const std::string& address, const std::string& target, Duration request_delay);
  /// Starts the call in progress once more, on a new connection.
  void repeat_call();
  /// Gives up the call in progress, if there is one, and closes the connection.
  void close();

  /// Whether bytes of an answer to the latest call have been received.
  [[nodiscard]] bool has_received() const { return !received_.empty(); }
  /// Whether the request of the latest call has been sent whole.
  [[nodiscard]] bool has_sent_request() const { return is_connected_ && sent_ == request_.size(); }
  /// Whether the connection is established.
  [[nodiscard]] bool is_connected() const { return is_connected_; }

 private:
  void connect();
  void on_connected();
  void on_ready();
  bool send_request();
  void receive_answer();
  void end_call(DiscoveryCallEnd end);

  EventLoop& loop_;
  const Limits& limits_;
  DiscoveryConnectionOwner& owner_;
  Socket socket_;
  Handle socket_watch_;
  EventLoop::Deadline failure_deadline_;  // reports a failure to connect
  EventLoop::Deadline request_deadline_;  // sends a delayed request
  Duration request_delay_ = 0;
  bool is_request_delayed_ = false;  // until `request_deadline_`
  bool is_connected_ = false;
  bool is_call_in_progress_ = false;
  bool is_reused_ = false;  // the connection has served an earlier call
  std::string address_;
  std::string request_;
  std::string received_;
  std::size_t sent_ = 0;
};

}  // namespace dapplewharf
