// What the node is told at its start and again at each SIGHUP: reads the files, checks all of them and gives
// the result whole, or the fault in one line. Owns nothing that lasts and changes nothing of a running node.
// Design: docs/configuration.md.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/log.h"
#include "node/gossip_socket.h"

namespace dapplewharf {

struct Configuration {
  std::string name;
  std::string listen;     ///< a.b.c.d:port
  std::string discovery;  ///< a.b.c.d:port
  std::uint64_t seed = 0;
  int descriptors = 1024;  ///< that this process may open
  double memory_mb = 64;   ///< granted to this process
  nlohmann::json known;    ///< the endpoint list as last received; null: none
  nlohmann::json env;      ///< the settings
  LogSettings log;
  std::optional<nlohmann::json> shadow;  ///< settings to be shadowed; nothing: off
  PeerSettings peers;                    ///< none where the platform does not permit gossip
};

/// The files that a configuration is read from; empty: there is none.
struct Files {
  std::string json;       ///< the platform's
  std::string language;   ///< in the operators' language, in place of the platform's
  std::string operators;  ///< the operators' own settings beside either
  std::string shadow{};   ///< settings to be shadowed, of either form; empty: what the operators' file says
};

struct Read {
  std::optional<Configuration> taken;
  std::string fault;        ///< what is wrong, where there is none
  bool unreadable = false;  ///< a file could not be read, which may pass
};

/// Whether the environment's variables go before the platform's file, as at the start. At a reload they are
/// stale and only the file holds.
enum class Source { environment_first, file_only };
[[nodiscard]] Read read_configuration(const Files& files, Source source);
/// Reads the platform's file alone.
[[nodiscard]] Read read_configuration(const std::string& json, Source source);

/// All faults and warnings of the files in the language, one line each, for people.
[[nodiscard]] std::string told_whole(const Files& files);

}  // namespace dapplewharf
