// Keeps the watch on the endpoint list running. It decides when the list service is called, how long to wait
// after failed calls (policy/backoff.h), and from when on the service counts as silent, which means that its
// calls have failed for too long without an answer in between. Owns the results of the last calls. Pure: the
// caller passes the time and random fractions; times are in ticks of 0.1 ms.
#pragma once
#include "base/time.h"
#include "policy/settings.h"

namespace dapplewharf {

/// The state of this node's watch on the endpoint list.
class EndpointListWatch {
 public:
  /// @param settings are read at each call and must outlive this object.
  explicit EndpointListWatch(const Settings& settings) : settings_(settings) {}

  /// Records that a list has been received, cached or from the service.
  /// @return whether it is the first one.
  bool record_list();
  /// Schedules the first call to the service, after a cached list has been received.
  /// @param random_fraction from 0 to 1.
  void schedule_first_call(TimePoint now, double random_fraction);
  /// Records that the service has answered.
  void record_answer();
  /// Records that a call failed or the watch broke, and schedules the next call.
  /// @param random_fraction from 0 to 1.
  void record_failure(TimePoint now, double random_fraction);

  /// Whether the service is to be called now. If so, the call counts as started.
  bool start_call_if_due(TimePoint now);

  /// When the next call is due; kNever if none is.
  [[nodiscard]] TimePoint next_call_at() const;
  /// The time from which the service counts as silent unless it answers before; kNever if no call has failed
  /// since the last answer.
  [[nodiscard]] TimePoint silent_from() const;

 private:
  [[nodiscard]] bool needs_call() const;

  const Settings& settings_;
  bool has_list_ = false;
  bool is_watching_ = false;        // a call has been started and has not failed
  int failures_ = 0;                // failed calls in a row
  TimePoint first_failure_at_ = 0;  // when the first of these calls failed; 0: no failed call
  TimePoint next_call_at_ = 0;
};

}  // namespace dapplewharf
