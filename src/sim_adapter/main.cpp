// dapplewharf_sim_adapter: the load-balancing policy on the simulator's wire. Reads one batch of events a
// line on standard input and answers with one line of actions on standard output; one LoadBalancer for each
// simulated node.
#include <simdjson.h>

#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <utility>

#include "config/platform_settings.h"
#include "policy/load_balancer.h"
#include "sim_adapter/action_writer.h"
#include "sim_adapter/event_reader.h"

using namespace dapplewharf;
using simdjson::dom::array;
using simdjson::dom::element;
using simdjson::dom::object;

namespace {

using Nodes = std::map<std::int64_t, LoadBalancer>;

std::vector<PolicyAction> decide(Nodes& nodes, std::int64_t node, TimePoint now, const array& inbox) {
  std::vector<PolicyEvent> events;
  for (const element entry : inbox) {
    const object event = entry.get_object();
    const std::string_view verb = needed_text(event, "verb");
    if (verb == "Boot" || verb == "Teardown") {
      events.clear();  // whatever a killed instance was told is void
      nodes.erase(node);
      if (verb == "Boot") {
        const element env = event["env"];
        const auto settings = nlohmann::json::parse(simdjson::minify(env));
        nodes.try_emplace(node, parse_platform_settings(settings), event["prng"].get_uint64(), now);
      }
    } else if (std::optional<PolicyEvent> known = read_event(event, verb)) {
      events.push_back(std::move(*known));
    }
  }
  const auto found = nodes.find(node);
  return found == nodes.end() ? std::vector<PolicyAction>() : found->second.handle_events(now, events);
}

void reply_to(Nodes& nodes, const object& batch, std::string& reply) {
  const TimePoint now = ticks_of_ms(batch["simTimeMs"].get_double());
  ActionWriter writer(reply);
  reply = "{\"parts\":[";
  bool first = true;
  for (const element entry : batch["parts"].get_array()) {
    const object part = entry.get_object();
    const std::int64_t node = part["node"].get_int64();
    std::vector<PolicyAction> actions;
    std::optional<std::string> failure;
    try {
      actions = decide(nodes, node, now, part["inbox"].get_array());
    } catch (const simdjson::simdjson_error&) {
      throw;  // malformed input, not a failed decision
    } catch (const std::invalid_argument&) {
      throw;
    } catch (const std::exception& error) {
      failure = error.what();
    }
    if (actions.empty() && !failure) {
      continue;
    }
    reply += std::exchange(first, false) ? "{\"cmds\":[" : ",{\"cmds\":[";
    if (failure) {
      reply += "{\"msg\":";
      writer.value(*failure);
      reply += ",\"verb\":\"Die\"},";
    }
    for (const PolicyAction& action : actions) {
      std::visit([&writer](const auto& one) { writer.write(one); }, action);
      reply += ',';
    }
    reply.back() = ']';
    reply += ",\"node\":";
    writer.value(node);
    reply += '}';
  }
  reply += "]}\n";
}

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  Nodes nodes;
  simdjson::dom::parser parser;
  std::string line;
  std::string reply;
  while (std::getline(std::cin, line)) {
    if (line.find_first_not_of(" \t\r") == std::string::npos) {
      continue;
    }
    try {
      line.reserve(line.size() + simdjson::SIMDJSON_PADDING);
      reply_to(nodes, parser.parse(line).get_object(), reply);
      std::cout.write(reply.data(), static_cast<std::streamsize>(reply.size())).flush();
    } catch (const std::exception& error) {
      std::cerr << "dapplewharf_sim_adapter: bad input: " << error.what() << '\n';
      return 1;
    }
  }
  return 0;
}
