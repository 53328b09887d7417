#include "policy/request_ledger.h"

#include <algorithm>
#include <span>

namespace dapplewharf {

namespace {

// Calls check_repeat and converts the obstacle that it returns to a violation.
std::optional<Violation> repeat_violation(const RepeatRule& rule, std::span<const Attempt> attempts,
                                          const EndpointLocation& target, TimePoint now) {
  const std::optional<RepeatObstacle> obstacle = check_repeat(rule, attempts, target, now);
  if (!obstacle) {
    return std::nullopt;
  }
  switch (*obstacle) {
    case RepeatObstacle::attempt_in_flight:
      return Violation::attempt_in_flight;
    case RepeatObstacle::may_have_run:
      return Violation::may_have_run;
  }
  return Violation::may_have_run;
}

}  // namespace

const char* name_of(Violation violation) {
  switch (violation) {
    case Violation::unknown_request:
      return "unknown request";
    case Violation::already_answered:
      return "already answered";
    case Violation::client_gone:
      return "client gone";
    case Violation::past_deadline:
      return "past its deadline";
    case Violation::attempt_in_flight:
      return "another attempt is in flight";
    case Violation::may_have_run:
      return "an earlier attempt may have run";
    case Violation::endpoint_leaving:
      return "its endpoint is leaving";
  }
  return "unknown";
}

void RequestLedger::open(const std::string& id, const RepeatRule& rule, TimePoint deadline) {
  requests_[id] = {rule, deadline, false, false, {}};
}

void RequestLedger::record_client_disconnect(const std::string& id) {
  if (const auto found = requests_.find(id); found != requests_.end()) {
    found->second.is_client_gone = true;
  }
}

void RequestLedger::expire_by(TimePoint deadline) {
  for (auto& [id, request] : requests_) {
    request.deadline = std::min(request.deadline, deadline);
  }
}

std::optional<Violation> RequestLedger::check_client_is_waiting(const Record& request) {
  if (request.is_client_gone) {
    return Violation::client_gone;
  }
  if (request.is_answered) {
    return Violation::already_answered;
  }
  return std::nullopt;
}

std::optional<Violation> RequestLedger::check_attempt(const std::string& id, const EndpointLocation& target,
                                                      bool is_allowed_by_list, TimePoint now) const {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return Violation::unknown_request;
  }
  const Record& request = found->second;
  if (const auto violation = check_client_is_waiting(request)) {
    return violation;
  }
  if (now >= request.deadline) {
    return Violation::past_deadline;
  }
  if (const auto violation = repeat_violation(request.rule, request.attempts, target, now)) {
    return violation;
  }
  if (!is_allowed_by_list) {
    return Violation::endpoint_leaving;
  }
  return std::nullopt;
}

std::optional<Violation> RequestLedger::check_send(const std::string& id, bool is_allowed_by_list,
                                                   TimePoint now) const {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.attempts.empty()) {
    return Violation::unknown_request;
  }
  const Record& request = found->second;
  if (const auto violation = check_client_is_waiting(request)) {
    return violation;
  }
  if (!is_allowed_by_list) {
    return Violation::endpoint_leaving;
  }
  const std::span<const Attempt> attempts(request.attempts);
  return repeat_violation(request.rule, attempts.first(attempts.size() - 1), attempts.back().location, now);
}

bool RequestLedger::may_repeat_after_timeout(const std::string& id, TimePoint now, Duration timeout) const {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return false;
  }
  const Record& request = found->second;
  return dapplewharf::may_repeat_after_timeout(request.rule, request.attempts, now, now + timeout);
}

void RequestLedger::record_attempt_start(const std::string& id, const EndpointLocation& target,
                                         TimePoint now) {
  if (const auto found = requests_.find(id); found != requests_.end()) {
    found->second.attempts.push_back({target, now, true, true});
  }
}

void RequestLedger::record_attempt_end(const std::string& id, bool may_have_run) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.attempts.empty()) {
    return;
  }
  Attempt& latest = found->second.attempts.back();
  latest.is_in_flight = false;
  latest.may_have_run = may_have_run;
}

std::optional<Violation> RequestLedger::check_answer(const std::string& id, FinalAnswer answer) const {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return Violation::unknown_request;
  }
  const Record& request = found->second;
  if (request.is_client_gone) {
    return Violation::client_gone;
  }
  // An established connection has already been answered with UP, and its client may still be sent MOVE.
  if (request.is_answered && answer != FinalAnswer::move) {
    return Violation::already_answered;
  }
  if (answer == FinalAnswer::busy && !may_be_rejected(request.rule, request.attempts)) {
    return Violation::may_have_run;
  }
  return std::nullopt;
}

void RequestLedger::record_answer(const std::string& id) {
  if (const auto found = requests_.find(id); found != requests_.end()) {
    found->second.is_answered = true;
  }
}

bool RequestLedger::close(const std::string& id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return false;
  }
  const bool is_awaiting_answer = !found->second.is_answered && !found->second.is_client_gone;
  requests_.erase(found);
  return is_awaiting_answer;
}

}  // namespace dapplewharf
