// dapplewharf_emulator: the commands of the fleet. Owns arguments and exit codes (0 good, 1 the work failed,
// 2 unusable input, 3 a rule was broken); everything else lies in the parts it calls.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <ctime>
#include <iostream>

#include "emulator/live/live.h"
#include "emulator/live/rig_process.h"
#include "emulator/report/page.h"
#include "emulator/sim/policy.h"
#include "emulator/sim/simulation.h"
#include "emulator/soak.h"
#include "emulator/sweep.h"

using namespace dapplewharf::emulator;

namespace {

using Values = std::vector<std::string>;

Scenario scenario_with(const std::string& file, const Values& values) {
  Scenario scenario = read_scenario(file);
  for (const std::string& one : values) {
    const auto [name, given] = vary_of(one);
    if (given.size() != 1) {
      throw InvalidInput("--set:0:0: '" + one + "' has several values; expected NAME=VALUE");
    }
    set_setting(scenario, name, given.front());
  }
  return scenario;
}

int sim(const std::string& file, const Values& values, std::uint64_t seed, const std::string& out,
        const std::string& policy, bool json) {
  const Scenario scenario = scenario_with(file, values);
  check_policy(policy);
  check_folder(out);
  const std::clock_t begun = std::clock();
  SimulationEffort effort;
  const Result result = simulate(scenario, seed, policy, &effort);
  const double cpu = static_cast<double>(std::clock() - begun) / CLOCKS_PER_SEC;
  if (!out.empty()) {
    write_result(result, out);
  }
  if (json) {
    std::cout << result.told().dump(2) << "\n";
  } else {
    std::cout << result.table() << "  speed      " << effort.virtual_s << " virtual s, "
              << static_cast<long>(effort.connection_s / std::max(cpu, 1e-3))
              << " connection-seconds for each second of CPU, " << cpu << " s in all\n";
  }
  return result.broken() ? 3 : 0;
}

int live(const std::string& file, const Values& values, const LiveOptions& options, bool json) {
  const Scenario scenario = scenario_with(file, values);
  check_folder(options.out);
  const Result result = play_live(scenario, options);
  if (!options.out.empty()) {
    write_result(result, options.out);
  }
  std::cout << (json ? result.told().dump(2) + "\n" : result.table());
  if (!result.void_because.empty()) {
    return std::cerr << file << ": void: " << result.void_because << "\n", 1;
  }
  return result.broken() ? 3 : 0;
}

// The node that was built beside this program.
std::string node_beside() {
  char path[4096];
  const ssize_t size = readlink("/proc/self/exe", path, sizeof path);
  const std::string own(path, static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
  return own.substr(0, own.rfind('/') + 1) + "dapplewharf";
}

}  // namespace

int main(int count, char** words) {
  CLI::App app("Plays deployments: a fleet of hosts, nodes and clients, and what goes wrong.");
  app.require_subcommand(1);
  std::string file;
  std::string out;
  std::string policy = "dapplewharf";
  std::uint64_t seed = 1;
  Values values;
  bool json = false;
  auto* check = app.add_subcommand("check", "Reads a scenario and says what is wrong with it.");
  check->add_option("SCENARIO", file, "a TOML file, see docs/scenario.md")->required();
  check->footer("Example: dapplewharf_emulator check examples/scenarios/calm.toml");
  auto* simulated = app.add_subcommand("sim", "Plays a scenario in virtual time.");
  simulated->add_option("SCENARIO", file)->required();
  simulated->add_option("--seed", seed, "what chance is drawn from");
  simulated->add_option("--set", values, "NAME=VALUE in place of the scenario's; may be said again");
  simulated->add_option("--out", out, "folder for report.json");
  simulated->add_option("--policy", policy, "who decides");
  simulated->add_flag("--json", json, "the report to standard output");
  simulated->footer(
      "Example: dapplewharf_emulator sim examples/scenarios/silent.toml --seed 3 --out out/silent");
  LiveOptions options;
  options.node = node_beside();
  auto* lived = app.add_subcommand("live", "Plays a scenario on loopback sockets, around the real node.");
  lived->add_option("SCENARIO", file)->required();
  lived->add_option("--seed", options.seed, "what chance is drawn from");
  lived->add_option("--set", values, "NAME=VALUE in place of the scenario's; may be said again");
  lived->add_option("--out", options.out, "folder for report.json, the nodes' logs and configurations");
  lived->add_option("--node", options.node, "the program of a node");
  lived->add_flag("--json", json, "the report to standard output");
  lived->footer(
      "Example: dapplewharf_emulator live examples/scenarios/silent.toml --seed 3 --out out/silent");
  int net = 245;
  double for_s = 60;
  std::string records;
  auto* alone =
      app.add_subcommand("hosts", "Plays only a scenario's hosts and their list, for programs of one's own.");
  alone->add_option("SCENARIO", file)->required();
  alone->add_option("--seed", options.seed, "what chance is drawn from");
  alone->add_option("--net", net, "127.NET.1.1:8500 is the list")->check(CLI::Range(1, 254));
  alone->add_option("--for", for_s, "seconds")->check(CLI::Range(0.1, 86400.0));
  alone->add_option("--records", records, "file for what they have seen")->required();
  alone->footer(
      "Example: dapplewharf_emulator hosts examples/scenarios/small.toml --net 245 --for 30 --records seen");
  Sweep grid;
  std::vector<std::string> vary;
  std::string seeds = "1..10";
  std::string policies = "dapplewharf";
  auto* swept = app.add_subcommand(
      "sweep", "Plays a grid of values, policies and seeds on all cores; goes on where it stopped.");
  swept->add_option("SCENARIO", grid.file)->required();
  swept->add_option("--vary", vary, "NAME=V1,V2; may be said again for another name");
  swept->add_option("--seeds", seeds, "A..B");
  swept->add_option("--out", grid.out, "folder of the experiment")->required();
  swept->add_option("--policy", policies, "NAME,NAME; the first is what others are compared with");
  swept->add_option("--jobs", grid.jobs, "runs at a time; as many as there are cores");
  swept->add_flag("--json", grid.json, "the table as JSON");
  swept->footer(
      "Example: dapplewharf_emulator sweep examples/scenarios/small.toml --vary clients.standing=150,250 "
      "--seeds 1..10 "
      "--policy dapplewharf,random --out out/sweep");
  Soak soak;
  auto* soaked = app.add_subcommand(
      "soak",
      "Plays short scenarios of overlapping faults, drawn from seeds, around nodes whose system calls fail.");
  soaked->add_option("--seeds", seeds, "A..B");
  soaked->add_option("--node", soak.node, "a node whose system calls can fail, see tests/faults")->required();
  soaked->add_option("--out", soak.out, "folder for what is kept of seeds that failed");
  soaked->add_option("--jobs", soak.jobs, "seeds at a time")->check(CLI::Range(1, 16));
  soaked->footer(
      "Example: dapplewharf_emulator soak --seeds 1..50 --node build-tests/dapplewharf_faulty --jobs 3");
  std::string folder;
  std::string html;
  auto* paged =
      app.add_subcommand("report", "Makes one HTML page of a folder that sim, live or sweep wrote.");
  paged->add_option("DIR", folder)->required();
  paged->add_option("--html", html, "the page; DIR/report.html otherwise");
  paged->footer("Example: dapplewharf_emulator report out/silent --html silent.html");
  auto* reference_page = app.add_subcommand("schema", "Prints the reference of scenarios as Markdown.");
  try {
    app.parse(count, words);
  } catch (const CLI::CallForHelp& help) {
    return app.exit(help);
  } catch (const CLI::ParseError& error) {
    std::cerr << "dapplewharf_emulator:0:0: " << error.what() << "; expected arguments as --help shows\n";
    return 2;
  }
  try {
    if (*check) {
      return read_scenario(file), std::cout << file << ": good\n", 0;
    }
    if (*simulated) {
      return sim(file, values, seed, out, policy, json);
    }
    options.progress = isatty(STDERR_FILENO) != 0;
    if (*lived) {
      return live(file, values, options, json);
    }
    if (*alone) {
      const Scenario scenario = read_scenario(file);
      return run_endpoints_alone(scenario, make_plan(scenario, options.seed), net, for_s, records);
    }
    if (*swept) {
      for (const std::string& one : vary) {
        grid.vary.push_back(vary_of(one));
      }
      std::tie(grid.first, grid.last) = seeds_of(seeds);
      grid.policies = words_of(policies);
      if (grid.policies.empty()) {
        throw InvalidInput("--policy:0:0: names none; expected NAME,NAME");
      }
      grid.progress = options.progress;
      return run_sweep(grid);
    }
    if (*soaked) {
      std::tie(soak.first, soak.last) = seeds_of(seeds);
      return run_soak(soak);
    }
    if (*paged) {
      if (html.empty()) {
        html = folder + "/report.html";
      }
      write_page(folder, html);
      return std::cout << html << "\n", 0;
    }
    if (*reference_page) {
      return std::cout << settings_reference(), 0;
    }
  } catch (const InvalidInput& error) {
    std::cerr << error.what() << "\n";
    return 2;
  } catch (const std::exception& error) {
    std::cerr << "dapplewharf_emulator: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
