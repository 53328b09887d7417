// Requests in flight and connections: their attempts, their deadline and their one final answer.
#pragma once
#include <deque>
#include <map>
#include <set>

#include "policy/constants.h"
#include "policy/messages.h"
#include "policy/notes.h"
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
    if (context_.settings.retry_budget) {
      taken_.push_back(context_.now);
    }
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
      --out_;  // a connection from before was no try of this node
    }
    keep_last(times_, event.setup_time, kTimes);
    // The time beyond which a set-up counts as a bad one.
    const Duration longest_good = setup_latency_objective(held).value_or(0) / 2;
    const bool in_time = event.setup_time <= longest_good;
    learn(event.endpoint, in_time);
    context_.post_to_endpoint(event.endpoint, AttemptSucceeded{in_time || behind_all()});
  }

  // Danger: what stands behind all hosts (a store) is slow or full, and all nodes' repeats keep it full. When
  // set-ups go wrong at most hosts in a second no host is blamed; as many are out as still come through.
  void learn(const std::string& host, bool good) {
    std::erase_if(lately_, [&](const auto& one) { return context_.now - one.second.first > kSecond; });
    lately_[host] = {context_.now, good};
    if (good) {
      window_ += 1 / window_, good_at_ = context_.now;
    }
    if (good || !behind_all() || context_.now - cut_at_ < kPulse * 2) {
      return;
    }
    if (!limited()) {
      window_ = out_ + 1, context_.log("set-ups go wrong at most hosts, out " + std::to_string(out_));
    }
    window_ = std::max(1.0, window_ / 2), cut_at_ = context_.now;
  }
  bool behind_all() const {
    const auto bad =
        std::count_if(lately_.begin(), lately_.end(), [](auto& one) { return !one.second.second; });
    // Danger: with few out results come one by one, and each would be taken for its host's fault.
    if (limited() && good_at_ < cut_at_) {
      return true;
    }
    return bad >= kBadRun && bad * 2 > static_cast<std::ptrdiff_t>(lately_.size());
  }
  bool limited() const { return cut_at_ > 0 && context_.now - cut_at_ < kTroubleHeld; }

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
      --out_;
      context_.post_to_endpoint(last.location.host, AttemptFinished{event.outcome, false});
      if (held.tries.size() > 1 && !further_.empty()) {
        further_.pop_back();
      }
      held.tries.pop_back();
      return held.answered ? void() : seek(held);
    }
    if (!held.standing) {
      --out_;
      // Danger: a host that takes no connection is down by itself, whatever stands behind the others.
      if (event.outcome != Outcome::cancelled && event.outcome != Outcome::not_sent &&
          event.outcome != Outcome::connect_failed) {
        learn(last.location.host, false);
        if (behind_all()) {
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

  // Danger: each failure answered by another try makes one host's trouble everybody's work. Where tries
  // beyond the first are rationed, whoever finds none left is answered at once. A tick to the safe side at
  // both ends.
  bool budget_allows() {
    const std::optional<RetryBudgetSettings>& budget = context_.settings.retry_budget;
    if (!budget) {
      return true;
    }
    while (!taken_.empty() && context_.now - taken_.front() >= budget->window) {
      taken_.pop_front();
    }
    while (!further_.empty() && context_.now - further_.front() > budget->window + 1) {
      further_.pop_front();
    }
    return static_cast<double>(further_.size() + 1) <=
           budget->min_retries + budget->retry_ratio * static_cast<double>(taken_.size());
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
    if (!may_be_tried_again(held) || (limited() && out_ >= window_)) {
      return give_up(held);
    }
    if (!budget_allows() && !held.tries.empty()) {
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
      if (!budget_allows()) {  // spent since it was sought: the host has counted it, and counts it out again
        context_.post_to_endpoint(host, AttemptFinished{Outcome::not_sent, false});
        return give_up(held);
      }
      further_.push_back(context_.now);
    }
    held.tries.push_back({{host, {}, {}}, context_.now, true, true});
    ++out_;
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
        limited()) {
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
  std::map<std::string, std::pair<Tenths, bool>>
      lately_;         // each host's last set-up of this second: when, good
  double window_ = 1;  // set-ups that may be out while they go wrong everywhere
  int out_ = 0;
  Tenths good_at_ = 0;                  // when a set-up last went well
  Tenths cut_at_ = 0, none_at_ = 0;     // none: in a crowd an attachment found no host
  std::deque<Tenths> times_;            // of the last set-ups that stood
  std::deque<Tenths> taken_, further_;  // where rationed: attachments taken, and tries beyond a first
  std::deque<Tenths> moved_;            // when connections were moved, over the last second
};

}  // namespace dapplewharf
