// The client of the discovery service: fetches the endpoint list and watches its changes by long polling.
// Owns the calls to discovery, the version of the list and the watch, which continues across a change of
// discovery's address and across one unanswered call, and the freshness of the list
// (policy/endpoint_list_freshness). A call that is not answered in time is overdue: another call may start,
// but an answer to the overdue one is used as long as discovery may send one. This class retries by itself
// only after a watch that is overdue or after a change of the address, and only until this node is deemed
// notified of the changes that it may have missed. Any other failure is reported, and the node decides when
// to watch again. Design: docs/design.md.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/counters.h"
#include "base/event_loop.h"
#include "base/random.h"
#include "base/socket.h"
#include "node/discovery_connection.h"
#include "policy/endpoint_list_freshness.h"
#include "policy/events.h"
#include "policy/settings.h"

namespace dapplewharf {

/// An endpoint list as discovery sends it.
struct EndpointSnapshot {
  bool is_complete = false;  ///< endpoints that it does not name have been removed
  std::int64_t version = 0;
  std::vector<EndpointEntry> entries;
  std::map<std::string, std::string> addresses;  ///< "a.b.c.d:port", by endpoint
};

/// Start times of endpoints, converted from Unix time to the event loop's clock. Each start time is converted
/// only once, so that a step of the machine's clock does not look like a restart of every endpoint.
class EndpointStartTimes {
 public:
  /// Converts the start time of an endpoint.
  /// @param unix_ms milliseconds of Unix time; 0 or less if the endpoint started long ago.
  /// @return the time on the loop's clock; 0 if the endpoint started long ago.
  TimePoint to_loop_time(const std::string& endpoint, double unix_ms, TimePoint now, TimePoint unix_now);

 private:
  struct StartTime {
    double unix_ms = -1;
    TimePoint loop_time = 0;
  };
  std::map<std::string, StartTime> start_by_endpoint_;
};

/// Parses an endpoint list. Throws nlohmann::json::exception if `from` is not an endpoint list.
EndpointSnapshot parse_endpoint_list(const nlohmann::json& from, EndpointStartTimes& starts, TimePoint now,
                                     TimePoint unix_now);

/// The calls to discovery.
class EndpointDiscovery : private DiscoveryConnectionOwner {
 public:
  struct Callbacks {
    std::function<void(const EndpointSnapshot&)> on_list;
    std::function<void()> on_watch_lost;  ///< the watch has ended; `watch` starts a new one
    /// The freshness of the list, or the latest possible start of its endpoints, has changed. If a list has
    /// caused the change, called after `on_list`.
    std::function<void(const EndpointListFreshness&)> on_freshness_changed;
  };
  /// @param settings may change between calls and must outlive this object.
  EndpointDiscovery(EventLoop& loop, Counters& counters, std::string address, const Limits& limits,
                    const Settings& settings, std::uint64_t seed, Callbacks callbacks);

  /// Starts to track the freshness of the list. To be called once, before the first client is served.
  void start();

  /// Sets the version of a cached list, so that the watch starts with the changes since this version.
  void set_cached_version(std::int64_t version);
  /// Starts watching for changes, until a call fails.
  void watch();
  /// Requests the complete list once.
  void fetch();
  /// Sets a new address of discovery: abandons the call in progress and requests the complete list from the
  /// new address.
  void change_address(const std::string& address);
  [[nodiscard]] const EndpointListFreshness& freshness() const { return freshness_; }
  /// The start times of all endpoints seen so far.
  EndpointStartTimes& start_times() { return start_times_; }

 private:
  enum class CallKind {
    fetch,   // the complete list
    update,  // the changes until now, answered at once
    watch    // the changes until now or, if there are none, the next ones
  };
  struct Call {
    std::unique_ptr<DiscoveryConnection> connection;
    CallKind kind = CallKind::fetch;
    TimePoint started_at = 0;
    Duration request_delay = 0;
    bool is_in_progress = false;
  };
  void on_call_answered(DiscoveryConnection& connection, const std::string& body) override;
  void on_call_ended(DiscoveryConnection& connection, DiscoveryCallEnd end) override;

  void call(const std::string& target, CallKind kind);
  void on_call_overdue();
  void keep_overdue_call();
  void drop_overdue_call(const char* reason);
  [[nodiscard]] bool is_overdue(const DiscoveryConnection& connection) const;
  [[nodiscard]] static Duration overdue_after(CallKind kind);
  [[nodiscard]] static Duration max_answer_time(CallKind kind);
  [[nodiscard]] std::optional<TimePoint> answer_due() const;
  [[nodiscard]] static Duration wait_of(CallKind kind);
  void record_failure(const Call& call, DiscoveryCallEnd end);
  void update_freshness();
  void call_next();
  void use_list(const EndpointSnapshot& list);
  void end_call(DiscoveryCallEnd end);
  void repeat_on_new_connection();
  void close();

  EventLoop& loop_;
  Counters& counters_;
  std::string address_;
  const Limits& limits_;
  Callbacks callbacks_;
  EndpointStartTimes start_times_;
  RandomGenerator random_;
  EndpointListFreshness freshness_;
  ListFreshness reported_freshness_ = ListFreshness::current;
  std::optional<TimePoint> reported_possible_start_at_;
  TimePoint outdated_since_ = 0;  // when the list was last current
  EventLoop::Deadline freshness_deadline_;
  EventLoop::Deadline pending_call_deadline_;
  std::int64_t version_ = 0;
  bool is_watching_ = false;         // watching is requested; there may be no call in progress
  bool is_fetching_ = false;         // the complete list is requested
  bool needs_complete_list_ = true;  // no list has been received from this address yet
  Call call_;                        // the latest one
  Call overdue_call_;                // an earlier one that may still be answered; without a connection: none
  bool is_silent_ = false;  // a call has not been answered in its time, and no list has been received since
  bool is_turned_away_ = false;     // a call has been turned away, and no list has been received since
  bool is_watch_overdue_ = false;   // a watch has become overdue, and no list has been received since
  bool retry_immediately_ = false;  // the call that failed last was a watch that became overdue
  // A connection was reset so soon that it is not known whether it was because of the request, and no list
  // has been received since.
  bool delays_request_ = false;
  // When this node is deemed notified of changes that it may have missed; empty if it has missed none.
  std::optional<TimePoint> deemed_notified_at_;
  EventLoop::Deadline deadline_;          // of the latest call, or the start of the next one
  EventLoop::Deadline overdue_deadline_;  // of `overdue_call_`
};

}  // namespace dapplewharf
