// The connections of nodes to the emulated endpoints: speaks the published protocol on them and takes loads
// and delays from the model of an endpoint. Changes connections and endpoints in the shared state and records
// what the endpoints observe; of a client's request it knows only the line that the node sent. See
// docs/emulator.md.
#pragma once
#include <functional>
#include <map>
#include <string>

#include "emulator/live/endpoint_rig.h"

namespace dapplewharf::emulator {

class EndpointConnections {
 public:
  explicit EndpointConnections(EndpointRigParts& parts);

  /// Takes over a connection that a listener has accepted.
  void add(Socket socket, int endpoint, int node);

  /// Starts or stops reading and writing on an endpoint's connections, by its condition and the cut links.
  void update_interest(int endpoint);

  /// Schedules the next work on an endpoint's setup queue.
  void schedule_setup_work(int endpoint);

  /// Resets all connections to an endpoint.
  void reset_all(int endpoint);

  /// Sends MOVE on the oldest established connections of an endpoint and closes them.
  /// @param share of them, from 0 to 1; rounded up to whole connections.
  void send_away(int endpoint, double share);

 private:
  void receive(Handle handle);
  void handle_line(Handle handle, EndpointConnection& connection, const std::string& line);
  bool parse_request(EndpointConnection& connection, const std::string& line) const;
  void begin_request(Handle handle, EndpointConnection& connection);
  void record_earlier_end(const std::string& request_id);
  void admit_setup(Handle handle);
  bool refuse_setup(Handle handle, EndpointConnection& connection);
  void answer_health_check(Handle handle, const EndpointConnection& connection);
  void do_setup_work(int endpoint);
  void establish(Handle handle, EndpointConnection& connection);
  double current_load(const EndpointConnection& connection) const;
  void schedule_load_change(Handle handle, EndpointConnection& connection);
  void change_load(Handle handle);
  void record_attempt_end(const EndpointConnection& connection, bool may_have_run);
  void update_interest(Handle handle, EndpointConnection& connection);
  bool reads(const EndpointConnection& connection) const;
  bool writes(const EndpointConnection& connection) const;
  void send(Handle handle, const std::string& line);
  void send_and_close(Handle handle, const std::string& line);
  void flush(Handle handle);
  void reset(Handle handle, EndpointConnection& connection);
  void remove(Handle handle);
  void run_later(Handle handle, Duration delay, std::function<void()> action);

  EndpointRigParts& parts_;
  EndpointRig& rig_;
  std::map<std::string, std::size_t> sessions_;    // in the plan, by client key
  std::map<std::string, Handle> latest_attempts_;  // by request id
  long health_checks_ = 0;
  long setups_ = 0;
};

}  // namespace dapplewharf::emulator
