#include "policy/request_table.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <utility>

#include "base/random.h"
#include "policy/constants.h"

namespace dapplewharf {
namespace {

constexpr Duration kStalledAfter = 3 * kSecond;  // an unanswered message: nobody serves its connection
constexpr Duration kMigrationWindow = kSecond;   // of the migration budget
constexpr double kHashRange = 4294967296.0;      // 2^32, of the upper half of a hash
constexpr double kLeastRetryAfterShare = 0.2;    // of the longest Retry-After

}  // namespace

void RequestTable::read(const RequestTableMessage& message) {
  std::visit([this](const auto& one) { handle(one); }, message);
}

// An answer that is due only after this node's end would never be given.
void RequestTable::handle(const ShutdownStarted& event) {
  if (event.answer_by <= 0) {
    return;
  }
  for (auto& [id, request] : requests_) {
    request.attributes.deadline = std::min(request.attributes.deadline, event.answer_by);
  }
}

void RequestTable::handle(const RequestReceived& event) {
  Request& request = open_request(event.request);
  retry_budget_.record_arrival(context_.settings.retry_budget, context_.now);
  select_endpoints(request);
  forget_if_done(event.request.id);
}

void RequestTable::handle(const ConnectionAdopted& event) {
  Request& request = open_request(event.request);
  request.is_established = true;
  request.is_pending = event.is_pending;
  request.attempts.push_back({{event.endpoint, {}, {}}, context_.now, true, true});
  context_.post_to_endpoint(event.endpoint, ConnectionRestored{});
}

void RequestTable::handle(const AttemptEstablished& event) {
  if (Request* request = find(event.request_id)) {
    establish(*request, event);
  }
  forget_if_done(event.request_id);
}

void RequestTable::handle(const AttemptEnded& event) {
  if (Request* request = find(event.request_id)) {
    end_attempt(*request, event);
  }
  forget_if_done(event.request_id);
}

// Only endpoints' own load reports count.
void RequestTable::handle(const LoadReported& /*event*/) {}

void RequestTable::handle(const LatencyReported& event) {
  if (find(event.request_id)) {
    context_.post_to_endpoint(event.endpoint, LatencyObserved{event.latency});
  }
}

// A connection that hangs though its endpoint serves others, or while weights are frozen, is migrated by
// itself.
void RequestTable::handle(const RequestStalled& event) {
  Request* request = find(event.request_id);
  if (request && request->is_established && !request->is_answered && event.unanswered_for >= kStalledAfter) {
    migrate(*request);
  }
}

void RequestTable::handle(const ClientDisconnected& event) {
  if (Request* request = find(event.request_id)) {
    request->is_answered = true;
  }
  forget_if_done(event.request_id);
}

void RequestTable::handle(const CandidateList& candidates) {
  ask_next_candidate(candidates, true);
  forget_if_done(candidates.request_id);
}

void RequestTable::handle(const Declined& declined) {
  ask_next_candidate(declined.candidates, false);
  forget_if_done(declined.candidates.request_id);
}

void RequestTable::handle(const Admitted& admitted) {
  start_attempt(admitted.request_id, admitted.endpoint);
  forget_if_done(admitted.request_id);
}

void RequestTable::handle(const MigrateConnections& message) {
  std::erase_if(migrations_, [this](TimePoint when) { return context_.now - when >= kMigrationWindow; });
  for (auto& [id, request] : requests_) {
    if (!is_to_migrate(request, message)) {
      continue;
    }
    // Connections that migrate faster than other endpoints have room for would only migrate again.
    if (static_cast<int>(migrations_.size()) >= message.migration_budget) {
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

Request* RequestTable::find(const std::string& id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void RequestTable::forget_if_done(const std::string& id) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || !found->second.is_answered) {
    return;
  }
  const std::vector<Attempt>& attempts = found->second.attempts;
  if (std::none_of(attempts.begin(), attempts.end(), [](const Attempt& one) { return one.in_flight; })) {
    requests_.erase(found);
  }
}

std::optional<Duration> RequestTable::setup_latency_objective(const Request& request) const {
  const TrafficClass* traffic = context_.settings.find_traffic(request.attributes.traffic_type);
  return traffic ? traffic->setup_latency_objective : std::nullopt;
}

void RequestTable::establish(Request& request, const AttemptEstablished& event) {
  request.is_pending = false;
  if (!std::exchange(request.is_established, true)) {  // an adopted connection was no attempt of this node
    --attempts_in_flight_;
  }
  attempt_timeout_.record_setup(event.setup_time);
  const Duration longest_good = setup_latency_objective(request).value_or(0) / 2;
  const bool in_time = event.setup_time <= longest_good;
  record_setup(event.endpoint, in_time);
  context_.post_to_endpoint(
      event.endpoint, AttemptSucceeded{in_time || attempt_limit_.shared_dependency_fails(context_.now)});
}

void RequestTable::record_setup(const std::string& endpoint, bool is_good) {
  if (attempt_limit_.record_setup(endpoint, is_good, attempts_in_flight_, context_.now)) {
    context_.log("shared_dependency_failing attempts_in_flight=" + std::to_string(attempts_in_flight_));
  }
}

void RequestTable::end_attempt(Request& request, const AttemptEnded& event) {
  if (event.attempt < 0 || event.attempt >= static_cast<int>(request.attempts.size())) {
    return;
  }
  Attempt& attempt = request.attempts[static_cast<std::size_t>(event.attempt)];
  if (!std::exchange(attempt.in_flight, false)) {
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
  context_.post_to_endpoint(attempt.location.host, AttemptFinished{outcome, request.is_established});
  if (event.is_final || request.is_established) {
    request.is_answered = true;
  }
  if (!request.is_answered) {
    select_endpoints(request);
  }
}

// An endpoint that begins to drain while the connection is set up does not use up one of the request's
// attempts.
void RequestTable::withdraw_attempt(Request& request, const Attempt& attempt) {
  --attempts_in_flight_;
  context_.post_to_endpoint(attempt.location.host, AttemptFinished{Outcome::withdrawn, false});
  if (request.attempts.size() > 1) {
    retry_budget_.withdraw_retry();
  }
  request.attempts.pop_back();
  if (!request.is_answered) {
    select_endpoints(request);
  }
}

// While a dependency behind all endpoints fails, no endpoint is blamed for an attempt that failed. One that
// could not be connected to is down by itself, whatever lies behind the others.
Outcome RequestTable::outcome_for_endpoint(const Request& request, const Attempt& attempt, Outcome outcome) {
  if (request.is_established || outcome == Outcome::cancelled || outcome == Outcome::not_sent ||
      outcome == Outcome::connect_failed) {
    return outcome;
  }
  record_setup(attempt.location.host, false);
  return attempt_limit_.shared_dependency_fails(context_.now) ? Outcome::cancelled : outcome;
}

// Whether the request may have an attempt, its first or another one.
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

// Requests beyond their tenant's quota are rejected first while endpoints are short. A quota under one
// connection a node would shut its tenant out, so a few connections over it are allowed.
bool RequestTable::is_over_quota(const Request& request) const {
  const Tenant* tenant = context_.settings.find_tenant(request.attributes.tenant);
  const double quota = tenant ? tenant->connections.value_or(0) / context_.settings.node_count : 0;
  const auto open = std::count_if(requests_.begin(), requests_.end(), [&](const auto& one) {
    const Request& other = one.second;
    return !other.is_answered && other.is_established && other.attributes.tenant == request.attributes.tenant;
  });
  return quota > 0 && static_cast<double>(open) + 1 >= quota + kConnectionCountMargin;
}

// Begins the search for an endpoint, for a first attempt or a retry, or gives the final answer where none may
// follow.
void RequestTable::select_endpoints(Request& request) {
  if (!may_attempt(request) || attempt_limit_.forbids_attempt(attempts_in_flight_, context_.now)) {
    return answer_finally(request);
  }
  // The budget is asked for a first attempt too, so that what is older than its window is dropped.
  if (!budget_allows_retry() && !request.attempts.empty()) {
    return answer_finally(request);
  }
  auto query = std::make_shared<SelectionQuery>();
  query->request = request.attributes;
  if (request.attributes.affinity_group) {
    for (const auto& [id, other] : requests_) {
      if (other.is_established && !other.is_answered &&
          other.attributes.affinity_group == request.attributes.affinity_group) {
        query->affinity_endpoints.insert(other.attempts.back().location.host);
        ++query->open_group_connections;
      }
    }
  }
  for (const Attempt& earlier : request.attempts) {
    query->tried_endpoints.push_back(earlier.location.host);
    if (request.repeat_rule.idempotency == Idempotency::deduplicated && earlier.may_have_run) {
      query->deduplicating_endpoint = earlier.location.host;
    }
  }
  query->deduplication_scope = request.repeat_rule.scope;
  query->is_capacity_short = shortage_at_ && context_.now - *shortage_at_ < kEndpointConditionLifetime;
  context_.post_to_endpoint_set(SelectEndpoints{std::move(query), {}});
}

void RequestTable::ask_next_candidate(const CandidateList& candidates, bool is_first) {
  Request* request = find(candidates.request_id);
  if (!request || request->is_answered) {
    return;
  }
  const bool is_surge = candidates.fleet.surge_share_per_second > 0;
  const bool none_left = candidates.next_index >= candidates.endpoints->size();
  if (is_surge && none_left) {
    shortage_at_ = context_.now;
  }
  const bool gives_way = is_first && is_surge && is_over_quota(*request);
  if (gives_way || none_left || context_.now >= request->attributes.deadline) {
    return answer_finally(*request);
  }
  const std::string& endpoint = (*candidates.endpoints)[candidates.next_index];
  AdmissionRequest message{candidates};
  ++message.candidates.next_index;
  context_.post_to_endpoint(endpoint, std::move(message));
}

void RequestTable::start_attempt(const std::string& id, const std::string& endpoint) {
  Request& request = requests_[id];
  if (!request.attempts.empty()) {
    if (!budget_allows_retry()) {  // spent since the candidates were selected; the endpoint has counted the
                                   // attempt
      context_.post_to_endpoint(endpoint, AttemptFinished{Outcome::not_sent, false});
      return answer_finally(request);
    }
    retry_budget_.record_retry(context_.now);
  }
  request.attempts.push_back({{endpoint, {}, {}}, context_.now, true, true});
  ++attempts_in_flight_;
  context_.add_action(StartAttempt{id, endpoint, timeout_of(request)});
}

// An attempt that no other may follow gets all the time that is left. So does one behind a dependency that
// fails: given up early, its work is done for nobody, and its retry adds to the load.
Duration RequestTable::timeout_of(const Request& request) const {
  const Duration left = request.attributes.deadline - context_.now;
  const bool is_last = static_cast<double>(request.attempts.size()) >= context_.settings.max_attempts ||
                       request.repeat_rule.idempotency == Idempotency::non_idempotent ||
                       request.attributes.is_mid_connection;
  if (is_last || attempt_limit_.is_active(context_.now)) {
    return left;
  }
  return attempt_timeout_.with_retry(left, setup_latency_objective(request));
}

// The policy's one place for final answers to requests that were not established. Clients that were all told
// the same Retry-After would come back together, so it is drawn at random.
void RequestTable::answer_finally(Request& request) {
  if (std::exchange(request.is_answered, true)) {
    return;
  }
  const std::string& id = request.attributes.id;
  if (!may_be_rejected(request.repeat_rule, request.attempts)) {
    return context_.add_action(FailRequest{id});
  }
  const Settings& settings = context_.settings;
  const auto longest = static_cast<double>(settings.retry_after_allowed ? settings.max_retry_after : 0);
  const double share = kLeastRetryAfterShare + (1 - kLeastRetryAfterShare) * context_.random.next_fraction();
  context_.add_action(RejectRequest{id, static_cast<Duration>(longest * share)});
}

// Whole groups migrate, the same at every node, so that a group's work is not done at two endpoints. A
// group's hash says when it goes: a least number from each of many nodes would clear an endpoint at once.
bool RequestTable::is_to_migrate(const Request& request, const MigrateConnections& message) const {
  if (!request.is_established || request.is_answered) {
    return false;
  }
  const std::string& endpoint = message.endpoint;
  if (!endpoint.empty() && request.attempts.back().location.host != endpoint) {
    return false;
  }
  // A connection that its endpoint has not confirmed yet would be ended by a fault that may pass.
  if (request.is_pending && !endpoint.empty() && !message.is_endpoint_leaving) {
    return false;
  }
  const RequestAttributes& attributes = request.attributes;
  const std::optional<std::int64_t>& key = attributes.affinity_group && message.keeps_groups_together
                                               ? attributes.affinity_group
                                               : attributes.client_key;
  const std::uint64_t group = hash(key ? static_cast<std::uint64_t>(*key) : hash(attributes.id));
  return static_cast<double>(hash(group ^ hash(endpoint)) >> 32) < message.migration_share * kHashRange;
}

// The client comes back as a new request.
void RequestTable::migrate(Request& request) {
  request.is_answered = true;
  context_.add_action(MigrateConnection{request.attributes.id, request.attempts.back().location.host});
  migrations_.push_back(context_.now);
}

}  // namespace dapplewharf
