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

struct Cell {  // of the grid, but for the seed
  std::string name, policy;
  std::vector<std::pair<std::string, std::string>> values;
  Scenario scenario;
};
struct Job {
  std::size_t cell;
  std::uint64_t seed;
  std::string folder;
};

std::string text_of(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

std::vector<Cell> cells_of(const Sweep& sweep) {
  std::vector<Cell> cells{{"", "", {}, read_scenario(sweep.file)}};
  for (const auto& [name, values] : sweep.vary) {
    std::vector<Cell> more;
    for (const Cell& cell : cells) {
      for (const std::string& value : values) {
        Cell& made = more.emplace_back(cell);
        set_setting(made.scenario, name, value);
        made.name += (made.name.empty() ? "" : ",") + name + "=" + value;
        made.values.emplace_back(name, value);
      }
    }
    cells = std::move(more);
  }
  std::vector<Cell> out;
  for (const Cell& cell : cells) {
    for (const std::string& policy : sweep.policies) {
      out.push_back({cell.name, policy, cell.values, cell.scenario});
    }
  }
  return out;
}

// What a kept report has to match to be taken for this run's: the scenario, the values, and this very
// program.
std::string mark_of(const Sweep& sweep, const Cell& cell, std::uint64_t seed, std::uint64_t program) {
  const std::string all =
      text_of(sweep.file) + "\n" + cell.name + "\n" + cell.policy + "\n" + std::to_string(seed);
  return fmt::format("{:016x}{:016x}", XXH64(all.data(), all.size(), 0), program);
}

nlohmann::json kept(const Job& job, const std::string& mark) {
  const nlohmann::json report = nlohmann::json::parse(text_of(job.folder + "/report.json"), nullptr, false);
  return text_of(job.folder + "/mark") == mark && report.is_object() ? report : nlohmann::json();
}

double figure(const nlohmann::json& report, const std::string& name) {
  return name == "setup_p99_ms" ? report.at("setup_ms").at("p99").get<double>()
                                : report.at(name).get<double>();
}

int breaches(const nlohmann::json& report) {
  int sum = 0;
  for (const auto& [rule, count] : report.at("rules").items()) {
    sum += count.get<int>();
  }
  return sum;
}

void show_progress(std::size_t done, std::size_t all) {
  const auto filled = all == 0 ? 30 : done * 30 / all;
  std::cerr << fmt::format("\r[{:<30}] {} of {} runs ", std::string(filled, '#'), done, all)
            << (done == all ? "\n" : "") << std::flush;
}

}  // namespace

double middle(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const double at = share * static_cast<double>(values.size() - 1);
  const auto low = static_cast<std::size_t>(at);
  const auto high = std::min(low + 1, values.size() - 1);
  return values[low] + (values[high] - values[low]) * (at - static_cast<double>(low));
}

Interval bootstrap(const std::vector<double>& differences, std::uint64_t seed) {
  Interval out;
  if (differences.empty()) {
    return out;
  }
  RandomStream chance(seed, "bootstrap");
  const auto mean = [](const std::vector<double>& of) {
    double sum = 0;
    for (const double one : of) {
      sum += one;
    }
    return sum / static_cast<double>(of.size());
  };
  out.mean = mean(differences);
  std::vector<double> means;
  std::vector<double> drawn(differences.size());
  for (int i = 0; i < kResamples; ++i) {
    for (double& one : drawn) {
      one = differences[chance.index(differences.size())];
    }
    means.push_back(mean(drawn));
  }
  out.low = middle(means, 0.025), out.high = middle(means, 0.975);
  return out;
}

std::vector<std::string> words_of(const std::string& text) {
  std::vector<std::string> out;
  std::istringstream in(text);
  for (std::string one; std::getline(in, one, ',');) {
    if (!one.empty()) {
      out.push_back(one);
    }
  }
  return out;
}

std::pair<std::string, std::vector<std::string>> vary_of(const std::string& text) {
  const std::size_t at = text.find('=');
  std::vector<std::string> values =
      at == std::string::npos ? std::vector<std::string>() : words_of(text.substr(at + 1));
  if (values.empty()) {
    throw InvalidInput("--vary:0:0: '" + text + "' has no values; expected NAME=V1,V2");
  }
  return {text.substr(0, at), std::move(values)};
}

std::pair<std::uint64_t, std::uint64_t> seeds_of(const std::string& text) {
  const std::size_t dots = text.find("..");
  const std::string first = text.substr(0, dots);
  const std::string last = dots == std::string::npos ? first : text.substr(dots + 2);
  std::pair<std::uint64_t, std::uint64_t> out;
  const auto number = [&](const std::string& word, std::uint64_t& to) {
    const auto [end, fault] = std::from_chars(word.data(), word.data() + word.size(), to);
    return fault == std::errc() && end == word.data() + word.size();
  };
  if (!number(first, out.first) || !number(last, out.second) || out.second < out.first ||
      out.second - out.first > 100000) {
    throw InvalidInput("--seeds:0:0: '" + text + "' is no span; expected A..B with A no larger than B");
  }
  return out;
}

int run_sweep(const Sweep& sweep) {
  for (const std::string& policy : sweep.policies) {
    check_policy(policy);
  }
  const std::vector<Cell> cells = cells_of(sweep);
  check_folder(sweep.out);
  for (const int number : {SIGINT, SIGTERM}) {
    std::signal(number, on_signal);
  }
  const std::string own = text_of("/proc/self/exe");
  const std::uint64_t program = XXH64(own.data(), own.size(), 0);

  std::vector<Job> jobs;
  for (std::size_t c = 0; c < cells.size(); ++c) {
    for (std::uint64_t seed = sweep.first; seed <= sweep.last; ++seed) {
      jobs.push_back({c, seed,
                      fmt::format("{}/{}{}{}/seed-{}", sweep.out, cells[c].name,
                                  cells[c].name.empty() ? "" : ",", cells[c].policy, seed)});
    }
  }
  std::vector<nlohmann::json> reports(jobs.size());
  std::atomic<std::size_t> next = 0;
  std::atomic<std::size_t> done = 0;
  std::atomic<std::size_t> reused = 0;
  std::mutex guard;
  std::string fault;
  const auto work = [&] {
    for (std::size_t i; !interrupted && (i = next++) < jobs.size();) {
      const Job& job = jobs[i];
      const Cell& cell = cells[job.cell];
      try {
        const std::string mark = mark_of(sweep, cell, job.seed, program);
        reports[i] = kept(job, mark);
        if (reports[i].is_object()) {
          ++reused;
        } else {
          const Result result = simulate(cell.scenario, job.seed, cell.policy);
          write_result(result, job.folder);
          // Danger: a run that was interrupted while it wrote is taken for a whole one. The mark comes last.
          write_file(job.folder + "/mark", mark);
          reports[i] = result.told();
        }
      } catch (const std::exception& error) {
        const std::lock_guard hold(guard);
        fault = error.what();
        next = jobs.size();
      }
      ++done;
      if (sweep.progress) {
        const std::lock_guard hold(guard);
        show_progress(done, jobs.size());
      }
    }
  };
  const int count =
      sweep.jobs > 0 ? sweep.jobs : std::max(1, static_cast<int>(std::thread::hardware_concurrency()));
  std::vector<std::thread> threads;
  for (int i = 0; i < count; ++i) {
    threads.emplace_back(work);
  }
  for (std::thread& one : threads) {
    one.join();
  }
  if (!fault.empty()) {
    throw InvalidInput(fault);
  }
  if (interrupted) {
    std::cerr << "dapplewharf_emulator: interrupted with " << done << " of " << jobs.size()
              << " runs done; the same command goes on from there\n";
    return 1;
  }

  nlohmann::json rows = nlohmann::json::array();
  std::map<std::size_t, std::vector<const nlohmann::json*>> by_cell;
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    by_cell[jobs[i].cell].push_back(&reports[i]);
  }
  int broken = 0;
  std::ostringstream out;
  out << fmt::format("{:<44} {:>9} {:>17} {:>9} {:>9} {:>7}  {}\n", "values and policy", "service",
                     "(p10 to p90)", "worst10s", "rejected", "broken",
                     "paired service against the first (95%)");
  for (std::size_t c = 0; c < cells.size(); ++c) {
    nlohmann::json row = {
        {"policy", cells[c].policy}, {"runs", by_cell[c].size()}, {"values", nlohmann::json::object()}};
    for (const auto& [name, value] : cells[c].values) {
      row["values"][name] = value;
    }
    std::map<std::string, std::vector<double>> all;
    int here = 0;
    for (const nlohmann::json* report : by_cell[c]) {
      for (const char* name : kFigures) {
        all[name].push_back(figure(*report, name));
      }
      here += breaches(*report);
    }
    for (const char* name : kFigures) {
      row[name] = {{"median", middle(all[name], 0.5)},
                   {"p10", middle(all[name], 0.1)},
                   {"p90", middle(all[name], 0.9)}};
    }
    broken += here;
    row["broken"] = here;
    // Against the first policy at the same values, or, for that one, against the first values.
    const std::size_t policies = sweep.policies.size();
    const std::size_t base = c % policies != 0 ? c - c % policies : 0;
    std::string paired = "-";
    if (base != c) {
      std::vector<double> differences;
      for (std::size_t i = 0; i < by_cell[c].size(); ++i) {
        differences.push_back(figure(*by_cell[c][i], "service") - figure(*by_cell[base][i], "service"));
      }
      const Interval interval = bootstrap(differences, 1);
      row["paired"] = {
          {"against", (cells[base].name.empty() ? "" : cells[base].name + " ") + cells[base].policy},
          {"mean", interval.mean},
          {"low", interval.low},
          {"high", interval.high}};
      paired = fmt::format("{:+.4f} ({:+.4f} to {:+.4f})", interval.mean, interval.low, interval.high);
    }
    out << fmt::format("{:<44} {:>9.4f} {:>7.4f} to {:.4f} {:>9.4f} {:>9.0f} {:>7}  {}\n",
                       (cells[c].name.empty() ? "" : cells[c].name + " ") + cells[c].policy,
                       middle(all["service"], 0.5), middle(all["service"], 0.1), middle(all["service"], 0.9),
                       middle(all["worst_10s"], 0.5), middle(all["rejected"], 0.5), here, paired);
    rows.push_back(std::move(row));
  }
  const nlohmann::json summary = {{"scenario", cells.front().scenario.name},
                                  {"driver", "sim"},
                                  {"seeds", {sweep.first, sweep.last}},
                                  {"rows", rows}};
  write_file(sweep.out + "/summary.json", summary.dump(2) + "\n");
  if (sweep.json) {
    std::cout << summary.dump(2) << "\n";
  } else {
    std::cout << out.str() << jobs.size() << " runs, " << reused << " of them kept from before; simulated\n";
  }
  return broken > 0 ? 3 : 0;
}

}  // namespace dapplewharf::emulator
