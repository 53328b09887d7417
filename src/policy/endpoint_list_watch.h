// Keeps the watch on the endpoint list alive: when the list service is asked, again after lost calls with
// backoff (policy/backoff.h), and from when on the list counts as silent. Owns what became of the last calls.
// Pure: the caller gives the time and the chance; times are in ticks of 0.1 ms.
#pragma once
#include "base/time.h"
#include "policy/settings.h"

namespace dapplewharf {

class EndpointListWatch {
 public:
  /// @param settings are read at each call and have to outlive this object.
  explicit EndpointListWatch(const Settings& settings) : settings_(settings) {}

  /// A list has been received, cached or from the service.
  /// @return whether it is the first one.
  bool received();
  /// The cached list is known; the service is asked after a pause.
  /// @param chance from 0 to 1.
  void started_from_cache(TimePoint now, double chance);
  /// The service has answered.
  void answered();
  /// A call failed or the watch broke.
  /// @param chance from 0 to 1.
  void failed(TimePoint now, double chance);

  /// Whether the service is to be asked now; if so the watch counts as asked for.
  bool ask(TimePoint now);

  /// When `ask` says yes next; kNever if nothing is to be asked.
  [[nodiscard]] TimePoint next_ask() const;
  /// From when on the list counts as silent unless it answers before; kNever while it answers.
  [[nodiscard]] TimePoint silent_from() const;

 private:
  [[nodiscard]] bool may_ask() const;

  const Settings& settings_;
  bool has_list_ = false;
  bool watching_ = false;
  int losses_ = 0;         // calls that failed in a row
  TimePoint lost_at_ = 0;  // when the first of them failed; 0: none did
  TimePoint ask_at_ = 0;
};

}  // namespace dapplewharf
