// What one endpoint does with each message, and the status that it tells the other parts (policy/endpoint.h).
#include "policy/endpoint.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>
#include <variant>

#include "policy/constants.h"

namespace dapplewharf {
namespace {

std::string two_decimals(double value) {
  std::string text = std::to_string(std::llround(value * 100) / 100.0);
  return text.substr(0, text.find('.') + 3);
}

constexpr int kMaxEndpointsPassedOver = 3;    // checked for one request, before one is taken unchecked
constexpr double kFullLoad = 0.8;             // of capacity: from here messages queue
constexpr double kHealthCheckWork = 0.1;      // of the work of a new connection
constexpr Duration kMinTimeToWait = kSecond;  // to its deadline, for a request that waits for a health check

/// Whether the end of an attempt or connection says anything of the endpoint.
bool concerns_endpoint(Outcome outcome) {
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

void Endpoint::read(const EndpointMessage& message) {
  std::visit([this](const auto& one) { handle(one); }, message);
  update_status();
  post_status();
}

void Endpoint::handle(const EndpointListed& message) {
  fleet_ = message.fleet;
  const EndpointEntry& entry = message.entry;
  const bool restarted = was_listed_ && entry.started_at > slow_start_.started();
  status_.zone = entry.zone;
  status_.cell = entry.cell;
  status_.machine_type = entry.machine_type;
  status_.size = entry.size > 0 ? entry.size : 1;
  if (message.connections) {
    status_.connections_elsewhere = std::max(0.0, *message.connections - status_.open_connections);
  }
  slow_start_.set_started(entry.started_at);
  if (entry.state != EndpointState::healthy) {
    leave_service(entry.state);
    return;
  }
  state_ = EndpointState::healthy;
  removal_unconfirmed_ = false;
  const bool first_seen_cold = !was_listed_ && slow_start_.active(context_.now);
  if (message.is_new || restarted || first_seen_cold) {
    // At full weight an endpoint in slow start would be overloaded at once.
    ramp_.restart(context_.now);
    health_.start_over(was_listed_ ? kFullScore : fleet_.mean_score);
    context_.log("slow_start_started endpoint=" + id_ +
                 " age_ms=" + std::to_string((context_.now - slow_start_.started()) / kMs));
  }
  was_listed_ = true;
}

void Endpoint::handle(const EndpointUnlisted&) {
  leave_service(EndpointState::removed);
}

void Endpoint::handle(const EndpointTick& message) {
  fleet_ = message.fleet;
  advance_ramp_if_due();
  check_health_if_due();
  shed_connections_if_due();
}

void Endpoint::handle(const AdmissionRequest& message) {
  fleet_ = message.candidates.fleet;
  admit_or_decline(message.candidates);
}

void Endpoint::handle(const ConnectionOpened&) {
  ++status_.open_connections;
}

void Endpoint::handle(const AttemptSucceeded& message) {
  health_.note_connection_outcome(context_.now);
  record_result(SignalSource::passive, message.in_time);
}

void Endpoint::handle(const AttemptFinished& message) {
  if (message.was_established && message.outcome == Outcome::connection_lost) {
    dropped_connection_at_ = context_.now;
  }
  status_.open_connections = std::max(0, status_.open_connections - 1);
  if (!concerns_endpoint(message.outcome)) {
    return;
  }
  health_.note_connection_outcome(context_.now);
  record_result(SignalSource::passive, false);
}

void Endpoint::handle(const LatencyObserved& message) {
  latency_.record(context_.now, message.latency, status_.open_connections);
}

void Endpoint::handle(const GossipObserved& message) {
  status_.connections_elsewhere = message.connections_elsewhere.value_or(-1);
}

void Endpoint::handle(const HealthCheckEnded& message) {
  check_schedule_.note_ended(context_.now);
  record_reported_load(message);
  return_waiting_requests(message.outcome);
  record_check_outcome(message.outcome);
}

// A wrong endpoint list would take away endpoints that still serve their connections. Where only drains bind,
// health checks decide on an endpoint that is removed without a drain; the first check is due at once.
void Endpoint::leave_service(EndpointState state) {
  const bool removed_without_drain = state == EndpointState::removed && state_ == EndpointState::healthy;
  if (removed_without_drain && context_.settings.may_use_removed_endpoints) {
    if (!std::exchange(removal_unconfirmed_, true)) {
      check_schedule_.check_now(context_.now);
      context_.log("removal_left_to_health_checks endpoint=" + id_);
    }
    return;
  }
  if (state_ == EndpointState::healthy) {
    left_service_at_ = context_.now;
  }
  state_ = state;
}

bool Endpoint::in_service() const {
  const bool removal_confirmed = removal_unconfirmed_ && health_.signal(SignalSource::active).in_doubt();
  return state_ == EndpointState::healthy && !removal_confirmed;
}

bool Endpoint::may_take_request(bool is_mid_connection) const {
  if (state_ != EndpointState::healthy) {
    return may_take_connection_while_leaving(is_mid_connection);
  }
  if (!in_service()) {
    return false;
  }
  if (slow_start_.active(context_.now)) {
    return slow_start_.admits_connection(context_.now, slow_start_conditions(), sent_work_, context_.random);
  }
  if (is_mid_connection) {
    return true;
  }
  return !latency_.at_connection_cap(context_.now, status_.open_connections) &&
         rate_limit_.admits_connection(context_.now, surge_conditions(), sent_work_);
}

// A draining endpoint may hold the state of a connection that resumes; only the grace period allows to ask
// it.
bool Endpoint::may_take_connection_while_leaving(bool is_mid_connection) const {
  const bool in_grace_period =
      context_.now - left_service_at_ < context_.settings.drain_grace - kTimerInterval;
  return state_ == EndpointState::draining && is_mid_connection && in_grace_period;
}

SlowStartConditions Endpoint::slow_start_conditions() const {
  return {.size = status_.size,
          .sustained_by_warm = sustained_by_warm(),
          .quota_per_size = fleet_.quota_per_size,
          .selections_per_size = fleet_.selections_per_size,
          .group_selections = fleet_.group_selections,
          .is_surge = fleet_.surge_rate > 0,
          .reports_headroom = reports_headroom(),
          .knows_other_nodes_use = status_.connections_elsewhere >= 0};
}

SurgeConditions Endpoint::surge_conditions() const {
  return {.size = status_.size,
          .open_connections = status_.open_connections,
          .mean_connections = fleet_.mean_connections,
          .quota_per_size = fleet_.quota_per_size,
          .surge_rate = fleet_.surge_rate,
          .reports_headroom = reports_headroom()};
}

// Connections of this node at a warm endpoint of the same machine type, for size 1. A type that was never
// seen goes by all types, which are the map's first entry.
double Endpoint::sustained_by_warm() const {
  if (!fleet_.sustained_connections || fleet_.sustained_connections->empty()) {
    return 0;
  }
  const auto same_type = fleet_.sustained_connections->find(status_.machine_type);
  return same_type == fleet_.sustained_connections->end() ? fleet_.sustained_connections->begin()->second
                                                          : same_type->second;
}

// A node that checks an endpoint once in minutes knows nothing of its present load. The request waits for a
// check then, unless its deadline is so near that the answer could come too late.
bool Endpoint::needs_health_check_first(const CandidateList& candidates) const {
  const bool may_wait = !candidates.is_mid_connection &&
                        candidates.deadline - context_.now > kMinTimeToWait &&
                        candidates.passed_over < kMaxEndpointsPassedOver;
  return may_wait && context_.settings.load_value_index && !check_schedule_.checked_recently(context_.now) &&
         (check_schedule_.in_flight() || may_check_health());
}

bool Endpoint::at_reported_capacity(const CandidateList& candidates) const {
  return check_schedule_.checked_recently(context_.now) && status_.reported_load > kFullLoad &&
         candidates.passed_over < kMaxEndpointsPassedOver;
}

void Endpoint::admit_or_decline(const CandidateList& candidates) {
  const bool may_take = may_take_request(candidates.is_mid_connection);
  if (may_take && needs_health_check_first(candidates)) {
    waiting_for_check_.push_back(candidates);
    check_schedule_.check_now(context_.now);
    check_health_if_due();
    return;
  }
  if (may_take && !at_reported_capacity(candidates)) {
    context_.post_to_request_table(Admitted{.request_id = candidates.request_id, .endpoint = id_});
    sent_work_.add(context_.now, 1);
    ++status_.open_connections;
    return;
  }
  Declined declined{candidates};
  declined.candidates.passed_over += may_take ? 1 : 0;
  context_.post_to_request_table(std::move(declined));
}

bool Endpoint::may_check_health() const {
  return state_ == EndpointState::healthy && check_schedule_.may_start();
}

void Endpoint::check_health_if_due() {
  if (!may_check_health() || context_.now < check_schedule_.next_check_at()) {
    return;
  }
  check_schedule_.note_started(context_.now, health_.in_doubt(), fleet_.health_check_interval);
  sent_work_.add(context_.now, kHealthCheckWork);
  context_.act(CheckHealth{id_});
}

void Endpoint::record_reported_load(const HealthCheckEnded& check) {
  const std::optional<std::size_t> index = context_.settings.load_value_index;
  const bool reported = index && *index < check.reported_values.size();
  status_.reported_load = reported ? check.reported_values[*index] : -1;
  status_.headroom_until =
      reported && status_.reported_load < kFullLoad ? context_.now + kSteadyHealthCheckInterval : 0;
}

// After a good check the request is offered to this endpoint once more, otherwise to the next candidate.
void Endpoint::return_waiting_requests(Outcome check_outcome) {
  for (CandidateList& candidates : std::exchange(waiting_for_check_, {})) {
    if (check_outcome == Outcome::succeeded) {
      --candidates.asked;
    } else {
      ++candidates.passed_over;
    }
    context_.post_to_request_table(Declined{std::move(candidates)});
  }
}

void Endpoint::record_check_outcome(Outcome outcome) {
  if (outcome == Outcome::not_sent) {
    return;  // failed on this machine, says nothing of the endpoint
  }
  health_.note_check_outcome(outcome);
  const bool succeeded = outcome == Outcome::succeeded;
  record_result(SignalSource::active, succeeded);
  if (succeeded && health_.checks_count_as_connections(context_.now)) {
    record_result(SignalSource::passive, true);
  }
}

void Endpoint::record_result(SignalSource source, bool succeeded) {
  const bool turned = health_.add_result(source, succeeded);
  if (turned) {
    log_signal_turn(source, succeeded);
  }
  if (succeeded) {
    return;
  }
  check_schedule_.hurry(context_.now);
  if (turned) {
    ramp_.restart_after_cooldown(context_.now);
  } else if (!ramp_.complete() && health_.signal(source).healthy()) {
    ramp_.restart(context_.now);  // a step is taken only while no failure comes
  }
}

void Endpoint::log_signal_turn(SignalSource source, bool healthy) {
  context_.log(std::string(healthy ? "health_recovered" : "health_degraded") +
               " signal=" + (source == SignalSource::active ? "active" : "passive") + " endpoint=" + id_ +
               " success_share=" + two_decimals(health_.signal(source).success_share()) +
               " score=" + two_decimals(health_.score()));
}

TimePoint Endpoint::next_ramp_step_at() const {
  return health_.in_doubt() ? kNever : ramp_.next_step_at();
}

void Endpoint::advance_ramp_if_due() {
  if (context_.now < next_ramp_step_at()) {
    return;
  }
  ramp_.advance(context_.now);
  health_.end_inheritance();
  context_.log("recovery_ramp_advanced endpoint=" + id_ + " weight_share=" + two_decimals(ramp_.share()) +
               " score=" + two_decimals(health_.score()));
}

// Connections on an endpoint that serves nobody are lost until they end. An endpoint that answers health
// checks with errors may still serve them; one that is slower than any client waits does not.
std::optional<SheddingReason> Endpoint::shedding_reason() const {
  if (status_.open_connections == 0) {
    return {};
  }
  if (health_.unresponsive() || latency_.over_every_deadline(context_.now)) {
    return SheddingReason::unresponsive;
  }
  if (!in_service()) {
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
      shedding_.next_batch(context_.now, *reason, !in_service(), fleet_.weights_frozen);
  if (!batch) {
    return;
  }
  context_.post_to_request_table(
      MigrateConnections{.endpoint = id_,
                         .share = batch->share,
                         .budget = fleet_.migration_budget,
                         .whole_groups = fleet_.connections_per_endpoint >= kConnectionsOverMean,
                         .endpoint_is_leaving = !in_service()});
  if (batch->starts_episode) {
    log_shedding(*reason);
  }
}

void Endpoint::log_shedding(SheddingReason reason) {
  context_.log("shedding_started endpoint=" + id_ + " open=" + std::to_string(status_.open_connections) +
               " reason=" + name_of(reason) + " latency_ms=" + two_decimals(latency_.latency() / kMs));
}

void Endpoint::update_status() {
  status_.score = health_.score();
  status_.weight = status_.score / kFullScore * ramp_.share();
  status_.in_service = in_service();
  status_.slow_until = latency_.slow_until();
  status_.over_objective_until = latency_.over_objective_until();
  status_.dropping_until = dropped_connection_at_ ? *dropped_connection_at_ + kConditionHeld : 0;
  status_.cold_until = slow_start_.ends_at();
  status_.wake_at = next_wake_up();
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

// The selector is not told when only the time of the next wake-up has changed: that concerns the endpoint
// set.
void Endpoint::post_status() {
  if (posted_status_ == status_) {
    return;
  }
  context_.post_to_endpoint_set(StatusChanged{.endpoint = id_, .status = status_});
  if (posted_status_) {
    posted_status_->wake_at = status_.wake_at;
  }
  if (posted_status_ == status_) {
    return;
  }
  posted_status_ = status_;
  context_.post_to_selector(StatusChanged{.endpoint = id_, .status = status_});
}

}  // namespace dapplewharf
