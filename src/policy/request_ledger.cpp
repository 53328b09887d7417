#include "policy/request_ledger.h"

#include <algorithm>

namespace dapplewharf {

const char* name_of(Violation refusal) {
  switch (refusal) {
    case Violation::none:
      return "none";
    case Violation::unknown_request:
      return "unknown request";
    case Violation::already_answered:
      return "already answered";
    case Violation::client_gone:
      return "client gone";
    case Violation::past_deadline:
      return "past its deadline";
    case Violation::attempt_out:
      return "another attempt is out";
    case Violation::effect_may_repeat:
      return "an earlier attempt may have run";
    case Violation::host_is_leaving:
      return "its host is leaving";
  }
  return "unknown";
}

void RequestLedger::open(const std::string& id, const RepeatRule& rule, Tenths deadline) {
  requests_[id] = {rule, deadline, false, false, {}};
}

void RequestLedger::client_left(const std::string& id) {
  if (const auto found = requests_.find(id); found != requests_.end()) {
    found->second.client_gone = true;
  }
}

void RequestLedger::expire_by(Tenths deadline) {
  for (auto& [id, request] : requests_) {
    request.deadline = std::min(request.deadline, deadline);
  }
}

bool RequestLedger::repeat_is_dropped(const RepeatRule& rule, const Attempt& earlier,
                                      const EndpointLocation& to, Tenths now) {
  if (rule.idempotency == Idempotency::idempotent) {
    return true;
  }
  if (rule.idempotency == Idempotency::non_idempotent || now - earlier.since + kRepeatMargin >= rule.window) {
    return false;
  }
  if (earlier.to.host == to.host) {
    return true;
  }
  switch (rule.scope) {
    case DeduplicationScope::all:
      return true;
    case DeduplicationScope::zone:
      return earlier.to.zone == to.zone;
    case DeduplicationScope::cell:
      return earlier.to.cell == to.cell;
  }
  return false;
}

Violation RequestLedger::may_begin(const std::string& id, const EndpointLocation& to, bool allowed_by_list,
                                   Tenths now) const {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return Violation::unknown_request;
  }
  const Request& request = found->second;
  if (request.client_gone) {
    return Violation::client_gone;
  }
  if (request.answered) {
    return Violation::already_answered;
  }
  if (now >= request.deadline) {
    return Violation::past_deadline;
  }
  if (const Violation refusal = effect_allows(request, request.attempts.size(), to, now);
      refusal != Violation::none) {
    return refusal;
  }
  return allowed_by_list ? Violation::none : Violation::host_is_leaving;
}

// Whether the first so many attempts let another one run.
Violation RequestLedger::effect_allows(const Request& request, std::size_t attempts,
                                       const EndpointLocation& to, Tenths now) {
  for (std::size_t i = 0; i < attempts; ++i) {
    const Attempt& earlier = request.attempts[i];
    if (earlier.out) {
      return Violation::attempt_out;
    }
    if (earlier.may_have_run && !repeat_is_dropped(request.rule, earlier, to, now)) {
      return Violation::effect_may_repeat;
    }
  }
  return Violation::none;
}

Violation RequestLedger::may_send(const std::string& id, bool allowed_by_list, Tenths now) const {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.attempts.empty()) {
    return Violation::unknown_request;
  }
  const Request& request = found->second;
  if (request.client_gone) {
    return Violation::client_gone;
  }
  if (request.answered) {
    return Violation::already_answered;
  }
  if (!allowed_by_list) {
    return Violation::host_is_leaving;
  }
  return effect_allows(request, request.attempts.size() - 1, request.attempts.back().to, now);
}

void RequestLedger::begun(const std::string& id, const EndpointLocation& to, Tenths now) {
  if (const auto found = requests_.find(id); found != requests_.end()) {
    found->second.attempts.push_back({to, now, true, true});
  }
}

void RequestLedger::ended(const std::string& id, bool may_have_run) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.attempts.empty()) {
    return;
  }
  found->second.attempts.back().out = false;
  found->second.attempts.back().may_have_run = may_have_run;
}

Violation RequestLedger::may_answer(const std::string& id, FinalAnswer answer) const {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return Violation::unknown_request;
  }
  const Request& request = found->second;
  if (request.client_gone) {
    return Violation::client_gone;
  }
  // A connection that stands has been answered with UP and may still be told to move.
  if (request.answered && answer != FinalAnswer::move) {
    return Violation::already_answered;
  }
  if (answer != FinalAnswer::busy || request.rule.idempotency == Idempotency::idempotent) {
    return Violation::none;
  }
  const bool dropped_anywhere =
      request.rule.idempotency == Idempotency::deduplicated && request.rule.scope == DeduplicationScope::all;
  for (const Attempt& earlier : request.attempts) {
    if ((earlier.out || earlier.may_have_run) && !dropped_anywhere) {
      return Violation::effect_may_repeat;
    }
  }
  return Violation::none;
}

void RequestLedger::answered(const std::string& id) {
  if (const auto found = requests_.find(id); found != requests_.end()) {
    found->second.answered = true;
  }
}

bool RequestLedger::close(const std::string& id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return false;
  }
  const bool owed = !found->second.answered && !found->second.client_gone;
  requests_.erase(found);
  return owed;
}

}  // namespace dapplewharf
