// The message loop of the load-balancing policy (policy/load_balancer.h): EndpointSet, EndpointSelector,
// RequestTable and one Endpoint for each endpoint read messages from their own inbox and speak to each
// other only by posting messages; Parts::process_messages empties the inboxes, always in the same order.
#include "policy/load_balancer.h"

#include <algorithm>
#include <map>
#include <utility>
#include <variant>

#include "policy/endpoint.h"
#include "policy/endpoint_selector.h"
#include "policy/endpoint_set.h"
#include "policy/messages.h"
#include "policy/request_table.h"

namespace dapplewharf {

struct LoadBalancer::Parts {
  PolicyContext context;
  EndpointSet endpoint_set;
  EndpointSelector selector;
  RequestTable request_table;
  std::map<std::string, Endpoint> endpoints;
  std::vector<std::pair<const std::string, Endpoint>*> with_messages;  // endpoints whose inbox is not empty

  Parts(Settings settings, std::uint64_t seed, TimePoint now)
      : context{std::move(settings), RandomGenerator(seed), now},
        endpoint_set(context),
        selector(context),
        request_table(context) {}

  // Which part of the policy an event concerns.
  void route(const EndpointsCached& event) { context.post_to_endpoint_set(event); }
  void route(const EndpointsSnapshot& event) { context.post_to_endpoint_set(event); }
  void route(const EndpointsUpdate& event) { context.post_to_endpoint_set(event); }
  void route(const EndpointWatchFailed& event) { context.post_to_endpoint_set(event); }
  void route(const TimerFired& event) { context.post_to_endpoint_set(event); }
  void route(const ShutdownStarted& event) {
    context.post_to_request_table(event);
    context.post_to_endpoint_set(event);
  }
  void route(const RequestReceived& event) { context.post_to_request_table(event); }
  void route(const ConnectionAdopted& event) { context.post_to_request_table(event); }
  void route(const AttemptEstablished& event) { context.post_to_request_table(event); }
  void route(const AttemptEnded& event) { context.post_to_request_table(event); }
  void route(const LoadReported& event) { context.post_to_request_table(event); }
  void route(const RequestStalled& event) { context.post_to_request_table(event); }
  void route(const ClientDisconnected& event) { context.post_to_request_table(event); }
  void route(const LatencyReported& event) {
    if (event.request_id.empty()) {
      context.post_to_endpoint(event.endpoint, LatencyObserved{event.latency});
    } else {
      context.post_to_request_table(event);
    }
  }
  void route(const HealthCheckEnded& event) { context.post_to_endpoint(event.endpoint, event); }
  void route(const GossipReceived& event) {
    context.post_to_endpoint(event.endpoint, GossipObserved{event.connections_elsewhere});
  }

  void handle(const PolicyEvent& event) {
    std::visit([this](const auto& one) { route(one); }, event);
    process_messages();
  }

  // Lets one part read its inbox; returns whether there was anything in it. Reading posts messages, but never
  // into an inbox.
  template <class Part, class Message>
  static bool read_all(Part& part, std::vector<Message>& inbox) {
    const bool any = !inbox.empty();
    for (const Message& message : inbox) {
      part.read(message);
    }
    inbox.clear();
    return any;
  }

  void deliver() {
    context.endpoint_set.deliver();
    context.selector.deliver();
    context.request_table.deliver();
    for (auto& [id, message] : std::exchange(context.posted_to_endpoints, {})) {
      auto found = endpoints.find(id);
      if (found == endpoints.end() && std::holds_alternative<EndpointListed>(message)) {
        found = endpoints.try_emplace(id, context, id).first;
      }
      if (found == endpoints.end()) {
        continue;
      }
      if (found->second.inbox.empty()) {
        with_messages.push_back(&*found);
      }
      found->second.inbox.push_back(std::move(message));
    }
  }

  // The message loop: empties the inboxes, always in the same order, until no message is left.
  void process_messages() {
    for (bool any = true; any;) {
      deliver();
      any = read_all(endpoint_set, context.endpoint_set.inbox);
      std::sort(with_messages.begin(), with_messages.end(),
                [](auto* a, auto* b) { return a->first < b->first; });
      for (auto* endpoint : with_messages) {
        any = read_all(endpoint->second, endpoint->second.inbox) || any;
      }
      with_messages.clear();
      deliver();
      any = read_all(selector, context.selector.inbox) || any;
      any = read_all(request_table, context.request_table.inbox) || any;
    }
  }
};

LoadBalancer::LoadBalancer(Settings settings, std::uint64_t seed, TimePoint now)
    : parts_(std::make_unique<Parts>(std::move(settings), seed, now)) {}
LoadBalancer::~LoadBalancer() = default;

void LoadBalancer::update_settings(Settings settings) {
  parts_->context.settings = std::move(settings);
}

std::vector<PolicyAction> LoadBalancer::handle_events(TimePoint now, const std::vector<PolicyEvent>& events) {
  parts_->context.now = std::max(now, parts_->context.now);
  for (const PolicyEvent& event : events) {
    parts_->handle(event);
  }
  return std::exchange(parts_->context.actions, {});
}

}  // namespace dapplewharf
