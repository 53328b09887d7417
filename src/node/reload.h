// Reading the configuration where that may fail for a moment: at the start and at a SIGHUP. Owns how often
// and how long it is tried; what a file says is configuration.h's, what is done with it Node's.
#pragma once
#include "node/node.h"

namespace dapplewharf {

// At the start: waits up to a second for a file that cannot be read.
Read read_at_start(const Files& files);

class Reloader {
 public:
  Reloader(EventLoop& loop, Node& node, const Files& files) : loop_(loop), node_(node), files_(files) {}
  // Reads the files and gives them to the node. Danger: a new place for the list counts as told 4 s after
  // SIGHUP, and a file that is unreadable for a moment would never be looked at again; until `kGivenUpAfter`
  // it is.
  void reload();

  static constexpr Tenths kGivenUpAfter = 2 * kSecond;
  static constexpr Tenths kAgainAfter = 50 * kMs;

 private:
  void read(Tenths until);

  EventLoop& loop_;
  Node& node_;
  const Files& files_;
  EventLoop::Deadline again_;
};

}  // namespace dapplewharf
