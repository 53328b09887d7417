#include "policy/endpoint_set.h"

#include <algorithm>
#include <climits>
#include <optional>

#include "policy/constants.h"

namespace dapplewharf {
namespace {

constexpr Duration kFrontStopsAfter =
    500 * kMs;  // new clients still come to a node that shuts down for this long
constexpr Duration kShutdownMigration = kSecond;  // within which all connections migrate then

}  // namespace

EndpointSet::EndpointSet(PolicyContext& context)
    : context_(context), list_watch_(context.settings), statistics_(context.settings) {}

void EndpointSet::read(const EndpointSetMessage& message) {
  std::visit([this](const auto& one) { handle(one); }, message);
  set_timer();
}

void EndpointSet::handle(const EndpointsCached& message) {
  replace_list(message.endpoints);
  list_watch_.schedule_first_call(context_.now, context_.random.next_fraction());
  ask_for_list();
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

void EndpointSet::handle(const ShutdownStarted& /*message*/) {
  shutdown_at_ = context_.now;
}

void EndpointSet::handle(const TimerFired& /*message*/) {
  timer_fired_at_ = context_.now;
  freeze_to_check_ = false;
  ask_for_list();
  migrate_for_shutdown();
  const FleetStatistics fleet = statistics();
  for (auto at = wake_at_.begin(); at != wake_at_.end() && at->first <= context_.now; ++at) {
    context_.post_to_endpoint(at->second, EndpointTick{fleet});
  }
}

void EndpointSet::handle(const StatusChanged& message) {
  EndpointStatus& known = statuses_[message.endpoint];
  const EndpointStatus& status = message.status;
  if (known.in_service != status.in_service ||
      is_degraded(known, context_.now) != is_degraded(status, context_.now)) {
    freeze_to_check_ = true;
  }
  wake_at_.erase({known.wake_at, message.endpoint});
  known = status;
  if (status.wake_at < kNever) {
    wake_at_.insert({status.wake_at, message.endpoint});
  }
}

void EndpointSet::handle(const SelectEndpoints& message) {
  const std::optional<std::int64_t>& group = message.query->request.affinity_group;
  statistics_.count_selection(context_.now, group);
  if (message.query->tried.empty()) {
    statistics_.count_arrival(context_.now);
  }
  SelectEndpoints completed{message.query, statistics()};
  if (group) {
    completed.fleet.group_selections = statistics_.selections_of(*group);
  }
  context_.post_to_selector(std::move(completed));
}

void EndpointSet::replace_list(const std::vector<EndpointEntry>& entries) {
  std::set<std::string> removed = listed_;
  for (const EndpointEntry& entry : entries) {
    removed.erase(entry.id);
  }
  update_list(entries);
  for (const std::string& endpoint : removed) {
    context_.post_to_endpoint(endpoint, EndpointUnlisted{});
  }
}

void EndpointSet::update_list(const std::vector<EndpointEntry>& entries) {
  const FleetStatistics fleet = statistics();
  const bool is_first = list_watch_.record_list();
  std::vector<std::string> named;
  for (const EndpointEntry& entry : entries) {
    EndpointListed message{entry, fleet, std::nullopt, !is_first && !listed_.count(entry.id)};
    if (context_.settings.weights_follow_load) {
      separate_load_from_weight(message);
    }
    named.push_back(entry.id);
    context_.post_to_endpoint(entry.id, std::move(message));
  }
  listed_.insert(named.begin(), named.end());
  if (is_first) {
    statistics_.count_arrival(context_.now);
  }
}

// A weight that sinks as an endpoint fills would send all nodes to whichever was empty a second ago. The size
// of an endpoint is the largest weight seen of its machine type; what its weight lacks of it tells how many
// connections all nodes hold there.
void EndpointSet::separate_load_from_weight(EndpointListed& message) {
  EndpointEntry& entry = message.entry;
  double& largest = largest_weight_[entry.machine_type];
  largest = std::max(largest, entry.size);
  if (entry.size > 0) {
    message.connections = largest * (largest / entry.size - 1);
  }
  if (largest > 0) {
    entry.size = largest;
  }
}

void EndpointSet::ask_for_list() {
  if (list_watch_.start_call_if_due(context_.now)) {
    context_.act(WatchEndpoints{});
  }
}

// Clients that migrate at once would come back to this node while it still gets new ones, and all together.
void EndpointSet::migrate_for_shutdown() {
  if (shutdown_at_ <= 0 || context_.now - shutdown_at_ < kFrontStopsAfter) {
    return;
  }
  MigrateConnections message;
  message.share = static_cast<double>(context_.now - shutdown_at_ - kFrontStopsAfter) / kShutdownMigration;
  message.budget = INT_MAX;
  message.whole_groups = true;
  context_.post_to_request_table(std::move(message));
}

// One timer stands for whatever is due first.
void EndpointSet::set_timer() {
  TimePoint due = wake_at_.empty() ? kNever : wake_at_.begin()->first;
  if (freeze_to_check_ || shutdown_at_ > 0) {
    due = context_.now;
  }
  due = std::min(due, list_watch_.next_call_at());
  if (!weights_frozen_) {
    due = std::min(due, list_watch_.silent_from());
  }
  due = std::max({due, timer_fired_at_ + kTimerInterval, context_.now + 1});
  if (due >= kNever || (timer_at_ > context_.now && timer_at_ <= due)) {
    return;
  }
  timer_at_ = due;
  context_.act(SetTimer{0, due - context_.now});
}

// Weights are frozen while most endpoints are degraded, or while the list is silent: the trouble is then
// behind the endpoints or at this node, and moving work between them only churns it.
FleetStatistics EndpointSet::statistics() {
  auto [fleet, endpoints, degraded] = statistics_.collect(statuses_, context_.now);
  const bool list_is_silent = context_.now >= list_watch_.silent_from();
  fleet.weights_frozen = degraded * 2 > endpoints || list_is_silent;
  if (fleet.weights_frozen != weights_frozen_) {
    weights_frozen_ = fleet.weights_frozen;
    context_.log(std::string(fleet.weights_frozen ? "weights_frozen" : "weights_unfrozen") +
                 " degraded=" + std::to_string(degraded) + " endpoints=" + std::to_string(endpoints) +
                 " list_silent=" + (list_is_silent ? "true" : "false"));
    context_.post_to_selector(WeightsFreezeChanged{fleet.weights_frozen});
  }
  return fleet;
}

}  // namespace dapplewharf
