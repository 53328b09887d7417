// The listening sockets of the emulated endpoints, one for each node, and how they are made unreachable.
// Changes listeners in the shared state. See docs/emulator.md.
#pragma once
#include "emulator/live/endpoint_rig.h"

namespace dapplewharf::emulator {

class EndpointListeners {
 public:
  explicit EndpointListeners(EndpointRigParts& parts) : parts_(parts), rig_(parts.rig) {}

  /// Opens an endpoint's listeners; throws std::runtime_error where a port is taken.
  void open(int endpoint);
  void close(int endpoint);

  /// Makes an endpoint's listeners reachable or unreachable, by its condition and the cut links.
  void update_reachability(int endpoint);

 private:
  void accept_connections(int endpoint, int node);
  bool is_unreachable(int endpoint, int node) const;
  void block(int endpoint, int node);
  void unblock(int endpoint, int node);
  Listener& listener(int endpoint, int node);

  EndpointRigParts& parts_;
  EndpointRig& rig_;
};

}  // namespace dapplewharf::emulator
