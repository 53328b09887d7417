#include "emulator/audit/audit.h"

#include <algorithm>

namespace dapplewharf::emulator {
namespace {

constexpr std::size_t kFirst = 5;                  // cases kept of each rule
constexpr Duration kDies = 200 * kMs;              // a killed process, until its connections are reset
constexpr Duration kResumedWithin = 40 * kSecond;  // protocol page: a connection from before the run
constexpr Duration kRepeatMargin = 300 * kMs;      // a node may stop repeating so long before the window ends
constexpr Duration kFallenAgain = 2 * kSecond;     // one push is one breach

std::string ms(Duration span) {
  return std::to_string(span / kMs) + " ms";
}

}  // namespace

const char* const kRuleNames[kRules] = {"final_answer", "effect_twice",  "drain_kept",
                                        "cold_pushed",  "bytes_changed", "cut_off"};

Audit::Audit(const Scenario& scenario, const Plan& plan, Duration slack)
    : scenario_(scenario), plan_(plan), slack_(slack), fallen_(plan.hosts.size(), -kFallenAgain) {}

void Audit::breach(Rule rule, const std::string& id, TimePoint when, std::string what) {
  Found& found = found_[static_cast<int>(rule)];
  ++found.count;
  if (found.first.size() < kFirst) {
    found.first.push_back({id, std::move(what), when});
  }
}

bool Audit::broken() const {
  return std::any_of(std::begin(found_), std::end(found_), [](const Found& one) { return one.count > 0; });
}

void Audit::asked(const std::string& id, int node, int traffic, TimePoint when, bool resumed) {
  ++totals_.asked;
  Request& held = held_[id];
  held.node = node, held.traffic = traffic, held.asked = when, held.resumed = resumed;
  // What is written as its process dies is read by nobody.
  const auto killed = killed_.find(node);
  held.owed = killed == killed_.end() || when < killed->second || when > killed->second + kDies;
}

TimePoint Audit::expiry(const Request& held) const {
  if (held.resumed) {
    return held.asked + kResumedWithin + slack_;
  }
  const TrafficType& type = scenario_.traffic_types[static_cast<std::size_t>(held.traffic)];
  return held.asked + static_cast<Duration>(type.expiry_ms * kMs) +
         static_cast<Duration>(scenario_.grace_to_answer_ms * kMs) + slack_;
}

void Audit::answered(const std::string& id, Answered answer, TimePoint when) {
  const auto at = held_.find(id);
  if (at == held_.end()) {
    return breach(Rule::final_answer, id, when, "an answer that nobody asked for");
  }
  Request& held = at->second;
  if (++held.answers > 1) {
    return breach(Rule::final_answer, id, when, "a second answer");
  }
  ++(answer == Answered::honoured   ? totals_.honoured
     : answer == Answered::rejected ? totals_.rejected
                                    : totals_.scrapped);
  if (held.owed && when > expiry(held)) {
    breach(Rule::final_answer, id, when, "answered " + ms(when - expiry(held)) + " too late");
  }
  held.owed = false;
  held.standing = answer == Answered::honoured;
  if (held.resumed && !held.standing && !may_end_resumed(held, when)) {
    breach(Rule::final_answer, id, when, "a connection from before the run did not come up again");
  }
  const TrafficType& type = scenario_.traffic_types[static_cast<std::size_t>(held.traffic)];
  // A rejection says that a repeat is harmless.
  if (answer == Answered::rejected && type.effect != "idempotent" &&
      !(type.effect == "deduplicated" && type.repeat_group == "all")) {
    for (const Attempt& one : held.tries) {
      if (one.may_have_run) {
        breach(Rule::effect_twice, id, when,
               "rejected though a try may have run at " + plan_.hosts[static_cast<std::size_t>(one.host)].id);
        break;
      }
    }
  }
}

// Only its host's leaving, its node's end, or a try that may have run and must not be repeated may end one.
bool Audit::may_end_resumed(const Request& held, TimePoint when) const {
  if (const auto stops = stopping_.find(held.node); stops != stopping_.end() && stops->second) {
    return true;
  }
  const TrafficType& type = scenario_.traffic_types[static_cast<std::size_t>(held.traffic)];
  for (const Attempt& one : held.tries) {
    if (leaving_.count({held.node, one.host})) {
      return true;
    }
    if (one.may_have_run && !drops_repeats(type, one, one.host, when + kRepeatMargin)) {
      return true;
    }
  }
  return false;
}

void Audit::client_left(const std::string& id, TimePoint when) {
  const auto at = held_.find(id);
  if (at == held_.end() || !at->second.owed) {
    return;
  }
  if (when > expiry(at->second)) {
    return overdue(id, at->second, when);
  }
  at->second.owed = false;
  ++totals_.left;
}

// Called once a client has given up: it has waited beyond its expiry and got nothing.
void Audit::overdue(const std::string& id, Request& held, TimePoint when) {
  held.owed = false;
  ++totals_.unanswered;
  breach(Rule::final_answer, id, when, "no answer before its expiry");
}

bool Audit::drops_repeats(const TrafficType& type, const Attempt& first, int host, TimePoint when) const {
  if (type.effect == "idempotent") {
    return true;
  }
  if (type.effect != "deduplicated") {
    return false;
  }
  if (when - first.since >= static_cast<Duration>(type.repeat_window_ms * kMs) + slack_) {
    return false;
  }
  const auto& a = plan_.hosts[static_cast<std::size_t>(first.host)];
  const auto& b = plan_.hosts[static_cast<std::size_t>(host)];
  return type.repeat_group == "all" || (type.repeat_group == "zone" ? a.zone == b.zone : first.host == host);
}

void Audit::try_came(const std::string& id, int node, int host, TimePoint when) {
  ++tries_;
  const std::string& name = plan_.hosts[static_cast<std::size_t>(host)].id;
  const auto at = held_.find(id);
  const bool new_there = at == held_.end() || !at->second.resumed;
  const auto knows = leaving_.find({node, host});
  const Duration grace = static_cast<Duration>(scenario_.drain_grace_ms * kMs) + slack_;
  if (new_there && knows != leaving_.end() && when > knows->second + grace) {
    breach(Rule::drain_kept, id, when,
           "sent to " + name + " " + ms(when - knows->second) + " after the node knew that it leaves");
  }
  if (at == held_.end()) {
    return breach(Rule::final_answer, id, when, "a try that no client asked for, at " + name);
  }
  Request& held = at->second;
  // What has been answered is not tried again.
  if (held.answers > 0) {
    breach(Rule::final_answer, id, when, "a try after the final answer, at " + name);
  }
  const TrafficType& type = scenario_.traffic_types[static_cast<std::size_t>(held.traffic)];
  for (const Attempt& one : held.tries) {
    const std::string& other = plan_.hosts[static_cast<std::size_t>(one.host)].id;
    if (one.out) {
      breach(Rule::effect_twice, id, when, "two tries out, at " + other + " and " + name);
    } else if (one.may_have_run && !drops_repeats(type, one, host, when)) {
      breach(Rule::effect_twice, id, when, "tried at " + name + " though it may have run at " + other);
    }
  }
  held.tries.push_back({host, when, true, false});
}

void Audit::try_ran(const std::string& id, int host) {
  const auto at = held_.find(id);
  if (at == held_.end()) {
    return;
  }
  for (Attempt& one : at->second.tries) {
    if (one.host == host && one.out) {
      one.may_have_run = true;
    }
  }
}

void Audit::try_over(const std::string& id, int host, bool may_have_run, TimePoint) {
  const auto at = held_.find(id);
  if (at == held_.end()) {
    return;
  }
  for (Attempt& one : at->second.tries) {
    if (one.host == host && one.out) {
      one.out = false, one.may_have_run = may_have_run;
    }
  }
}

void Audit::told(int node, int host, bool leaving, TimePoint when) {
  if (!leaving) {
    leaving_.erase({node, host});
  } else {
    leaving_.try_emplace({node, host}, when);
  }
}

void Audit::node_lost(int node, TimePoint when) {
  killed_[node] = when;
  for (auto& [id, held] : held_) {
    if (held.node != node || !held.owed) {
      continue;
    }
    held.owed = false;
    // Danger: a node that lets an answer fall due is not excused by being killed later.
    if (when > expiry(held)) {
      breach(Rule::final_answer, id, when, "no answer before its expiry");
    }
    ++totals_.unanswered;
  }
}

void Audit::node_stops(int node) {
  stopping_[node] = true;
}

void Audit::node_new(int node) {
  stopping_.erase(node), killed_.erase(node);
  std::erase_if(leaving_, [&](const auto& one) { return one.first.first == node; });
}

void Audit::pushed(int host, double ratio, TimePoint when) {
  peak_push_ = std::max(peak_push_, ratio);
  TimePoint& last = fallen_[static_cast<std::size_t>(host)];
  if (ratio <= 1 || when - last < kFallenAgain) {
    return;
  }
  last = when;
  breach(Rule::cold_pushed, plan_.hosts[static_cast<std::size_t>(host)].id, when,
         "sent " + std::to_string(static_cast<int>(ratio * 100)) + "% of what pushes it over");
}

void Audit::bytes(const std::string& id, bool same, TimePoint when) {
  if (!same) {
    breach(Rule::bytes_changed, id, when, "a line came back otherwise than it was sent");
  }
}

void Audit::ended(const std::string& id, Ended how, bool host_lives, TimePoint when) {
  const auto at = held_.find(id);
  if (at == held_.end() || !at->second.standing) {
    return;
  }
  at->second.standing = false;
  if (how == Ended::moved) {
    ++moved_;
  }
  if (how == Ended::cut && host_lives) {
    breach(Rule::cut_off, id, when, "cut off without MOVE though its host answers");
  }
}

void Audit::finish(TimePoint when) {
  std::vector<std::string> late;  // in the order of their names, whatever the table's
  for (const auto& [id, held] : held_) {
    if (held.owed && when > expiry(held)) {
      late.push_back(id);
    }
  }
  std::sort(late.begin(), late.end());
  for (const std::string& id : late) {
    overdue(id, held_[id], when);
  }
}

}  // namespace dapplewharf::emulator
