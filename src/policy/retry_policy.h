// Whether a request may be repeated or rejected, given its traffic class's idempotency and the results of its
// attempts. RequestTable calls these functions before it selects an endpoint. RequestLedger calls them before
// an attempt starts and again before its first byte is sent, and before a final answer is sent. A retry must
// also be allowed by the limit on attempts, the adaptive attempt limit and the retry budget, which
// RequestTable::select_endpoints checks. Pure functions of plain values. Design: docs/design.md.
#pragma once
#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "base/time.h"
#include "policy/events.h"

namespace dapplewharf {

/// A repeat has to start this long before its deduplication window ends: up to 0.15 s may pass between a
/// process's reading of the clock and its write, and the bytes then take time to arrive.
inline constexpr Duration kRepeatMargin = 200 * kMs;

/// Whether a request may be repeated after it may have run.
enum class Idempotency {
  idempotent,      // may be repeated anywhere at any time
  deduplicated,    // endpoints drop repeats by idempotency key, within a scope and a window
  non_idempotent,  // must not be repeated after an attempt that may have run
};

/// Which endpoints know the idempotency key of a request that another endpoint has received: all, or those of
/// the same zone or cell.
enum class DeduplicationScope { all, zone, cell };

/// The rule that says when a request of a traffic class may be repeated.
struct RepeatRule {
  Idempotency idempotency = Idempotency::non_idempotent;
  DeduplicationScope scope = DeduplicationScope::all;
  // How long after an attempt's start the endpoints within the scope drop repeats of it.
  Duration window = 0;
};

/// An endpoint with its zone and cell, which determine whether it is within a deduplication scope.
struct EndpointLocation {
  std::string endpoint, zone;
  std::int64_t cell = 0;
};

/// One attempt of a request, recorded when the policy decides to start it.
struct Attempt {
  EndpointLocation location;  // RequestTable leaves zone and cell empty
  TimePoint started_at = 0;
  bool is_in_flight = true;  // until its result is known; a cancelled attempt has no known result at first
  bool may_have_run = true;
};

/// Whether an endpoint in this zone and cell knows the idempotency keys of requests sent to the earlier
/// endpoint.
[[nodiscard]] bool is_in_scope(DeduplicationScope scope, const std::string& earlier_zone,
                               std::int64_t earlier_cell, const std::string& zone, std::int64_t cell);

/// Why a request may not be repeated.
enum class RepeatObstacle {
  attempt_in_flight,
  may_have_run,  // an earlier attempt may have run, and the target would not drop the repeat
};

/// Whether the endpoint may have run the request in an attempt with this outcome.
[[nodiscard]] bool may_have_run(Outcome outcome);

/// Whether a request may be sent again after these attempts.
/// @param target endpoint of the repeat; nothing if none is selected yet. In that case it is assumed to be in
///     the deduplication scope, because the selector chooses only among those endpoints.
/// @return the obstacle found at the earliest attempt that prevents a repeat; nothing if the request may be
///     repeated.
[[nodiscard]] std::optional<RepeatObstacle> check_repeat(const RepeatRule& rule,
                                                         std::span<const Attempt> attempts,
                                                         const std::optional<EndpointLocation>& target,
                                                         TimePoint now);

/// Whether a request may be sent again after an attempt that is not answered until its timeout. If not, the
/// attempt is the request's last one, and a timeout before the deadline would only lose the answer.
/// @param earlier the attempts before it.
/// @param started_at when the attempt starts.
/// @param timed_out_at when it times out.
[[nodiscard]] bool may_repeat_after_timeout(const RepeatRule& rule, std::span<const Attempt> earlier,
                                            TimePoint started_at, TimePoint timed_out_at);

/// Whether a request may be rejected. A rejection tells the client that it may repeat the request at any
/// endpoint and at any time without harm.
[[nodiscard]] bool may_be_rejected(const RepeatRule& rule, std::span<const Attempt> attempts);

}  // namespace dapplewharf
