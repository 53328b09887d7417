// Whether a request may be repeated or rejected, by what its traffic class says of its idempotency and by
// what became of its attempts. The one place for these rules: request_table (before an attempt is chosen) and
// request_ledger (before its first byte) both ask here. Pure functions of plain values.
#pragma once
#include <cstdint>
#include <optional>
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

}  // namespace dapplewharf
