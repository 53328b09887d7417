#include "emulator/live/endpoint_listeners.h"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

#include "emulator/live/endpoint_connections.h"

namespace dapplewharf::emulator {
namespace {

constexpr int kQueueFillers = 4;             // connections that fill an accept queue of one
constexpr int kNoDescriptorLimit = 1 << 20;  // more than the process may have

}  // namespace

Listener& EndpointListeners::listener(int endpoint, int node) {
  return rig_.endpoint(endpoint).listeners[static_cast<std::size_t>(node)];
}

void EndpointListeners::open(int endpoint) {
  for (int node = 0; node < rig_.node_count(); ++node) {
    Listener& opened = listener(endpoint, node);
    listen_or_throw(rig_.process.addresses().host(endpoint, node), opened.socket);
    opened.watched =
        rig_.process.loop().watch(opened.socket.descriptor(), POLLIN,
                                  [this, endpoint, node](short) { accept_connections(endpoint, node); });
    if (is_unreachable(endpoint, node)) {
      block(endpoint, node);
    }
  }
}

void EndpointListeners::close(int endpoint) {
  for (Listener& closed : rig_.endpoint(endpoint).listeners) {
    rig_.process.loop().unwatch(closed.watched);
    closed.watched = {};
    closed.queue_fillers.clear();
    closed.socket.close();
  }
}

bool EndpointListeners::is_unreachable(int endpoint, int node) const {
  const bool vanished = rig_.endpoint(endpoint).condition == EndpointCondition::vanished;
  return vanished || rig_.responses_lost(endpoint, node);
}

// Fills the accept queue. On loopback the kernel would otherwise accept connections for a machine that has
// vanished.
void EndpointListeners::block(int endpoint, int node) {
  Listener& blocked = listener(endpoint, node);
  if (!blocked.socket || !blocked.queue_fillers.empty()) {
    return;
  }
  rig_.process.loop().update_interest(blocked.watched, 0);
  ::listen(blocked.socket.descriptor(), 0);
  for (int count = 0; count < kQueueFillers; ++count) {
    Socket filler;
    start_connecting(*parse_address(rig_.process.addresses().host(endpoint, node)), kNoDescriptorLimit, 0,
                     filler);
    blocked.queue_fillers.push_back(std::move(filler));
  }
}

void EndpointListeners::unblock(int endpoint, int node) {
  Listener& unblocked = listener(endpoint, node);
  if (!unblocked.socket) {
    return;
  }
  unblocked.queue_fillers.clear();
  ::listen(unblocked.socket.descriptor(), SOMAXCONN);
  rig_.process.loop().update_interest(unblocked.watched, POLLIN);
}

void EndpointListeners::update_reachability(int endpoint) {
  for (int node = 0; node < rig_.node_count(); ++node) {
    is_unreachable(endpoint, node) ? block(endpoint, node) : unblock(endpoint, node);
  }
}

void EndpointListeners::accept_connections(int endpoint, int node) {
  for (;;) {
    Socket accepted(accept4(listener(endpoint, node).socket.descriptor(), nullptr, nullptr,
                            SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!accepted) {
      if (errno == EMFILE || errno == ENFILE) {
        rig_.process.report_descriptors_exhausted();
      }
      return;
    }
    const double max_connections = rig_.scenario.max_connections_per_core * rig_.planned(endpoint).cores;
    if (rig_.endpoint(endpoint).open_connections >= max_connections) {
      accepted.close_with_reset();
      continue;
    }
    parts_.connections.add(std::move(accepted), endpoint, node);
  }
}

}  // namespace dapplewharf::emulator
