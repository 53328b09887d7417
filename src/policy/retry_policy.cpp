#include "policy/retry_policy.h"

#include <algorithm>

namespace dapplewharf {

namespace {

// Whether a repeat has no effect beyond that of this earlier attempt.
bool is_repeat_harmless(const RepeatRule& rule, const Attempt& earlier,
                        const std::optional<EndpointLocation>& target, TimePoint now) {
  if (!earlier.may_have_run || rule.idempotency == Idempotency::idempotent) {
    return true;
  }
  if (rule.idempotency == Idempotency::non_idempotent) {
    return false;
  }
  if (now - earlier.started_at + kRepeatMargin >= rule.window) {
    return false;
  }
  return !target || earlier.location.endpoint == target->endpoint ||
         is_in_scope(rule.scope, earlier.location.zone, earlier.location.cell, target->zone, target->cell);
}

}  // namespace

bool is_in_scope(DeduplicationScope scope, const std::string& earlier_zone, std::int64_t earlier_cell,
                 const std::string& zone, std::int64_t cell) {
  switch (scope) {
    case DeduplicationScope::all:
      return true;
    case DeduplicationScope::zone:
      return earlier_zone == zone;
    case DeduplicationScope::cell:
      return earlier_cell == cell;
  }
  return false;
}

bool may_have_run(Outcome outcome) {
  switch (outcome) {
    case Outcome::rejected:
    case Outcome::connect_failed:
    case Outcome::not_sent:
    case Outcome::withdrawn:
      return false;
    case Outcome::succeeded:
    case Outcome::error:
    case Outcome::timed_out:
    case Outcome::connection_lost:
    case Outcome::cancelled:
      return true;
  }
  return true;
}

std::optional<RepeatObstacle> check_repeat(const RepeatRule& rule, std::span<const Attempt> attempts,
                                           const std::optional<EndpointLocation>& target, TimePoint now) {
  for (const Attempt& earlier : attempts) {
    if (earlier.is_in_flight) {
      return RepeatObstacle::attempt_in_flight;
    }
    if (!is_repeat_harmless(rule, earlier, target, now)) {
      return RepeatObstacle::may_have_run;
    }
  }
  return std::nullopt;
}

bool may_repeat_after_timeout(const RepeatRule& rule, std::span<const Attempt> earlier, TimePoint started_at,
                              TimePoint timed_out_at) {
  const Attempt timed_out{{}, started_at, false, true};
  return is_repeat_harmless(rule, timed_out, std::nullopt, timed_out_at) &&
         !check_repeat(rule, earlier, std::nullopt, timed_out_at);
}

bool may_be_rejected(const RepeatRule& rule, std::span<const Attempt> attempts) {
  const bool is_deduplicated_everywhere =
      rule.idempotency == Idempotency::deduplicated && rule.scope == DeduplicationScope::all;
  if (rule.idempotency == Idempotency::idempotent || is_deduplicated_everywhere) {
    return true;
  }
  return std::none_of(attempts.begin(), attempts.end(),
                      [](const Attempt& earlier) { return earlier.is_in_flight || earlier.may_have_run; });
}

}  // namespace dapplewharf
