// Emulates the endpoint list service: long polls over HTTP, with one listener for each node. Owns the
// listeners, the connections of the nodes' calls and the version of the list; records when a node has been
// notified. See docs/emulator.md.
#pragma once
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "emulator/live/endpoint_rig.h"

namespace dapplewharf::emulator {

class EndpointListServer {
 public:
  explicit EndpointListServer(EndpointRigParts& parts);

  /// Opens the listeners; throws std::runtime_error where a port is taken.
  void open();

  /// Publishes an endpoint's state after `delay_s` seconds and the server's extra delay.
  void publish_later(int endpoint, EndpointState state, double delay_s);

  /// Changes the server's extra delay by `change_s` seconds.
  void change_delay(double change_s) { extra_delay_s_ += change_s; }

  /// Begins an outage, also during others: closes the listeners and all calls.
  void begin_outage();
  /// Ends an outage; the server listens again once all outages have ended.
  void end_outage();

 private:
  struct Call {
    Socket socket;
    Handle watched;
    int node = 0;
    std::string received;
    long known_version = -1;  // as the call states it; below 0 if it states none
    bool waits_for_change = false;
    EventLoop::Deadline answer_due;
  };
  struct Change {
    long version;
    int endpoint;
  };

  void accept_call(std::size_t node);
  void receive(Handle handle);
  void handle_request(Handle handle, Call& call, const std::string& request_line);
  void publish(int endpoint, EndpointState state);
  void answer(Handle handle);
  bool changed_since(int endpoint, long version) const;
  nlohmann::json entry(int endpoint, int node) const;
  void close();
  void hang_up(Handle handle);

  EndpointRig& rig_;
  std::vector<Listener> listeners_;  // by node
  SlotMap<Call> calls_;
  std::vector<Change> changes_;
  long version_ = 1;
  double extra_delay_s_ = 0;
  int outages_ = 0;
};

}  // namespace dapplewharf::emulator
