// The program dapplewharf_emulator: parses the command line, runs a command and sets the exit code: 0
// success, 1 the run failed, 2 unusable input, 3 a rule was violated.
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

using Settings = std::vector<std::string>;  // NAME=VALUE

Scenario read_scenario_with(const std::string& file, const Settings& settings) {
  Scenario scenario = read_scenario(file);
  for (const std::string& setting : settings) {
    const auto [name, values] = parse_variation(setting);
    if (values.size() != 1) {
      throw InvalidInput("--set:0:0: '" + setting + "' has several values; expected NAME=VALUE");
    }
    set_setting(scenario, name, values.front());
  }
  return scenario;
}

int run_sim(const std::string& file, const Settings& settings, std::uint64_t seed, const std::string& out,
            const std::string& policy, bool json) {
  const Scenario scenario = read_scenario_with(file, settings);
  check_policy(policy);
  check_folder(out);
  const std::clock_t started = std::clock();
  SimulationEffort effort;
  const Result result = simulate(scenario, seed, policy, &effort);
  const double cpu_s = static_cast<double>(std::clock() - started) / CLOCKS_PER_SEC;
  if (!out.empty()) {
    write_result(result, out);
  }
  if (json) {
    std::cout << result.to_json().dump(2) << "\n";
  } else {
    std::cout << result.table() << "  speed      " << effort.virtual_s << " virtual s, "
              << static_cast<long>(effort.connection_s / std::max(cpu_s, 1e-3))
              << " connection-seconds per second of CPU time, " << cpu_s << " s of CPU time in total\n";
  }
  return result.has_violations() ? 3 : 0;
}

int run_live(const std::string& file, const Settings& settings, const LiveOptions& options, bool json) {
  const Scenario scenario = read_scenario_with(file, settings);
  check_folder(options.out);
  const Result result = play_live(scenario, options);
  if (!options.out.empty()) {
    write_result(result, options.out);
  }
  std::cout << (json ? result.to_json().dump(2) + "\n" : result.table());
  if (!result.void_reason.empty()) {
    return std::cerr << file << ": void: " << result.void_reason << "\n", 1;
  }
  return result.has_violations() ? 3 : 0;
}

// The path of the node in the folder of this program.
std::string default_node_path() {
  char path[4096];
  const ssize_t size = readlink("/proc/self/exe", path, sizeof path);
  const std::string own(path, static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
  return own.substr(0, own.rfind('/') + 1) + "dapplewharf";
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Plays deployments of endpoints, nodes and clients, with faults.");
  app.require_subcommand(1);
  std::string file;
  std::string out;
  std::string policy = "dapplewharf";
  std::uint64_t seed = 1;
  Settings settings;
  bool json = false;
  auto* check_command = app.add_subcommand("check", "Reads a scenario and reports its errors.");
  check_command->add_option("SCENARIO", file, "a TOML file, see docs/scenario.md")->required();
  check_command->footer("Example: dapplewharf_emulator check examples/scenarios/calm.toml");
  auto* sim_command = app.add_subcommand("sim", "Plays a scenario in virtual time.");
  sim_command->add_option("SCENARIO", file)->required();
  sim_command->add_option("--seed", seed, "seed of the random draws");
  sim_command->add_option("--set", settings, "NAME=VALUE in place of the scenario's; may be repeated");
  sim_command->add_option("--out", out, "folder for report.json");
  sim_command->add_option("--policy", policy, "the load balancing policy");
  sim_command->add_flag("--json", json, "prints the report to standard output");
  sim_command->footer(
      "Example: dapplewharf_emulator sim examples/scenarios/silent.toml --seed 3 --out out/silent");
  LiveOptions options;
  options.node = default_node_path();
  auto* live_command = app.add_subcommand("live", "Plays a scenario on loopback sockets with the real node.");
  live_command->add_option("SCENARIO", file)->required();
  live_command->add_option("--seed", options.seed, "seed of the random draws");
  live_command->add_option("--set", settings, "NAME=VALUE in place of the scenario's; may be repeated");
  live_command->add_option("--out", options.out,
                           "folder for report.json, the nodes' logs and configurations");
  live_command->add_option("--node", options.node, "path of the node's program");
  live_command->add_flag("--json", json, "prints the report to standard output");
  live_command->footer(
      "Example: dapplewharf_emulator live examples/scenarios/silent.toml --seed 3 --out out/silent");
  int net = 245;
  double for_s = 60;
  std::string records;
  auto* hosts_command =
      app.add_subcommand("hosts", "Plays only a scenario's endpoints and their list, for other programs.");
  hosts_command->add_option("SCENARIO", file)->required();
  hosts_command->add_option("--seed", options.seed, "seed of the random draws");
  hosts_command->add_option("--net", net, "the endpoint list listens at 127.NET.1.1:8500")
      ->check(CLI::Range(1, 254));
  hosts_command->add_option("--for", for_s, "seconds")->check(CLI::Range(0.1, 86400.0));
  hosts_command->add_option("--records", records, "file for the records")->required();
  hosts_command->footer(
      "Example: dapplewharf_emulator hosts examples/scenarios/small.toml --net 245 --for 30 --records seen");
  SweepOptions sweep;
  std::vector<std::string> vary;
  std::string seeds = "1..10";
  std::string policies = "dapplewharf";
  auto* sweep_command = app.add_subcommand(
      "sweep", "Plays a grid of values, policies and seeds on all cores; continues an interrupted sweep.");
  sweep_command->add_option("SCENARIO", sweep.file)->required();
  sweep_command->add_option("--vary", vary, "NAME=V1,V2; may be repeated for another name");
  sweep_command->add_option("--seeds", seeds, "A..B");
  sweep_command->add_option("--out", sweep.output, "folder of the sweep")->required();
  sweep_command->add_option("--policy", policies, "NAME,NAME; the first is what others are compared with");
  sweep_command->add_option("--jobs", sweep.jobs, "runs at a time; default: the number of cores");
  sweep_command->add_flag("--json", sweep.json, "prints the summary as JSON");
  sweep_command->footer(
      "Example: dapplewharf_emulator sweep examples/scenarios/small.toml --vary clients.standing=150,250 "
      "--seeds 1..10 "
      "--policy dapplewharf,random --out out/sweep");
  SoakOptions soak;
  auto* soak_command = app.add_subcommand(
      "soak",
      "Plays short scenarios of overlapping faults, drawn from seeds, around nodes whose system calls fail.");
  soak_command->add_option("--seeds", seeds, "A..B");
  soak_command->add_option("--node", soak.node, "a node whose system calls can fail, see tests/faults")
      ->required();
  soak_command->add_option("--out", soak.output, "folder for the files of failed seeds");
  soak_command->add_option("--jobs", soak.jobs, "seeds at a time")->check(CLI::Range(1, 16));
  soak_command->footer(
      "Example: dapplewharf_emulator soak --seeds 1..50 --node build-tests/dapplewharf_faulty --jobs 3");
  std::string folder;
  std::string html;
  auto* report_command =
      app.add_subcommand("report", "Makes an HTML page from a folder that sim, live or sweep wrote.");
  report_command->add_option("DIR", folder)->required();
  report_command->add_option("--html", html, "the page; default: DIR/report.html");
  report_command->footer("Example: dapplewharf_emulator report out/silent --html silent.html");
  auto* schema_command = app.add_subcommand("schema", "Prints the reference of scenarios as Markdown.");
  try {
    app.parse(argc, argv);
  } catch (const CLI::CallForHelp& help) {
    return app.exit(help);
  } catch (const CLI::ParseError& error) {
    std::cerr << "dapplewharf_emulator:0:0: " << error.what() << "; expected arguments as --help shows\n";
    return 2;
  }
  try {
    if (*check_command) {
      return read_scenario(file), std::cout << file << ": good\n", 0;
    }
    if (*sim_command) {
      return run_sim(file, settings, seed, out, policy, json);
    }
    options.progress = isatty(STDERR_FILENO) != 0;
    if (*live_command) {
      return run_live(file, settings, options, json);
    }
    if (*hosts_command) {
      const Scenario scenario = read_scenario(file);
      return run_endpoints_alone(scenario, make_plan(scenario, options.seed), net, for_s, records);
    }
    if (*sweep_command) {
      for (const std::string& setting : vary) {
        sweep.vary.push_back(parse_variation(setting));
      }
      std::tie(sweep.first_seed, sweep.last_seed) = parse_seeds(seeds);
      sweep.policies = split_at_commas(policies);
      if (sweep.policies.empty()) {
        throw InvalidInput("--policy:0:0: names none; expected NAME,NAME");
      }
      sweep.progress = options.progress;
      return run_sweep(sweep);
    }
    if (*soak_command) {
      std::tie(soak.first_seed, soak.last_seed) = parse_seeds(seeds);
      return run_soak(soak);
    }
    if (*report_command) {
      if (html.empty()) {
        html = folder + "/report.html";
      }
      write_page(folder, html);
      return std::cout << html << "\n", 0;
    }
    if (*schema_command) {
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
