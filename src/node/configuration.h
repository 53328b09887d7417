// What the node is told at its start and anew at each SIGHUP: reads the file, checks all of it and gives it
// whole or gives the fault in one line. Owns nothing that lasts; never changes anything of a running node.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/log.h"
#include "node/gossip_socket.h"
#include "policy/words.h"

namespace dapplewharf {

struct Configuration {
  std::string name, listen, discovery;
  std::uint64_t seed = 0;
  int descriptors = 1024;
  double memory_mb = 64;      // granted to this process
  nlohmann::json known, env;  // the list as last had; the settings
  LogSettings log;
  std::optional<nlohmann::json> shadow;  // the settings that are only watched; none: off
  PeerSettings peers;                    // none where the platform does not allow words between nodes
};

// Where a configuration is read from: the platform's JSON or a file in the operators' language, and the
// operators' own file beside it, if there is one.
struct Files {
  std::string json, language, operators;
  std::string
      shadow{};  // whose settings are to be watched: either form; empty: what the operators' file says
};

struct Read {
  std::optional<Configuration> taken;
  std::string fault;        // what is wrong, where there is none
  bool unreadable = false;  // a file could not be read, which may pass
};

// At the start what the environment says goes before the platform's file; at a reload it is stale and the
// file holds.
enum class Source { environment_first, file_only };
Read read_configuration(const Files& files, Source source);
Read read_configuration(const std::string& json, Source source);  // the platform's file alone

// All faults and warnings of the files in the language, for people; what read_configuration says is the first
// fault.
std::string told_whole(const Files& files);

}  // namespace dapplewharf
