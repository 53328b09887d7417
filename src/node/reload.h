// Reads the configuration where that may fail for a moment: at the start and at a SIGHUP. Owns how often and
// how long it is tried. Design: docs/design.md.
#pragma once
#include "node/node.h"

namespace dapplewharf {

/// Reads the configuration at the start; blocks for up to a second while a file cannot be read.
[[nodiscard]] Read read_at_start(const Files& files);

/// Reads the configuration again while the node runs. `node` and `files` outlive it.
class Reloader {
 public:
  Reloader(EventLoop& loop, Node& node, const Files& files) : loop_(loop), node_(node), files_(files) {}
  /// Reads the files and gives the result to the node. A file that cannot be read is tried again until
  /// `kRetryFor` is over: a SIGHUP comes only once, and a new discovery address counts as notified 4 s after
  /// it.
  void reload();

  static constexpr Tenths kRetryFor = 2 * kSecond;
  static constexpr Tenths kRetryDelay = 50 * kMs;

 private:
  void read(Tenths until);

  EventLoop& loop_;
  Node& node_;
  const Files& files_;
  EventLoop::Deadline retry_;
};

}  // namespace dapplewharf
