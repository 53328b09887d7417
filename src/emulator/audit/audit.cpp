#include "emulator/audit/audit.h"

#include <algorithm>

namespace dapplewharf::emulator {
namespace {

constexpr std::size_t kFindingsKept = 5;  // of each rule
/// From the kill of a node until its connections are reset.
constexpr Duration kConnectionResetDelay = 200 * kMs;
/// Within this a connection from before the run has to be established again.
constexpr Duration kResumeTimeout = 40 * kSecond;
/// A node may stop to retry this long before the repeat window ends.
constexpr Duration kRepeatMargin = 300 * kMs;
/// Further overloads of an endpoint within this belong to the same cold start and are counted once.
constexpr Duration kOverloadInterval = 2 * kSecond;

std::string format_ms(Duration span) {
  return std::to_string(span / kMs) + " ms";
}

}  // namespace

const char* const kRuleNames[kRules] = {"final_answer", "effect_twice",  "drain_kept",
                                        "cold_pushed",  "bytes_changed", "cut_off"};

Audit::Audit(const Scenario& scenario, const Plan& plan, Duration slack)
    : scenario_(scenario),
      plan_(plan),
      slack_(slack),
      last_overload_(plan.hosts.size(), -kOverloadInterval) {}

void Audit::report_violation(Rule rule, const std::string& id, TimePoint when, std::string description) {
  RuleFindings& found = findings_[static_cast<int>(rule)];
  ++found.count;
  if (found.first_findings.size() < kFindingsKept) {
    found.first_findings.push_back({id, std::move(description), when});
  }
}

bool Audit::has_violations() const {
  return std::any_of(std::begin(findings_), std::end(findings_),
                     [](const RuleFindings& found) { return found.count > 0; });
}

void Audit::on_request_sent(const std::string& id, int node, int traffic, TimePoint when, bool resumed) {
  ++totals_.requests;
  Request& request = requests_[id];
  request.node = node, request.traffic = traffic, request.sent_at = when, request.resumed = resumed;
  // Nobody reads what is written to a process that has just been killed.
  const auto killed = killed_at_.find(node);
  request.answer_due =
      killed == killed_at_.end() || when < killed->second || when > killed->second + kConnectionResetDelay;
}

TimePoint Audit::answer_deadline(const Request& request) const {
  if (request.resumed) {
    return request.sent_at + kResumeTimeout + slack_;
  }
  const TrafficType& type = scenario_.traffic_types[static_cast<std::size_t>(request.traffic)];
  return request.sent_at + static_cast<Duration>(type.expiry_ms * kMs) +
         static_cast<Duration>(scenario_.grace_to_answer_ms * kMs) + slack_;
}

void Audit::on_answer_received(const std::string& id, RequestOutcome outcome, TimePoint when) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return report_violation(Rule::final_answer, id, when, "an answer to a request that no client sent");
  }
  Request& request = found->second;
  if (++request.answers > 1) {
    return report_violation(Rule::final_answer, id, when, "a second answer");
  }
  ++(outcome == RequestOutcome::succeeded  ? totals_.succeeded
     : outcome == RequestOutcome::rejected ? totals_.rejected
                                           : totals_.failed);
  if (request.answer_due && when > answer_deadline(request)) {
    report_violation(Rule::final_answer, id, when,
                     "answered " + format_ms(when - answer_deadline(request)) + " too late");
  }
  request.answer_due = false;
  request.established = outcome == RequestOutcome::succeeded;
  if (request.resumed && !request.established && !may_fail_resumed(request, when)) {
    report_violation(Rule::final_answer, id, when,
                     "a connection from before the run was not established again");
  }
  const TrafficType& type = scenario_.traffic_types[static_cast<std::size_t>(request.traffic)];
  // A rejection tells the client that it may safely send the request again.
  if (outcome == RequestOutcome::rejected && type.effect != "idempotent" &&
      !(type.effect == "deduplicated" && type.repeat_group == "all")) {
    for (const Attempt& attempt : request.attempts) {
      if (attempt.may_have_run) {
        report_violation(Rule::effect_twice, id, when,
                         "rejected though an attempt may have run at " +
                             plan_.hosts[static_cast<std::size_t>(attempt.endpoint)].id);
        break;
      }
    }
  }
}

// Whether a connection from before the run may be answered with other than UP: its endpoint leaves, its node
// shuts down, or an attempt may have run and must not be repeated.
bool Audit::may_fail_resumed(const Request& request, TimePoint when) const {
  if (const auto stops = shutting_down_.find(request.node); stops != shutting_down_.end() && stops->second) {
    return true;
  }
  const TrafficType& type = scenario_.traffic_types[static_cast<std::size_t>(request.traffic)];
  for (const Attempt& attempt : request.attempts) {
    if (leaving_since_.count({request.node, attempt.endpoint})) {
      return true;
    }
    if (attempt.may_have_run && !may_repeat(type, attempt, attempt.endpoint, when + kRepeatMargin)) {
      return true;
    }
  }
  return false;
}

void Audit::on_client_left(const std::string& id, TimePoint when) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || !found->second.answer_due) {
    return;
  }
  if (when > answer_deadline(found->second)) {
    return report_unanswered(id, found->second, when);
  }
  found->second.answer_due = false;
  ++totals_.abandoned;
}

// The client waited until after the answer was due and received none.
void Audit::report_unanswered(const std::string& id, Request& request, TimePoint when) {
  request.answer_due = false;
  ++totals_.unanswered;
  report_violation(Rule::final_answer, id, when, "no answer before its deadline");
}

bool Audit::may_repeat(const TrafficType& type, const Attempt& first, int endpoint, TimePoint when) const {
  if (type.effect == "idempotent") {
    return true;
  }
  if (type.effect != "deduplicated") {
    return false;
  }
  if (when - first.received_at >= static_cast<Duration>(type.repeat_window_ms * kMs) + slack_) {
    return false;
  }
  const auto& first_host = plan_.hosts[static_cast<std::size_t>(first.endpoint)];
  const auto& repeat_host = plan_.hosts[static_cast<std::size_t>(endpoint)];
  return type.repeat_group == "all" ||
         (type.repeat_group == "zone" ? first_host.zone == repeat_host.zone : first.endpoint == endpoint);
}

void Audit::on_attempt_received(const std::string& id, int node, int endpoint, TimePoint when) {
  ++attempts_;
  const std::string& name = plan_.hosts[static_cast<std::size_t>(endpoint)].id;
  const auto found = requests_.find(id);
  const bool is_new = found == requests_.end() || !found->second.resumed;
  const auto leaving = leaving_since_.find({node, endpoint});
  const Duration grace = static_cast<Duration>(scenario_.drain_grace_ms * kMs) + slack_;
  if (is_new && leaving != leaving_since_.end() && when > leaving->second + grace) {
    report_violation(Rule::drain_kept, id, when,
                     "sent to " + name + " " + format_ms(when - leaving->second) +
                         " after the list had told the node that it leaves");
  }
  if (found == requests_.end()) {
    return report_violation(Rule::final_answer, id, when,
                            "an attempt for a request that no client sent, at " + name);
  }
  Request& request = found->second;
  // After the final answer there may be no further attempt.
  if (request.answers > 0) {
    report_violation(Rule::final_answer, id, when, "an attempt after the final answer, at " + name);
  }
  const TrafficType& type = scenario_.traffic_types[static_cast<std::size_t>(request.traffic)];
  for (const Attempt& attempt : request.attempts) {
    const std::string& earlier = plan_.hosts[static_cast<std::size_t>(attempt.endpoint)].id;
    if (attempt.in_progress) {
      report_violation(Rule::effect_twice, id, when,
                       "two attempts in progress, at " + earlier + " and " + name);
    } else if (attempt.may_have_run && !may_repeat(type, attempt, endpoint, when)) {
      report_violation(Rule::effect_twice, id, when,
                       "attempted at " + name + " though it may have run at " + earlier);
    }
  }
  request.attempts.push_back({endpoint, when, true, false});
}

void Audit::on_attempt_executed(const std::string& id, int endpoint) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  for (Attempt& attempt : found->second.attempts) {
    if (attempt.endpoint == endpoint && attempt.in_progress) {
      attempt.may_have_run = true;
    }
  }
}

void Audit::on_attempt_ended(const std::string& id, int endpoint, bool may_have_run, TimePoint) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  for (Attempt& attempt : found->second.attempts) {
    if (attempt.endpoint == endpoint && attempt.in_progress) {
      attempt.in_progress = false, attempt.may_have_run = may_have_run;
    }
  }
}

void Audit::on_endpoint_reported(int node, int endpoint, bool leaving, TimePoint when) {
  if (!leaving) {
    leaving_since_.erase({node, endpoint});
  } else {
    leaving_since_.try_emplace({node, endpoint}, when);
  }
}

void Audit::on_node_killed(int node, TimePoint when) {
  killed_at_[node] = when;
  for (auto& [id, request] : requests_) {
    if (request.node != node || !request.answer_due) {
      continue;
    }
    request.answer_due = false;
    // An answer that was overdue before the kill is still a violation.
    if (when > answer_deadline(request)) {
      report_violation(Rule::final_answer, id, when, "no answer before its deadline");
    }
    ++totals_.unanswered;
  }
}

void Audit::on_node_shutting_down(int node) {
  shutting_down_[node] = true;
}

void Audit::on_node_started(int node) {
  shutting_down_.erase(node), killed_at_.erase(node);
  std::erase_if(leaving_since_, [&](const auto& entry) { return entry.first.first == node; });
}

void Audit::on_cold_load(int endpoint, double ratio, TimePoint when) {
  peak_cold_load_ratio_ = std::max(peak_cold_load_ratio_, ratio);
  TimePoint& last_overload = last_overload_[static_cast<std::size_t>(endpoint)];
  if (ratio <= 1 || when - last_overload < kOverloadInterval) {
    return;
  }
  last_overload = when;
  report_violation(
      Rule::cold_pushed, plan_.hosts[static_cast<std::size_t>(endpoint)].id, when,
      "sent " + std::to_string(static_cast<int>(ratio * 100)) + "% of the load under which it falls over");
}

void Audit::on_line_compared(const std::string& id, bool same, TimePoint when) {
  if (!same) {
    report_violation(Rule::bytes_changed, id, when, "a line came back with other bytes than were sent");
  }
}

void Audit::on_connection_ended(const std::string& id, ConnectionEnd end, bool endpoint_alive,
                                TimePoint when) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || !found->second.established) {
    return;
  }
  found->second.established = false;
  if (end == ConnectionEnd::migrated) {
    ++connections_migrated_;
  }
  if (end == ConnectionEnd::cut && endpoint_alive) {
    report_violation(Rule::cut_off, id, when, "cut off without MOVE though its endpoint is up");
  }
}

void Audit::finish(TimePoint when) {
  std::vector<std::string> overdue_ids;  // sorted, because the table's order is unspecified
  for (const auto& [id, request] : requests_) {
    if (request.answer_due && when > answer_deadline(request)) {
      overdue_ids.push_back(id);
    }
  }
  std::sort(overdue_ids.begin(), overdue_ids.end());
  for (const std::string& id : overdue_ids) {
    report_unanswered(id, requests_[id], when);
  }
}

}  // namespace dapplewharf::emulator
