// The figures of a run, from the simulated or the live driver, and how they are written as report.json and
// series.json. Times are in milliseconds where a name ends in _ms and in seconds of the run elsewhere.
#pragma once
#include <boost/histogram.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "emulator/audit/audit.h"

namespace dapplewharf::emulator {

/// A weighted histogram of durations from 0.01 ms to one minute, exact to 2%.
class Latency {
 public:
  Latency();
  void add(double ms, double weight = 1);
  /// The duration in milliseconds that a share of all, 0 to 1, does not exceed; 0 where there are none.
  double quantile(double share) const;
  /// p50, p90, p99, p999 and max, in milliseconds.
  nlohmann::json to_json() const;
  double total_weight() const { return total_weight_; }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Counts = decltype(boost::histogram::make_histogram_with(std::vector<double>(), std::declval<Axis>()));
  Counts counts_;
  double max_ms_ = 0, total_weight_ = 0;
};

/// One second of a run.
struct Second {
  double value_requested = 0, value_served = 0;
  int succeeded = 0, rejected = 0, failed = 0, migrated = 0, cut = 0, requests = 0;
  double established_connections = 0;
  std::vector<int> connections_by_endpoint;
  Latency setup_latency, message_latency;
};

/// The cost of one node's process; the live driver alone measures it.
struct NodeFigures {
  double cpu_us_per_setup = 0, cpu_us_per_line = 0, idle_cpu_share = 0, cpu_s = 0;
  long rss_kib_max = 0, descriptors_max = 0;
  int setups = 0;
  double lines = 0;
};

struct Result {
  std::string scenario, driver, policy, plan_hash;
  std::uint64_t seed = 0;
  Audit::Totals totals;
  RuleFindings findings[kRules];
  double peak_cold_load_ratio = 0;
  int connections_migrated = 0, attempts = 0, health_checks = 0, cross_zone_attempts = 0;
  double value_requested = 0, value_served = 0;  // from settle_s on
  Latency setup_latency, message_latency;
  std::vector<Second> seconds;
  std::vector<NodeFigures> nodes;
  std::vector<std::string> endpoint_names;
  struct FaultSpan {
    std::string name;
    double from_s, to_s;
  };
  std::vector<FaultSpan> faults;
  double rig_lateness_ms = 0;  // live: the longest delay of the rig's own event loops
  std::string void_reason;     // live: why the figures are not valid; empty if they are

  /// The share of the requested value that was served.
  double service() const { return value_requested > 0 ? value_served / value_requested : 1; }
  /// The lowest service over any ten seconds.
  double worst_10s() const;
  bool has_violations() const;
  /// Takes over the auditor's totals and findings.
  void take_findings(const Audit& audit);
  /// Sets what is known of the run before it begins.
  void set_run(const Scenario& scenario, const Plan& plan);
  Second& second_at(double at_s);
  /// The content of report.json.
  nlohmann::json to_json() const;
  /// The content of series.json.
  nlohmann::json series_json() const;
  /// A summary of a few lines for people.
  std::string table() const;
};

/// Writes report.json and series.json into a folder, which is made if it is missing; throws InvalidInput that
/// names what cannot be written.
void write_result(const Result& result, const std::string& folder);
/// Throws what write_result would throw, so that a run is not begun in vain.
void check_folder(const std::string& folder);
/// Writes a file; throws BadInput and removes it if it cannot be written completely.
void write_file(const std::string& path, const std::string& text);

}  // namespace dapplewharf::emulator
