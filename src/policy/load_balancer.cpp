// The message loop of the load-balancing policy (policy/load_balancer.h). EndpointSet, EndpointSelector,
// RequestTable and one Endpoint per listed endpoint each handle the messages of their own inbox and
// communicate only by posting messages. Components::process_messages empties the inboxes in a fixed order.
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

struct LoadBalancer::Components {
  PolicyContext context;
  EndpointSet endpoint_set;
  EndpointSelector selector;
  RequestTable request_table;
  std::map<std::string, Endpoint> endpoints;
  std::vector<std::pair<const std::string, Endpoint>*> endpoints_with_messages;  // whose inbox is not empty

  Components(Settings settings, std::uint64_t seed, TimePoint now)
      : context{std::move(settings), RandomGenerator(seed), now},
        endpoint_set(context),
        selector(context),
        request_table(context) {}

  // Posts an event to the parts of the policy that handle it.
  void route(const EndpointsCached& event) { context.post_to_endpoint_set(event); }
  void route(const EndpointsSnapshot& event) { context.post_to_endpoint_set(event); }
  void route(const EndpointsUpdate& event) { context.post_to_endpoint_set(event); }
  void route(const EndpointWatchFailed& event) { context.post_to_endpoint_set(event); }
  void route(const EndpointListFreshnessChanged& event) {
    context.list_freshness = event.freshness;
    context.post_to_endpoint_set(event);
  }
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

  void handle_event(const PolicyEvent& event) {
    std::visit([this](const auto& concrete_event) { route(concrete_event); }, event);
    process_messages();
  }

  // Handles the messages of one inbox. Returns whether there were any. Handlers post messages, but never add
  // to an inbox.
  template <class Part, class Message>
  static bool handle_inbox(Part& part, std::vector<Message>& inbox) {
    const bool had_messages = !inbox.empty();
    for (const Message& message : inbox) {
      part.handle_message(message);
    }
    inbox.clear();
    return had_messages;
  }

  // Moves posted messages to the inboxes. Creates an endpoint when the list first names it; messages to
  // unknown endpoints are dropped.
  void deliver_posted_messages() {
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
        endpoints_with_messages.push_back(&*found);
      }
      found->second.inbox.push_back(std::move(message));
    }
  }

  // Handles messages, inbox by inbox in a fixed order, until none is left.
  void process_messages() {
    for (bool had_messages = true; had_messages;) {
      deliver_posted_messages();
      had_messages = handle_inbox(endpoint_set, context.endpoint_set.inbox);
      std::sort(endpoints_with_messages.begin(), endpoints_with_messages.end(),
                [](auto* a, auto* b) { return a->first < b->first; });
      for (auto* endpoint : endpoints_with_messages) {
        had_messages = handle_inbox(endpoint->second, endpoint->second.inbox) || had_messages;
      }
      endpoints_with_messages.clear();
      deliver_posted_messages();
      had_messages = handle_inbox(selector, context.selector.inbox) || had_messages;
      had_messages = handle_inbox(request_table, context.request_table.inbox) || had_messages;
    }
  }
};

LoadBalancer::LoadBalancer(Settings settings, std::uint64_t seed, TimePoint now)
    : components_(std::make_unique<Components>(std::move(settings), seed, now)) {}
LoadBalancer::~LoadBalancer() = default;

void LoadBalancer::update_settings(Settings settings) {
  components_->context.settings = std::move(settings);
}

std::vector<PolicyAction> LoadBalancer::handle_events(TimePoint now, const std::vector<PolicyEvent>& events) {
  components_->context.now = std::max(now, components_->context.now);
  for (const PolicyEvent& event : events) {
    components_->handle_event(event);
  }
  return std::exchange(components_->context.actions, {});
}

}  // namespace dapplewharf
