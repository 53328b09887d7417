// The checks of each step of a request; see the header.
#include "policy/request_ledger.h"

#include <algorithm>
#include <span>

namespace dapplewharf {

namespace {

std::optional<Violation> check_repeat_of(const RepeatRule& rule, std::span<const Attempt> attempts,
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
      return "another attempt is out";
    case Violation::may_have_run:
      return "an earlier attempt may have run";
    case Violation::endpoint_leaving:
      return "its host is leaving";
  }
  return "unknown";
}

void RequestLedger::open(const std::string& id, const RepeatRule& rule, TimePoint deadline) {
  requests_[id] = {rule, deadline, false, false, {}};
}

void RequestLedger::client_left(const std::string& id) {
  if (const auto found = requests_.find(id); found != requests_.end()) {
    found->second.client_gone = true;
  }
}

void RequestLedger::expire_by(TimePoint deadline) {
  for (auto& [id, request] : requests_) {
    request.deadline = std::min(request.deadline, deadline);
  }
}

std::optional<Violation> RequestLedger::check_awaits_answer(const Record& request) {
  if (request.client_gone) {
    return Violation::client_gone;
  }
  if (request.answered) {
    return Violation::already_answered;
  }
  return std::nullopt;
}

std::optional<Violation> RequestLedger::check_attempt(const std::string& id, const EndpointLocation& target,
                                                      bool allowed_by_list, TimePoint now) const {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return Violation::unknown_request;
  }
  const Record& request = found->second;
  if (const auto violation = check_awaits_answer(request)) {
    return violation;
  }
  if (now >= request.deadline) {
    return Violation::past_deadline;
  }
  if (const auto violation = check_repeat_of(request.rule, request.attempts, target, now)) {
    return violation;
  }
  if (!allowed_by_list) {
    return Violation::endpoint_leaving;
  }
  return std::nullopt;
}

std::optional<Violation> RequestLedger::check_send(const std::string& id, bool allowed_by_list,
                                                   TimePoint now) const {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.attempts.empty()) {
    return Violation::unknown_request;
  }
  const Record& request = found->second;
  if (const auto violation = check_awaits_answer(request)) {
    return violation;
  }
  if (!allowed_by_list) {
    return Violation::endpoint_leaving;
  }
  const std::span<const Attempt> attempts(request.attempts);
  return check_repeat_of(request.rule, attempts.first(attempts.size() - 1), attempts.back().location, now);
}

void RequestLedger::begun(const std::string& id, const EndpointLocation& target, TimePoint now) {
  if (const auto found = requests_.find(id); found != requests_.end()) {
    found->second.attempts.push_back({target, now, true, true});
  }
}

void RequestLedger::ended(const std::string& id, bool may_have_run) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.attempts.empty()) {
    return;
  }
  Attempt& latest = found->second.attempts.back();
  latest.in_flight = false;
  latest.may_have_run = may_have_run;
}

std::optional<Violation> RequestLedger::check_answer(const std::string& id, FinalAnswer answer) const {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return Violation::unknown_request;
  }
  const Record& request = found->second;
  if (request.client_gone) {
    return Violation::client_gone;
  }
  // An established connection has been answered with UP and may still be told to move.
  if (request.answered && answer != FinalAnswer::move) {
    return Violation::already_answered;
  }
  if (answer == FinalAnswer::busy && !may_be_rejected(request.rule, request.attempts)) {
    return Violation::may_have_run;
  }
  return std::nullopt;
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
  const bool is_owed_answer = !found->second.answered && !found->second.client_gone;
  requests_.erase(found);
  return is_owed_answer;
}

}  // namespace dapplewharf
