// The notes that the parts of the module post to each other, and what all parts may use. No decisions.
#pragma once
#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <set>
#include <stdexcept>
#include <tuple>
#include <utility>

#include "base/random.h"
#include "policy/words.h"

namespace dapplewharf {

inline double number(const SettingsMap& settings, const std::string& name, double otherwise) {
  const auto found = settings.find(name);
  const double* value = found == settings.end() ? nullptr : std::get_if<double>(&found->second);
  return value ? *value : otherwise;
}

inline double needed(const SettingsMap& settings, const std::string& name) {
  const auto found = settings.find(name);
  const double* value = found == settings.end() ? nullptr : std::get_if<double>(&found->second);
  if (!value) {
    throw std::runtime_error("setting missing: " + name);
  }
  return *value;
}

inline std::string text(const SettingsMap& settings, const std::string& name) {
  const auto found = settings.find(name);
  const std::string* value = found == settings.end() ? nullptr : std::get_if<std::string>(&found->second);
  return value ? *value : std::string();
}

// The largest (sign 1) or smallest (sign -1) of a figure that each one of a list of settings has.
inline double extreme(const SettingsMap& settings, const std::string& list, const std::string& name, int sign,
                      double otherwise) {
  const std::string first = list + "0" + name;
  if (!settings.count(first)) {
    return otherwise;
  }
  double found = number(settings, first, otherwise);
  for (int i = 1; settings.count(list + std::to_string(i) + name); ++i) {
    found = sign * std::max(sign * found, sign * number(settings, list + std::to_string(i) + name, found));
  }
  return found;
}

// The sum of a figure that each one of a list of settings has.
inline double total(const SettingsMap& settings, const std::string& list, const std::string& name) {
  double sum = 0;
  for (int i = 0; settings.count(list + std::to_string(i) + name); ++i) {
    sum += number(settings, list + std::to_string(i) + name, 0);
  }
  return sum;
}

// The prefix of the settings of the one that bears this name in a list of settings; empty if none does.
inline std::string entry(const SettingsMap& settings, const std::string& list, const std::string& name) {
  for (int i = 0;; ++i) {
    const std::string prefix = list + std::to_string(i) + ".";
    if (!settings.count(prefix + "name")) {
      return "";
    }
    if (text(settings, prefix + "name") == name) {
      return prefix;
    }
  }
}

inline std::string figure(double value) {
  std::string out = std::to_string(std::llround(value * 100) / 100.0);
  return out.substr(0, out.find('.') + 3);
}

// Adds a sample to the last few of its kind.
template <class Sample>
void keep_last(std::deque<Sample>& samples, Sample sample, std::size_t most) {
  samples.push_back(sample);
  if (samples.size() > most) {
    samples.pop_front();
  }
}

}  // namespace dapplewharf
