// Applying endpoint lists to the records, and queries. Design: docs/design.md.
#include "node/endpoint_directory.h"

#include <set>

namespace dapplewharf {
namespace {

// The ratio by which idle health check times of endpoints of the same size may differ.
constexpr double kMaxIdleTimeRatio = 2;

}  // namespace

std::vector<std::string> EndpointDirectory::apply(const EndpointSnapshot& list, const std::string& own_zone) {
  for (const auto& [endpoint, address] : list.addresses) {
    records_[endpoint].address = address;
  }
  for (const EndpointEntry& entry : list.entries) {
    EndpointRecord& record = records_[entry.id];
    record.location = EndpointLocation{entry.id, entry.zone, entry.cell};
    if (entry.zone == own_zone && entry.size > 0) {
      record.size_in_own_zone = entry.size;
    }
  }
  std::vector<std::string> unusable;
  apply_draining_states(list, unusable);
  for (const std::string& endpoint : endpoints_removed_by(list)) {
    remove(endpoint);
    unusable.push_back(endpoint);
  }
  return unusable;
}

void EndpointDirectory::apply_draining_states(const EndpointSnapshot& list,
                                              std::vector<std::string>& unusable) {
  for (const EndpointEntry& entry : list.entries) {
    if (entry.state == EndpointState::draining) {
      records_[entry.id].leaving_state = entry.state;
      unusable.push_back(entry.id);
    } else if (entry.state == EndpointState::healthy) {
      records_[entry.id].leaving_state.reset();
    }
  }
}

// Returns the endpoints that the list marks as removed or, if it is complete, does not name as present.
std::vector<std::string> EndpointDirectory::endpoints_removed_by(const EndpointSnapshot& list) const {
  std::set<std::string> present;
  std::set<std::string> removed;
  for (const EndpointEntry& entry : list.entries) {
    (entry.state == EndpointState::removed ? removed : present).insert(entry.id);
  }
  for (const auto& [endpoint, record] : records_) {
    if (list.is_complete && !record.address.empty() && !present.count(endpoint)) {
      removed.insert(endpoint);
    }
  }
  return {removed.begin(), removed.end()};
}

void EndpointDirectory::remove(const std::string& endpoint) {
  EndpointRecord& record = records_[endpoint];
  if (!record.leaving_state) {  // a draining endpoint stays draining
    record.leaving_state = EndpointState::removed;
  }
  record.latency.reset();
  record.size_in_own_zone.reset();
}

bool EndpointDirectory::permits(const std::string& endpoint, EndpointUse use) const {
  const EndpointRecord* record = find(endpoint);
  if (!record || !record->leaving_state) {
    return true;
  }
  if (!only_draining_binds_) {
    return false;
  }
  switch (use) {
    case EndpointUse::new_request:
      return *record->leaving_state == EndpointState::removed;
    case EndpointUse::reconnect:
      return true;
  }
  return false;
}

const EndpointRecord* EndpointDirectory::find(const std::string& endpoint) const {
  const auto found = records_.find(endpoint);
  return found == records_.end() ? nullptr : &found->second;
}

std::string EndpointDirectory::address(const std::string& endpoint) const {
  const EndpointRecord* record = find(endpoint);
  return record ? record->address : "";
}

EndpointLocation EndpointDirectory::location(const std::string& endpoint) const {
  const EndpointRecord* record = find(endpoint);
  return record && record->location ? *record->location : EndpointLocation{endpoint, "", 0};
}

LatencyEstimator& EndpointDirectory::latency(const std::string& endpoint) {
  std::optional<LatencyEstimator>& estimator = records_[endpoint].latency;
  return estimator ? *estimator : estimator.emplace();
}

std::vector<std::string> EndpointDirectory::with_latency_estimates() const {
  std::vector<std::string> endpoints;
  for (const auto& [endpoint, record] : records_) {
    if (record.latency) {
      endpoints.push_back(endpoint);
    }
  }
  return endpoints;
}

std::map<std::string, Duration> EndpointDirectory::idle_health_check_times() const {
  std::vector<double> service_times;
  for (const auto& [endpoint, record] : records_) {
    if (!record.size_in_own_zone || !record.latency) {
      continue;
    }
    if (const auto shortest = record.latency->min_health_check_latency()) {
      service_times.push_back(*record.size_in_own_zone * static_cast<double>(*shortest));
    }
  }
  const double baseline = idle_service_time(std::move(service_times));
  std::map<std::string, Duration> idle_times;
  for (const auto& [endpoint, record] : records_) {
    if (record.size_in_own_zone) {
      idle_times[endpoint] = static_cast<Duration>(kMaxIdleTimeRatio * baseline / *record.size_in_own_zone);
    }
  }
  return idle_times;
}

void EndpointDirectory::clear_zone_sizes() {
  for (auto& [endpoint, record] : records_) {
    record.size_in_own_zone.reset();
  }
}

}  // namespace dapplewharf
