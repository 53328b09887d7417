#include "emulator/sweep.h"

#include <spdlog/fmt/fmt.h>
#include <xxhash.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <cmath>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

#include "emulator/model/chance.h"
#include "emulator/report/result.h"
#include "emulator/sim/policy.h"
#include "emulator/sim/simulation.h"

namespace dapplewharf::emulator {
namespace {

constexpr int kResamples = 2000;
constexpr const char* kFigures[] = {"service", "worst_10s", "rejected", "moved", "setup_p99_ms"};

volatile std::sig_atomic_t interrupted = 0;
void on_signal(int) {
  interrupted = 1;
}

/// One combination of values and a policy.
struct Cell {
  std::string name, policy;
  std::vector<std::pair<std::string, std::string>> values;
  Scenario scenario;
};
/// One run: a cell with a seed.
struct Job {
  std::size_t cell;
  std::uint64_t seed;
  std::string folder;
};

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

std::vector<Cell> make_cells(const SweepOptions& sweep) {
  std::vector<Cell> cells{{"", "", {}, read_scenario(sweep.file)}};
  for (const auto& [name, values] : sweep.vary) {
    std::vector<Cell> extended;
    for (const Cell& cell : cells) {
      for (const std::string& value : values) {
        Cell& varied = extended.emplace_back(cell);
        set_setting(varied.scenario, name, value);
        varied.name += (varied.name.empty() ? "" : ",") + name + "=" + value;
        varied.values.emplace_back(name, value);
      }
    }
    cells = std::move(extended);
  }
  std::vector<Cell> out;
  for (const Cell& cell : cells) {
    for (const std::string& policy : sweep.policies) {
      out.push_back({cell.name, policy, cell.values, cell.scenario});
    }
  }
  return out;
}

// The mark of a stored report, which is reused only if its mark equals this run's: a hash of the scenario,
// the values, the policy and the seed, and one of this program.
std::string make_mark(const SweepOptions& sweep, const Cell& cell, std::uint64_t seed,
                      std::uint64_t program_hash) {
  const std::string identity =
      read_file(sweep.file) + "\n" + cell.name + "\n" + cell.policy + "\n" + std::to_string(seed);
  return fmt::format("{:016x}{:016x}", XXH64(identity.data(), identity.size(), 0), program_hash);
}

/// The stored report of a run, or null if there is none with this mark.
nlohmann::json read_stored_report(const Job& job, const std::string& mark) {
  const nlohmann::json report = nlohmann::json::parse(read_file(job.folder + "/report.json"), nullptr, false);
  return read_file(job.folder + "/mark") == mark && report.is_object() ? report : nlohmann::json();
}

double read_figure(const nlohmann::json& report, const std::string& name) {
  return name == "setup_p99_ms" ? report.at("setup_ms").at("p99").get<double>()
                                : report.at(name).get<double>();
}

int count_violations(const nlohmann::json& report) {
  int sum = 0;
  for (const auto& [rule, count] : report.at("rules").items()) {
    sum += count.get<int>();
  }
  return sum;
}

void show_progress(std::size_t done, std::size_t total) {
  const auto filled = total == 0 ? 30 : done * 30 / total;
  std::cerr << fmt::format("\r[{:<30}] {} of {} runs ", std::string(filled, '#'), done, total)
            << (done == total ? "\n" : "") << std::flush;
}

}  // namespace

double quantile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const double position = share * static_cast<double>(values.size() - 1);
  const auto low = static_cast<std::size_t>(position);
  const auto high = std::min(low + 1, values.size() - 1);
  return values[low] + (values[high] - values[low]) * (position - static_cast<double>(low));
}

ConfidenceInterval bootstrap(const std::vector<double>& differences, std::uint64_t seed) {
  ConfidenceInterval interval;
  if (differences.empty()) {
    return interval;
  }
  RandomStream draws(seed, "bootstrap");
  const auto mean = [](const std::vector<double>& values) {
    double sum = 0;
    for (const double value : values) {
      sum += value;
    }
    return sum / static_cast<double>(values.size());
  };
  interval.mean = mean(differences);
  std::vector<double> means;
  std::vector<double> resample(differences.size());
  for (int i = 0; i < kResamples; ++i) {
    for (double& difference : resample) {
      difference = differences[draws.index(differences.size())];
    }
    means.push_back(mean(resample));
  }
  interval.low = quantile(means, 0.025), interval.high = quantile(means, 0.975);
  return interval;
}

std::vector<std::string> split_at_commas(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

std::pair<std::string, std::vector<std::string>> parse_variation(const std::string& text) {
  const std::size_t equals = text.find('=');
  std::vector<std::string> values =
      equals == std::string::npos ? std::vector<std::string>() : split_at_commas(text.substr(equals + 1));
  if (values.empty()) {
    throw InvalidInput("--vary:0:0: '" + text + "' has no values; expected NAME=V1,V2");
  }
  return {text.substr(0, equals), std::move(values)};
}

std::pair<std::uint64_t, std::uint64_t> parse_seeds(const std::string& text) {
  const std::size_t dots = text.find("..");
  const std::string first = text.substr(0, dots);
  const std::string last = dots == std::string::npos ? first : text.substr(dots + 2);
  std::pair<std::uint64_t, std::uint64_t> seeds;
  const auto parse = [&](const std::string& digits, std::uint64_t& seed) {
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seed);
    return error == std::errc() && end == digits.data() + digits.size();
  };
  if (!parse(first, seeds.first) || !parse(last, seeds.second) || seeds.second < seeds.first ||
      seeds.second - seeds.first > 100000) {
    throw InvalidInput("--seeds:0:0: '" + text +
                       "' is no range of seeds; expected A..B with A no larger than B");
  }
  return seeds;
}

int run_sweep(const SweepOptions& sweep) {
  for (const std::string& policy : sweep.policies) {
    check_policy(policy);
  }
  const std::vector<Cell> cells = make_cells(sweep);
  check_folder(sweep.output);
  for (const int number : {SIGINT, SIGTERM}) {
    std::signal(number, on_signal);
  }
  const std::string program = read_file("/proc/self/exe");
  const std::uint64_t program_hash = XXH64(program.data(), program.size(), 0);

  std::vector<Job> jobs;
  for (std::size_t c = 0; c < cells.size(); ++c) {
    for (std::uint64_t seed = sweep.first_seed; seed <= sweep.last_seed; ++seed) {
      jobs.push_back({c, seed,
                      fmt::format("{}/{}{}{}/seed-{}", sweep.output, cells[c].name,
                                  cells[c].name.empty() ? "" : ",", cells[c].policy, seed)});
    }
  }
  std::vector<nlohmann::json> reports(jobs.size());
  std::atomic<std::size_t> next = 0;
  std::atomic<std::size_t> done = 0;
  std::atomic<std::size_t> reused = 0;
  std::mutex mutex;
  std::string error_text;
  const auto run_jobs = [&] {
    for (std::size_t i; !interrupted && (i = next++) < jobs.size();) {
      const Job& job = jobs[i];
      const Cell& cell = cells[job.cell];
      try {
        const std::string mark = make_mark(sweep, cell, job.seed, program_hash);
        reports[i] = read_stored_report(job, mark);
        if (reports[i].is_object()) {
          ++reused;
        } else {
          const Result result = simulate(cell.scenario, job.seed, cell.policy);
          write_result(result, job.folder);
          // The mark is written last: otherwise a run interrupted while it wrote would count as complete.
          write_file(job.folder + "/mark", mark);
          reports[i] = result.to_json();
        }
      } catch (const std::exception& error) {
        const std::lock_guard lock(mutex);
        error_text = error.what();
        next = jobs.size();
      }
      ++done;
      if (sweep.progress) {
        const std::lock_guard lock(mutex);
        show_progress(done, jobs.size());
      }
    }
  };
  const int thread_count =
      sweep.jobs > 0 ? sweep.jobs : std::max(1, static_cast<int>(std::thread::hardware_concurrency()));
  std::vector<std::thread> threads;
  for (int i = 0; i < thread_count; ++i) {
    threads.emplace_back(run_jobs);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  if (!error_text.empty()) {
    throw InvalidInput(error_text);
  }
  if (interrupted) {
    std::cerr << "dapplewharf_emulator: interrupted with " << done << " of " << jobs.size()
              << " runs done; the same command continues from there\n";
    return 1;
  }

  nlohmann::json rows = nlohmann::json::array();
  std::map<std::size_t, std::vector<const nlohmann::json*>> by_cell;
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    by_cell[jobs[i].cell].push_back(&reports[i]);
  }
  int violations = 0;
  std::ostringstream table;
  table << fmt::format("{:<44} {:>9} {:>17} {:>9} {:>9} {:>7}  {}\n", "values and policy", "service",
                       "(p10 to p90)", "worst10s", "rejected", "broken",
                       "paired difference of service from the first (95%)");
  for (std::size_t c = 0; c < cells.size(); ++c) {
    nlohmann::json row = {
        {"policy", cells[c].policy}, {"runs", by_cell[c].size()}, {"values", nlohmann::json::object()}};
    for (const auto& [name, value] : cells[c].values) {
      row["values"][name] = value;
    }
    std::map<std::string, std::vector<double>> figures;
    int cell_violations = 0;
    for (const nlohmann::json* report : by_cell[c]) {
      for (const char* name : kFigures) {
        figures[name].push_back(read_figure(*report, name));
      }
      cell_violations += count_violations(*report);
    }
    for (const char* name : kFigures) {
      row[name] = {{"median", quantile(figures[name], 0.5)},
                   {"p10", quantile(figures[name], 0.1)},
                   {"p90", quantile(figures[name], 0.9)}};
    }
    violations += cell_violations;
    row["broken"] = cell_violations;
    // Each policy is compared with the first policy at the same values; the first policy with itself at the
    // first values.
    const std::size_t policy_count = sweep.policies.size();
    const std::size_t base = c % policy_count != 0 ? c - c % policy_count : 0;
    std::string paired = "-";
    if (base != c) {
      std::vector<double> differences;
      for (std::size_t i = 0; i < by_cell[c].size(); ++i) {
        differences.push_back(read_figure(*by_cell[c][i], "service") -
                              read_figure(*by_cell[base][i], "service"));
      }
      const ConfidenceInterval interval = bootstrap(differences, 1);
      row["paired"] = {
          {"against", (cells[base].name.empty() ? "" : cells[base].name + " ") + cells[base].policy},
          {"mean", interval.mean},
          {"low", interval.low},
          {"high", interval.high}};
      paired = fmt::format("{:+.4f} ({:+.4f} to {:+.4f})", interval.mean, interval.low, interval.high);
    }
    table << fmt::format("{:<44} {:>9.4f} {:>7.4f} to {:.4f} {:>9.4f} {:>9.0f} {:>7}  {}\n",
                         (cells[c].name.empty() ? "" : cells[c].name + " ") + cells[c].policy,
                         quantile(figures["service"], 0.5), quantile(figures["service"], 0.1),
                         quantile(figures["service"], 0.9), quantile(figures["worst_10s"], 0.5),
                         quantile(figures["rejected"], 0.5), cell_violations, paired);
    rows.push_back(std::move(row));
  }
  const nlohmann::json summary = {{"scenario", cells.front().scenario.name},
                                  {"driver", "sim"},
                                  {"seeds", {sweep.first_seed, sweep.last_seed}},
                                  {"rows", rows}};
  write_file(sweep.output + "/summary.json", summary.dump(2) + "\n");
  if (sweep.json) {
    std::cout << summary.dump(2) << "\n";
  } else {
    std::cout << table.str() << jobs.size() << " runs, " << reused
              << " of them kept from before; simulated\n";
  }
  return violations > 0 ? 3 : 0;
}

}  // namespace dapplewharf::emulator
