// Requests in flight and connections: their attempts, their deadline and their one final answer.
#pragma once
#include <deque>
#include <map>
#include <set>

#include "policy/adaptive_attempt_limit.h"
#include "policy/constants.h"
#include "policy/messages.h"
#include "policy/notes.h"
#include "policy/retry_budget.h"
#include "policy/retry_policy.h"

namespace dapplewharf {

struct Request {
  RequestAttributes attributes;
  RepeatRule repeat_rule;
  std::vector<Attempt> tries;
  bool standing = false;  // the connection is open
  bool answered = false;  // ended; kept until its last attempt's result has come
  bool pending = false;   // adopted, and not up again yet
};

class RequestTable {
 public:
  explicit RequestTable(PolicyContext& around) : context_(around) {}

  void read(const RequestTableMessage& message) {
    std::visit([this](const auto& one) { handle(one); }, message);
  }

 private:
  void forget(const std::string& id) {
    const auto found = held_.find(id);
    if (found == held_.end() || !found->second.answered) {
      return;
    }
    for (const Attempt& made : found->second.tries) {
      if (made.in_flight) {
        return;
      }
    }
    held_.erase(found);
  }

  std::optional<Duration> setup_latency_objective(const Request& held) const {
    const TrafficClass* traffic = context_.settings.find_traffic(held.attributes.traffic_type);
    return traffic ? traffic->setup_latency_objective : std::nullopt;
  }

  void handle(const ShutdownStarted& event) {
    // Danger: what would be answered only after this node's end is never answered.
    if (event.answer_by <= 0) {
      return;
    }
    for (auto& [id, held] : held_) {
      held.attributes.deadline = std::min(held.attributes.deadline, event.answer_by);
    }
  }

  void handle(const RequestReceived& event) {
    Request& held = open(event.request);
    retry_budget_.record_arrival(context_.settings.retry_budget, context_.now);
    seek(held);
    forget(event.request.id);
  }

  void handle(const ConnectionAdopted& event) {
    Request& held = open(event.request);
    held.standing = true;
    held.pending = event.is_pending;
    held.tries.push_back({{event.endpoint, {}, {}}, context_.now, true, true});
    context_.post_to_endpoint(event.endpoint, ConnectionOpened{});
  }

  Request& open(const RequestAttributes& attributes) {
    Request& held = held_[attributes.id];
    held = Request{};
    held.attributes = attributes;
    if (const TrafficClass* traffic = context_.settings.find_traffic(attributes.traffic_type)) {
      held.repeat_rule = traffic->repeat_rule;
    }
    return held;
  }

  Request* find(const std::string& id) {
    const auto found = held_.find(id);
    return found == held_.end() ? nullptr : &found->second;
  }

  void handle(const AttemptEstablished& event) {
    if (Request* held = find(event.request_id)) {
      stands(*held, event);
    }
    forget(event.request_id);
  }

  void handle(const AttemptEnded& event) {
    if (Request* held = find(event.request_id)) {
      ended(*held, event);
    }
    forget(event.request_id);
  }

  void handle(const ClientDisconnected& event) {
    if (Request* held = find(event.request_id)) {
      held->answered = true;
    }
    forget(event.request_id);
  }

  void handle(const LatencyReported& event) {
    if (find(event.request_id)) {
      context_.post_to_endpoint(event.endpoint, LatencyObserved{event.latency});
    }
    forget(event.request_id);
  }

  void handle(const LoadReported& event) { forget(event.request_id); }

  // A connection that hangs though its endpoint serves others, or while weights are frozen, is migrated by
  // itself.
  void handle(const RequestStalled& event) {
    Request* held = find(event.request_id);
    if (held && held->standing && !held->answered && event.unanswered_for >= kLineSilent) {
      move(*held);
    }
    forget(event.request_id);
  }

  void handle(const CandidateList& candidates) {
    ask(candidates, true);
    forget(candidates.request_id);
  }

  void handle(const Declined& declined) {
    ask(declined.candidates, false);
    forget(declined.candidates.request_id);
  }

  void handle(const Admitted& admitted) {
    send(admitted.request_id, admitted.endpoint);
    forget(admitted.request_id);
  }

  void handle(const MigrateConnections& message) { evict(message); }

  void stands(Request& held, const AttemptEstablished& event) {
    held.pending = false;
    if (!std::exchange(held.standing, true)) {
      --attempts_in_flight_;  // a connection from before was no try of this node
    }
    keep_last(times_, event.setup_time, kTimes);
    // The time beyond which a set-up counts as a bad one.
    const Duration longest_good = setup_latency_objective(held).value_or(0) / 2;
    const bool in_time = event.setup_time <= longest_good;
    record_setup(event.endpoint, in_time);
    context_.post_to_endpoint(
        event.endpoint, AttemptSucceeded{in_time || attempt_limit_.shared_dependency_fails(context_.now)});
  }

  void record_setup(const std::string& endpoint, bool is_good) {
    if (attempt_limit_.record_setup(endpoint, is_good, attempts_in_flight_, context_.now)) {
      context_.log("set-ups go wrong at most hosts, out " + std::to_string(attempts_in_flight_));
    }
  }

  void ended(Request& held, const AttemptEnded& event) {
    if (event.attempt < 0 || event.attempt >= static_cast<int>(held.tries.size())) {
      return;
    }
    Attempt& last = held.tries[static_cast<std::size_t>(event.attempt)];
    if (!std::exchange(last.in_flight, false)) {
      return;
    }
    last.may_have_run = may_have_run(event.outcome);
    Outcome told = event.outcome;
    // Danger: a host that leaves while its connection comes up would cost the attachment one of its tries.
    if (event.outcome == Outcome::withdrawn) {
      --attempts_in_flight_;
      context_.post_to_endpoint(last.location.host, AttemptFinished{event.outcome, false});
      if (held.tries.size() > 1) {
        retry_budget_.withdraw_retry();
      }
      held.tries.pop_back();
      return held.answered ? void() : seek(held);
    }
    if (!held.standing) {
      --attempts_in_flight_;
      // Danger: a host that takes no connection is down by itself, whatever stands behind the others.
      if (event.outcome != Outcome::cancelled && event.outcome != Outcome::not_sent &&
          event.outcome != Outcome::connect_failed) {
        record_setup(last.location.host, false);
        if (attempt_limit_.shared_dependency_fails(context_.now)) {
          told = Outcome::cancelled;
        }
      }
    }
    context_.post_to_endpoint(last.location.host, AttemptFinished{told, held.standing});
    if (event.is_final || held.standing) {
      held.answered = true;
    }
    if (!held.answered) {
      seek(held);
    }
  }

  // Whole groups move, the same at every node, so that a group is paid for at one host and not at two.
  // Danger: a least of one at each of many nodes clears a host at a stroke; a group's hash says when it goes.
  void evict(const MigrateConnections& message) {
    const std::string& host = message.endpoint;
    std::erase_if(moved_, [this](Tenths when) { return context_.now - when >= kSecond; });
    for (auto& [id, held] : held_) {
      if (!held.standing || held.answered) {
        continue;
      }
      if (!host.empty() && held.tries.back().location.host != host) {
        continue;
      }
      // Danger: one that is still to come up again would be ended by a trouble that may pass.
      if (held.pending && !host.empty() && !message.endpoint_is_leaving) {
        continue;
      }
      const auto& by = held.attributes.affinity_group && message.whole_groups ? held.attributes.affinity_group
                                                                              : held.attributes.client_key;
      const auto group = hash(by ? static_cast<std::uint64_t>(*by) : hash(id));
      if (static_cast<double>(hash(group ^ hash(host)) >> 32) >= message.share * 4294967296.0) {
        continue;
      }
      if (static_cast<int>(moved_.size()) >= message.budget) {
        return;  // danger: moved work chases itself without room
      }
      move(held);
    }
  }

  void move(Request& held) {
    held.answered = true;  // the client comes again as a new attachment
    context_.act(MigrateConnection{held.attributes.id, held.tries.back().location.host});
    moved_.push_back(context_.now);
  }

  // The one place that decides whether an attachment may have another setup try.
  bool may_be_tried_again(const Request& held) const {
    if (held.answered || held.standing || context_.now >= held.attributes.deadline) {
      return false;
    }
    if (static_cast<double>(held.tries.size()) >= context_.settings.max_attempts) {
      return false;
    }
    return !check_repeat(held.repeat_rule, held.tries, std::nullopt, context_.now);
  }

  bool budget_allows_retry() {
    return retry_budget_.allows_retry(context_.settings.retry_budget, context_.now);
  }

  // Fairness: what lies beyond a tenant's share gives way first, and only while room is short.
  bool beyond_share(const Request& held) const {
    const Tenant* tenant = context_.settings.find_tenant(held.attributes.tenant);
    const double share = tenant ? tenant->connections.value_or(0) / context_.settings.node_count : 0;
    double open = 0;
    for (const auto& [id, other] : held_) {
      if (!other.answered && other.standing && other.attributes.tenant == held.attributes.tenant) {
        ++open;
      }
    }
    return share > 0 && open + 1 >= share + kOverBy;  // danger: a share under one shuts its tenant out
  }

  void seek(Request& held) {
    if (!may_be_tried_again(held) || attempt_limit_.forbids_attempt(attempts_in_flight_, context_.now)) {
      return give_up(held);
    }
    if (!budget_allows_retry() && !held.tries.empty()) {
      return give_up(held);  // asked of all: old ones go
    }
    auto query = std::make_shared<SelectionQuery>();
    query->request = held.attributes;
    if (held.attributes.affinity_group) {
      for (const auto& [id, other] : held_) {
        if (other.standing && !other.answered &&
            other.attributes.affinity_group == held.attributes.affinity_group) {
          query->affinity_endpoints.insert(other.tries.back().location.host);
          ++query->group_connections;
        }
      }
    }
    for (const Attempt& earlier : held.tries) {
      query->tried.push_back(earlier.location.host);
      if (held.repeat_rule.idempotency == Idempotency::deduplicated && earlier.may_have_run) {
        query->deduplicating_endpoint = earlier.location.host;
      }
    }
    query->scope = held.repeat_rule.scope;
    query->shortage = none_at_ > 0 && context_.now - none_at_ < kStrainHeld;
    context_.post_to_endpoint_set(SelectEndpoints{std::move(query), {}});
  }

  // Asks the next host of a route; each host answers with a note of its own.
  void ask(const CandidateList& candidates, bool is_first) {
    Request* held = find(candidates.request_id);
    if (!held || held->answered) {
      return;
    }
    const bool crowd = candidates.fleet.crowd_limit > 0;
    const bool gives_way = is_first && crowd && beyond_share(*held);
    const bool none = candidates.asked >= candidates.endpoints->size();
    if (crowd && none) {
      none_at_ = context_.now;
    }
    if (gives_way || none || context_.now >= held->attributes.deadline) {
      return give_up(*held);
    }
    const std::string& endpoint = (*candidates.endpoints)[candidates.asked];
    AdmissionRequest message{candidates};
    ++message.candidates.asked;
    context_.post_to_endpoint(endpoint, std::move(message));
  }

  void send(const std::string& id, const std::string& host) {
    Request& held = held_[id];
    if (!held.tries.empty()) {
      if (!budget_allows_retry()) {  // spent since it was sought: the host has counted it, and counts it out
                                     // again
        context_.post_to_endpoint(host, AttemptFinished{Outcome::not_sent, false});
        return give_up(held);
      }
      retry_budget_.record_retry(context_.now);
    }
    held.tries.push_back({{host, {}, {}}, context_.now, true, true});
    ++attempts_in_flight_;
    context_.act(StartAttempt{id, host, time_out(held)});
  }

  // A try that hangs must leave time for another within the latency goal; the last one may use all of it.
  Tenths time_out(const Request& held) const {
    const Tenths left = held.attributes.deadline - context_.now;
    if (static_cast<double>(held.tries.size()) >= context_.settings.max_attempts) {
      return left;
    }
    // Danger: given up early, a set-up behind a slow store is work done for nobody, and its repeat is more of
    // it.
    if (held.repeat_rule.idempotency == Idempotency::non_idempotent || held.attributes.is_mid_connection ||
        attempt_limit_.is_active(context_.now)) {
      return left;
    }
    std::vector<Tenths> sorted(times_.begin(), times_.end());
    std::sort(sorted.begin(), sorted.end());
    const Tenths usual = sorted.empty() ? 0 : sorted[sorted.size() * 9 / 10];
    const auto goal = setup_latency_objective(held).value_or(left);
    return std::clamp<Tenths>(std::max(goal / 3, 3 * usual), 1, std::max<Tenths>(left, 1));
  }

  void give_up(Request& held) {
    if (std::exchange(held.answered, true)) {
      return;
    }
    const std::string& id = held.attributes.id;
    if (!may_be_rejected(held.repeat_rule, held.tries)) {
      return context_.act(FailRequest{id});
    }
    const Settings& settings = context_.settings;
    const auto most = static_cast<double>(settings.retry_after_allowed ? settings.max_retry_after : 0);
    const double share = 0.2 + 0.8 * context_.random.share();  // danger: a rejected crowd comes back in step
    context_.act(RejectRequest{id, static_cast<Duration>(most * share)});
  }

  PolicyContext& context_;
  std::map<std::string, Request> held_;
  RetryBudget retry_budget_;
  AdaptiveAttemptLimit attempt_limit_;
  int attempts_in_flight_ = 0;  // without established connections
  Tenths none_at_ = 0;          // when a request last found no endpoint during a surge
  std::deque<Tenths> times_;    // of the last set-ups that stood
  std::deque<Tenths> moved_;    // when connections were moved, over the last second
};

}  // namespace dapplewharf
