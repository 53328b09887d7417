// How one endpoint handles each message and derives the status that it publishes (policy/endpoint.h).
#include "policy/endpoint.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>
#include <variant>

#include "policy/constants.h"

namespace dapplewharf {
namespace {

std::string format_two_decimals(double value) {
  std::string text = std::to_string(std::llround(value * 100) / 100.0);
  return text.substr(0, text.find('.') + 3);
}

// Endpoints that may decline one request because of health checks; after that reported load is ignored and no
// further check is awaited.
constexpr int kMaxPassedOverCount = 3;
constexpr double kFullReportedLoad = 0.8;  // share of capacity above which messages queue
constexpr double kHealthCheckWork = 0.1;   // in new connections
// A request closer to its deadline does not wait for a health check.
constexpr Duration kMinTimeToDeadline = kSecond;

// Whether the outcome of an attempt or connection counts as a failure of the endpoint.
bool is_endpoint_failure(Outcome outcome) {
  switch (outcome) {
    case Outcome::succeeded:
    case Outcome::cancelled:
    case Outcome::not_sent:
    case Outcome::withdrawn:
      return false;
    case Outcome::error:
    case Outcome::rejected:
    case Outcome::timed_out:
    case Outcome::connect_failed:
    case Outcome::connection_lost:
      break;
  }
  return true;
}

const char* name_of(SheddingReason reason) {
  switch (reason) {
    case SheddingReason::unresponsive:
      return "unresponsive";
    case SheddingReason::leaving:
      return "leaving";
    case SheddingReason::over_objective:
      break;
  }
  return "over_objective";
}

}  // namespace

Endpoint::Endpoint(PolicyContext& context, std::string id)
    : context_(context),
      id_(std::move(id)),
      check_schedule_(context.settings, context.now, context.random.next_fraction()),
      latency_(context.settings),
      slow_start_(context.settings, id_),
      rate_limit_(context.settings) {}

void Endpoint::handle_message(const EndpointMessage& message) {
  std::visit([this](const auto& concrete_message) { handle(concrete_message); }, message);
  update_status();
  post_status();
}

void Endpoint::handle(const EndpointListed& message) {
  fleet_ = message.fleet;
  const EndpointEntry& entry = message.entry;
  const bool has_restarted = was_listed_ && entry.started_at > slow_start_.started_at();
  status_.zone = entry.zone;
  status_.cell = entry.cell;
  status_.machine_type = entry.machine_type;
  status_.capacity = entry.size > 0 ? entry.size : 1;
  if (message.connections_all_nodes) {
    status_.connections_elsewhere = std::max(0.0, *message.connections_all_nodes - status_.open_connections);
  }
  slow_start_.set_started_at(entry.started_at);
  if (entry.state != EndpointState::healthy) {
    leave_service(entry.state);
    return;
  }
  state_ = EndpointState::healthy;
  is_removal_unconfirmed_ = false;
  const bool is_first_seen_in_slow_start = !was_listed_ && slow_start_.is_active(context_.now);
  if (message.is_new || has_restarted || is_first_seen_in_slow_start) {
    // An endpoint in slow start would be overloaded at once if it began at full weight.
    ramp_.restart(context_.now);
    health_.reset(was_listed_ ? kMaxScore : fleet_.mean_score);
    context_.log("slow_start_started endpoint=" + id_ +
                 " age_ms=" + std::to_string((context_.now - slow_start_.started_at()) / kMs));
  }
  was_listed_ = true;
}

void Endpoint::handle(const EndpointUnlisted&) {
  leave_service(EndpointState::removed);
}

void Endpoint::handle(const EndpointWakeUp& message) {
  fleet_ = message.fleet;
  advance_ramp_if_due();
  check_health_if_due();
  shed_connections_if_due();
}

void Endpoint::handle(const ListFreshnessObserved& message) {
  slow_start_.set_possible_start_at(message.possible_start_at);
  is_list_in_doubt_ = message.possible_start_at.has_value();
  may_be_draining_ = may_be_draining_ && is_list_in_doubt_;
  handle(EndpointWakeUp{message.fleet});
}

void Endpoint::handle(const AdmissionRequest& message) {
  fleet_ = message.candidates.fleet;
  admit_or_decline(message.candidates);
}

void Endpoint::handle(const ConnectionRestored&) {
  ++status_.open_connections;
}

void Endpoint::handle(const AttemptSucceeded& message) {
  health_.record_connection_outcome(context_.now);
  record_result(SignalSource::passive, message.counts_as_success);
}

void Endpoint::handle(const AttemptFinished& message) {
  if (message.was_established && message.outcome == Outcome::connection_lost) {
    connection_lost_at_ = context_.now;
  }
  status_.open_connections = std::max(0, status_.open_connections - 1);
  may_be_draining_ = may_be_draining_ || (is_list_in_doubt_ && message.outcome == Outcome::rejected);
  if (!is_endpoint_failure(message.outcome)) {
    return;
  }
  health_.record_connection_outcome(context_.now);
  record_result(SignalSource::passive, false);
}

void Endpoint::handle(const LatencyObserved& message) {
  latency_.record(context_.now, message.latency, status_.open_connections);
}

void Endpoint::handle(const GossipObserved& message) {
  status_.connections_elsewhere = message.connections_elsewhere.value_or(-1);
}

void Endpoint::handle(const HealthCheckEnded& message) {
  check_schedule_.record_check_ended(context_.now);
  record_reported_load(message);
  return_waiting_requests(message.outcome);
  record_check_outcome(message.outcome);
}

// A wrong endpoint list could remove endpoints that still serve their connections. If
// may_use_removed_endpoints is set, health checks decide whether an endpoint that was removed without a drain
// stays in service; the first of them is due at once.
void Endpoint::leave_service(EndpointState state) {
  const bool is_removed_without_drain = state == EndpointState::removed && state_ == EndpointState::healthy;
  if (is_removed_without_drain && context_.settings.may_use_removed_endpoints) {
    if (!std::exchange(is_removal_unconfirmed_, true)) {
      check_schedule_.make_due_now(context_.now);
      context_.log("removal_left_to_health_checks endpoint=" + id_);
    }
    return;
  }
  if (state_ == EndpointState::healthy) {
    left_service_at_ = context_.now;
  }
  state_ = state;
}

bool Endpoint::is_in_service() const {
  const bool is_removal_confirmed =
      is_removal_unconfirmed_ && health_.signal(SignalSource::active).is_suspect();
  return state_ == EndpointState::healthy && !is_removal_confirmed;
}

bool Endpoint::may_take_request(bool is_mid_connection) const {
  if (state_ != EndpointState::healthy) {
    return may_resume_while_draining(is_mid_connection);
  }
  if (!is_in_service() || (may_be_draining_ && !is_mid_connection)) {
    return false;
  }
  if (slow_start_.is_active(context_.now)) {
    return slow_start_.admits_connection(context_.now, slow_start_conditions(), sent_work_, context_.random);
  }
  if (is_mid_connection) {
    return true;
  }
  return !latency_.is_at_connection_cap(context_.now, status_.open_connections) &&
         rate_limit_.admits_connection(context_.now, surge_conditions(), sent_work_);
}

// A draining endpoint may hold the state of a connection that a client resumes, so it may take such requests
// until shortly before its grace period ends.
bool Endpoint::may_resume_while_draining(bool is_mid_connection) const {
  const bool is_in_grace_period =
      context_.now - left_service_at_ < context_.settings.drain_grace - kTimerInterval;
  return state_ == EndpointState::draining && is_mid_connection && is_in_grace_period;
}

SlowStartConditions Endpoint::slow_start_conditions() const {
  return {.capacity = status_.capacity,
          .sustained_per_capacity = sustained_per_capacity(),
          .quota_per_capacity = fleet_.quota_per_capacity,
          .selections_per_capacity = fleet_.selections_per_capacity,
          .group_selections = fleet_.group_selections,
          .is_surge = fleet_.surge_share_per_second > 0,
          .reports_headroom = reports_headroom(),
          .knows_other_nodes_connections = status_.connections_elsewhere >= 0};
}

SurgeConditions Endpoint::surge_conditions() const {
  return {.capacity = status_.capacity,
          .open_connections = status_.open_connections,
          .mean_connections = fleet_.mean_connections,
          .quota_per_capacity = fleet_.quota_per_capacity,
          .surge_share_per_second = fleet_.surge_share_per_second,
          .reports_headroom = reports_headroom()};
}

// Connections of this node that a warm endpoint of the same machine type and capacity 1 sustains. A machine
// type without an entry uses the figure over all types, whose key "" is the map's first entry.
double Endpoint::sustained_per_capacity() const {
  if (!fleet_.sustained_connections_by_type || fleet_.sustained_connections_by_type->empty()) {
    return 0;
  }
  const auto same_type = fleet_.sustained_connections_by_type->find(status_.machine_type);
  return same_type == fleet_.sustained_connections_by_type->end()
             ? fleet_.sustained_connections_by_type->begin()->second
             : same_type->second;
}

// A node that checks an endpoint only every few minutes does not know its current load. The request then
// waits for a check, unless its deadline is so near that the result could come too late.
bool Endpoint::needs_health_check_first(const CandidateList& candidates) const {
  const bool may_wait = !candidates.is_mid_connection &&
                        candidates.deadline - context_.now > kMinTimeToDeadline &&
                        candidates.passed_over_count < kMaxPassedOverCount;
  return may_wait && context_.settings.load_value_index &&
         !check_schedule_.was_checked_recently(context_.now) &&
         (check_schedule_.is_check_in_flight() || may_check_health());
}

bool Endpoint::is_at_reported_capacity(const CandidateList& candidates) const {
  return check_schedule_.was_checked_recently(context_.now) && status_.reported_load > kFullReportedLoad &&
         candidates.passed_over_count < kMaxPassedOverCount;
}

void Endpoint::admit_or_decline(const CandidateList& candidates) {
  const bool may_take = may_take_request(candidates.is_mid_connection);
  if (may_take && needs_health_check_first(candidates)) {
    waiting_for_check_.push_back(candidates);
    check_schedule_.make_due_now(context_.now);
    check_health_if_due();
    return;
  }
  if (may_take && !is_at_reported_capacity(candidates)) {
    context_.post_to_request_table(Admitted{.request_id = candidates.request_id, .endpoint = id_});
    sent_work_.add(context_.now, 1);
    ++status_.open_connections;
    return;
  }
  Declined declined{candidates};
  declined.candidates.passed_over_count += may_take ? 1 : 0;
  context_.post_to_request_table(std::move(declined));
}

// While the list is awaited, a health check could be new work for an endpoint that drains or has just
// started.
bool Endpoint::may_check_health() const {
  return !context_.awaits_list() && state_ == EndpointState::healthy && check_schedule_.may_start_check();
}

void Endpoint::check_health_if_due() {
  if (!may_check_health() || context_.now < check_schedule_.next_check_at()) {
    return;
  }
  check_schedule_.record_check_started(context_.now, health_.is_suspect(), fleet_.min_health_check_interval);
  sent_work_.add(context_.now, kHealthCheckWork);
  context_.add_action(CheckHealth{id_});
}

void Endpoint::record_reported_load(const HealthCheckEnded& check) {
  const std::optional<std::size_t> index = context_.settings.load_value_index;
  const bool has_load = index && *index < check.reported_values.size();
  status_.reported_load = has_load ? check.reported_values[*index] : -1;
  status_.headroom_until = has_load && status_.reported_load < kFullReportedLoad
                               ? context_.now + kMinSteadyHealthCheckInterval
                               : 0;
}

// After a successful check this endpoint is asked again, otherwise the next candidate. The messages are
// Declined in both cases: next_index says which endpoint follows.
void Endpoint::return_waiting_requests(Outcome check_outcome) {
  for (CandidateList& candidates : std::exchange(waiting_for_check_, {})) {
    if (check_outcome == Outcome::succeeded) {
      --candidates.next_index;
    } else {
      ++candidates.passed_over_count;
    }
    context_.post_to_request_table(Declined{std::move(candidates)});
  }
}

void Endpoint::record_check_outcome(Outcome outcome) {
  if (outcome == Outcome::not_sent) {
    return;  // this machine failed to send the check, so it says nothing about the endpoint
  }
  health_.record_check_outcome(outcome);
  const bool succeeded = outcome == Outcome::succeeded;
  record_result(SignalSource::active, succeeded);
  if (succeeded && health_.checks_count_for_passive_signal(context_.now)) {
    record_result(SignalSource::passive, true);
  }
}

void Endpoint::record_result(SignalSource source, bool succeeded) {
  const bool has_changed = health_.add_result(source, succeeded);
  if (has_changed) {
    log_signal_change(source, succeeded);
  }
  if (succeeded) {
    return;
  }
  check_schedule_.bring_forward(context_.now);
  if (has_changed) {
    ramp_.restart_after_cooldown(context_.now);
  } else if (!ramp_.is_complete() && health_.signal(source).is_healthy()) {
    ramp_.restart(context_.now);  // the ramp advances only while there are no failures
  }
}

void Endpoint::log_signal_change(SignalSource source, bool is_healthy) {
  context_.log(std::string(is_healthy ? "health_recovered" : "health_degraded") +
               " signal=" + (source == SignalSource::active ? "active" : "passive") + " endpoint=" + id_ +
               " success_share=" + format_two_decimals(health_.signal(source).success_share()) +
               " score=" + format_two_decimals(health_.score()));
}

TimePoint Endpoint::next_ramp_step_at() const {
  return health_.is_suspect() ? kNever : ramp_.next_step_at();
}

void Endpoint::advance_ramp_if_due() {
  if (context_.now < next_ramp_step_at()) {
    return;
  }
  ramp_.advance(context_.now);
  health_.lift_score_limit();
  context_.log("recovery_ramp_advanced endpoint=" + id_ + " weight_share=" +
               format_two_decimals(ramp_.weight_share()) + " score=" + format_two_decimals(health_.score()));
}

// Connections at an endpoint that answers nothing are of no use to their clients until they migrate. An
// endpoint that answers health checks with errors may still serve its connections; one whose messages take
// longer than the longest deadline does not.
std::optional<SheddingReason> Endpoint::shedding_reason() const {
  if (status_.open_connections == 0) {
    return {};
  }
  if (health_.is_unresponsive() || latency_.exceeds_longest_deadline(context_.now)) {
    return SheddingReason::unresponsive;
  }
  if (!is_in_service()) {
    return SheddingReason::leaving;
  }
  if (latency_.justifies_migration(context_.now)) {
    return SheddingReason::over_objective;
  }
  return {};
}

void Endpoint::shed_connections_if_due() {
  const std::optional<SheddingReason> reason = shedding_reason();
  if (!reason) {
    return;
  }
  const std::optional<SheddingBatch> batch =
      shedding_.next_batch(context_.now, *reason, !is_in_service(), fleet_.weights_frozen);
  if (!batch) {
    return;
  }
  context_.post_to_request_table(
      MigrateConnections{.endpoint = id_,
                         .migration_share = batch->cumulative_share,
                         .migration_budget = fleet_.migration_budget,
                         .keeps_groups_together = fleet_.connections_per_endpoint >= kConnectionCountMargin,
                         .is_endpoint_leaving = !is_in_service()});
  if (batch->starts_episode) {
    log_shedding(*reason);
  }
}

void Endpoint::log_shedding(SheddingReason reason) {
  context_.log("shedding_started endpoint=" + id_ + " open=" + std::to_string(status_.open_connections) +
               " reason=" + name_of(reason) + " latency_ms=" + format_two_decimals(latency_.latency() / kMs));
}

void Endpoint::update_status() {
  status_.score = health_.score();
  status_.weight = status_.score / kMaxScore * ramp_.weight_share();
  status_.is_in_service = is_in_service();
  status_.slow_until = latency_.slow_until();
  status_.over_objective_until = latency_.over_objective_until();
  status_.dropping_connections_until =
      connection_lost_at_ ? *connection_lost_at_ + kEndpointConditionLifetime : 0;
  status_.slow_start_until = slow_start_.ends_at();
  status_.wake_up_at = next_wake_up();
}

TimePoint Endpoint::next_wake_up() const {
  TimePoint due = next_ramp_step_at();
  if (may_check_health()) {
    due = std::min(due, check_schedule_.next_check_at());
  }
  if (shedding_reason()) {
    due = std::min(due, shedding_.next_batch_at());
  }
  return due;
}

// A change of wake_up_at alone is posted to the endpoint set only, because the selector does not use it.
void Endpoint::post_status() {
  if (posted_status_ == status_) {
    return;
  }
  context_.post_to_endpoint_set(EndpointStatusChanged{.endpoint = id_, .status = status_});
  if (posted_status_) {
    posted_status_->wake_up_at = status_.wake_up_at;
  }
  if (posted_status_ == status_) {
    return;
  }
  posted_status_ = status_;
  context_.post_to_selector(EndpointStatusChanged{.endpoint = id_, .status = status_});
}

}  // namespace dapplewharf
