// Endpoint lists into records, and the questions that are asked of them. Design: docs/design.md.
#include "node/endpoint_directory.h"

#include <set>

namespace dapplewharf {
namespace {

// How much longer a health check may take at one idle endpoint than at another of the same size.
constexpr double kIdleSpeedSpread = 2;

}  // namespace

std::vector<std::string> EndpointDirectory::apply(const EndpointSnapshot& list, const std::string& own_zone) {
  for (const auto& [host, address] : list.addresses) {
    records_[host].address = address;
  }
  for (const EndpointEntry& entry : list.listings) {
    EndpointRecord& record = records_[entry.id];
    record.location = EndpointLocation{entry.id, entry.zone, entry.cell};
    if (entry.zone == own_zone && entry.size > 0) {
      record.size_in_own_zone = entry.size;
    }
  }
  std::vector<std::string> leaving;
  apply_states(list, leaving);
  for (const std::string& host : removed_by(list)) {
    remove(host);
    leaving.push_back(host);
  }
  return leaving;
}

void EndpointDirectory::apply_states(const EndpointSnapshot& list, std::vector<std::string>& leaving) {
  for (const EndpointEntry& entry : list.listings) {
    if (entry.state == EndpointState::draining) {
      records_[entry.id].leaving = entry.state;
      leaving.push_back(entry.id);
    } else if (entry.state == EndpointState::healthy) {
      records_[entry.id].leaving.reset();
    }
  }
}

// The endpoints that the list calls removed or, being complete, does not name as present.
std::vector<std::string> EndpointDirectory::removed_by(const EndpointSnapshot& list) const {
  std::set<std::string> present;
  std::set<std::string> removed;
  for (const EndpointEntry& entry : list.listings) {
    (entry.state == EndpointState::removed ? removed : present).insert(entry.id);
  }
  for (const auto& [host, record] : records_) {
    if (list.whole && !record.address.empty() && !present.count(host)) {
      removed.insert(host);
    }
  }
  return {removed.begin(), removed.end()};
}

void EndpointDirectory::remove(const std::string& host) {
  EndpointRecord& record = records_[host];
  if (!record.leaving) {  // a drain stays in force
    record.leaving = EndpointState::removed;
  }
  record.latency.reset();
  record.size_in_own_zone.reset();
}

bool EndpointDirectory::permits(const std::string& host, EndpointUse use) const {
  const EndpointRecord* record = find(host);
  if (!record || !record->leaving) {
    return true;
  }
  if (!only_draining_binds_) {
    return false;
  }
  switch (use) {
    case EndpointUse::new_request:
      return *record->leaving == EndpointState::removed;
    case EndpointUse::reconnect_later:
      return true;
  }
  return false;
}

const EndpointRecord* EndpointDirectory::find(const std::string& host) const {
  const auto found = records_.find(host);
  return found == records_.end() ? nullptr : &found->second;
}

std::string EndpointDirectory::address(const std::string& host) const {
  const EndpointRecord* record = find(host);
  return record ? record->address : "";
}

EndpointLocation EndpointDirectory::location(const std::string& host) const {
  const EndpointRecord* record = find(host);
  return record && record->location ? *record->location : EndpointLocation{host, "", 0};
}

LatencyEstimator& EndpointDirectory::latency(const std::string& host) {
  std::optional<LatencyEstimator>& estimator = records_[host].latency;
  return estimator ? *estimator : estimator.emplace();
}

std::vector<std::string> EndpointDirectory::measured() const {
  std::vector<std::string> hosts;
  for (const auto& [host, record] : records_) {
    if (record.latency) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

std::map<std::string, Duration> EndpointDirectory::idle_health_check_times() const {
  std::vector<double> service_times;
  for (const auto& [host, record] : records_) {
    if (!record.size_in_own_zone || !record.latency) {
      continue;
    }
    if (const auto shortest = record.latency->shortest_health_check()) {
      service_times.push_back(*record.size_in_own_zone * static_cast<double>(*shortest));
    }
  }
  const double baseline = baseline_service_time(std::move(service_times));
  std::map<std::string, Duration> idle_times;
  for (const auto& [host, record] : records_) {
    if (record.size_in_own_zone) {
      idle_times[host] = static_cast<Duration>(kIdleSpeedSpread * baseline / *record.size_in_own_zone);
    }
  }
  return idle_times;
}

void EndpointDirectory::leave_zone() {
  for (auto& [host, record] : records_) {
    record.size_in_own_zone.reset();
  }
}

}  // namespace dapplewharf
