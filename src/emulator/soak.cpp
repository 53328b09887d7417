#include "emulator/soak.h"

#include <spdlog/fmt/fmt.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <vector>

#include "base/log_events.h"
#include "emulator/model/chance.h"

namespace dapplewharf::emulator {
namespace {

constexpr double kDurationS = 9;
constexpr double kMinNodeStopS = 4.5;  // for the end of a node and the start of its new process

/// The result of a seed, which is also the exit code of its process.
enum class SeedResult { passed = 0, run_failed = 1, run_void = 2, rule_violated = 3 };

const char* label_of(SeedResult result) {
  switch (result) {
    case SeedResult::passed:
      return "kept";
    case SeedResult::run_failed:
      return "FAILED";
    case SeedResult::run_void:
      return "VOID";
    case SeedResult::rule_violated:
      return "BROKEN";
  }
  return "?";
}

const std::string kEndpointFaults[] = {"silent", "slow",    "failing", "hang",
                                       "vanish", "restart", "drain",   "reset"};

template <class Value, std::size_t N>
const Value& draw_from(RandomStream& draws, const Value (&values)[N]) {
  return values[draws.index(N)];
}

/// A fault of a scenario in TOML, at a random time.
std::string draw_fault(RandomStream& draws, const std::string& kind, int hosts, int nodes) {
  std::string text = fmt::format("\n[[trouble]]\nkind = \"{}\"\n", kind);
  const bool affects_node = kind.starts_with("node_");
  const bool stops_node = kind == "node_killed" || kind == "node_restarted";
  const double at_s = draws.uniform(0.0, stops_node ? kDurationS - kMinNodeStopS : kDurationS - 2);
  text += fmt::format("at_s = {:.2f}\nfor_s = {:.2f}\n", at_s,
                      stops_node ? std::min(kMinNodeStopS, kDurationS - at_s) : draws.uniform(0.3, 4));
  const bool affects_endpoint =
      std::find(std::begin(kEndpointFaults), std::end(kEndpointFaults), kind) != std::end(kEndpointFaults);
  if (affects_endpoint) {
    text += fmt::format("hosts = [{}]\n", draws.index(static_cast<std::size_t>(hosts)));
  }
  if (affects_node) {
    text += fmt::format("nodes = [{}]\n", draws.index(static_cast<std::size_t>(nodes)));
  }
  if (kind == "crowd") {
    text += fmt::format("size = {}\n", 20 + draws.index(180));
  }
  if (kind == "reset" || kind == "failing") {
    text += fmt::format("size = {:.2f}\n", draws.uniform(0.05, 0.9));
  }
  if (kind == "zone_cut" || kind == "one_way") {
    text += "zone = \"a\"\nto = \"b\"\n";
  }
  return text;
}

/// Plays a seed in this process.
/// @param summary receives what is printed for the seed.
SeedResult play_seed(const SoakOptions& soak, std::uint64_t seed, const std::string& folder,
                     std::string& summary) {
  const Scenario scenario = parse_scenario(soak_scenario_text(seed), fmt::format("soak seed {}", seed));
  LiveOptions options;
  options.seed = seed, options.node = soak.node, options.out = folder;
  options.system_faults = [seed](int node) { return soak_system_faults(seed, node); };
  const Result result = play_live(scenario, options);
  write_result(result, folder);
  const int violations = count_violations_in_logs(folder + "/parts");
  summary = fmt::format(
      "requests {}, succeeded {}, rejected {}, failed {}, migrated {}, service {:.3f}, faults {}",
      result.totals.requests, result.totals.succeeded, result.totals.rejected, result.totals.failed,
      result.connections_migrated, result.service(), scenario.faults.size());
  for (int rule = 0; rule < kRules; ++rule) {
    for (const Finding& finding : result.findings[rule].first_findings) {
      summary += fmt::format("\n    {} {} at {} ms: {}", kRuleNames[rule], finding.id, finding.when / kMs,
                             finding.description);
    }
  }
  if (violations > 0) {
    summary += fmt::format("\n    {} violations in the nodes' logs", violations);
  }
  if (!result.void_reason.empty()) {
    return summary += ", " + result.void_reason, SeedResult::run_void;
  }
  return result.has_violations() || violations > 0 ? SeedResult::rule_violated : SeedResult::passed;
}

// Each seed has a process of its own, so that sockets and signal handlers of one do not affect another.
pid_t start_seed(const SoakOptions& soak, std::uint64_t seed, const std::string& folder) {
  std::cout.flush();
  const pid_t pid = fork();
  if (pid != 0) {
    return pid;
  }
  SeedResult result = SeedResult::run_failed;
  std::string summary;
  try {
    result = play_seed(soak, seed, folder, summary);
  } catch (const std::exception& error) {
    summary = error.what();
  }
  std::cout << fmt::format("seed {} {}: {}\n", seed, label_of(result), summary) << std::flush;
  _exit(static_cast<int>(result));
}

}  // namespace

int count_violations_in_logs(const std::string& folder) {
  int count = 0;
  std::error_code fault;
  for (const auto& entry : std::filesystem::directory_iterator(folder, fault)) {
    std::ifstream in(entry.path());
    for (std::string line; std::getline(in, line);) {
      count += is_rule_violation(line);
      count += is_contained_fault(line);
      count += line.find("Sanitizer") != std::string::npos || line.find("runtime error") != std::string::npos;
    }
  }
  return count;
}

std::string soak_scenario_text(std::uint64_t seed) {
  RandomStream draws(seed, "soak");
  const int hosts = 6 + static_cast<int>(draws.index(7));
  const int nodes = 4 + static_cast<int>(draws.index(13));
  const char* const effects[] = {"idempotent", "deduplicated", "unrepeatable"};
  const char* const groups[] = {"all", "zone", "cell"};
  const char* const modes[] = {"on_request", "pushed"};
  const bool has_surge = draws.next_fraction() < 0.3;
  std::string text = fmt::format(
      "name = \"soak-{}\"\nduration_s = {}\n[hosts]\ncount = {}\nper_core = 20\ncold_s = 3\n"
      "[nodes]\ncount = {}\ndescriptors = {}\n[network]\nzones = [\"a\", \"b\"]\n"
      "[clients]\nstanding = {}\nresumed = {}\nramp_s = 2\nline_every_s = 0.5\nbackoff = \"at_once\"\nleave "
      "= 0.1\n"
      "[list]\nmode = \"{}\"\nlate_s = 0.3\n[rules]\ngrace_to_answer_ms = 450\nslack_ms = 200\n",
      seed, kDurationS, hosts, nodes, has_surge ? 128 : 512, 60 + draws.index(120), 20 + draws.index(40),
      draw_from(draws, modes));
  for (const char* effect : effects) {
    text += fmt::format(
        "[[traffic]]\nname = \"{}\"\neffect = \"{}\"\nrepeat_group = \"{}\"\nrepeat_window_ms = {:.0f}\n"
        "expiry_ms = {:.0f}\nlatency_goal_ms = 400\nlife_s = 6\n",
        effect, effect, draw_from(draws, groups), draws.uniform(600, 4000), draws.uniform(800, 3000));
  }
  const char* const kinds[] = {"silent",      "slow",        "failing",        "hang",
                               "vanish",      "restart",     "drain",          "reset",
                               "reset",       "drop",        "burst",          "list_stale",
                               "list_down",   "node_killed", "node_restarted", "node_restarted",
                               "node_reload", "node_reload", "zone_cut",       "one_way"};
  const int fault_count = 3 + static_cast<int>(draws.index(7));
  std::vector<std::string> accepted{text};
  for (int i = 0; i < fault_count; ++i) {
    accepted.push_back(accepted.back() + draw_fault(draws, draw_from(draws, kinds), hosts, nodes));
    try {
      parse_scenario(accepted.back(), "soak");
    } catch (const InvalidInput&) {
      accepted.pop_back();
    }  // refused: two faults stop the same process at one time
  }
  if (has_surge) {
    return accepted.back() + draw_fault(draws, "crowd", hosts, nodes);
  }
  return accepted.back();
}

// Draws up to two faults for a node.
std::string soak_system_faults(std::uint64_t seed, int node) {
  RandomStream draws(seed * 1000 + static_cast<std::uint64_t>(node), "system faults");
  std::string text;
  const int connect_errors[] = {ENETUNREACH, ENOBUFS, EADDRNOTAVAIL, ECONNREFUSED, EHOSTUNREACH, EAGAIN};
  const int accept_errors[] = {ENFILE, EMFILE, ECONNABORTED, ENOBUFS, EINTR, EPROTO};
  const int socket_errors[] = {ENFILE, ENOBUFS, ENOMEM};
  const int read_errors[] = {EINTR, ENOBUFS, EAGAIN};
  for (int i = 0; i < 2; ++i) {
    if (draws.next_fraction() < 0.4) {
      continue;
    }
    // For a short time, at the start of the process or later.
    const auto from_ms = draws.next_fraction() < 0.5 ? 0 : static_cast<int>(draws.uniform(0, 6000));
    const int until_ms = from_ms + static_cast<int>(draws.uniform(50, 800));
    const std::string span =
        fmt::format(",from_ms={},until_ms={},share={:.2f};", from_ms, until_ms, draws.uniform(0.1, 1));
    switch (draws.index(8)) {
      case 0:
      case 1:
        text += fmt::format("connect,errno={}", draw_from(draws, connect_errors)) + span;
        break;
      case 2:
        text += fmt::format("accept4,errno={}", draw_from(draws, accept_errors)) + span;
        break;
      case 3:
        text += fmt::format("socket,errno={}", draw_from(draws, socket_errors)) + span;
        break;
      case 4:
        text += fmt::format("recv,errno={},share=0.2;", draw_from(draws, read_errors));
        break;
      case 5:
        text += "send,short=1,share=0.5;recv,short=1,share=0.5;";
        break;
      case 6:
        text += fmt::format("clock,step_ms={},from_ms={};", draws.next_fraction() < 0.5 ? -3600000 : 5000,
                            from_ms);
        break;
      default:
        text += "poll,errno=4,share=0.1;send,delay_ms=150,share=0.001;";
        break;
    }
  }
  return text;
}

int run_soak(const SoakOptions& soak) {
  std::map<pid_t, std::uint64_t> running;
  std::map<SeedResult, int> counts;
  std::string other_seeds;
  const std::string base = soak.output.empty() ? std::filesystem::temp_directory_path().string() +
                                                     fmt::format("/soak-{}", getpid())
                                               : soak.output;
  const auto folder_of = [&](std::uint64_t seed) { return fmt::format("{}/{}", base, seed); };
  for (std::uint64_t next_seed = soak.first_seed; next_seed <= soak.last_seed || !running.empty();) {
    while (next_seed <= soak.last_seed && running.size() < static_cast<std::size_t>(std::max(1, soak.jobs))) {
      std::filesystem::create_directories(folder_of(next_seed));
      const pid_t pid = start_seed(soak, next_seed, folder_of(next_seed));
      if (pid < 0) {
        throw RunFailed("cannot start a process for a seed");
      }
      running[pid] = next_seed++;
    }
    int status = 0;
    const pid_t ended_pid = waitpid(-1, &status, 0);
    const auto found = running.find(ended_pid);
    if (found == running.end()) {
      continue;
    }
    const SeedResult result =
        WIFEXITED(status) ? static_cast<SeedResult>(WEXITSTATUS(status)) : SeedResult::run_failed;
    ++counts[result];
    std::error_code ignored;
    if (result != SeedResult::passed) {
      other_seeds += fmt::format(" {}", found->second);
    }
    if (result == SeedResult::passed || soak.output.empty()) {
      std::filesystem::remove_all(folder_of(found->second), ignored);
    }
    running.erase(found);
  }
  const int unsuccessful = counts[SeedResult::run_failed] + counts[SeedResult::rule_violated];
  std::cout << fmt::format("soak: {} kept, {} broken, {} failed, {} void{}\n", counts[SeedResult::passed],
                           counts[SeedResult::rule_violated], counts[SeedResult::run_failed],
                           counts[SeedResult::run_void], other_seeds.empty() ? "" : "; seeds" + other_seeds);
  return counts[SeedResult::rule_violated] > 0                 ? 3
         : unsuccessful > 0 || counts[SeedResult::passed] == 0 ? 1
                                                               : 0;
}

}  // namespace dapplewharf::emulator
