// dapplewharf_sim_adapter: translates the simulator's wire to the module's words and back. No decisions here.
// What a node's decisions cost is measured around this program, so a line is read where it lies and a reply
// is written straight into one buffer.
#include <simdjson.h>

#include <charconv>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "config/platform_settings.h"
#include "policy/load_balancer.h"

using namespace dapplewharf;
using simdjson::dom::array;
using simdjson::dom::element;
using simdjson::dom::object;

namespace {

Outcome outcome_of(std::string_view code) {
  if (code == "served") {
    return Outcome::succeeded;
  }
  if (code == "server_error") {
    return Outcome::error;
  }
  if (code == "turned_away") {
    return Outcome::rejected;
  }
  if (code == "no_answer") {
    return Outcome::timed_out;
  }
  if (code == "no_connection") {
    return Outcome::connect_failed;
  }
  if (code == "connection_lost") {
    return Outcome::connection_lost;
  }
  if (code == "called_off") {
    return Outcome::cancelled;
  }
  if (code == "not_sent") {
    return Outcome::not_sent;
  }
  throw std::invalid_argument("unknown outcome " + std::string(code));
}

// A field that may be missing or null reads as `otherwise`; one that must be there throws where it is not.
template <class Value>
Value field(const object& from, std::string_view name, Value otherwise) {
  Value value;
  return from[name].get(value) == simdjson::SUCCESS ? value : otherwise;
}
std::string text(const object& from, std::string_view name) {
  return std::string(field<std::string_view>(from, name, {}));
}
std::string_view needed_text(const object& from, std::string_view name) {
  return from[name].get_string();
}

std::optional<std::int64_t> whole(const object& from, std::string_view name) {
  std::int64_t value;
  if (from[name].get(value) == simdjson::SUCCESS) {
    return value;
  }
  double fraction;
  if (from[name].get(fraction) == simdjson::SUCCESS) {
    return static_cast<std::int64_t>(fraction);
  }
  return std::nullopt;
}

EndpointEntry listing_of(const object& from) {
  EndpointEntry to;
  to.host = needed_text(from, "host");
  to.zone = text(from, "site");
  to.kind = text(from, "type");
  to.cell = whole(from, "cell").value_or(0);
  const std::string_view state = needed_text(from, "state");
  to.state = state == "healthy"    ? EndpointState::healthy
             : state == "cordoned" ? EndpointState::draining
                                   : EndpointState::removed;
  to.size = field(from, "scale", 1.0);
  to.started = ticks_of_ms(field(from, "cameUpMs", 0.0));
  return to;
}

// Returns nothing for an event that this adapter does not know.
std::optional<Event> event_of(const object& from, std::string_view verb) {
  Event to;
  if (verb == "HintUpdate") {
    const bool load = field<std::int64_t>(from, "sort", 0) == 1;
    to.kind = load ? EventKind::load_told : EventKind::delay_told;
    to.figure = field(from, "value", 0.0) * (load ? 1 : kTicksPerMs);
  } else if (verb == "Alarm") {
    to.kind = EventKind::alarm;
    to.number = static_cast<int>(field<std::int64_t>(from, "handle", 0));
    return to;
  } else if (verb == "Established") {
    to.kind = EventKind::established;
    to.took = ticks_of_ms(field(from, "durationMs", 0.0));
  } else if (verb == "Result" || verb == "Echo") {
    to.kind = verb == "Result" ? EventKind::try_ended : EventKind::probe_ended;
    to.outcome = outcome_of(needed_text(from, "rc"));
    to.took = ticks_of_ms(field(from, "durationMs", 0.0));
    to.final = field(from, "final", false);
    array report;
    if (from["healthInfo"].get(report) == simdjson::SUCCESS) {
      for (const element value : report) {
        double figure = 0;
        to.report.push_back(value.get(figure) == simdjson::SUCCESS ? figure : 0);
      }
    }
  } else if (verb == "Demand" || verb == "Handover") {
    to.kind = verb == "Demand" ? EventKind::attachment : EventKind::handed_over;
    if (verb == "Demand") {
      to.expiry = ticks_of_ms(from["clientDeadlineMs"].get_double());
    }
    needed_text(from, "req");
    to.traffic_type = needed_text(from, "service");
    to.tenant = text(from, "team");
    to.key = whole(from, "resource");
    to.group = whole(from, "room");
    to.mid_flow = field(from, "midflow", false);
    to.returned = field(from, "reconnect", false);
    to.repeated = field(from, "againByClient", false);
  } else if (verb == "ClientGone") {
    to.kind = EventKind::client_left;
  } else if (verb == "Registry") {
    const std::string_view how = needed_text(from, "how");
    to.kind = how == "total"       ? EventKind::list_whole
              : how == "warm_copy" ? EventKind::list_copy
              : how == "lost"      ? EventKind::list_lost
                                   : EventKind::list_changes;
    array hosts;
    if (from["hosts"].get(hosts) == simdjson::SUCCESS) {
      for (const element entry : hosts) {
        to.listings.push_back(listing_of(entry.get_object()));
      }
    }
  } else if (verb == "Peer") {
    to.kind = EventKind::peer_word;
  } else {
    return std::nullopt;
  }
  to.id = text(from, "req");
  to.host = text(from, "host");
  to.number = static_cast<int>(field<std::int64_t>(from, "n", 0));
  return to;
}

// Writes actions as the wire's words, fields in the order of their names.
class Writer {
 public:
  explicit Writer(std::string& out) : out_(out) {}

  void command(const Action& action) {
    const double ms = static_cast<double>(action.time) / kTicksPerMs;
    switch (action.kind) {
      case ActionKind::setup_try:
        return open("host", action.host).next("limitMs", ms).next("req", action.id).verb("Attempt");
      case ActionKind::cancel_try:
        return open("n", action.number).next("req", action.id).verb("UndoSend");
      case ActionKind::reject:
        return open("backoffMs", ms).next("req", action.id).verb("Decline");
      case ActionKind::scrap:
        return open("req", action.id).verb("ReportFailure");
      case ActionKind::move:
        return open("req", action.id).verb("Migrate");
      case ActionKind::probe:
        return open("host", action.host).verb("Ping");
      case ActionKind::set_alarm:
        return open("fromNowMs", ms).next("handle", action.number).verb("Remind");
      case ActionKind::subscribe:
        return open("on", true).verb("StreamChanges");
      case ActionKind::fetch_list:
        out_ += "{\"verb\":\"Lookup\"}";
        return;
      case ActionKind::log:
        break;
    }
    open("msg", action.text).verb("Debug");
  }

  void value(std::int64_t whole) { digits(whole); }
  void value(int whole) { digits(whole); }
  void value(bool flag) { out_ += flag ? "true" : "false"; }
  void value(double figure) {
    const std::size_t from = out_.size();
    digits(figure);
    if (out_.find_first_of(".e", from) == std::string::npos) {
      out_ += ".0";
    }
  }
  void value(std::string_view words) {
    out_ += '"';
    for (const char letter : words) {
      if (letter == '"' || letter == '\\') {
        out_ += '\\';
      }
      out_ += static_cast<unsigned char>(letter) < ' ' ? ' ' : letter;
    }
    out_ += '"';
  }
  void value(const std::string& words) { value(std::string_view(words)); }

 private:
  template <class Figure>
  void digits(Figure figure) {
    char room[32];
    out_.append(room, std::to_chars(room, room + sizeof room, figure).ptr);
  }
  template <class Value>
  Writer& open(const char* name, const Value& what) {
    out_ += '{';
    return put(name, what);
  }
  template <class Value>
  Writer& next(const char* name, const Value& what) {
    out_ += ',';
    return put(name, what);
  }
  template <class Value>
  Writer& put(const char* name, const Value& what) {
    out_ += '"', out_ += name, out_ += "\":";
    value(what);
    return *this;
  }
  void verb(const char* name) { out_ += ",\"verb\":\"", out_ += name, out_ += "\"}"; }

  std::string& out_;
};

using Nodes = std::map<std::int64_t, LoadBalancer>;

std::vector<Action> actions_of(Nodes& nodes, std::int64_t node, Tenths now, const array& inbox) {
  std::vector<Event> events;
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
    } else if (std::optional<Event> known = event_of(event, verb)) {
      events.push_back(std::move(*known));
    }
  }
  const auto found = nodes.find(node);
  return found == nodes.end() ? std::vector<Action>() : found->second.handle_events(now, events);
}

void reply_to(Nodes& nodes, const object& batch, std::string& reply) {
  const Tenths now = ticks_of_ms(batch["simTimeMs"].get_double());
  Writer writer(reply);
  reply = "{\"parts\":[";
  bool first = true;
  for (const element entry : batch["parts"].get_array()) {
    const object part = entry.get_object();
    const std::int64_t node = part["node"].get_int64();
    std::vector<Action> actions;
    bool failed = false;
    try {
      actions = actions_of(nodes, node, now, part["inbox"].get_array());
    } catch (const simdjson::simdjson_error&) {
      throw;  // malformed input, not a failed decision
    } catch (const std::invalid_argument&) {
      throw;
    } catch (const std::exception& error) {
      actions.assign(1, {});
      actions.front().text = error.what(), failed = true;
    }
    if (actions.empty()) {
      continue;
    }
    reply += std::exchange(first, false) ? "{\"cmds\":[" : ",{\"cmds\":[";
    for (const Action& action : actions) {
      if (failed) {
        reply += "{\"msg\":", writer.value(action.text), reply += ",\"verb\":\"Die\"}";
      } else {
        writer.command(action);
      }
      reply += ',';
    }
    reply.back() = ']';
    reply += ",\"node\":", writer.value(node), reply += '}';
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
