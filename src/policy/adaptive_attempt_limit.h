// Limits the attempts in flight while a dependency that all endpoints share, such as a store, is slow or
// overloaded. In that case the failures say nothing about the endpoints, and the retries of all nodes would
// keep the dependency overloaded. The limit rises with each connection that is established within its setup
// latency objective, and is halved repeatedly while setups at most endpoints fail or exceed that objective
// (additive increase, multiplicative decrease). Owns the latest setup result of each endpoint; reads no
// clock. Design: docs/design.md.
#pragma once
#include <map>
#include <string>

#include "base/time.h"

namespace dapplewharf {

/// Detects from the results of this node's attempts that most endpoints fail at the same time.
class AdaptiveAttemptLimit {
 public:
  /// Records the result of a connection setup.
  /// @param was_in_time the connection was established within the setup latency objective of its request.
  /// @param in_flight attempts in flight, without the one that ended.
  /// @return whether the limit takes effect with this result.
  bool record_setup(const std::string& endpoint, bool was_in_time, int in_flight, TimePoint now);
  /// Whether failed attempts are due to the shared dependency and must not count against their endpoints.
  [[nodiscard]] bool shared_dependency_fails(TimePoint now) const;
  /// Whether the limit is in effect.
  [[nodiscard]] bool is_active(TimePoint now) const;
  /// Whether the limit is in effect and another attempt would exceed it.
  [[nodiscard]] bool forbids_attempt(int in_flight, TimePoint now) const;

 private:
  struct SetupResult {
    TimePoint ended_at = 0;
    bool was_in_time = false;
  };

  std::map<std::string, SetupResult> latest_results_;  // by endpoint; those of the last second
  double max_in_flight_ = 1;                           // the limit on attempts in flight
  TimePoint last_in_time_at_ = 0;                      // when a setup was last in time; 0: never
  TimePoint last_decrease_at_ = 0;                     // when the limit was last halved; 0: never
};

}  // namespace dapplewharf
