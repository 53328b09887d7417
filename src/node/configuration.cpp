// Reading and validation of configuration files, whose contents docs/configuration.md describes.
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

constexpr double kMaxLimit = 1e7;

// Returns a required text from the environment or the file. Throws if it is missing.
std::string read_required_text(const json& from, ConfigurationSource source, const char* variable,
                               const char* name) {
  const char* value = source == ConfigurationSource::environment_first ? std::getenv(variable) : nullptr;
  if (value && *value) {
    return value;
  }
  if (!from.contains(name) || !from[name].is_string()) {
    throw std::runtime_error("the configuration has no '" + std::string(name) + "'" +
                             (source == ConfigurationSource::environment_first
                                  ? ", nor is " + std::string(variable) + " set"
                                  : ""));
  }
  return from[name].get<std::string>();
}

// A file could not be read. A later attempt may succeed: the file may be in the middle of being replaced, or
// the system may lack resources.
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
    throw std::runtime_error("PROXY_CONFIG is not a JSON object: " + path);
  }
  return from;
}

// Returns the position of the first occurrence of `text` in a file as "FILE:LINE:COLUMN: ", or an empty
// string.
std::string location_of(const std::string& path, const std::string& text) {
  std::ifstream file(path);
  std::string line;
  for (int number = 1; std::getline(file, line); ++number) {
    if (const std::size_t column = line.find(text); column != std::string::npos) {
      return path + ":" + std::to_string(number) + ":" + std::to_string(column + 1) + ": ";
    }
  }
  return "";
}

// Throws if only some of the retry budget's settings are given: there would be no budget, or one that permits
// no retry.
void check_retry_budget(const json& from, const std::string& path) {
  const json guarantees = from.value("/settings/guarantees"_json_pointer, json::object());
  const char* const names[] = {"extraFloor", "repeatRatio", "countedOverMs"};
  for (const char* name : names) {
    if (!guarantees.is_object() || !guarantees.contains(name)) {
      continue;
    }
    const json& value = guarantees[name];
    const bool is_duration = std::string(name) == "countedOverMs";
    std::string message_start = name;
    message_start =
        location_of(path, '"' + message_start + '"').append("'").append(message_start).append("' ");
    if (!value.is_number() || value.get<double>() < 0 || (is_duration && value.get<double>() < 1)) {
      throw std::runtime_error(message_start + "is " + value.dump() + "; expected a number" +
                               (is_duration ? " of milliseconds, 1 at the least" : ", not below 0"));
    }
    for (const char* other : names) {
      if (!guarantees.contains(other)) {
        throw std::runtime_error(message_start + "stands without '" + other +
                                 "'; expected all three that ration further tries, or none");
      }
    }
  }
}

// Throws on an invalid value of `weights`, `probe` or `drainBindsAlone`. Read as another value it could make
// the node send to removed endpoints or keep it from available ones.
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

// Loads a file in the operators' language. Throws its first error: a file with errors is rejected completely.
config::Document load_document(const std::string& path, config::Use use) {
  config::Document document = config::load(path, use);
  std::size_t errors = 0;
  const config::Diagnostic* first_error = nullptr;
  for (const config::Diagnostic& diagnostic : document.diagnostics) {
    if (!diagnostic.warning && errors++ == 0) {
      first_error = &diagnostic;
    }
  }
  if (!first_error) {
    return document;
  }
  throw std::runtime_error(
      config::format_diagnostic(document, *first_error, false) +
      (errors > 1 ? " (and " + std::to_string(errors - 1) + " more; --check shows all)" : ""));
}

void apply_log_settings(const config::Document& document, LogSettings& to) {
  const config::Block* log = document.find("log");
  if (log) {
    to = {log->word("format") == "json", log->word("level"), log->word("decisions")};
  }
}

// Reads the settings to be shadowed from a file in the operators' language or from a JSON file like the
// platform's.
json read_shadow_settings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error(path + ":0:0: the settings to be shadowed cannot be read; expected a file");
  }
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  const std::size_t start = text.find_first_not_of(" \t\r\n");
  json from;
  if (start == std::string::npos || text[start] != '{') {
    from = config::render(load_document(path, config::Use::sidecar));
  } else {
    try {
      from = json::parse(text);
    } catch (const json::parse_error& error) {
      const std::string before = text.substr(0, error.byte > 0 ? error.byte - 1 : 0);
      const auto line = 1 + std::count(before.begin(), before.end(), '\n');
      throw std::runtime_error(path + ":" + std::to_string(line) + ":" +
                               std::to_string(before.size() - (before.rfind('\n') + 1) + 1) +
                               ": this is not JSON; expected an object with 'settings'");
    }
    check_settings(from, path);
  }
  if (!from.contains("settings") || !from["settings"].is_object()) {
    throw std::runtime_error(path + ":1:1: there are no 'settings'; expected an object of that name");
  }
  try {
    LoadBalancer(parse_platform_settings(from["settings"]), 0, 0);
  } catch (const std::exception& error) {
    throw std::runtime_error(path + ":1:1: the settings to be shadowed cannot be used: " + error.what());
  }
  return from["settings"];
}

// Throws if the load balancer cannot use the settings; otherwise the first requests would reveal a missing
// rule.
void check_load_balancer_settings(const json& settings) {
  try {
    LoadBalancer(parse_platform_settings(settings), 0, 0);
  } catch (const json::exception& error) {
    throw std::runtime_error(std::string("'settings' cannot be used: ") + error.what());
  }
}

std::uint64_t parse_seed(const json& from) {
  const std::string text =
      from.contains("seed") && from["seed"].is_string() ? from["seed"].get<std::string>() : "";
  std::uint64_t seed = 0;
  const auto [end, parse_error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (parse_error != std::errc() || end != text.data() + text.size()) {
    throw std::runtime_error("the configuration has no hexadecimal 'seed'");
  }
  return seed;
}

// Returns a limit of the process in the unit of its name, or `default_value` if the configuration has none.
double parse_limit(const json& from, const std::string& name, double min_value, double default_value) {
  const json value = from.value(json::json_pointer("/limits/" + name), json(default_value));
  if (!value.is_number() || value.get<double>() < min_value || value.get<double>() > kMaxLimit) {
    throw std::runtime_error("'limits." + name + "' is not a number or out of range");
  }
  return value.get<double>();
}

// Gossip is optional: with missing or invalid gossip settings the node serves without gossip.
GossipSettings parse_gossip_settings(const json& from, const json& settings) {
  GossipSettings to;
  const bool allowed = settings.value("/bounds/peerMessages"_json_pointer, json(false)) == true;
  if (!allowed || !from.contains("peers") || !from["peers"].is_array() || !from.contains("peer_listen") ||
      !from["peer_listen"].is_string()) {
    return to;
  }
  to.listen = from["peer_listen"].get<std::string>();
  for (const json& peer : from["peers"]) {
    to.peers.push_back(peer.is_string() ? peer.get<std::string>() : "");
  }
  to.node_index = settings.contains("me") && settings["me"].is_number() ? settings["me"].get<int>() : -1;
  return to;
}

// Converts a configuration file. Throws on the first error.
Configuration parse_configuration(const json& from, ConfigurationSource source) {
  Configuration to;
  to.name = read_required_text(from, source, "PROXY_NAME", "name");
  to.listen = read_required_text(from, source, "PROXY_LISTEN", "listen");
  to.discovery = read_required_text(from, source, "PROXY_DISCOVERY", "discovery");
  if (!parse_address(to.listen)) {
    throw std::runtime_error("'listen' is not an address: " + to.listen);
  }
  if (!parse_address(to.discovery)) {
    throw std::runtime_error("'discovery' is not an address: " + to.discovery);
  }
  if (!from.contains("settings") || !from["settings"].is_object()) {
    throw std::runtime_error("the configuration has no 'settings'");
  }
  to.settings = from["settings"];
  check_load_balancer_settings(to.settings);
  to.seed = parse_seed(from);
  if (from.contains("known")) {
    to.cached_endpoint_list = from["known"];
  }
  to.descriptors = static_cast<int>(parse_limit(from, "sockets", 4 * kReservedDescriptors, to.descriptors));
  to.memory_mb = parse_limit(from, "memory_mb", 1, to.memory_mb);
  to.gossip = parse_gossip_settings(from, to.settings);
  return to;
}

}  // namespace

ConfigurationResult read_configuration(const ConfigurationFiles& files, ConfigurationSource source) {
  try {
    LogSettings log;
    json from;
    if (files.operators_language.empty()) {
      from = read_platform_file(files.platform_json), check_settings(from, files.platform_json);
    } else {
      const config::Document document = load_document(files.operators_language, config::Use::sidecar);
      from = config::render(document);
      apply_log_settings(document, log);
      // Environment variables belong to the platform's configuration.
      source = ConfigurationSource::file_only;
    }
    std::string shadow_path = files.shadow_settings;
    if (!files.operator_settings.empty()) {
      const config::Document document = load_document(files.operator_settings, config::Use::operators);
      apply_log_settings(document, log);
      const config::Block* block = document.find("shadow");
      if (block && shadow_path.empty()) {
        shadow_path = block->word("settings");
      }
    }
    ConfigurationResult result{parse_configuration(from, source), ""};
    if (!shadow_path.empty()) {
      result.configuration->shadow_settings = read_shadow_settings(shadow_path);
    }
    result.configuration->log = log;
    return result;
  } catch (const Unreadable& error) {
    return {std::nullopt, error.what(), true};
  } catch (const std::exception& error) {
    return {std::nullopt, error.what()};
  }
}

ConfigurationResult read_configuration(const std::string& platform_json, ConfigurationSource source) {
  return read_configuration(ConfigurationFiles{platform_json, "", ""}, source);
}

std::string format_all_diagnostics(const ConfigurationFiles& files) {
  std::string out;
  for (const auto& [path, use] : {std::pair(files.operators_language, config::Use::sidecar),
                                  std::pair(files.operator_settings, config::Use::operators)}) {
    if (path.empty()) {
      continue;
    }
    const config::Document document = config::load(path, use);
    for (const config::Diagnostic& diagnostic : document.diagnostics) {
      out += config::format_diagnostic(document, diagnostic, true) + "\n";
    }
  }
  return out;
}

}  // namespace dapplewharf
