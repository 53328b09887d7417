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
constexpr double kLeastStopS = 4.5;  // a stop, and the new process after it

// How a seed went, as its process says it by its exit code.
enum class Verdict { kept = 0, failed = 1, not_valid = 2, broken = 3 };

const char* word_of(Verdict verdict) {
  switch (verdict) {
    case Verdict::kept:
      return "kept";
    case Verdict::failed:
      return "FAILED";
    case Verdict::not_valid:
      return "VOID";
    case Verdict::broken:
      return "BROKEN";
  }
  return "?";
}

const std::string kOfHosts[] = {"silent", "slow", "failing", "hang", "vanish", "restart", "drain", "reset"};

template <class Thing, std::size_t N>
const Thing& one_of(Stream& chance, const Thing (&things)[N]) {
  return things[chance.index(N)];
}

std::string fault_text(Stream& chance, const std::string& kind, int hosts, int nodes) {
  std::string text = fmt::format("\n[[trouble]]\nkind = \"{}\"\n", kind);
  const bool of_node = kind.starts_with("node_");
  const bool stops = kind == "node_killed" || kind == "node_restarted";
  const double at = chance.between(0.0, stops ? kDurationS - kLeastStopS : kDurationS - 2);
  text += fmt::format("at_s = {:.2f}\nfor_s = {:.2f}\n", at,
                      stops ? std::min(kLeastStopS, kDurationS - at) : chance.between(0.3, 4));
  const bool of_hosts = std::find(std::begin(kOfHosts), std::end(kOfHosts), kind) != std::end(kOfHosts);
  if (of_hosts) {
    text += fmt::format("hosts = [{}]\n", chance.index(static_cast<std::size_t>(hosts)));
  }
  if (of_node) {
    text += fmt::format("nodes = [{}]\n", chance.index(static_cast<std::size_t>(nodes)));
  }
  if (kind == "crowd") {
    text += fmt::format("size = {}\n", 20 + chance.index(180));
  }
  if (kind == "reset" || kind == "failing") {
    text += fmt::format("size = {:.2f}\n", chance.between(0.05, 0.9));
  }
  if (kind == "zone_cut" || kind == "one_way") {
    text += "zone = \"a\"\nto = \"b\"\n";
  }
  return text;
}

Verdict play(const Soak& soak, std::uint64_t seed, const std::string& folder, std::string& told) {
  const Scenario scenario = scenario_of(soak_scenario_text(seed), fmt::format("soak seed {}", seed));
  LiveOptions options;
  options.seed = seed, options.node = soak.node, options.out = folder;
  options.system_faults = [seed](int node) { return soak_system_faults(seed, node); };
  const Result result = play_live(scenario, options);
  write_result(result, folder);
  const int violations = count_violations_in_logs(folder + "/parts");
  told = fmt::format("asked {}, up {}, refused {}, failed {}, moved {}, service {:.3f}, troubles {}",
                     result.totals.asked, result.totals.honoured, result.totals.rejected,
                     result.totals.scrapped, result.moved, result.service(), scenario.faults.size());
  for (int rule = 0; rule < kRules; ++rule) {
    for (const Case& one : result.found[rule].first) {
      told += fmt::format("\n    {} {} at {} ms: {}", kRuleNames[rule], one.id, one.when / kMs, one.what);
    }
  }
  if (violations > 0) {
    told += fmt::format("\n    {} violations in the nodes' own logs", violations);
  }
  if (!result.void_because.empty()) {
    return told += ", " + result.void_because, Verdict::not_valid;
  }
  return result.broken() || violations > 0 ? Verdict::broken : Verdict::kept;
}

// Each seed in a process of its own: what one leaves behind touches no other.
pid_t start_seed(const Soak& soak, std::uint64_t seed, const std::string& folder) {
  std::cout.flush();
  const pid_t id = fork();
  if (id != 0) {
    return id;
  }
  Verdict verdict = Verdict::failed;
  std::string told;
  try {
    verdict = play(soak, seed, folder, told);
  } catch (const std::exception& error) {
    told = error.what();
  }
  std::cout << fmt::format("seed {} {}: {}\n", seed, word_of(verdict), told) << std::flush;
  _exit(static_cast<int>(verdict));
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
  Stream chance(seed, "soak");
  const int hosts = 6 + static_cast<int>(chance.index(7));
  const int nodes = 4 + static_cast<int>(chance.index(13));
  const char* const effects[] = {"idempotent", "deduplicated", "unrepeatable"};
  const char* const groups[] = {"all", "zone", "cell"};
  const char* const modes[] = {"on_request", "pushed"};
  const bool crowded = chance.share() < 0.3;
  std::string text = fmt::format(
      "name = \"soak-{}\"\nduration_s = {}\n[hosts]\ncount = {}\nper_core = 20\ncold_s = 3\n"
      "[nodes]\ncount = {}\ndescriptors = {}\n[network]\nzones = [\"a\", \"b\"]\n"
      "[clients]\nstanding = {}\nresumed = {}\nramp_s = 2\nline_every_s = 0.5\nbackoff = \"at_once\"\nleave "
      "= 0.1\n"
      "[list]\nmode = \"{}\"\nlate_s = 0.3\n[rules]\ngrace_to_answer_ms = 450\nslack_ms = 200\n",
      seed, kDurationS, hosts, nodes, crowded ? 128 : 512, 60 + chance.index(120), 20 + chance.index(40),
      one_of(chance, modes));
  for (const char* effect : effects) {
    text += fmt::format(
        "[[traffic]]\nname = \"{}\"\neffect = \"{}\"\nrepeat_group = \"{}\"\nrepeat_window_ms = {:.0f}\n"
        "expiry_ms = {:.0f}\nlatency_goal_ms = 400\nlife_s = 6\n",
        effect, effect, one_of(chance, groups), chance.between(600, 4000), chance.between(800, 3000));
  }
  const char* const kinds[] = {"silent",      "slow",        "failing",        "hang",
                               "vanish",      "restart",     "drain",          "reset",
                               "reset",       "drop",        "burst",          "list_stale",
                               "list_down",   "node_killed", "node_restarted", "node_restarted",
                               "node_reload", "node_reload", "zone_cut",       "one_way"};
  const int count = 3 + static_cast<int>(chance.index(7));
  std::vector<std::string> taken{text};
  for (int i = 0; i < count; ++i) {
    taken.push_back(taken.back() + fault_text(chance, one_of(chance, kinds), hosts, nodes));
    try {
      scenario_of(taken.back(), "soak");
    } catch (const BadInput&) {
      taken.pop_back();
    }  // two that stop the same process at one time
  }
  if (crowded) {
    return taken.back() + fault_text(chance, "crowd", hosts, nodes);
  }
  return taken.back();
}

// Faults below a node: about half of the nodes have one or two.
std::string soak_system_faults(std::uint64_t seed, int node) {
  Stream chance(seed * 1000 + static_cast<std::uint64_t>(node), "system faults");
  std::string text;
  const int connect_errors[] = {ENETUNREACH, ENOBUFS, EADDRNOTAVAIL, ECONNREFUSED, EHOSTUNREACH, EAGAIN};
  const int accept_errors[] = {ENFILE, EMFILE, ECONNABORTED, ENOBUFS, EINTR, EPROTO};
  const int socket_errors[] = {ENFILE, ENOBUFS, ENOMEM};
  const int read_errors[] = {EINTR, ENOBUFS, EAGAIN};
  for (int i = 0; i < 2; ++i) {
    if (chance.share() < 0.4) {
      continue;
    }
    // For a moment, at the start of a process or later.
    const auto from = chance.share() < 0.5 ? 0 : static_cast<int>(chance.between(0, 6000));
    const int until = from + static_cast<int>(chance.between(50, 800));
    const std::string span =
        fmt::format(",from_ms={},until_ms={},share={:.2f};", from, until, chance.between(0.1, 1));
    switch (chance.index(8)) {
      case 0:
      case 1:
        text += fmt::format("connect,errno={}", one_of(chance, connect_errors)) + span;
        break;
      case 2:
        text += fmt::format("accept4,errno={}", one_of(chance, accept_errors)) + span;
        break;
      case 3:
        text += fmt::format("socket,errno={}", one_of(chance, socket_errors)) + span;
        break;
      case 4:
        text += fmt::format("recv,errno={},share=0.2;", one_of(chance, read_errors));
        break;
      case 5:
        text += "send,short=1,share=0.5;recv,short=1,share=0.5;";
        break;
      case 6:
        text += fmt::format("clock,step_ms={},from_ms={};", chance.share() < 0.5 ? -3600000 : 5000, from);
        break;
      default:
        text += "poll,errno=4,share=0.1;send,delay_ms=150,share=0.001;";
        break;
    }
  }
  return text;
}

int run_soak(const Soak& soak) {
  std::map<pid_t, std::uint64_t> running;
  std::map<Verdict, int> counts;
  std::string again;
  const std::string base =
      soak.out.empty() ? std::filesystem::temp_directory_path().string() + fmt::format("/soak-{}", getpid())
                       : soak.out;
  const auto folder_of = [&](std::uint64_t seed) { return fmt::format("{}/{}", base, seed); };
  for (std::uint64_t next = soak.first; next <= soak.last || !running.empty();) {
    while (next <= soak.last && running.size() < static_cast<std::size_t>(std::max(1, soak.jobs))) {
      std::filesystem::create_directories(folder_of(next));
      const pid_t id = start_seed(soak, next, folder_of(next));
      if (id < 0) {
        throw RunFailed("no process for a seed");
      }
      running[id] = next++;
    }
    int status = 0;
    const pid_t ended = waitpid(-1, &status, 0);
    const auto found = running.find(ended);
    if (found == running.end()) {
      continue;
    }
    const Verdict verdict = WIFEXITED(status) ? static_cast<Verdict>(WEXITSTATUS(status)) : Verdict::failed;
    ++counts[verdict];
    std::error_code ignored;
    if (verdict != Verdict::kept) {
      again += fmt::format(" {}", found->second);
    }
    if (verdict == Verdict::kept || soak.out.empty()) {
      std::filesystem::remove_all(folder_of(found->second), ignored);
    }
    running.erase(found);
  }
  const int bad = counts[Verdict::failed] + counts[Verdict::broken];
  std::cout << fmt::format("soak: {} kept, {} broken, {} failed, {} void{}\n", counts[Verdict::kept],
                           counts[Verdict::broken], counts[Verdict::failed], counts[Verdict::not_valid],
                           again.empty() ? "" : "; seeds" + again);
  return counts[Verdict::broken] > 0 ? 3 : bad > 0 || counts[Verdict::kept] == 0 ? 1 : 0;
}

}  // namespace dapplewharf::emulator
