// What a run has shown, from either driver, and its form as report.json. Owns figures only; judges nothing.
// Times are milliseconds where a name ends in _ms, seconds of the run elsewhere.
#pragma once
#include <boost/histogram.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "emulator/audit/audit.h"

namespace dapplewharf::emulator {

class Latency {  // of things that took from 0.01 ms to a minute, to 2%
 public:
  Latency();
  void add(double ms, double weight = 1);
  double at(double share) const;  // the least that `share` of all stay under; 0 where there are none
  nlohmann::json told() const;    // p50, p90, p99, p999, max
  double all() const { return all_; }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Counts = decltype(boost::histogram::make_histogram_with(std::vector<double>(), std::declval<Axis>()));
  Counts counts_;
  double max_ = 0, all_ = 0;
};

struct Second {                   // of a run
  double wanted = 0, served = 0;  // value
  int honoured = 0, rejected = 0, scrapped = 0, moved = 0, cut = 0, asked = 0;
  double standing = 0;
  std::vector<int> open;  // connections, by host
  Latency setup, message;
};

struct NodeFigures {  // live only
  double cpu_us_per_setup = 0, cpu_us_per_line = 0, idle_cpu_share = 0, cpu_s = 0;
  long rss_kib_max = 0, descriptors_max = 0;
  int setups = 0;
  double lines = 0;
};

struct Result {
  std::string scenario, driver, policy, plan_hash;
  std::uint64_t seed = 0;
  Audit::Totals totals;
  Found found[kRules];
  double peak_push = 0;
  int moved = 0, tries = 0, probes = 0, crossings = 0;
  double wanted = 0, served = 0;  // value, from settle_s on
  Latency setup, message;
  std::vector<Second> seconds;
  std::vector<NodeFigures> nodes;
  std::vector<std::string> hosts;  // their names
  struct Shade {
    std::string name;
    double from_s, to_s;
  };
  std::vector<Shade> faults;
  double late_ms = 0;        // live: the rig's own lateness, at the worst
  std::string void_because;  // live: why the figures count for nothing

  double service() const { return wanted > 0 ? served / wanted : 1; }
  double worst_10s() const;
  bool broken() const;
  void take(const Audit& audit);
  void begin(const Scenario& scenario, const Plan& plan);
  Second& second(double at_s);
  nlohmann::json told() const;    // report.json
  nlohmann::json series() const;  // series.json, for the page
  std::string table() const;      // for people, a few lines
};

// Writes both files into a folder that is made if need be; throws InvalidInput naming what can't be written.
void write_result(const Result& result, const std::string& folder);
void check_folder(const std::string& folder);  // the same fault, before a run is begun
void write_file(const std::string& path, const std::string& text);

}  // namespace dapplewharf::emulator
