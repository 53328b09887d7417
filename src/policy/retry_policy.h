// Whether a request may be repeated or rejected, given its traffic class's idempotency and the results of its
// attempts. RequestTable calls these functions before it selects an endpoint, and RequestLedger before an
// attempt starts and before its first byte. A retry also needs the attempt limit and the retry budget, which
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

/// The rule of a traffic class on repeats.
struct RepeatRule {
  Idempotency idempotency = Idempotency::non_idempotent;
  DeduplicationScope scope = DeduplicationScope::all;
  Duration window = 0;  // from an attempt's start; endpoints within the scope drop repeats until its end
};

/// An endpoint and its zone and cell, which decide on the scope of deduplication.
struct EndpointLocation {
  std::string endpoint, zone;
  std::int64_t cell = 0;
};

/// One attempt of a request, recorded when the policy decides to start it.
struct Attempt {
  EndpointLocation location;  // RequestTable leaves zone and cell empty
  TimePoint started_at = 0;
  bool is_in_flight = true;  // until its result is known, also if it was cancelled
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
/// @param target endpoint of the repeat; nothing if none is selected yet, then it is assumed to be within the
/// deduplication scope, because the selector chooses only among those endpoints.
/// @return the obstacle that the first obstructing attempt makes; nothing if the request may be repeated.
[[nodiscard]] std::optional<RepeatObstacle> check_repeat(const RepeatRule& rule,
                                                         std::span<const Attempt> attempts,
                                                         const std::optional<EndpointLocation>& target,
                                                         TimePoint now);

/// Whether a request may be rejected. A rejection tells the client that it may repeat the request at any
/// endpoint and at any time without harm.
[[nodiscard]] bool may_be_rejected(const RepeatRule& rule, std::span<const Attempt> attempts);

}  // namespace dapplewharf
