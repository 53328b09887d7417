// How the endpoint set handles list changes, timers and the freeze of weights (policy/endpoint_set.h).
#include "policy/endpoint_set.h"

#include <algorithm>
#include <climits>
#include <memory>
#include <optional>

#include "policy/constants.h"

namespace dapplewharf {
namespace {

// After the start of its shutdown a node still gets new clients for this long.
constexpr Duration kNewClientsStopAfter = 500 * kMs;
constexpr Duration kShutdownMigrationTime = kSecond;  // after that, all connections migrate within this time

}  // namespace

EndpointSet::EndpointSet(PolicyContext& context)
    : context_(context), list_watch_(context.settings), statistics_(context.settings) {}

void EndpointSet::handle_message(const EndpointSetMessage& message) {
  std::visit([this](const auto& concrete_message) { handle(concrete_message); }, message);
  set_timer();
}

void EndpointSet::handle(const EndpointsCached& message) {
  replace_list(message.endpoints);
  list_watch_.schedule_first_call(context_.now, context_.random.next_fraction());
  watch_list_if_due();
}

void EndpointSet::handle(const EndpointsSnapshot& message) {
  list_watch_.record_answer();
  replace_list(message.endpoints);
}

void EndpointSet::handle(const EndpointsUpdate& message) {
  list_watch_.record_answer();
  update_list(message.endpoints);
}

void EndpointSet::handle(const EndpointWatchFailed& /*message*/) {
  list_watch_.record_failure(context_.now, context_.random.next_fraction());
}

void EndpointSet::handle(const EndpointListFreshnessChanged& message) {
  const FleetStatistics fleet = collect_statistics();
  for (const std::string& endpoint : known_endpoints_) {
    context_.post_to_endpoint(endpoint, ListFreshnessObserved{fleet, message.possible_start_at});
  }
  if (!context_.awaits_list()) {
    release_held_selections();
  }
}

// Held requests are given up in time for the shutdown's answers.
void EndpointSet::handle(const ShutdownStarted& message) {
  shutdown_started_at_ = context_.now;
  if (message.answer_deadline <= 0) {
    return;
  }
  auto held = std::exchange(held_selections_, {});
  for (auto& [give_up_at, selection] : held) {
    held_selections_.emplace(std::min(give_up_at, message.answer_deadline - time_to_set_up()),
                             std::move(selection));
  }
}

void EndpointSet::handle(const TimerFired& /*message*/) {
  timer_fired_at_ = context_.now;
  is_freeze_check_due_ = false;
  watch_list_if_due();
  migrate_for_shutdown();
  reject_held_selections_if_due();
  const FleetStatistics fleet = collect_statistics();
  for (auto due = wake_up_queue_.begin(); due != wake_up_queue_.end() && due->first <= context_.now; ++due) {
    context_.post_to_endpoint(due->second, EndpointWakeUp{fleet});
  }
}

void EndpointSet::handle(const EndpointStatusChanged& message) {
  EndpointStatus& last_status = statuses_[message.endpoint];
  const EndpointStatus& status = message.status;
  if (last_status.is_in_service != status.is_in_service ||
      is_degraded(last_status, context_.now) != is_degraded(status, context_.now)) {
    is_freeze_check_due_ = true;
  }
  wake_up_queue_.erase({last_status.wake_up_at, message.endpoint});
  last_status = status;
  if (status.wake_up_at < kNever) {
    wake_up_queue_.insert({status.wake_up_at, message.endpoint});
  }
}

void EndpointSet::handle(const SelectEndpoints& message) {
  if (context_.awaits_list()) {
    return hold(message);
  }
  select(message);
}

void EndpointSet::select(SelectEndpoints selection) {
  const std::optional<std::int64_t>& group = selection.query->request.affinity_group;
  statistics_.count_selection(context_.now, group);
  if (selection.query->tried_endpoints.empty()) {
    statistics_.count_arrival(context_.now);
  }
  selection.fleet = collect_statistics();
  if (group) {
    selection.fleet.group_selections = statistics_.recent_selections_of(*group);
  }
  context_.post_to_selector(std::move(selection));
}

// A request waits until the list is current, at most until an attempt could no longer succeed in time.
void EndpointSet::hold(SelectEndpoints selection) {
  const TimePoint give_up_at = selection.query->request.deadline - time_to_set_up();
  held_selections_.emplace(give_up_at, std::move(selection));
  reject_held_selections_if_due();
}

void EndpointSet::release_held_selections() {
  if (!held_selections_.empty()) {
    context_.log("held_requests_released count=" + std::to_string(held_selections_.size()));
  }
  for (auto& [give_up_at, selection] : std::exchange(held_selections_, {})) {
    select(std::move(selection));
  }
}

// A request without candidates gets its final answer.
void EndpointSet::reject_held_selections_if_due() {
  while (!held_selections_.empty() && held_selections_.begin()->first <= context_.now) {
    const RequestAttributes& request = held_selections_.begin()->second.query->request;
    CandidateList no_candidates;
    no_candidates.request_id = request.id;
    no_candidates.deadline = request.deadline;
    no_candidates.endpoints = std::make_shared<const std::vector<std::string>>();
    context_.post_to_request_table(std::move(no_candidates));
    held_selections_.erase(held_selections_.begin());
  }
}

// The timer fires up to kTimerInterval late.
Duration EndpointSet::time_to_set_up() const {
  return context_.settings.connect_timeout + kTimerInterval;
}

void EndpointSet::replace_list(const std::vector<EndpointEntry>& entries) {
  std::set<std::string> removed = known_endpoints_;
  for (const EndpointEntry& entry : entries) {
    removed.erase(entry.id);
  }
  update_list(entries);
  for (const std::string& endpoint : removed) {
    context_.post_to_endpoint(endpoint, EndpointUnlisted{});
  }
}

void EndpointSet::update_list(const std::vector<EndpointEntry>& entries) {
  const FleetStatistics fleet = collect_statistics();
  const bool is_first = list_watch_.record_list();
  std::vector<std::string> endpoint_ids;
  for (const EndpointEntry& entry : entries) {
    EndpointListed message{entry, fleet, std::nullopt, !is_first && !known_endpoints_.count(entry.id)};
    if (context_.settings.weights_follow_load) {
      separate_load_from_weight(message);
    }
    endpoint_ids.push_back(entry.id);
    context_.post_to_endpoint(entry.id, std::move(message));
  }
  known_endpoints_.insert(endpoint_ids.begin(), endpoint_ids.end());
  if (is_first) {
    statistics_.count_arrival(context_.now);
  }
}

// A weight that decreases as an endpoint fills would make all nodes choose whichever endpoint was empty when
// the list was made. So the capacity of an endpoint is the largest weight seen of its machine type, and the
// ratio of that to its present weight gives the number of connections that all nodes have there.
void EndpointSet::separate_load_from_weight(EndpointListed& message) {
  EndpointEntry& entry = message.entry;
  double& largest = largest_weight_by_type_[entry.machine_type];
  largest = std::max(largest, entry.size);
  if (entry.size > 0) {
    message.connections_all_nodes = largest * (largest / entry.size - 1);
  }
  if (largest > 0) {
    entry.size = largest;
  }
}

void EndpointSet::watch_list_if_due() {
  if (list_watch_.start_call_if_due(context_.now)) {
    context_.add_action(WatchEndpoints{});
  }
}

// Migration starts kNewClientsStopAfter after the start of the shutdown and is spread over
// kShutdownMigrationTime. Clients that were migrated immediately could reconnect to this node, because it
// still gets new clients, and they would all reconnect at the same time.
void EndpointSet::migrate_for_shutdown() {
  if (shutdown_started_at_ <= 0 || context_.now - shutdown_started_at_ < kNewClientsStopAfter) {
    return;
  }
  MigrateConnections message;
  message.migration_share = static_cast<double>(context_.now - shutdown_started_at_ - kNewClientsStopAfter) /
                            kShutdownMigrationTime;
  message.migration_budget = INT_MAX;
  message.keeps_groups_together = true;
  context_.post_to_request_table(std::move(message));
}

// Keeps one timer for whatever is due first.
void EndpointSet::set_timer() {
  TimePoint due = wake_up_queue_.empty() ? kNever : wake_up_queue_.begin()->first;
  if (is_freeze_check_due_ || shutdown_started_at_ > 0) {
    due = context_.now;
  }
  due = std::min(due, list_watch_.next_call_at());
  if (!held_selections_.empty()) {
    due = std::min(due, held_selections_.begin()->first);
  }
  if (!weights_frozen_) {
    due = std::min(due, list_watch_.silent_from());
  }
  due = std::max({due, timer_fired_at_ + kTimerInterval, context_.now + 1});
  if (due >= kNever || (timer_expires_at_ > context_.now && timer_expires_at_ <= due)) {
    return;
  }
  timer_expires_at_ = due;
  context_.add_action(SetTimer{0, due - context_.now});
}

// Collects the statistics and updates the freeze of weights. Weights are frozen while most endpoints are
// degraded or the endpoint list service does not answer: the fault is then probably in a dependency that the
// endpoints share or at this node, and moving connections between endpoints would only cause churn.
FleetStatistics EndpointSet::collect_statistics() {
  auto [fleet, endpoint_count, degraded_count] = statistics_.collect(statuses_, context_.now);
  const bool is_list_silent = context_.now >= list_watch_.silent_from();
  fleet.weights_frozen = degraded_count * 2 > endpoint_count || is_list_silent;
  if (fleet.weights_frozen != weights_frozen_) {
    weights_frozen_ = fleet.weights_frozen;
    context_.log(std::string(fleet.weights_frozen ? "weights_frozen" : "weights_unfrozen") + " degraded=" +
                 std::to_string(degraded_count) + " endpoints=" + std::to_string(endpoint_count) +
                 " list_silent=" + (is_list_silent ? "true" : "false"));
    context_.post_to_selector(WeightsFreezeChanged{fleet.weights_frozen});
  }
  return fleet;
}

}  // namespace dapplewharf
