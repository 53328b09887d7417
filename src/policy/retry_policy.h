// Whether a request may be repeated or rejected, by what its traffic class says of its idempotency and by
// what became of its attempts. Not the whole decision on a retry: RequestTable::select_endpoints makes it,
// with the attempt limit and the retry budget. The one place for these rules: RequestTable (before an
// endpoint is selected) and RequestLedger (before the attempt and its first byte) both ask here. Pure
// functions of plain values. Design: docs/design.md.
#pragma once
#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "base/time.h"
#include "policy/events.h"

namespace dapplewharf {

/// A process may be held up for 0.15 s between reading its clock and writing, and what it writes takes a
/// moment to arrive: a repeat has to begin so long before its deduplication window ends.
inline constexpr Duration kRepeatMargin = 200 * kMs;

enum class Idempotency {
  idempotent,      // may be repeated at any time
  deduplicated,    // endpoints drop repeats by idempotency key, within a scope and a window
  non_idempotent,  // may not be repeated once it may have run
};

/// Which endpoints know a request's idempotency key.
enum class DeduplicationScope { all, zone, cell };

/// What a traffic class says about repeats.
struct RepeatRule {
  Idempotency idempotency = Idempotency::non_idempotent;
  DeduplicationScope scope = DeduplicationScope::all;
  Duration window = 0;  // within which a repeat inside the scope is dropped
};

/// Where an endpoint stands, as far as the scope of deduplication is concerned.
struct EndpointLocation {
  std::string host, zone;
  std::int64_t cell = 0;
};

/// One attempt of a request, from the decision to send it on.
struct Attempt {
  EndpointLocation location;  // zone and cell are left empty where only the endpoint's id is needed
  TimePoint sent = 0;
  bool in_flight = true;  // its result has not come; a cancelled attempt is in flight until then
  bool may_have_run = true;
};

/// Whether an endpoint in this zone and cell knows the idempotency keys of another one.
[[nodiscard]] bool is_in_scope(DeduplicationScope scope, const std::string& earlier_zone,
                               std::int64_t earlier_cell, const std::string& zone, std::int64_t cell);

/// Why a request may not be repeated.
enum class RepeatObstacle {
  attempt_in_flight,
  may_have_run,  // an earlier attempt may have run, and nothing drops this repeat
};

/// Whether a request may have run at its endpoint after an attempt with this outcome.
[[nodiscard]] bool may_have_run(Outcome outcome);

/// Whether a request may be sent once more after these attempts.
/// @param target where the repeat would go; nothing while no endpoint is selected, then the endpoints inside
/// the deduplication scope are assumed (the selector chooses among these alone).
/// @return what stands against it, by the first attempt that does; nothing if it may be repeated.
[[nodiscard]] std::optional<RepeatObstacle> check_repeat(const RepeatRule& rule,
                                                         std::span<const Attempt> attempts,
                                                         const std::optional<EndpointLocation>& target,
                                                         TimePoint now);

/// Whether a request may be rejected, which tells its client that a repeat anywhere and at any time is
/// harmless.
[[nodiscard]] bool may_be_rejected(const RepeatRule& rule, std::span<const Attempt> attempts);

}  // namespace dapplewharf
