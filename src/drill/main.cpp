// dapplewharf_drill: translates the simulator's wire to the module's words and back. No decisions here.
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "choice.h"
#include "settings.h"

using nlohmann::json;
using namespace dapplewharf;

namespace {

Outcome outcome_of(const std::string& code) {
  if (code == "served") return Outcome::honoured;
  if (code == "server_error") return Outcome::error;
  if (code == "turned_away") return Outcome::turned_away;
  if (code == "no_answer") return Outcome::no_answer;
  if (code == "no_connection") return Outcome::no_connection;
  if (code == "connection_lost") return Outcome::lost;
  if (code == "called_off") return Outcome::cancelled;
  if (code == "not_sent") return Outcome::not_sent;
  throw std::invalid_argument("unknown outcome " + code);
}

bool flag(const json& from, const char* name) {
  return from.contains(name) && from[name].is_boolean() && from[name].get<bool>();
}
double number(const json& from, const char* name, double otherwise = 0) {
  return from.contains(name) && from[name].is_number() ? from[name].get<double>() : otherwise;
}
std::string text(const json& from, const char* name) {
  return from.contains(name) && from[name].is_string() ? from[name].get<std::string>() : std::string();
}
std::optional<std::int64_t> whole(const json& from, const char* name) {
  if (!from.contains(name) || !from[name].is_number()) return std::nullopt;
  return from[name].get<std::int64_t>();
}

Listing listing_of(const json& from) {
  Listing to;
  to.host = from.at("host").get<std::string>();
  to.zone = text(from, "site");
  to.cell = static_cast<std::int64_t>(number(from, "cell"));
  const std::string state = from.at("state").get<std::string>();
  to.state = state == "healthy"    ? HostState::healthy
             : state == "cordoned" ? HostState::draining
                                   : HostState::gone;
  to.size = number(from, "scale", 1);
  to.started = tenths_down(number(from, "cameUpMs"));
  return to;
}

// Returns nothing for an event that this adapter does not know.
std::optional<Event> event_of(const json& from) {
  Event to;
  const std::string verb = from.at("verb").get<std::string>();
  to.id = text(from, "req");
  to.host = text(from, "host");
  to.number = static_cast<int>(number(from, "n"));
  if (verb == "Registry") {
    const std::string how = from.at("how").get<std::string>();
    to.kind = how == "total"       ? EventKind::list_whole
              : how == "warm_copy" ? EventKind::list_copy
              : how == "lost"      ? EventKind::list_lost
                                   : EventKind::list_changes;
    if (from.contains("hosts") && from["hosts"].is_array())
      for (const json& entry : from["hosts"]) to.listings.push_back(listing_of(entry));
  } else if (verb == "Demand" || verb == "Handover") {
    to.kind = verb == "Demand" ? EventKind::attachment : EventKind::handed_over;
    if (verb == "Demand") to.expiry = tenths_down(from.at("clientDeadlineMs").get<double>());
    from.at("req");
    to.traffic_type = from.at("service").get<std::string>();
    to.tenant = text(from, "team");
    to.key = whole(from, "resource");
    to.group = whole(from, "room");
    to.mid_flow = flag(from, "midflow");
    to.returned = flag(from, "reconnect");
    to.repeated = flag(from, "againByClient");
  } else if (verb == "Established") {
    to.kind = EventKind::established;
    to.took = tenths_down(number(from, "durationMs"));
  } else if (verb == "HintUpdate") {
    const bool load = static_cast<int>(number(from, "sort")) == 1;
    to.kind = load ? EventKind::load_told : EventKind::delay_told;
    to.figure = number(from, "value") * (load ? 1 : kPerMs);
  } else if (verb == "Result" || verb == "Echo") {
    to.kind = verb == "Result" ? EventKind::try_ended : EventKind::probe_ended;
    to.outcome = outcome_of(from.at("rc").get<std::string>());
    to.took = tenths_down(number(from, "durationMs"));
    to.final = flag(from, "final");
    if (from.contains("healthInfo") && from["healthInfo"].is_array())
      for (const json& value : from["healthInfo"])
        to.report.push_back(value.is_number() ? value.get<double>() : 0);
  } else if (verb == "ClientGone") {
    to.kind = EventKind::client_left;
  } else if (verb == "Alarm") {
    to.kind = EventKind::alarm;
    to.number = static_cast<int>(number(from, "handle"));
  } else if (verb == "Peer") {
    to.kind = EventKind::peer_word;
  } else {
    return std::nullopt;
  }
  return to;
}

json command_of(const Action& action) {
  const double ms = static_cast<double>(action.time) / kPerMs;
  switch (action.kind) {
    case ActionKind::setup_try:
      return {{"verb", "Attempt"}, {"req", action.id}, {"host", action.host}, {"limitMs", ms}};
    case ActionKind::cancel_try: return {{"verb", "UndoSend"}, {"req", action.id}, {"n", action.number}};
    case ActionKind::reject: return {{"verb", "Decline"}, {"req", action.id}, {"backoffMs", ms}};
    case ActionKind::scrap: return {{"verb", "ReportFailure"}, {"req", action.id}};
    case ActionKind::move: return {{"verb", "Migrate"}, {"req", action.id}};
    case ActionKind::probe: return {{"verb", "Ping"}, {"host", action.host}};
    case ActionKind::set_alarm: return {{"verb", "Remind"}, {"handle", action.number}, {"fromNowMs", ms}};
    case ActionKind::subscribe: return {{"verb", "StreamChanges"}, {"on", true}};
    case ActionKind::fetch_list: return {{"verb", "Lookup"}};
    case ActionKind::log: break;
  }
  return {{"verb", "Debug"}, {"msg", action.text}};
}

using Nodes = std::map<std::int64_t, Choice>;

json commands_for(Nodes& nodes, std::int64_t node, Tenths now, const json& inbox) {
  std::vector<Event> events;
  std::vector<Action> actions;
  for (const json& event : inbox) {
    const std::string verb = event.at("verb").get<std::string>();
    if (verb == "Boot" || verb == "Teardown") {
      events.clear();  // whatever a killed instance was told is void
      actions.clear();
      nodes.erase(node);
      if (verb == "Boot") {
        const std::uint64_t seed = event.at("prng").get<std::uint64_t>();
        nodes.try_emplace(node, settings_of(event.at("env")), seed, now);
      }
    } else if (std::optional<Event> known = event_of(event)) {
      events.push_back(std::move(*known));
    }
  }
  const auto found = nodes.find(node);
  json commands = json::array();
  if (found == nodes.end()) return commands;
  for (const Action& action : found->second.take(now, events)) commands.push_back(command_of(action));
  return commands;
}

json reply_to(Nodes& nodes, const json& batch) {
  const Tenths now = tenths_down(batch.at("simTimeMs").get<double>());
  json parts = json::array();
  for (const json& part : batch.at("parts")) {
    const std::int64_t node = part.at("node").get<std::int64_t>();
    json commands;
    try {
      commands = commands_for(nodes, node, now, part.at("inbox"));
    } catch (const json::exception&) {
      throw;  // malformed input, not a failed decision
    } catch (const std::invalid_argument&) { throw; } catch (const std::exception& error) {
      commands = json::array({{{"verb", "Die"}, {"msg", error.what()}}});
    }
    if (!commands.empty()) parts.push_back({{"node", node}, {"cmds", std::move(commands)}});
  }
  return {{"parts", std::move(parts)}};
}

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  Nodes nodes;
  std::string line;
  while (std::getline(std::cin, line)) {
    if (line.find_first_not_of(" \t\r") == std::string::npos) continue;
    try {
      std::cout << reply_to(nodes, json::parse(line)).dump() << '\n' << std::flush;
    } catch (const std::exception& error) {
      std::cerr << "dapplewharf_drill: bad input: " << error.what() << '\n';
      return 1;
    }
  }
  return 0;
}
