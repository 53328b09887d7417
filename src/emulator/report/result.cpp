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

constexpr double kLeastMs = 0.01, kMostMs = 60000;
constexpr unsigned kBins = 800;  // 2% each
constexpr int kWindow = 10;      // s, of the worst one

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
    : counts_(boost::histogram::make_histogram_with(std::vector<double>(), Axis(kBins, kLeastMs, kMostMs))) {}

void Latency::add(double ms, double weight) {
  counts_(std::clamp(ms, kLeastMs, kMostMs * 0.999), boost::histogram::weight(weight));
  max_ = std::max(max_, ms);
  all_ += weight;
}

double Latency::at(double share) const {
  double left = share * all_;
  if (all_ <= 0) {
    return 0;
  }
  for (int i = 0; i < counts_.axis().size(); ++i) {
    if ((left -= counts_.at(i)) <= 0) {
      return std::min(max_, counts_.axis().bin(i).upper());
    }
  }
  return max_;
}

nlohmann::json Latency::told() const {
  return {{"p50", rounded(at(0.5), 100)},
          {"p90", rounded(at(0.9), 100)},
          {"p99", rounded(at(0.99), 100)},
          {"p999", rounded(at(0.999), 100)},
          {"max", rounded(max_, 100)}};
}

bool Result::broken() const {
  return std::any_of(std::begin(found), std::end(found), [](const Found& one) { return one.count > 0; });
}

double Result::worst_10s() const {
  double worst = 1;
  for (std::size_t i = 0; i + kWindow <= seconds.size(); ++i) {
    double all = 0;
    double good = 0;
    for (std::size_t j = i; j < i + kWindow; ++j) {
      all += seconds[j].wanted, good += seconds[j].served;
    }
    if (all > 0) {
      worst = std::min(worst, good / all);
    }
  }
  return worst;
}

void Result::begin(const Scenario& scenario, const Plan& plan) {
  this->scenario = scenario.name;
  plan_hash = plan.hash;
  for (const PlannedHost& host : plan.hosts) {
    hosts.push_back(host.id);
  }
  for (const PlannedFault& one : plan.faults) {
    faults.push_back({one.fault.name, one.fault.start_s, one.fault.start_s + one.fault.duration_s});
  }
}

void Result::take(const Audit& audit) {
  totals = audit.totals();
  for (int i = 0; i < kRules; ++i) {
    found[i] = audit.found(static_cast<Rule>(i));
  }
  peak_push = audit.peak_push();
  moved = audit.moved();
  tries = audit.tries();
}

Second& Result::second(double at_s) {
  const auto at = static_cast<std::size_t>(std::max(0.0, at_s));
  if (at >= seconds.size()) {
    seconds.resize(at + 1);
  }
  return seconds[at];
}

nlohmann::json Result::told() const {
  nlohmann::json rules;
  nlohmann::json cases = nlohmann::json::array();
  nlohmann::json of_nodes = nlohmann::json::array();
  for (int i = 0; i < kRules; ++i) {
    rules[kRuleNames[i]] = found[i].count;
    for (const Case& one : found[i].first) {
      cases.push_back(
          {{"rule", kRuleNames[i]}, {"id", one.id}, {"at_ms", one.when / kMs}, {"what", one.what}});
    }
  }
  nlohmann::json out = {{"scenario", scenario},
                        {"seed", seed},
                        {"driver", driver},
                        {"policy", policy},
                        {"plan_hash", plan_hash},
                        {"asked", totals.asked},
                        {"honoured", totals.honoured},
                        {"rejected", totals.rejected},
                        {"scrapped", totals.scrapped},
                        {"unanswered", totals.unanswered},
                        {"left", totals.left},
                        {"service", rounded(service(), 1e6)},
                        {"worst_10s", rounded(worst_10s(), 1e6)},
                        {"rules", rules},
                        {"cases", cases},
                        {"setup_ms", setup.told()},
                        {"message_ms", message.told()},
                        {"tries", tries},
                        {"moved", moved},
                        {"probes", probes},
                        {"crossings", crossings},
                        {"peak_cold_push", rounded(peak_push)}};
  if (driver != "live") {
    return out;
  }
  for (const NodeFigures& one : nodes) {
    of_nodes.push_back({{"cpu_us_per_setup", rounded(one.cpu_us_per_setup, 10)},
                        {"cpu_us_per_line", rounded(one.cpu_us_per_line, 10)},
                        {"idle_cpu_share", rounded(one.idle_cpu_share)},
                        {"cpu_s", rounded(one.cpu_s, 1000)},
                        {"setups", one.setups},
                        {"lines", std::round(one.lines)},
                        {"rss_kib_max", one.rss_kib_max},
                        {"descriptors_max", one.descriptors_max}});
  }
  out["nodes"] = of_nodes;
  out["rig_late_ms"] = rounded(late_ms, 10);
  out["void"] = void_because;
  return out;
}

nlohmann::json Result::series() const {
  nlohmann::json out = {
      {"hosts", hosts}, {"troubles", nlohmann::json::array()}, {"seconds", nlohmann::json::array()}};
  for (const Shade& one : faults) {
    out["troubles"].push_back({{"name", one.name}, {"from_s", one.from_s}, {"to_s", one.to_s}});
  }
  for (const Second& one : seconds) {
    out["seconds"].push_back({{"wanted", rounded(one.wanted)},
                              {"served", rounded(one.served)},
                              {"asked", one.asked},
                              {"honoured", one.honoured},
                              {"rejected", one.rejected},
                              {"scrapped", one.scrapped},
                              {"moved", one.moved},
                              {"cut", one.cut},
                              {"standing", one.standing},
                              {"open", one.open},
                              {"setup_p50", rounded(one.setup.at(0.5), 100)},
                              {"setup_p99", rounded(one.setup.at(0.99), 100)},
                              {"message_p50", rounded(one.message.at(0.5), 100)},
                              {"message_p99", rounded(one.message.at(0.99), 100)}});
  }
  return out;
}

std::string Result::table() const {
  std::ostringstream out;
  out << scenario << " (" << driver << ", " << policy << ", seed " << seed << ")\n"
      << "  service    " << percent(service()) << " of the value asked for, worst 10 s "
      << percent(worst_10s()) << "\n"
      << "  answers    " << totals.asked << " asked, " << totals.honoured << " honoured, " << totals.rejected
      << " rejected, " << totals.scrapped << " scrapped, " << totals.unanswered << " unanswered, "
      << totals.left << " left before\n"
      << "  set-up     p50 " << rounded(setup.at(0.5), 10) << " ms, p99 " << rounded(setup.at(0.99), 10)
      << " ms;  message p50 " << rounded(message.at(0.5), 10) << " ms, p99 " << rounded(message.at(0.99), 10)
      << " ms\n"
      << "  moved      " << moved << ", tries " << tries << ", probes " << probes << ", cold hosts pushed to "
      << percent(peak_push) << " of what they bear\n  rules      ";
  for (int i = 0; i < kRules; ++i) {
    out << (i ? ", " : "") << kRuleNames[i] << " " << found[i].count;
  }
  out << "\n";
  for (int i = 0; i < kRules; ++i) {
    for (const Case& one : found[i].first) {
      out << "    broken: " << kRuleNames[i] << " " << one.id << " at " << one.when / kMs
          << " ms: " << one.what << "\n";
    }
  }
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    out << "  node " << i << "     " << rounded(nodes[i].cpu_us_per_setup, 1) << " us a set-up, "
        << rounded(nodes[i].cpu_us_per_line, 1) << " us a line, idle " << percent(nodes[i].idle_cpu_share)
        << " of a core, at most " << nodes[i].rss_kib_max << " KiB and " << nodes[i].descriptors_max
        << " descriptors\n";
  }
  if (driver == "live") {
    out << "  rig        late by " << rounded(late_ms, 10) << " ms at the worst\n";
  }
  if (!void_because.empty()) {
    out << "  VOID       " << void_because << "\n";
  }
  return out.str();
}

void write_file(const std::string& path, const std::string& text) {
  std::ofstream out(path, std::ios::binary | std::ios::trunc);
  errno = 0;
  out << text;
  out.close();
  // Danger: a full disk leaves half a report that looks like one.
  if (!out) {
    const std::string why = errno ? std::strerror(errno) : "no room";
    std::error_code ignored;
    std::filesystem::remove(path, ignored);
    throw InvalidInput(path + ":0:0: cannot be written: " + why + "; expected a folder with room");
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
  write_file(folder + "/report.json", result.told().dump(2) + "\n");
  write_file(folder + "/series.json", result.series().dump() + "\n");
}

}  // namespace dapplewharf::emulator
