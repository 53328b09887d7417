#include "emulator/report/result.h"

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace dapplewharf::emulator {
namespace {

constexpr double kShortestMs = 0.01, kLongestMs = 60000;
constexpr unsigned kBins = 800;  // each 2% wide
constexpr int kWorstWindowS = 10;

double rounded(double value, double steps = 1e4) {
  return std::round(value * steps) / steps;
}

std::string percent(double share) {
  char text[20];
  std::snprintf(text, sizeof text, "%.2f%%", share * 100);
  return text;
}

}  // namespace

Latency::Latency()
    : counts_(boost::histogram::make_histogram_with(std::vector<double>(),
                                                    Axis(kBins, kShortestMs, kLongestMs))) {}

void Latency::add(double ms, double weight) {
  counts_(std::clamp(ms, kShortestMs, kLongestMs * 0.999), boost::histogram::weight(weight));
  max_ms_ = std::max(max_ms_, ms);
  total_weight_ += weight;
}

double Latency::quantile(double share) const {
  double remaining = share * total_weight_;
  if (total_weight_ <= 0) {
    return 0;
  }
  for (int i = 0; i < counts_.axis().size(); ++i) {
    if ((remaining -= counts_.at(i)) <= 0) {
      return std::min(max_ms_, counts_.axis().bin(i).upper());
    }
  }
  return max_ms_;
}

nlohmann::json Latency::to_json() const {
  return {{"p50", rounded(quantile(0.5), 100)},
          {"p90", rounded(quantile(0.9), 100)},
          {"p99", rounded(quantile(0.99), 100)},
          {"p999", rounded(quantile(0.999), 100)},
          {"max", rounded(max_ms_, 100)}};
}

bool Result::has_violations() const {
  return std::any_of(std::begin(findings), std::end(findings),
                     [](const RuleFindings& found) { return found.count > 0; });
}

double Result::worst_10s() const {
  double worst = 1;
  for (std::size_t i = 0; i + kWorstWindowS <= seconds.size(); ++i) {
    double requested = 0;
    double served = 0;
    for (std::size_t j = i; j < i + kWorstWindowS; ++j) {
      requested += seconds[j].value_requested, served += seconds[j].value_served;
    }
    if (requested > 0) {
      worst = std::min(worst, served / requested);
    }
  }
  return worst;
}

void Result::set_run(const Scenario& scenario, const Plan& plan) {
  this->scenario = scenario.name;
  plan_hash = plan.hash;
  for (const PlannedHost& host : plan.hosts) {
    endpoint_names.push_back(host.id);
  }
  for (const PlannedFault& planned : plan.faults) {
    const Fault& fault = planned.fault;
    faults.push_back({fault.name, fault.start_s, fault.start_s + fault.duration_s});
  }
}

void Result::take_findings(const Audit& audit) {
  totals = audit.totals();
  for (int i = 0; i < kRules; ++i) {
    findings[i] = audit.findings(static_cast<Rule>(i));
  }
  peak_cold_load_ratio = audit.peak_cold_load_ratio();
  connections_migrated = audit.connections_migrated();
  attempts = audit.attempts();
}

Second& Result::second_at(double at_s) {
  const auto index = static_cast<std::size_t>(std::max(0.0, at_s));
  if (index >= seconds.size()) {
    seconds.resize(index + 1);
  }
  return seconds[index];
}

nlohmann::json Result::to_json() const {
  nlohmann::json rules;
  nlohmann::json cases = nlohmann::json::array();
  nlohmann::json node_figures = nlohmann::json::array();
  for (int i = 0; i < kRules; ++i) {
    rules[kRuleNames[i]] = findings[i].count;
    for (const Finding& finding : findings[i].first_findings) {
      cases.push_back({{"rule", kRuleNames[i]},
                       {"id", finding.id},
                       {"at_ms", finding.when / kMs},
                       {"what", finding.description}});
    }
  }
  nlohmann::json out = {{"scenario", scenario},
                        {"seed", seed},
                        {"driver", driver},
                        {"policy", policy},
                        {"plan_hash", plan_hash},
                        {"asked", totals.requests},
                        {"honoured", totals.succeeded},
                        {"rejected", totals.rejected},
                        {"scrapped", totals.failed},
                        {"unanswered", totals.unanswered},
                        {"left", totals.abandoned},
                        {"service", rounded(service(), 1e6)},
                        {"worst_10s", rounded(worst_10s(), 1e6)},
                        {"rules", rules},
                        {"cases", cases},
                        {"setup_ms", setup_latency.to_json()},
                        {"message_ms", message_latency.to_json()},
                        {"tries", attempts},
                        {"moved", connections_migrated},
                        {"probes", health_checks},
                        {"crossings", cross_zone_attempts},
                        {"peak_cold_push", rounded(peak_cold_load_ratio)}};
  if (driver != "live") {
    return out;
  }
  for (const NodeFigures& node : nodes) {
    node_figures.push_back({{"cpu_us_per_setup", rounded(node.cpu_us_per_setup, 10)},
                            {"cpu_us_per_line", rounded(node.cpu_us_per_line, 10)},
                            {"idle_cpu_share", rounded(node.idle_cpu_share)},
                            {"cpu_s", rounded(node.cpu_s, 1000)},
                            {"setups", node.setups},
                            {"lines", std::round(node.lines)},
                            {"rss_kib_max", node.rss_kib_max},
                            {"descriptors_max", node.descriptors_max}});
  }
  out["nodes"] = node_figures;
  out["rig_late_ms"] = rounded(rig_lateness_ms, 10);
  out["void"] = void_reason;
  return out;
}

nlohmann::json Result::series_json() const {
  nlohmann::json out = {
      {"hosts", endpoint_names}, {"troubles", nlohmann::json::array()}, {"seconds", nlohmann::json::array()}};
  for (const FaultSpan& fault : faults) {
    out["troubles"].push_back({{"name", fault.name}, {"from_s", fault.from_s}, {"to_s", fault.to_s}});
  }
  for (const Second& second : seconds) {
    out["seconds"].push_back({{"wanted", rounded(second.value_requested)},
                              {"served", rounded(second.value_served)},
                              {"asked", second.requests},
                              {"honoured", second.succeeded},
                              {"rejected", second.rejected},
                              {"scrapped", second.failed},
                              {"moved", second.migrated},
                              {"cut", second.cut},
                              {"standing", second.established_connections},
                              {"open", second.connections_by_endpoint},
                              {"setup_p50", rounded(second.setup_latency.quantile(0.5), 100)},
                              {"setup_p99", rounded(second.setup_latency.quantile(0.99), 100)},
                              {"message_p50", rounded(second.message_latency.quantile(0.5), 100)},
                              {"message_p99", rounded(second.message_latency.quantile(0.99), 100)}});
  }
  return out;
}

std::string Result::table() const {
  std::ostringstream out;
  out << scenario << " (" << driver << ", " << policy << ", seed " << seed << ")\n"
      << "  service    " << percent(service()) << " of the requested value, worst 10 s "
      << percent(worst_10s()) << "\n"
      << "  answers    " << totals.requests << " requests, " << totals.succeeded << " succeeded, "
      << totals.rejected << " rejected, " << totals.failed << " failed, " << totals.unanswered
      << " unanswered, " << totals.abandoned << " abandoned\n"
      << "  set-up     p50 " << rounded(setup_latency.quantile(0.5), 10) << " ms, p99 "
      << rounded(setup_latency.quantile(0.99), 10) << " ms;  message p50 "
      << rounded(message_latency.quantile(0.5), 10) << " ms, p99 "
      << rounded(message_latency.quantile(0.99), 10) << " ms\n"
      << "  migrated   " << connections_migrated << ", attempts " << attempts << ", health checks "
      << health_checks << ", peak load of a cold endpoint " << percent(peak_cold_load_ratio)
      << " of its limit\n  rules      ";
  for (int i = 0; i < kRules; ++i) {
    out << (i ? ", " : "") << kRuleNames[i] << " " << findings[i].count;
  }
  out << "\n";
  for (int i = 0; i < kRules; ++i) {
    for (const Finding& finding : findings[i].first_findings) {
      out << "    broken: " << kRuleNames[i] << " " << finding.id << " at " << finding.when / kMs
          << " ms: " << finding.description << "\n";
    }
  }
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    out << "  node " << i << "     " << rounded(nodes[i].cpu_us_per_setup, 1) << " us per set-up, "
        << rounded(nodes[i].cpu_us_per_line, 1) << " us per line, idle " << percent(nodes[i].idle_cpu_share)
        << " of a core, at most " << nodes[i].rss_kib_max << " KiB and " << nodes[i].descriptors_max
        << " descriptors\n";
  }
  if (driver == "live") {
    out << "  rig        at most " << rounded(rig_lateness_ms, 10) << " ms late\n";
  }
  if (!void_reason.empty()) {
    out << "  VOID       " << void_reason << "\n";
  }
  return out.str();
}

void write_file(const std::string& path, const std::string& text) {
  std::ofstream out(path, std::ios::binary | std::ios::trunc);
  errno = 0;
  out << text;
  out.close();
  // On a full disk a part of a report would be left that looks like a whole one.
  if (!out) {
    const std::string reason = errno ? std::strerror(errno) : "no room";
    std::error_code ignored;
    std::filesystem::remove(path, ignored);
    throw InvalidInput(path + ":0:0: cannot be written: " + reason + "; expected a folder with room");
  }
}

void check_folder(const std::string& folder) {
  if (folder.empty()) {
    return;
  }
  std::error_code fault;
  std::filesystem::create_directories(folder, fault);
  if (fault) {
    throw InvalidInput(folder + ":0:0: cannot be made: " + fault.message() +
                       "; expected a folder to write to");
  }
  const std::string probe = folder + "/.writable";
  write_file(probe, "x\n");
  std::filesystem::remove(probe, fault);
}

void write_result(const Result& result, const std::string& folder) {
  check_folder(folder);
  write_file(folder + "/report.json", result.to_json().dump(2) + "\n");
  write_file(folder + "/series.json", result.series_json().dump() + "\n");
}

}  // namespace dapplewharf::emulator
