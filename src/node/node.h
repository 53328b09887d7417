// The node connects the load balancer to the network. It owns the load balancer, the optional shadow, and the
// components that communicate with clients, endpoints, discovery and the other nodes. It passes their events
// to the load balancer and executes the load balancer's actions; it does not itself choose endpoints,
// retries, rejections or migrations. Design: docs/design.md.
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

  /// Starts serving clients. Returns an error message on failure, otherwise nothing.
  std::optional<std::string> start();
  /// Passes the queued events to the load balancer and executes its actions until no event is left.
  void process_events();
  /// Starts the shutdown; called on SIGTERM.
  void begin_shutdown();
  /// Applies a new configuration completely, or rejects it and changes nothing; called on SIGHUP.
  void reload(const ConfigurationResult& result);
  /// Whether the process may exit.
  [[nodiscard]] bool may_exit();
  /// Logs the counters.
  void log_counters() const;
  /// The running shadow; null if no settings are shadowed.
  [[nodiscard]] const Shadow* shadow() const { return shadow_.get(); }

 private:
  struct UnansweredLines {
    std::string request_id;      // of any one connection to the endpoint
    std::vector<Duration> ages;  // one per established connection; 0 if no line is unanswered
  };
  using UnansweredByEndpoint = std::map<std::string, UnansweredLines>;

  void apply_settings();
  EndpointSnapshot cached_endpoint_list();
  void schedule_watch();
  void apply_endpoint_list(const EndpointSnapshot& list);
  void on_list_received(const EndpointSnapshot& list);
  void on_watch_lost();
  void on_freshness_changed(const EndpointListFreshness& freshness);
  void on_health_check_ended(const std::string& endpoint, const HealthCheckResult& health_check);
  void run_periodic_tasks();
  void exchange_gossip();
  UnansweredByEndpoint unanswered_lines(Duration since_last_run);
  void report_latencies(UnansweredByEndpoint unanswered);
  void execute(const StartAttempt& action);
  void execute(const CancelAttempt& action);
  void execute(const RejectRequest& action);
  void execute(const FailRequest& action);
  void execute(const MigrateConnection& action);
  void execute(const CheckHealth& action);
  void execute(const SetTimer& action);
  void execute(const WatchEndpoints& action);
  void execute(const FetchEndpoints& action);
  void execute(const LogMessage& action);
  void run_shadow(const std::vector<PolicyEvent>& events, const std::vector<PolicyAction>& actions);
  [[nodiscard]] std::string reload_rejection_reason(const ConfigurationResult& result) const;

  EventLoop& loop_;
  Counters counters_;
  Configuration configuration_;
  NodeSettings settings_;
  Limits limits_;
  RandomGenerator random_;
  EventQueue events_;
  LoadBalancer load_balancer_;
  std::unique_ptr<Shadow> shadow_;  // null unless settings are shadowed
  EndpointDirectory endpoints_;
  Shutdown shutdown_;
  RequestHandler requests_;
  EndpointDiscovery discovery_;
  HealthChecker health_checker_;
  GossipSocket gossip_;
  int consecutive_watch_failures_ = 0;
  TimePoint last_periodic_run_at_ = 0;
  EventLoop::Deadline periodic_deadline_;
  EventLoop::Deadline ready_deadline_;  // the node answers PING from then on at the latest
  EventLoop::Deadline watch_deadline_;
  EventLoop::Deadline close_requests_deadline_;
};

}  // namespace dapplewharf
