// Calls to discovery: the endpoint list and its changes. Owns that one connection, the version of the list
// and the watch, which goes on for as long as it is answered, also across a change of address or a silence.
// A call that is lost is made again here only while a missed change would soon count as notified; any other
// loss is reported, and when to watch again is left to the node. Design: docs/design.md.
#pragma once
#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/counters.h"
#include "base/event_loop.h"
#include "base/random.h"
#include "base/socket.h"
#include "policy/events.h"

namespace dapplewharf {

/// An endpoint list as discovery sends it.
struct EndpointSnapshot {
  bool whole = false;  ///< complete: what it does not name has been removed
  std::int64_t version = 0;
  std::vector<EndpointEntry> listings;
  std::map<std::string, std::string> addresses;  ///< "a.b.c.d:port", of the hosts named
};

/// When endpoints started, translated from Unix time to the event loop's clock. A start keeps its place on
/// that clock, so that a step of the machine's clock is not taken for a restart of every endpoint.
class Incarnations {
 public:
  /// @param unix_ms the start in milliseconds of Unix time; not above 0: long ago.
  /// @return the start on the loop's clock; 0: long ago.
  TimePoint place(const std::string& host, double unix_ms, TimePoint now, TimePoint unix_now);

 private:
  struct Start {
    double unix_ms = -1;
    TimePoint at = 0;
  };
  std::map<std::string, Start> known_;
};

/// Reads an endpoint list. Throws nlohmann::json::exception where `from` is none.
EndpointSnapshot list_of(const nlohmann::json& from, Incarnations& starts, TimePoint now, TimePoint unix_now);

class EndpointDiscovery {
 public:
  struct Callbacks {
    std::function<void(const EndpointSnapshot&)> listed;
    std::function<void()> lost;  ///< the watch has ended; `watch` begins another
  };
  EndpointDiscovery(EventLoop& loop, Counters& counters, std::string address, const Limits& limits,
                    std::uint64_t seed, Callbacks callbacks);

  /// A list of this version is known already: the watch begins with what changed since.
  void set_known_version(std::int64_t version);
  /// Watches from now on, until a call is lost.
  void watch();
  /// Asks for the complete list once.
  void fetch();
  /// Discovery has another address from now on: the call in progress is given up, and the complete list is
  /// asked for there.
  void move_to(const std::string& address);
  Incarnations& incarnations() { return incarnations_; }

 private:
  void call(const std::string& target, bool waits);
  void call_next();
  void connect();
  void on_ready();
  bool send_request();
  void receive_answer();
  void on_answer(const std::string& body, bool closes);
  void on_list(const EndpointSnapshot& list);
  void on_broken(bool may_be_stale);
  void close();

  EventLoop& loop_;
  Counters& counters_;
  std::string address_;
  const Limits& limits_;
  Callbacks callbacks_;
  Incarnations incarnations_;
  RandomGenerator random_;
  std::int64_t version_ = 0;
  bool watching_ = false;            // wanted
  bool fetching_ = false;            // wanted
  bool needs_complete_list_ = true;  // nothing is known of this address yet
  bool call_in_progress_ = false;
  bool reused_ = false;         // the connection served an earlier call
  bool watch_hung_ = false;     // and nothing has been heard since
  bool retry_at_once_ = false;  // the call that was just lost was a watch that hung
  TimePoint called_at_ = 0;
  std::optional<TimePoint> notified_by_;  // when what was missed counts as notified; nothing was missed else
  Socket socket_;
  Handle watched_;
  EventLoop::Deadline deadline_;
  bool connected_ = false;
  std::string request_;
  std::string received_;
  std::size_t sent_ = 0;
};

}  // namespace dapplewharf
