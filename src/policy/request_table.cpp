#include "policy/request_table.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <span>
#include <utility>

#include "base/random.h"
#include "policy/constants.h"

namespace dapplewharf {
namespace {

constexpr Duration kStallTimeout = 3 * kSecond;  // a connection migrates if a message is unanswered this long
constexpr Duration kMigrationWindow = kSecond;   // the window to which the migration budget applies
constexpr double kHashRange = 4294967296.0;      // 2^32; the upper half of a hash is below it
constexpr double kMinRetryAfterShare = 0.2;      // of Settings::max_retry_after

}  // namespace

void RequestTable::handle_message(const RequestTableMessage& message) {
  std::visit([this](const auto& typed_message) { handle(typed_message); }, message);
}

// Limits the deadlines to the answer deadline of the node's shutdown: a later answer would never be sent.
void RequestTable::handle(const ShutdownStarted& event) {
  if (event.answer_deadline <= 0) {
    return;
  }
  for (auto& [id, request] : requests_) {
    request.attributes.deadline = std::min(request.attributes.deadline, event.answer_deadline);
  }
}

void RequestTable::handle(const RequestReceived& event) {
  Request& request = open_request(event.request);
  retry_budget_.record_arrival(context_.settings.retry_budget, context_.now);
  select_endpoints(request);
  remove_if_done(event.request.id);
}

void RequestTable::handle(const ConnectionAdopted& event) {
  Request& request = open_request(event.request);
  request.is_established = true;
  request.is_pending = event.is_pending;
  request.attempts.push_back({{event.endpoint, {}, {}}, context_.now, true, true});
  context_.post_to_endpoint(event.endpoint, ConnectionRestored{});
}

void RequestTable::handle(const AttemptEstablished& event) {
  if (Request* request = find_request(event.request_id)) {
    establish(*request, event);
  }
  remove_if_done(event.request_id);
}

void RequestTable::handle(const AttemptEnded& event) {
  if (Request* request = find_request(event.request_id)) {
    end_attempt(*request, event);
  }
  remove_if_done(event.request_id);
}

// Ignored: the policy uses only the load that endpoints report in health checks.
void RequestTable::handle(const LoadReported& /*event*/) {}

void RequestTable::handle(const LatencyReported& event) {
  if (find_request(event.request_id)) {
    context_.post_to_endpoint(event.endpoint, LatencyObserved{event.latency});
  }
}

// A stalled connection is migrated alone, even if its endpoint serves other connections or weights are
// frozen.
void RequestTable::handle(const RequestStalled& event) {
  Request* request = find_request(event.request_id);
  if (request && request->is_established && !request->is_answered && event.unanswered_for >= kStallTimeout) {
    migrate(*request);
  }
}

void RequestTable::handle(const ClientDisconnected& event) {
  if (Request* request = find_request(event.request_id)) {
    request->is_answered = true;
  }
  remove_if_done(event.request_id);
}

void RequestTable::handle(const CandidateList& candidates) {
  ask_next_candidate(candidates, true);
  remove_if_done(candidates.request_id);
}

void RequestTable::handle(const Declined& declined) {
  ask_next_candidate(declined.candidates, false);
  remove_if_done(declined.candidates.request_id);
}

void RequestTable::handle(const Admitted& admitted) {
  start_attempt(admitted.request_id, admitted.endpoint);
  remove_if_done(admitted.request_id);
}

void RequestTable::handle(const MigrateConnections& message) {
  std::erase_if(migrated_at_,
                [this](TimePoint migrated_at) { return context_.now - migrated_at >= kMigrationWindow; });
  for (auto& [id, request] : requests_) {
    if (!should_migrate(request, message)) {
      continue;
    }
    // Without this budget more connections would migrate than other endpoints have room for, and these would
    // migrate again.
    if (static_cast<int>(migrated_at_.size()) >= message.migration_budget) {
      return;
    }
    migrate(request);
  }
}

Request& RequestTable::open_request(const RequestAttributes& attributes) {
  Request& request = requests_[attributes.id];
  request = Request{};
  request.attributes = attributes;
  if (const TrafficClass* traffic = context_.settings.find_traffic(attributes.traffic_type)) {
    request.repeat_rule = traffic->repeat_rule;
  }
  return request;
}

Request* RequestTable::find_request(const std::string& id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void RequestTable::remove_if_done(const std::string& id) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || !found->second.is_answered) {
    return;
  }
  const std::vector<Attempt>& attempts = found->second.attempts;
  if (std::none_of(attempts.begin(), attempts.end(),
                   [](const Attempt& attempt) { return attempt.is_in_flight; })) {
    requests_.erase(found);
  }
}

std::optional<Duration> RequestTable::setup_latency_objective(const Request& request) const {
  const TrafficClass* traffic = context_.settings.find_traffic(request.attributes.traffic_type);
  return traffic ? traffic->setup_latency_objective : std::nullopt;
}

void RequestTable::establish(Request& request, const AttemptEstablished& event) {
  request.is_pending = false;
  if (!std::exchange(request.is_established, true)) {  // an adopted connection did not count as in flight
    --attempts_in_flight_;
  }
  attempt_timeout_.record_setup(event.setup_time);
  const Duration max_setup_time = setup_latency_objective(request).value_or(0) / 2;
  const bool was_in_time = event.setup_time <= max_setup_time;
  record_setup(event.endpoint, was_in_time);
  context_.post_to_endpoint(
      event.endpoint, AttemptSucceeded{was_in_time || attempt_limit_.shared_dependency_fails(context_.now)});
}

void RequestTable::record_setup(const std::string& endpoint, bool was_in_time) {
  if (attempt_limit_.record_setup(endpoint, was_in_time, attempts_in_flight_, context_.now)) {
    context_.log("shared_dependency_failing attempts_in_flight=" + std::to_string(attempts_in_flight_));
  }
}

void RequestTable::end_attempt(Request& request, const AttemptEnded& event) {
  if (event.attempt < 0 || event.attempt >= static_cast<int>(request.attempts.size())) {
    return;
  }
  Attempt& attempt = request.attempts[static_cast<std::size_t>(event.attempt)];
  if (!std::exchange(attempt.is_in_flight, false)) {
    return;
  }
  attempt.may_have_run = may_have_run(event.outcome);
  if (event.outcome == Outcome::withdrawn) {
    return withdraw_attempt(request, attempt);
  }
  if (!request.is_established) {
    --attempts_in_flight_;
  }
  const Outcome outcome = outcome_for_endpoint(request, attempt, event.outcome);
  context_.post_to_endpoint(attempt.location.endpoint, AttemptFinished{outcome, request.is_established});
  if (event.is_final || request.is_established) {
    request.is_answered = true;
  }
  if (!request.is_answered) {
    select_endpoints(request);
  }
}

// An attempt that was withdrawn because its endpoint started to drain doesn't count against the request's
// attempts or the retry budget.
void RequestTable::withdraw_attempt(Request& request, const Attempt& attempt) {
  --attempts_in_flight_;
  context_.post_to_endpoint(attempt.location.endpoint, AttemptFinished{Outcome::withdrawn, false});
  if (request.attempts.size() > 1) {
    retry_budget_.withdraw_retry();
  }
  request.attempts.pop_back();
  if (!request.is_answered) {
    select_endpoints(request);
  }
}

// The outcome that counts against the endpoint. While a shared dependency fails, failed attempts don't count
// against their endpoints, except failures to connect, which are the endpoint's own.
Outcome RequestTable::outcome_for_endpoint(const Request& request, const Attempt& attempt, Outcome outcome) {
  if (request.is_established || outcome == Outcome::cancelled || outcome == Outcome::not_sent ||
      outcome == Outcome::connect_failed) {
    return outcome;
  }
  record_setup(attempt.location.endpoint, false);
  return attempt_limit_.shared_dependency_fails(context_.now) ? Outcome::cancelled : outcome;
}

// Whether the request's deadline, its number of attempts and its repeat rule allow another attempt.
bool RequestTable::may_attempt(const Request& request) const {
  if (request.is_answered || request.is_established || context_.now >= request.attributes.deadline) {
    return false;
  }
  if (static_cast<double>(request.attempts.size()) >= context_.settings.max_attempts) {
    return false;
  }
  return !check_repeat(request.repeat_rule, request.attempts, std::nullopt, context_.now);
}

bool RequestTable::budget_allows_retry() {
  return retry_budget_.allows_retry(context_.settings.retry_budget, context_.now);
}

// Whether the request exceeds its tenant's share of connections at this node; during a surge such requests
// are rejected first. A few connections above the share are allowed: a share below one connection would
// otherwise reject all of a tenant's requests.
bool RequestTable::is_over_quota(const Request& request) const {
  const Tenant* tenant = context_.settings.find_tenant(request.attributes.tenant);
  const double quota = tenant ? tenant->connection_quota.value_or(0) / context_.settings.node_count : 0;
  const auto open = std::count_if(requests_.begin(), requests_.end(), [&](const auto& entry) {
    const Request& other = entry.second;
    return !other.is_answered && other.is_established && other.attributes.tenant == request.attributes.tenant;
  });
  return quota > 0 && static_cast<double>(open) + 1 >= quota + kConnectionCountMargin;
}

// Queries candidates for the request's first attempt or a retry; sends the final answer if no attempt may
// follow.
void RequestTable::select_endpoints(Request& request) {
  if (!may_attempt(request) || attempt_limit_.forbids_attempt(attempts_in_flight_, context_.now)) {
    return send_final_answer(request);
  }
  // The call comes first, for first attempts too, because it discards the records that have left the window.
  if (!budget_allows_retry() && !request.attempts.empty()) {
    return send_final_answer(request);
  }
  auto query = std::make_shared<SelectionQuery>();
  query->request = request.attributes;
  if (request.attributes.affinity_group) {
    for (const auto& [id, other] : requests_) {
      if (other.is_established && !other.is_answered &&
          other.attributes.affinity_group == request.attributes.affinity_group) {
        query->affinity_endpoints.insert(other.attempts.back().location.endpoint);
        ++query->open_group_connections;
      }
    }
  }
  for (const Attempt& earlier : request.attempts) {
    query->tried_endpoints.push_back(earlier.location.endpoint);
    if (request.repeat_rule.idempotency == Idempotency::deduplicated && earlier.may_have_run) {
      query->deduplicating_endpoint = earlier.location.endpoint;
    }
  }
  query->deduplication_scope = request.repeat_rule.scope;
  query->is_capacity_short =
      last_shortage_at_ && context_.now - *last_shortage_at_ < kEndpointConditionLifetime;
  context_.post_to_endpoint_set(SelectEndpoints{std::move(query), {}});
}

void RequestTable::ask_next_candidate(const CandidateList& candidates, bool is_first) {
  Request* request = find_request(candidates.request_id);
  if (!request || request->is_answered) {
    return;
  }
  const bool is_surge = candidates.fleet.surge_share_per_second > 0;
  const bool no_candidate_left = candidates.next_index >= candidates.endpoints->size();
  if (is_surge && no_candidate_left) {
    last_shortage_at_ = context_.now;
  }
  const bool is_shed = is_first && is_surge && is_over_quota(*request);
  if (is_shed || no_candidate_left || context_.now >= request->attributes.deadline) {
    return send_final_answer(*request);
  }
  if (context_.awaits_list()) {
    return select_endpoints(*request);  // the candidates were selected by a list that may be outdated
  }
  const std::string& endpoint = (*candidates.endpoints)[candidates.next_index];
  AdmissionRequest message{candidates};
  ++message.candidates.next_index;
  context_.post_to_endpoint(endpoint, std::move(message));
}

void RequestTable::start_attempt(const std::string& id, const std::string& endpoint) {
  Request& request = requests_[id];
  if (!request.attempts.empty()) {
    // Other retries may have used up the budget since the candidates were selected. The endpoint has already
    // counted the attempt, so it is told that it ended.
    if (!budget_allows_retry()) {
      context_.post_to_endpoint(endpoint, AttemptFinished{Outcome::not_sent, false});
      return send_final_answer(request);
    }
    retry_budget_.record_retry(context_.now);
  }
  request.attempts.push_back({{endpoint, {}, {}}, context_.now, true, true});
  ++attempts_in_flight_;
  context_.add_action(StartAttempt{id, endpoint, attempt_timeout(request)});
}

// An attempt that no retry may follow gets all the time that is left. So does any attempt while a shared
// dependency fails: a shorter timeout would discard work that the dependency does anyway, and the retry would
// add to its load.
Duration RequestTable::attempt_timeout(const Request& request) const {
  const Duration time_left = request.attributes.deadline - context_.now;
  const bool is_last = static_cast<double>(request.attempts.size()) >= context_.settings.max_attempts ||
                       request.attributes.is_mid_connection;
  if (is_last || attempt_limit_.is_active(context_.now)) {
    return time_left;
  }
  const Duration timeout = attempt_timeout_.timeout_before_retry(time_left, setup_latency_objective(request));
  const std::span<const Attempt> attempts(request.attempts);
  const bool may_repeat = may_repeat_after_timeout(request.repeat_rule, attempts.first(attempts.size() - 1),
                                                   context_.now, context_.now + timeout);
  return may_repeat ? timeout : time_left;
}

// All final answers to requests that were not established are sent from here. The Retry-After time is random,
// because clients that are told the same time would all repeat their requests at the same time.
void RequestTable::send_final_answer(Request& request) {
  if (std::exchange(request.is_answered, true)) {
    return;
  }
  const std::string& id = request.attributes.id;
  if (!may_be_rejected(request.repeat_rule, request.attempts)) {
    return context_.add_action(FailRequest{id});
  }
  const Settings& settings = context_.settings;
  const auto max_retry_after =
      static_cast<double>(settings.retry_after_allowed ? settings.max_retry_after : 0);
  const double share = kMinRetryAfterShare + (1 - kMinRetryAfterShare) * context_.random.next_fraction();
  context_.add_action(RejectRequest{id, static_cast<Duration>(max_retry_after * share)});
}

// Whether the connection belongs to the share that is to migrate. The hash of its affinity group or client
// key decides, so that all nodes migrate the same groups and no group's work is done at two endpoints. The
// message names a share rather than a number of connections: a number would be at least one at each node, and
// many nodes would then clear an endpoint at once.
bool RequestTable::should_migrate(const Request& request, const MigrateConnections& message) const {
  if (!request.is_established || request.is_answered) {
    return false;
  }
  const std::string& endpoint = message.endpoint;
  if (!endpoint.empty() && request.attempts.back().location.endpoint != endpoint) {
    return false;
  }
  // An adopted connection that its endpoint has not confirmed is not migrated for a fault, which may be
  // transient: migration would end the connection.
  if (request.is_pending && !endpoint.empty() && !message.is_endpoint_leaving) {
    return false;
  }
  const RequestAttributes& attributes = request.attributes;
  const std::optional<std::int64_t>& key = attributes.affinity_group && message.keeps_groups_together
                                               ? attributes.affinity_group
                                               : attributes.client_key;
  const std::uint64_t group_hash = hash(key ? static_cast<std::uint64_t>(*key) : hash(attributes.id));
  return static_cast<double>(hash(group_hash ^ hash(endpoint)) >> 32) < message.migration_share * kHashRange;
}

// The client's reconnection is a new request, so this one counts as answered.
void RequestTable::migrate(Request& request) {
  request.is_answered = true;
  context_.add_action(MigrateConnection{request.attributes.id, request.attempts.back().location.endpoint});
  migrated_at_.push_back(context_.now);
}

}  // namespace dapplewharf
