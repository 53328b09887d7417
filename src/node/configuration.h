// What the node is told at its start and anew at each SIGHUP: reads the file, checks all of it and gives it
// whole or gives the fault in one line. Owns nothing that lasts; never changes anything of a running node.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "words.h"

namespace dapplewharf {

struct Configuration {
  std::string name, listen, discovery;
  std::uint64_t seed = 0;
  int descriptors = 1024;
  nlohmann::json known, env;  // the list as last had; the settings
};

struct Read {
  std::optional<Configuration> taken;
  std::string fault;  // what is wrong, where there is none
};

// At the start what the environment says goes before the file; at a reload it is stale and the file holds.
enum class Source { environment_first, file_only };
Read read_configuration(const std::string& path, Source source);

}  // namespace dapplewharf
