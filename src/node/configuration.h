// Reads and validates the node's configuration files, at the start and at each SIGHUP. The result is a
// complete configuration or a one-line error message; a running node is not changed here. Design:
// docs/configuration.md.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/log.h"
#include "node/gossip_socket.h"

namespace dapplewharf {

/// The node's complete configuration.
struct Configuration {
  std::string name;
  std::string listen;     ///< a.b.c.d:port
  std::string discovery;  ///< a.b.c.d:port
  std::uint64_t seed = 0;
  int descriptors = 1024;               ///< the most file descriptors that this process may open
  double memory_mb = 64;                ///< memory limit of this process in MiB
  nlohmann::json cached_endpoint_list;  ///< the endpoint list as last received; null if there is none
  nlohmann::json settings;              ///< the platform's settings
  LogSettings log;
  std::optional<nlohmann::json> shadow_settings;  ///< settings to be shadowed; nothing if there is no shadow
  GossipSettings gossip;                          ///< empty if the platform does not permit gossip
};

/// Paths of the files that a configuration is read from; an empty path stands for no file.
struct ConfigurationFiles {
  std::string platform_json;       ///< the platform's JSON file
  std::string operators_language;  ///< a file in the operators' language that replaces the platform's file
  std::string operator_settings;   ///< the operators' own settings, in addition to either of the above
  /// Settings to be shadowed, as JSON or in the operators' language; if empty, the path in the operators' own
  /// settings applies.
  std::string shadow_settings{};
};

/// The outcome of reading a configuration.
struct ConfigurationResult {
  std::optional<Configuration> configuration;
  std::string error;           ///< why there is no configuration; empty if there is one
  bool is_unreadable = false;  ///< a file could not be read; a later attempt may succeed
};

/// Whether environment variables take precedence over the platform's file. They do at the start; at a reload
/// they are outdated and only the file applies.
enum class ConfigurationSource { environment_first, file_only };
/// Reads and validates all files.
[[nodiscard]] ConfigurationResult read_configuration(const ConfigurationFiles& files,
                                                     ConfigurationSource source);
/// Reads and validates the platform's file alone.
[[nodiscard]] ConfigurationResult read_configuration(const std::string& platform_json,
                                                     ConfigurationSource source);

/// Formats all errors and warnings of the files in the operators' language as human-readable text.
[[nodiscard]] std::string format_all_diagnostics(const ConfigurationFiles& files);

}  // namespace dapplewharf
