// Reading and checking of configuration files; what they say is docs/configuration.md.
#include "node/configuration.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include "base/socket.h"
#include "config/platform_settings.h"
#include "config/render.h"
#include "policy/load_balancer.h"

using nlohmann::json;

namespace dapplewharf {
namespace {

constexpr double kLargestLimit = 1e7;

std::string required_text(const json& from, Source source, const char* variable, const char* name) {
  const char* value = source == Source::environment_first ? std::getenv(variable) : nullptr;
  if (value && *value) {
    return value;
  }
  if (!from.contains(name) || !from[name].is_string()) {
    throw std::runtime_error(
        "the configuration has no '" + std::string(name) + "'" +
        (source == Source::environment_first ? ", nor is " + std::string(variable) + " set" : ""));
  }
  return from[name].get<std::string>();
}

// A file that could not be read: it may be in the middle of being replaced, or the system short of something.
struct Unreadable : std::runtime_error {
  using std::runtime_error::runtime_error;
};

json read_platform_file(const std::string& path) {
  if (path.empty()) {
    throw std::runtime_error("PROXY_CONFIG is not set");
  }
  std::ifstream file(path);
  if (!file) {
    throw Unreadable("PROXY_CONFIG cannot be read: " + path);
  }
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  if (file.bad()) {
    throw Unreadable("PROXY_CONFIG cannot be read: " + path);
  }
  json from = json::parse(text, nullptr, false);
  if (!from.is_object()) {
    throw std::runtime_error("PROXY_CONFIG is no JSON object: " + path);
  }
  return from;
}

// Where `words` first stand in a file, as "FILE:LINE:COLUMN: "; empty where they do not.
std::string location_of(const std::string& path, const std::string& words) {
  std::ifstream file(path);
  std::string line;
  for (int number = 1; std::getline(file, line); ++number) {
    if (const std::size_t at = line.find(words); at != std::string::npos) {
      return path + ":" + std::to_string(number) + ":" + std::to_string(at + 1) + ": ";
    }
  }
  return "";
}

// Throws where the retry budget is given in part only: it would be none, or one that permits nothing.
void check_retry_budget(const json& from, const std::string& path) {
  const json guarantees = from.value("/settings/guarantees"_json_pointer, json::object());
  const char* const names[] = {"extraFloor", "repeatRatio", "countedOverMs"};
  for (const char* name : names) {
    if (!guarantees.is_object() || !guarantees.contains(name)) {
      continue;
    }
    const json& value = guarantees[name];
    const bool span = std::string(name) == "countedOverMs";
    std::string begin = name;
    begin = location_of(path, '"' + begin + '"').append("'").append(begin).append("' ");
    if (!value.is_number() || value.get<double>() < 0 || (span && value.get<double>() < 1)) {
      throw std::runtime_error(begin + "is " + value.dump() + "; expected a number" +
                               (span ? " of milliseconds, 1 at the least" : ", not below 0"));
    }
    for (const char* other : names) {
      if (!guarantees.contains(other)) {
        throw std::runtime_error(begin + "stands without '" + other +
                                 "'; expected all three that ration further tries, or none");
      }
    }
  }
}

// Throws on a flag or a meaning of weights that is not one: taken for another it would let this node send to
// hosts that are gone, or keep it from those that are not.
void check_settings(const json& from, const std::string& path) {
  const json weights = from.value("/settings/weights"_json_pointer, json("nominal"));
  if (weights != "silent" && weights != "nominal" && weights != "rough" && weights != "live") {
    throw std::runtime_error(location_of(path, "\"weights\"") + "'weights' is " + weights.dump() +
                             "; expected silent, nominal, rough or live");
  }
  const json price = from.value("/settings/charges/probe"_json_pointer, json(0));
  if (!price.is_number() || price.get<double>() < 0) {
    throw std::runtime_error(location_of(path, "\"probe\"") + "'probe' is " + price.dump() +
                             "; expected a number of points, not below 0");
  }
  const json flag = from.value("/settings/guarantees/drainBindsAlone"_json_pointer, json(false));
  if (!flag.is_boolean()) {
    throw std::runtime_error(location_of(path, "\"drainBindsAlone\"") + "'drainBindsAlone' is " +
                             flag.dump() + "; expected true or false");
  }
  check_retry_budget(from, path);
}

// Throws the first error of a file in the language: a file is taken whole or not at all.
config::Document load_checked(const std::string& path, config::Use use) {
  config::Document document = config::load(path, use);
  std::size_t errors = 0;
  const config::Diagnostic* first = nullptr;
  for (const config::Diagnostic& fault : document.diagnostics) {
    if (!fault.warning && errors++ == 0) {
      first = &fault;
    }
  }
  if (!first) {
    return document;
  }
  throw std::runtime_error(
      config::format_diagnostic(document, *first, false) +
      (errors > 1 ? " (and " + std::to_string(errors - 1) + " more; --check tells all)" : ""));
}

void apply_log(const config::Document& document, LogSettings& to) {
  const config::Block* log = document.find("log");
  if (log) {
    to = {log->word("format") == "json", log->word("level"), log->word("decisions")};
  }
}

// The settings of another shape, to be watched: of a file in the language or of one like the platform's.
json read_shadow_settings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error(path + ":0:0: the settings to watch cannot be read; expected a file");
  }
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  const std::size_t first = text.find_first_not_of(" \t\r\n");
  json from;
  if (first == std::string::npos || text[first] != '{') {
    from = config::render(load_checked(path, config::Use::sidecar));
  } else {
    try {
      from = json::parse(text);
    } catch (const json::parse_error& error) {
      const std::string before = text.substr(0, error.byte > 0 ? error.byte - 1 : 0);
      const auto line = 1 + std::count(before.begin(), before.end(), '\n');
      throw std::runtime_error(path + ":" + std::to_string(line) + ":" +
                               std::to_string(before.size() - (before.rfind('\n') + 1) + 1) +
                               ": this is no JSON; expected an object with 'settings'");
    }
    check_settings(from, path);
  }
  if (!from.contains("settings") || !from["settings"].is_object()) {
    throw std::runtime_error(path + ":1:1: there are no 'settings'; expected an object of that name");
  }
  try {
    LoadBalancer(parse_platform_settings(from["settings"]), 0, 0);
  } catch (const std::exception& error) {
    throw std::runtime_error(path + ":1:1: the settings to watch cannot be used: " + error.what());
  }
  return from["settings"];
}

// Throws where the settings lack a rule; it would otherwise be found out by the requests that break it.
void check_usable(const json& settings) {
  try {
    LoadBalancer(parse_platform_settings(settings), 0, 0);
  } catch (const json::exception& error) {
    throw std::runtime_error(std::string("'settings' cannot be used: ") + error.what());
  }
}

std::uint64_t seed_of(const json& from) {
  const std::string text =
      from.contains("seed") && from["seed"].is_string() ? from["seed"].get<std::string>() : "";
  std::uint64_t seed = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (fault != std::errc() || end != text.data() + text.size()) {
    throw std::runtime_error("the configuration has no hexadecimal 'seed'");
  }
  return seed;
}

// A limit of the process, in the unit of its name; `otherwise` where the configuration states none.
double limit_of(const json& from, const std::string& name, double least, double otherwise) {
  const json value = from.value(json::json_pointer("/limits/" + name), json(otherwise));
  if (!value.is_number() || value.get<double>() < least || value.get<double>() > kLargestLimit) {
    throw std::runtime_error("'limits." + name + "' is no number or too small to serve");
  }
  return value.get<double>();
}

// Gossip is a help and no need: what is missing or odd there leaves the node alone, and serving.
PeerSettings peers_of(const json& from, const json& settings) {
  PeerSettings to;
  const bool allowed = settings.value("/bounds/peerMessages"_json_pointer, json(false)) == true;
  if (!allowed || !from.contains("peers") || !from["peers"].is_array() || !from.contains("peer_listen") ||
      !from["peer_listen"].is_string()) {
    return to;
  }
  to.listen = from["peer_listen"].get<std::string>();
  for (const json& peer : from["peers"]) {
    to.peers.push_back(peer.is_string() ? peer.get<std::string>() : "");
  }
  to.me = settings.contains("me") && settings["me"].is_number() ? settings["me"].get<int>() : -1;
  return to;
}

// Throws the first thing that is wrong.
Configuration checked(const json& from, Source source) {
  Configuration to;
  to.name = required_text(from, source, "PROXY_NAME", "name");
  to.listen = required_text(from, source, "PROXY_LISTEN", "listen");
  to.discovery = required_text(from, source, "PROXY_DISCOVERY", "discovery");
  if (!parse_address(to.listen)) {
    throw std::runtime_error("'listen' is no address: " + to.listen);
  }
  if (!parse_address(to.discovery)) {
    throw std::runtime_error("'discovery' is no address: " + to.discovery);
  }
  if (!from.contains("settings") || !from["settings"].is_object()) {
    throw std::runtime_error("the configuration has no 'settings'");
  }
  to.env = from["settings"];
  check_usable(to.env);
  to.seed = seed_of(from);
  if (from.contains("known")) {
    to.known = from["known"];
  }
  to.descriptors = static_cast<int>(limit_of(from, "sockets", 4 * kReservedDescriptors, to.descriptors));
  to.memory_mb = limit_of(from, "memory_mb", 1, to.memory_mb);
  to.peers = peers_of(from, to.env);
  return to;
}

}  // namespace

Read read_configuration(const Files& files, Source source) {
  try {
    LogSettings log;
    json from;
    if (files.language.empty()) {
      from = read_platform_file(files.json), check_settings(from, files.json);
    } else {
      const config::Document document = load_checked(files.language, config::Use::sidecar);
      from = config::render(document);
      apply_log(document, log);
      source = Source::file_only;  // the environment is the platform's
    }
    std::string shadow = files.shadow;
    if (!files.operators.empty()) {
      const config::Document document = load_checked(files.operators, config::Use::operators);
      apply_log(document, log);
      const config::Block* block = document.find("shadow");
      if (block && shadow.empty()) {
        shadow = block->word("settings");
      }
    }
    Read read{checked(from, source), ""};
    if (!shadow.empty()) {
      read.taken->shadow = read_shadow_settings(shadow);
    }
    read.taken->log = log;
    return read;
  } catch (const Unreadable& error) {
    return {std::nullopt, error.what(), true};
  } catch (const std::exception& error) {
    return {std::nullopt, error.what()};
  }
}

Read read_configuration(const std::string& json_path, Source source) {
  return read_configuration(Files{json_path, "", ""}, source);
}

std::string told_whole(const Files& files) {
  std::string out;
  for (const auto& [path, use] : {std::pair(files.language, config::Use::sidecar),
                                  std::pair(files.operators, config::Use::operators)}) {
    if (path.empty()) {
      continue;
    }
    const config::Document document = config::load(path, use);
    for (const config::Diagnostic& fault : document.diagnostics) {
      out += config::format_diagnostic(document, fault, true) + "\n";
    }
  }
  return out;
}

}  // namespace dapplewharf
