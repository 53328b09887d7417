// dapplewharf_sim_adapter: runs the load-balancing policy for the nodes of a simulator, with one LoadBalancer
// for each node. Reads batches of events from standard input, one JSON object a line, and answers each with
// one line of actions on standard output.
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

using LoadBalancers = std::map<std::int64_t, LoadBalancer>;  // by node

// Passes the inbox of one node to its load balancer; the verb Boot creates the load balancer, Teardown
// removes it.
std::vector<PolicyAction> handle_inbox(LoadBalancers& load_balancers, std::int64_t node, TimePoint now,
                                       const array& inbox) {
  std::vector<PolicyEvent> events;
  for (const element entry : inbox) {
    const object event = entry.get_object();
    const std::string_view verb = required_text(event, "verb");
    if (verb == "Boot" || verb == "Teardown") {
      events.clear();  // earlier events were meant for the previous instance of this node
      load_balancers.erase(node);
      if (verb == "Boot") {
        const element env = event["env"];
        const auto settings = nlohmann::json::parse(simdjson::minify(env));
        load_balancers.try_emplace(node, parse_platform_settings(settings), event["prng"].get_uint64(), now);
      }
    } else if (std::optional<PolicyEvent> policy_event = read_event(event, verb)) {
      events.push_back(std::move(*policy_event));
    }
  }
  const auto found = load_balancers.find(node);
  return found == load_balancers.end() ? std::vector<PolicyAction>()
                                       : found->second.handle_events(now, events);
}

// Handles a batch of events and writes the reply's line. The node's part of the reply starts with the verb
// Die if its load balancer threw an exception.
void reply_to(LoadBalancers& load_balancers, const object& batch, std::string& reply) {
  const TimePoint now = ticks_of_ms(batch["simTimeMs"].get_double());
  ActionWriter writer(reply);
  reply = "{\"parts\":[";
  bool is_first_part = true;
  for (const element entry : batch["parts"].get_array()) {
    const object part = entry.get_object();
    const std::int64_t node = part["node"].get_int64();
    std::vector<PolicyAction> actions;
    std::optional<std::string> error_message;
    try {
      actions = handle_inbox(load_balancers, node, now, part["inbox"].get_array());
    } catch (const simdjson::simdjson_error&) {
      throw;  // malformed input ends the program
    } catch (const std::invalid_argument&) {
      throw;
    } catch (const std::exception& error) {
      error_message = error.what();
    }
    if (actions.empty() && !error_message) {
      continue;
    }
    reply += std::exchange(is_first_part, false) ? "{\"cmds\":[" : ",{\"cmds\":[";
    if (error_message) {
      reply += "{\"msg\":";
      writer.write_value(*error_message);
      reply += ",\"verb\":\"Die\"},";
    }
    for (const PolicyAction& action : actions) {
      std::visit([&writer](const auto& typed_action) { writer.write(typed_action); }, action);
      reply += ',';
    }
    reply.back() = ']';
    reply += ",\"node\":";
    writer.write_value(node);
    reply += '}';
  }
  reply += "]}\n";
}

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  LoadBalancers load_balancers;
  simdjson::dom::parser parser;
  std::string line;
  std::string reply;
  while (std::getline(std::cin, line)) {
    if (line.find_first_not_of(" \t\r") == std::string::npos) {
      continue;
    }
    try {
      line.reserve(line.size() + simdjson::SIMDJSON_PADDING);
      reply_to(load_balancers, parser.parse(line).get_object(), reply);
      std::cout.write(reply.data(), static_cast<std::streamsize>(reply.size())).flush();
    } catch (const std::exception& error) {
      std::cerr << "dapplewharf_sim_adapter: bad input: " << error.what() << '\n';
      return 1;
    }
  }
  return 0;
}
