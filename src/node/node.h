// Facts to events, actions to sockets: the only place where the module and the network meet. Owns the module,
// what is known of each attachment's tries and how long hosts take for a message. Never chooses a host, a
// further try, a rejection or a move.
#pragma once
#include <deque>
#include <unordered_map>

#include "base/counters.h"
#include "node/configuration.h"
#include "node/connection_table.h"
#include "node/endpoint_discovery.h"
#include "node/gossip_socket.h"
#include "node/health_checker.h"
#include "node/shadow.h"
#include "policy/load_balancer.h"
#include "policy/reconnect_policy.h"
#include "policy/request_ledger.h"

namespace dapplewharf {

// How long a message takes at a host. Lines are measured on all connections to it; a probe waits there like
// any work, and what it takes over the least that one took is time that the host made it wait.
class LatencyEstimator {
 public:
  void line_back(Tenths now, Tenths delay) { lines_.emplace_back(now, delay); }
  void probed(Tenths now, Tenths took);
  std::optional<Tenths> least() const;  // that a probe took lately
  // What is to be told now, if anything: once a second while it is over a third of `goal`, once more when
  // under. `at_rest`: what a probe takes there at most while nothing is wrong, as other hosts show; 0:
  // unknown.
  std::optional<Tenths> tell(Tenths now, Tenths goal, const std::vector<Tenths>& unanswered,
                             Tenths at_rest = 0);

 private:
  std::deque<std::pair<Tenths, Tenths>> lines_;  // when, how long
  std::deque<std::pair<Tenths, Tenths>> probes_;
  Tenths told_at_ = 0;
  bool over_ = false;
};

// Work is done the faster the larger a host is: what probes take at rest, times the sizes, is alike at all
// hosts of a zone. What it is, of what each shows; one that answers far too soon is no measure for the rest,
// so the lowest third is passed. 0 where none shows any.
double baseline_service_time(std::vector<double> works);

Outcome outcome_of(AttemptResult end);

class Node {
 public:
  Node(EventLoop& loop,
       Configuration configuration);  // throws std::runtime_error on a setting that is missing

  std::optional<std::string> start();                     // what went wrong, if anything
  void settle();                                          // lets the module see what happened in this turn
  void stop();                                            // SIGTERM
  void reload(const Read& read);                          // SIGHUP: whole or not at all
  bool done();                                            // may end
  void report() const;                                    // the counters, to the log
  const Shadow* shadow() const { return shadow_.get(); }  // null while the watching mode is off

 private:
  struct HeldRequest {
    Handle ticket;
    std::string request;  // the client's own id, for the log
    std::string host;
    int tries = 0;
    Tenths sent = 0;
    bool out = false, up = false, client_done = false;  // client_done: answered, moved or left
    bool handed_over = false;                           // it stood at its host before this node started
    bool between_attempts = false;            // of one handed over: the next attempt is yet to begin
    std::optional<ReconnectPolicy> reattach;  // of one handed over
  };
  void on_request(Handle ticket, const RequestLine& opening);
  void on_client_left(Handle ticket);
  void on_established(Handle ticket);
  void on_attempt_ended(Handle ticket, AttemptResult end);
  void on_list(const EndpointSnapshot& list, EventKind kind);
  void sample_delays();
  void exchange();  // what the nodes hold, among them
  void act(const Action& action);
  void answer(const std::string& id, FinalAnswer kind, const std::string& line);
  std::optional<Violation> start_attempt(HeldRequest& held, const std::string& id, Tenths time_out,
                                         Tenths connect_time);
  void reattach(Handle ticket);
  bool reattach_later(Handle ticket, HeldRequest& held,
                      AttemptResult end);               // false: no further attempt may follow
  bool allowed_by_list(const HeldRequest& held) const;  // nothing new goes to a host announced as leaving
  EndpointLocation place_of(const std::string& host) const;
  RepeatRule repeat_rule_of(const std::string& traffic_type) const;
  void release(const std::string& id);  // it is no longer held
  void violated(const std::string& what, const std::string& id, std::optional<Violation> refusal);
  void subscribe();
  void watch_shadow(const std::vector<Event>& events, const std::vector<Action>& actions);
  void take_settings();                                // what the configuration in force says, for all parts
  void close_up();                                     // nothing that is held outlives the process unanswered
  std::string address(const std::string& host) const;  // as discovery last told it; empty where it did not
  Event& tell(EventKind kind, const std::string& id = "", const std::string& host = "");
  HeldRequest* held(Handle ticket);

  EventLoop& loop_;
  Counters counters_;
  Configuration configuration_;
  SettingsMap settings_;
  Limits limits_;
  RequestSchema grammar_;
  bool groups_ = false, drain_alone_ = false, stopping_ = false;
  Tenths stopped_at_ = 0, ends_by_ = 0, shortest_goal_ = 0, looked_at_ = 0;
  int losses_ = 0;
  LoadBalancer load_balancer_;
  std::unique_ptr<Shadow> shadow_;  // only while the mode is on
  ConnectionTable relay_;
  EndpointDiscovery discovery_;
  HealthChecker probes_;
  GossipSocket peers_;
  RandomGenerator chance_;
  std::map<std::string, double> elsewhere_;  // as last told to the module
  std::vector<Event> events_;
  std::unordered_map<std::string, HeldRequest> held_;
  RequestLedger ledger_;
  std::map<std::string, EndpointLocation> places_;  // of the hosts that a list has named
  std::map<std::string, std::string> addresses_;
  std::map<std::string, EndpointState>
      leaving_;  // hosts announced as leaving: no try's first byte goes there
  std::map<std::string, LatencyEstimator> meters_;
  std::map<std::string, double> near_;  // the hosts of its own zone, and their sizes
  EventLoop::Deadline look_, again_, close_up_;
};

}  // namespace dapplewharf
