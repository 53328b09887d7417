#include "emulator/live/endpoint_list_server.h"

#include <poll.h>
#include <spdlog/fmt/fmt.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "emulator/model/scenario_time.h"

namespace dapplewharf::emulator {
namespace {

constexpr std::size_t kMaxCallBytes = 64 * 1024;
constexpr long kMaxWaitMs = 60000;

/// The name of a state on the wire.
const char* lifecycle_name(EndpointState state) {
  switch (state) {
    case EndpointState::healthy:
      return "up";
    case EndpointState::draining:
      return "draining";
    case EndpointState::removed:
      break;
  }
  return "removed";
}

/// The number that follows `name` in a request line, or -1 if the name is missing.
long parameter(const std::string& request_line, const std::string& name) {
  const std::size_t at = request_line.find(name);
  return at == std::string::npos ? -1L : std::strtol(request_line.c_str() + at + name.size(), nullptr, 10);
}

}  // namespace

EndpointListServer::EndpointListServer(EndpointRigParts& parts)
    : rig_(parts.rig), listeners_(static_cast<std::size_t>(rig_.node_count())) {}

void EndpointListServer::open() {
  for (std::size_t node = 0; node < listeners_.size(); ++node) {
    Listener& listener = listeners_[node];
    if (listener.socket) {
      continue;
    }
    listen_or_throw(rig_.process.addresses().list(static_cast<int>(node)), listener.socket);
    listener.watched = rig_.process.loop().watch(listener.socket.descriptor(), POLLIN,
                                                 [this, node](short) { accept_call(node); });
  }
}

void EndpointListServer::accept_call(std::size_t node) {
  Socket accepted(
      accept4(listeners_[node].socket.descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!accepted) {
    return;
  }
  const int descriptor = accepted.descriptor();
  Call call;
  call.socket = std::move(accepted);
  call.node = static_cast<int>(node);
  const Handle handle = calls_.insert(std::move(call));
  calls_.find(handle)->watched =
      rig_.process.loop().watch(descriptor, POLLIN, [this, handle](short) { receive(handle); });
}

void EndpointListServer::receive(Handle handle) {
  Call* call = calls_.find(handle);
  if (!call) {
    return;
  }
  bool ended = false;
  const auto received = call->socket.receive(call->received, kMaxCallBytes, ended);
  if (!received || ended) {
    return hang_up(handle);
  }
  const std::size_t header_end = call->received.find("\r\n\r\n");
  if (header_end == std::string::npos || call->waits_for_change) {
    return;
  }
  const std::string request_line = call->received.substr(0, call->received.find("\r\n"));
  call->received.erase(0, header_end + 4);
  handle_request(handle, *call, request_line);
}

void EndpointListServer::handle_request(Handle handle, Call& call, const std::string& request_line) {
  call.known_version = parameter(request_line, "after=");
  const long wait_ms = std::clamp(parameter(request_line, "wait_ms="), 0L, kMaxWaitMs);
  call.waits_for_change = call.known_version >= 0 && call.known_version == version_;
  const double delay_ms =
      call.waits_for_change ? static_cast<double>(wait_ms) : rig_.scenario.list_response_ms;
  EventLoop& loop = rig_.process.loop();
  loop.schedule(call.answer_due, loop.now() + from_milliseconds(delay_ms),
                [this, handle] { answer(handle); });
}

void EndpointListServer::publish_later(int endpoint, EndpointState state, double delay_s) {
  const int incarnation = rig_.endpoint(endpoint).incarnation;
  rig_.process.schedule_once(rig_.process.now() + from_seconds(delay_s + extra_delay_s_),
                             [this, endpoint, state, incarnation] {
                               if (rig_.endpoint(endpoint).incarnation == incarnation) {
                                 publish(endpoint, state);
                               }
                             });
}

void EndpointListServer::publish(int index, EndpointState state) {
  EmulatedEndpoint& endpoint = rig_.endpoint(index);
  endpoint.published = state;
  endpoint.listed = state != EndpointState::removed;
  ++version_;
  changes_.push_back({.version = version_, .endpoint = index});
  std::vector<Handle> waiting;
  calls_.for_each([&](Handle handle, const Call& call) {
    if (call.waits_for_change) {
      waiting.push_back(handle);
    }
  });
  for (const Handle handle : waiting) {
    answer(handle);
  }
}

bool EndpointListServer::changed_since(int endpoint, long version) const {
  return std::any_of(changes_.begin(), changes_.end(), [&](const Change& change) {
    return change.endpoint == endpoint && change.version > version;
  });
}

nlohmann::json EndpointListServer::entry(int index, int node) const {
  const EmulatedEndpoint& endpoint = rig_.endpoint(index);
  const PlannedHost& planned = rig_.planned(index);
  return {{"instanceId", planned.id},
          {"hostPort", rig_.process.addresses().host(index, node)},
          {"zone", rig_.scenario.zones[static_cast<std::size_t>(planned.zone)]},
          {"machineType", rig_.scenario.host_kinds[static_cast<std::size_t>(planned.kind)].name},
          {"cell", index},
          {"lifecycle", lifecycle_name(endpoint.published)},
          {"weight", planned.nominal_size},
          {"startedAtMs", endpoint.started_unix_ms}};
}

void EndpointListServer::answer(Handle handle) {
  Call* call = calls_.find(handle);
  if (!call) {
    return;
  }
  const bool knows_nothing = call->known_version <= 0 || call->known_version > version_;
  nlohmann::json instances = nlohmann::json::array();
  std::vector<int> notified;
  for (int index = 0; index < rig_.endpoint_count(); ++index) {
    const bool named =
        knows_nothing ? rig_.endpoint(index).listed : changed_since(index, call->known_version);
    if (named) {
      instances.push_back(entry(index, call->node));
    }
    if (knows_nothing || named) {
      notified.push_back(index);
    }
  }
  const std::string body =
      nlohmann::json{{"generation", version_}, {"reset", knows_nothing}, {"instances", instances}}.dump();
  const std::string response =
      fmt::format("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                  body.size()) +
      body;
  call->waits_for_change = false;
  rig_.process.loop().cancel(call->answer_due);
  const TimePoint notified_at = rig_.process.current_time();
  // The list is much smaller than a socket's buffer, so a call that does not take it at once is broken.
  const auto sent = call->socket.send(response.data(), response.size());
  for (const int index : notified) {
    const EmulatedEndpoint& endpoint = rig_.endpoint(index);
    const bool leaving = !endpoint.listed || endpoint.published != EndpointState::healthy;
    rig_.process.records().add(notified_at, RecordKind::endpoint_reported, "", call->node, index, leaving);
  }
  if (!sent || *sent < response.size()) {
    hang_up(handle);
  }
}

void EndpointListServer::begin_outage() {
  ++outages_;
  close();
}

void EndpointListServer::end_outage() {
  --outages_;
  outages_ > 0 ? close() : open();
}

void EndpointListServer::close() {
  for (Listener& listener : listeners_) {
    rig_.process.loop().unwatch(listener.watched);
    listener.watched = {};
    listener.socket.close();
  }
  std::vector<Handle> all;
  calls_.for_each([&](Handle handle, const Call&) { all.push_back(handle); });
  for (const Handle handle : all) {
    hang_up(handle);
  }
}

void EndpointListServer::hang_up(Handle handle) {
  Call* call = calls_.find(handle);
  if (!call) {
    return;
  }
  rig_.process.loop().unwatch(call->watched);
  rig_.process.loop().cancel(call->answer_due);
  calls_.erase(handle);
}

}  // namespace dapplewharf::emulator
