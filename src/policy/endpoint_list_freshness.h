// Tracks whether this node's endpoint list may lack changes of which the node already counts as notified. The
// list is cached across restarts, calls to the list service fail, and watches break, so a node can hold an
// older list than the one that its decisions are judged by. Owns the times from which the list may be
// outdated and for how long new work waits for the service. Pure: the caller passes the time; times are in
// ticks of 0.1 ms. Design: docs/outdated-lists.md.
#pragma once
#include <optional>

#include "base/time.h"

namespace dapplewharf {

struct Settings;

/// Whether decisions may rely on the endpoint list.
enum class ListFreshness {
  current,     ///< it lacks no change of which this node counts as notified
  awaiting,    ///< it may lack changes, and the service may answer soon: new work waits
  unconfirmed  ///< it may lack changes, and the service does not answer: new work goes by the old list
};

/// The name of a freshness for logs, for example "awaiting".
[[nodiscard]] const char* name_of(ListFreshness freshness);

/// How a call to the list service failed, as far as it tells whether the service is running.
enum class ListCallFailure {
  unavailable,    ///< the connection was refused, or reset before the request: the service is down
  rejected,       ///< turned away at once: the service is running and overloaded
  rejected_late,  ///< turned away during a wait: the service is overloaded, or it has just gone down
  unusable,       ///< answered with something else than a list: the service is running and faulty
  unanswered,     ///< not answered in time: the service is down or hangs
  inconclusive    ///< tells nothing of the service, for example a fault of this machine
};

/// The freshness of this node's endpoint list.
class EndpointListFreshness {
 public:
  /// New work waits this long for the first list of a process. It covers a call that is answered after
  /// Backoff::kResponseTimeout and one retry. Each rejection by the service renews the wait, here as below.
  static constexpr Duration kMaxAwaitTimeAtStart = 3 * kSecond;
  /// The same for the lists after the first one. Shorter, because the old list lacks less.
  static constexpr Duration kMaxAwaitTime = 2 * kSecond;
  /// While the service may still answer a call, new work waits for that answer, but no longer than this
  /// since the wait was last renewed. It covers the longest wait before a call (Backoff::kMaxWait) and the
  /// longest time until its answer.
  static constexpr Duration kMaxAwaitTimeForAnswer = 5 * kSecond;

  /// @param settings are read at each call and must outlive this object.
  explicit EndpointListFreshness(const Settings& settings) : settings_(settings) {}

  /// Records the start of the process, which has at most a cached list. Where the service pushes changes, the
  /// node counts as notified of all that the service has.
  void record_start(TimePoint now);
  /// Records that the newest list has been received.
  void record_list();
  /// Records that the watch ended, so that changes may be missed from now on. Where the service pushes
  /// changes, the node counts as notified of them at once.
  void record_watch_lost(TimePoint now);
  /// Records that this node counts as notified, from `at` on, of changes that it may have missed.
  void record_notification(TimePoint at);
  /// Records that a call to the service failed.
  /// @param called_at when the call began; it may have missed changes since then.
  void record_call_failure(TimePoint now, TimePoint called_at, ListCallFailure failure);
  /// Records that a call to the service is in progress and has not failed at once.
  void record_call_pending(TimePoint now);
  /// Records until when the service may answer the calls in progress; nothing if there are none that it has
  /// received.
  void record_answer_due(std::optional<TimePoint> answer_due) { answer_due_ = answer_due; }
  /// Applies what is due. To be called at next_change_at().
  void advance(TimePoint now);

  [[nodiscard]] ListFreshness state() const { return state_; }
  /// The latest time at which an endpoint of a cached list may have started without this node's knowledge;
  /// nothing if the start times are to be relied on. They are once a list has been received: a process that
  /// runs while an endpoint restarts sees its connections break and its health checks fail.
  [[nodiscard]] std::optional<TimePoint> possible_start_at() const { return possible_start_at_; }
  /// When advance() is due; kNever if it is not.
  [[nodiscard]] TimePoint next_change_at() const;

 private:
  void record_rejection(TimePoint now, TimePoint called_at);
  void record_late_rejection(TimePoint now);
  void record_unavailable(TimePoint now);
  void expect_notification(TimePoint reachable_since);
  void forget_rejections();
  void renew_wait(TimePoint now);
  void await_list(TimePoint now);
  void stop_awaiting(TimePoint now);
  [[nodiscard]] Duration max_await_time() const;
  [[nodiscard]] TimePoint await_ends_at() const;
  [[nodiscard]] Duration notification_limit() const;

  const Settings& settings_;
  ListFreshness state_ = ListFreshness::current;
  bool has_received_list_ = false;
  // From then on this node counts as notified of changes that it may have missed.
  std::optional<TimePoint> notified_at_;
  // The same for changes that a running service has had while it has turned all calls away.
  std::optional<TimePoint> notified_despite_overload_at_;
  // ListCallFailure::rejected, since the service last may have been down: how many, and when the first of
  // these calls began.
  int rejections_ = 0;
  TimePoint rejected_since_ = 0;
  std::optional<TimePoint> answer_due_;
  TimePoint awaiting_since_ = 0;
  Duration awaited_ = 0;  // since the list was current or the wait renewed, without the wait in progress
  std::optional<TimePoint> possible_start_at_;
  bool may_know_later_start_ = true;  // the service has been running after possible_start_at_
};

}  // namespace dapplewharf
