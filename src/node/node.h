// The node: joins the load balancer with the network. Owns the load balancer, the optional shadow, and the
// parts that speak to clients and hosts, to discovery, to health-checked hosts and to the other nodes; passes
// events one way and actions the other. Chooses no host, no retry, no rejection and no migration. Design:
// docs/design.md.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/counters.h"
#include "node/configuration.h"
#include "node/endpoint_directory.h"
#include "node/endpoint_discovery.h"
#include "node/event_queue.h"
#include "node/gossip_socket.h"
#include "node/health_checker.h"
#include "node/node_settings.h"
#include "node/request_handler.h"
#include "node/shadow.h"
#include "node/shutdown.h"
#include "policy/load_balancer.h"

namespace dapplewharf {

class Node {
 public:
  /// Throws std::runtime_error when a setting is missing.
  Node(EventLoop& loop, Configuration configuration);

  /// Starts to serve. Returns what went wrong, if anything.
  std::optional<std::string> start();
  /// Hands the events of this turn to the load balancer and carries out its actions.
  void settle();
  /// Starts the shutdown (SIGTERM).
  void stop();
  /// Takes a new configuration, whole or not at all (SIGHUP).
  void reload(const Read& read);
  /// Whether the process may end.
  [[nodiscard]] bool done();
  /// Logs the counters.
  void report() const;
  /// Null while no settings are shadowed.
  [[nodiscard]] const Shadow* shadow() const { return shadow_.get(); }

 private:
  struct UnansweredLines {
    std::string request_id;  // of one connection to the host
    std::vector<Tenths> ages;
  };
  using UnansweredByHost = std::map<std::string, UnansweredLines>;

  void apply_settings();
  EndpointSnapshot known_list();
  void subscribe();
  void on_endpoint_list(const EndpointSnapshot& list, EventKind kind);
  void on_discovery_lost();
  void on_health_check_ended(const std::string& host, const HealthChecker::Probed& health_check);
  void sample();
  void exchange_gossip();
  UnansweredByHost unanswered_lines(Tenths since_last_sample);
  void report_latencies(UnansweredByHost unanswered);
  void carry_out(const Action& action);
  void set_timer(const Action& action);
  void run_shadow(const std::vector<Event>& events, const std::vector<Action>& actions);
  [[nodiscard]] std::string reload_fault(const Read& read) const;

  EventLoop& loop_;
  Counters counters_;
  Configuration configuration_;
  SettingsMap balancer_settings_;
  NodeSettings settings_;
  Limits limits_;
  RandomGenerator random_;
  EventQueue events_;
  LoadBalancer load_balancer_;
  std::unique_ptr<Shadow> shadow_;  // only while settings are shadowed
  EndpointDirectory endpoints_;
  Shutdown shutdown_;
  RequestHandler requests_;
  EndpointDiscovery discovery_;
  HealthChecker health_checker_;
  GossipSocket gossip_;
  int discovery_losses_ = 0;  // calls lost in a row
  Tenths sampled_at_ = 0;
  EventLoop::Deadline next_sample_;
  EventLoop::Deadline next_subscription_;
  EventLoop::Deadline close_requests_;
};

}  // namespace dapplewharf
