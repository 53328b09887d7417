#include "policy/settings.h"

#include <algorithm>

namespace dapplewharf {
namespace {

template <class Element>
const Element* find_by_name(const std::vector<Element>& elements, const std::string& name) {
  const auto found = std::find_if(elements.begin(), elements.end(),
                                  [&](const Element& element) { return element.name == name; });
  return found == elements.end() ? nullptr : &*found;
}

}  // namespace

SettingsError::SettingsError(const std::string& setting)
    : std::runtime_error("setting missing: " + setting), setting(setting) {}

SettingsError::SettingsError(const std::string& setting, const std::string& found,
                             const std::string& expected)
    : std::runtime_error("the setting '" + setting + "' is " + found + "; expected " + expected),
      setting(setting),
      found(found),
      expected(expected) {}

const TrafficClass* Settings::find_traffic(const std::string& name) const {
  return find_by_name(traffic, name);
}

const Tenant* Settings::find_tenant(const std::string& name) const {
  return find_by_name(tenants, name);
}

double Settings::total_connection_quota() const {
  double sum = 0;
  for (const Tenant& tenant : tenants) {
    sum += tenant.connection_quota.value_or(0);
  }
  return sum;
}

std::optional<Duration> Settings::longest_deadline() const {
  if (traffic.empty() || !traffic.front().deadline) {
    return std::nullopt;
  }
  Duration longest = *traffic.front().deadline;
  for (const TrafficClass& traffic_class : traffic) {
    longest = std::max(longest, traffic_class.deadline.value_or(longest));
  }
  return longest;
}

}  // namespace dapplewharf
