// Reads the configuration at the start and at SIGHUP, and retries if a file is temporarily unreadable.
// Design: docs/design.md.
#pragma once
#include "node/node.h"

namespace dapplewharf {

/// Reads the configuration at the start. Blocks for up to 1 s while a file cannot be read.
[[nodiscard]] ConfigurationResult read_configuration_at_start(const ConfigurationFiles& files);

/// Reads the configuration again while the node runs. `node` and `files` outlive it.
class Reloader {
 public:
  Reloader(EventLoop& loop, Node& node, const ConfigurationFiles& files)
      : loop_(loop), node_(node), files_(files) {}
  /// Reads the files and passes the result to the node. If a file cannot be read, reading is retried for
  /// `kRetryPeriod`, because the SIGHUP is not repeated, and because the node is deemed notified of the
  /// changes at a new discovery address 4 s after the SIGHUP.
  void reload();

  static constexpr Duration kRetryPeriod = 2 * kSecond;
  static constexpr Duration kRetryDelay = 50 * kMs;

 private:
  void read(TimePoint until);

  EventLoop& loop_;
  Node& node_;
  const ConfigurationFiles& files_;
  EventLoop::Deadline retry_;
};

}  // namespace dapplewharf
