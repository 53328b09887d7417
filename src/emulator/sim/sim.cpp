#include "emulator/sim/sim.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>
#include <unordered_map>

#include "config/platform_settings.h"
#include "emulator/env.h"
#include "emulator/model/chance.h"
#include "emulator/model/host.h"
#include "emulator/sim/policy.h"

namespace dapplewharf::emulator {
namespace {

constexpr Tenths kEpoch = 1000 * kSecond;  // what the module's clock shows when a run begins
constexpr Tenths kTick = 100 * kMs;        // service is counted in such steps
constexpr Tenths kProbeSlack = 50 * kMs;   // over the time to connect, for a probe's answer: the node's own
constexpr Tenths kListPatience = kSecond;  // a call to a list service that is down
constexpr Tenths kFrontStops = 300 * kMs;  // the front still deals to a node that stops
constexpr Tenths kNodeEnds = 3600 * kMs;   // a node that was told to stop has ended
constexpr Tenths kNoNode = 500 * kMs;      // a client that finds no node comes again
constexpr Tenths kResent = 200 * kMs;      // a lost packet is sent again
constexpr Tenths kPaced = 500 * kMs;       // between two parts that a draining host sends away
constexpr double kPacedShare = 0.2;
constexpr Tenths kToldEvery = kSecond;   // delays and unanswered lines
constexpr double kToldAt = 1.0 / 3;      // of the shortest message goal
constexpr double kOwnPart = 1.0 / 5;     // of it: what the node takes a message to need on a host at rest
constexpr double kNoiseMs = 1.5;         // a probe's time over its least that says nothing
constexpr std::size_t kProbesKept = 60;  // s of which the least is known
constexpr int kFaultEvery = 20;          // a faulty node's defect: each so many times
constexpr double kQuantiles[] = {0.1, 0.3, 0.5, 0.7, 0.9, 0.97, 0.995};
constexpr double kQuantileWeights[] = {0.2, 0.2, 0.2, 0.2, 0.13, 0.05, 0.02};

using Index = std::uint32_t;
constexpr Index kNone = UINT32_MAX;

enum class Kind : std::uint8_t {
  client_comes,
  ask_arrives,
  gives_up,
  leaves,
  wish_over,
  client_told,
  try_sent,
  try_arrives,
  try_fails,
  try_times_out,
  host_turn,
  up_arrives,
  word_arrives,
  host_hears_end,
  load_changes,
  node_alarm,
  probe_arrives,
  probe_over,
  list_comes,
  list_fails,
  list_counts,
  publish,
  fault_begins,
  fault_ends,
  neighbour_turns,
  drain_next,
  paced,
  host_back,
  host_joins,
  node_back,
  node_ends,
  front_sees,
  front_stops,
  tick,
  told
};

struct Happening {
  Tenths when;
  std::uint64_t order;
  Kind kind;
  Index a, b;
  std::int64_t c;
  bool operator>(const Happening& other) const {
    return when != other.when ? when > other.when : order > other.order;
  }
};

enum class HostIs { up, silent, vanished, down };

class Run {
 public:
  Run(const Scenario& scenario, std::uint64_t seed, const std::string& policy)
      : scenario_(scenario),
        seed_(seed),
        policy_(policy),
        defect_(node_defect_of(policy)),
        plan_(plan_of(scenario, seed)),
        audit_(scenario_, plan_, 0),
        chance_(seed, "network"),
        end_(static_cast<Tenths>(scenario.duration_s * kSecond)) {
    zones_ = scenario_.zones.size();
    types_ = scenario_.traffic.size();
    shortest_goal_ = 1e18;
    for (const Traffic& type : scenario_.traffic) {
      shortest_goal_ = std::min(shortest_goal_, type.message_goal_ms);
    }
    wanting_.assign(types_, 0);
    cuts_.assign(zones_ * zones_, 0), one_ways_ = cuts_;
    result_.driver = "sim", result_.policy = policy, result_.seed = seed;
    result_.begin(scenario_, plan_);
  }

  Result run(Effort* effort) {
    for (Index i = 0; i < plan_.hosts.size(); ++i) {
      hosts_.emplace_back(scenario_, plan_, plan_.hosts[i]);
      Host& host = hosts_.back();
      numbers_[plan_.hosts[i].id] = i;
      host.served.assign(zones_ * types_, 0);
      host.is = plan_.hosts[i].joins_s > 0 ? HostIs::down : HostIs::up;
      host.listed = plan_.hosts[i].joins_s == 0;
      if (plan_.hosts[i].joins_s > 0) {
        at(from_s(plan_.hosts[i].joins_s), Kind::host_joins, i);
      }
    }
    nodes_.resize(static_cast<std::size_t>(scenario_.nodes));
    for (Index i = 0; i < nodes_.size(); ++i) {
      nodes_[i].zone = plan_.zone_of_node(static_cast<int>(i), scenario_);
      nodes_[i].standing.assign(hosts_.size(), 0);
      nodes_[i].slow.assign(hosts_.size(), false);
      begin_node(i);
    }
    clients_.resize(plan_.sessions.size());
    for (Index i = 0; i < clients_.size(); ++i) {
      at(from_s(plan_.sessions[i].arrive_s), Kind::client_comes, i);
    }
    for (Index i = 0; i < plan_.faults.size(); ++i) {
      at(from_s(plan_.faults[i].fault.at_s), Kind::fault_begins, i);
    }
    at(kTick, Kind::tick), at(kToldEvery, Kind::told);
    double longest = 0;
    for (const Traffic& type : scenario_.traffic) {
      longest = std::max(longest, type.expiry_ms);
    }
    const Tenths last =
        end_ + static_cast<Tenths>((longest + 100) * kMs);  // what was taken is still answered
    while (!queue_.empty() && queue_.top().when <= last) {
      const Happening next = queue_.top();
      queue_.pop();
      now_ = next.when;
      happens(next);
    }
    now_ = last;
    audit_.finish(last);
    result_.take(audit_);
    if (effort) {
      *effort = {static_cast<double>(last) / kSecond, connection_s_};
    }
    return std::move(result_);
  }

 private:
  struct Host {
    Host(const Scenario& scenario, const Plan& plan, const PlannedHost& planned)
        : model(scenario, plan, planned) {}
    HostModel model;
    HostIs is = HostIs::up;
    bool draining = false, listed = true, fallen = false;
    double failing = 0;
    int hangs = 0;
    std::string pace;
    Tenths started = 0, since = 0, turn = -1;  // since: when it fell silent
    int life = 0;
    std::map<HostModel::Work, Index> works;  // connections being set up
    std::vector<Index> standing;             // connections, in the order they came
    std::vector<int> served;                 // clients served, by node's zone and traffic type
    int connections = 0;
    std::deque<double> probed;                    // ms, each second
    EndpointState told = EndpointState::healthy;  // what the list says now
  };
  struct Node {
    std::unique_ptr<Policy> policy;
    int zone = 0, life = 0;
    bool alive = true, stopping = false, dealt = true, watches = false;
    Tenths asked_list = 0, stopped = 0;
    std::vector<int> standing;
    std::vector<bool> slow;  // hosts whose delay it was last told of
    std::vector<Event> events;
    int held = 0, turns = 0;
  };
  struct Client {
    bool begun = false, done = false, standing = false;
    Tenths wish_until = 0;
    int attempt = 0, failures = 0, tries = 0;
    std::string id;  // of the attachment that is asked for or stands
    Index node = kNone, conn = kNone;
    int node_life = 0;
    bool waiting = false;  // at the node, no answer decided yet
    bool answered = false;
    Index served_at = kNone;  // host
    Tenths sent = 0;
  };
  struct Conn {
    Index client, node, host;
    int number, attempt, host_life, node_life;
    Tenths sent;
    bool written = false, closed = false, at_host = false, up = false, hears = true;
    double load = 0;  // as the host counts it
    HostModel::Work work = 0;
  };
  struct Probe {
    Index node, host;
    int node_life, host_life;
    Tenths sent;
    bool over = false;
  };

  static Tenths from_s(double s) { return static_cast<Tenths>(s * kSecond); }
  static Tenths from_ms(double ms) { return static_cast<Tenths>(ms * kMs); }
  void at(Tenths when, Kind kind, Index a = kNone, Index b = kNone, std::int64_t c = 0) {
    queue_.push({std::max(when, now_), ++order_, kind, a, b, c});
  }
  Tenths jittered(double ms) {
    const Tenths late = scenario_.loss > 0 && chance_.share() < scenario_.loss ? kResent : 0;
    return late + std::max<Tenths>(1, from_ms(ms * (1 + scenario_.jitter * chance_.share())));
  }
  Tenths way(const Node& node, Index host) {
    return jittered(node.zone == plan_.hosts[host].zone ? scenario_.same_ms : scenario_.cross_ms);
  }
  Tenths client_way() { return jittered(scenario_.client_ms); }
  bool cut(Index node, Index host) const {
    return cuts_[zone_pair(plan_.hosts[host].zone, nodes_[node].zone)] > 0;
  }
  bool answers_lost(Index node, Index host) const {
    return cut(node, host) || one_ways_[zone_pair(plan_.hosts[host].zone, nodes_[node].zone)] > 0;
  }
  std::size_t zone_pair(int from, int to) const {
    return static_cast<std::size_t>(from) * zones_ + static_cast<std::size_t>(to);
  }
  const Session& session(Index client) const { return plan_.sessions[client]; }
  const Traffic& type_of(Index client) const {
    return scenario_.traffic[static_cast<std::size_t>(session(client).traffic)];
  }
  Second& second() { return result_.second(static_cast<double>(now_) / kSecond); }

  void happens(const Happening& one) {
    switch (one.kind) {
      case Kind::client_comes:
        return client_comes(one.a);
      case Kind::ask_arrives:
        return ask_arrives(one.a, static_cast<int>(one.c));
      case Kind::gives_up:
        return gives_up(one.a, static_cast<int>(one.c), false);
      case Kind::leaves:
        return gives_up(one.a, static_cast<int>(one.c), true);
      case Kind::wish_over:
        return wish_over(one.a);
      case Kind::client_told:
        return client_told(one.a, static_cast<int>(one.b), one.c);
      case Kind::try_sent:
        return try_sent(one.a);
      case Kind::try_arrives:
        return try_arrives(one.a);
      case Kind::try_fails:
        return try_ends(one.a, static_cast<Outcome>(one.c));
      case Kind::try_times_out:
        return try_ends(one.a, conns_[one.a].written ? Outcome::timed_out : Outcome::connect_failed);
      case Kind::host_turn:
        return host_turn(one.a, one.c);
      case Kind::up_arrives:
        return up_arrives(one.a);
      case Kind::word_arrives:
        return word_arrives(one.a, static_cast<Outcome>(one.c));
      case Kind::host_hears_end:
        return host_hears_end(one.a);
      case Kind::load_changes:
        return load_changes(one.a);
      case Kind::node_alarm:
        return node_alarm(one.a, static_cast<int>(one.b), static_cast<int>(one.c));
      case Kind::probe_arrives:
        return probe_arrives(one.a);
      case Kind::probe_over:
        return probe_over(one.a, static_cast<Outcome>(one.c));
      case Kind::list_comes:
        return list_comes(one.a, static_cast<int>(one.b), one.c != 0);
      case Kind::list_fails:
        return list_fails(one.a, static_cast<int>(one.b));
      case Kind::list_counts:
        return list_counts(one.a, one.b);
      case Kind::publish:
        return publish(one.a, static_cast<int>(one.b), static_cast<EndpointState>(one.c));
      case Kind::fault_begins:
        return fault(one.a, true);
      case Kind::fault_ends:
        return fault(one.a, false);
      case Kind::neighbour_turns:
        return neighbour_turns(one.a, one.c != 0);
      case Kind::drain_next:
        return drains(one.a, one.b);
      case Kind::paced:
        return paced(one.a, static_cast<int>(one.c));
      case Kind::host_back:
        return host_back(one.a, static_cast<int>(one.c));
      case Kind::host_joins:
        return host_back(one.a, hosts_[one.a].life);
      case Kind::node_back:
        return node_back(one.a);
      case Kind::node_ends:
        return node_ends(one.a, static_cast<int>(one.c));
      case Kind::front_sees:
        nodes_[one.a].dealt = nodes_[one.a].alive && !nodes_[one.a].stopping;
        return;
      case Kind::front_stops:
        nodes_[one.a].dealt = false;
        return;
      case Kind::tick:
        return tick();
      case Kind::told:
        return tell_delays();
    }
  }

  // --- clients ---

  void client_comes(Index i) {
    Client& client = clients_[i];
    if (client.done || client.standing || client.waiting) {
      return;
    }
    if (!client.begun) {
      client.begun = true;
      client.wish_until = now_ + from_s(session(i).life_s);
      ++wanting_[static_cast<std::size_t>(session(i).traffic)];
      at(client.wish_until, Kind::wish_over, i);
    }
    if (now_ >= end_) {
      return;
    }
    const Index node = dealt_to(session(i).zone);
    if (node == kNone) {
      return at(now_ + kNoNode, Kind::client_comes, i);
    }
    client.node = node, client.node_life = nodes_[node].life;
    client.id = id_of(session(i), ++client.attempt);
    client.answered = false, client.conn = kNone, client.tries = 0, client.sent = now_;
    client.waiting = true;
    at(now_ + client_way(), Kind::ask_arrives, i, kNone, client.attempt);
  }

  // The front deals in turn over the nodes of the client's zone, over all others if there is none.
  Index dealt_to(int zone) {
    for (const bool anywhere : {false, true}) {
      for (std::size_t n = 0; n < nodes_.size(); ++n) {
        const Index at = static_cast<Index>(turn_++ % nodes_.size());
        if (nodes_[at].dealt && (anywhere || nodes_[at].zone == zone)) {
          return at;
        }
      }
    }
    return kNone;
  }

  void ask_arrives(Index i, int attempt) {
    Client& client = clients_[i];
    if (client.attempt != attempt || !client.waiting) {
      return;
    }
    Node& node = nodes_[client.node];
    if (!node.alive || node.life != client.node_life) {  // refused: nothing was taken
      client.waiting = false;
      return again(i, Reply::cut, 0);
    }
    audit_.asked(client.id, static_cast<int>(client.node), session(i).traffic, now_);
    ++second().asked;
    asks_[client.id] = i;
    ++node.held;
    Event event;
    event.kind = EventKind::attachment;
    event.id = client.id;
    event.traffic_type = type_of(i).name;
    if (session(i).tenant >= 0) {
      event.tenant = scenario_.tenants[static_cast<std::size_t>(session(i).tenant)].name;
    }
    event.key = static_cast<std::int64_t>(session(i).seed >> 1);
    if (session(i).group >= 0) {
      event.group = static_cast<std::int64_t>(XXH64(&session(i).group, sizeof(int), 7) >> 1);
    }
    event.expiry = kEpoch + now_ + from_ms(type_of(i).expiry_ms);
    if (node.stopping) {
      event.expiry = std::min(event.expiry, kEpoch + node.stopped + kNodeEnds - kTick);
    }
    event.returned = client.attempt > 1;
    const Tenths longest = from_ms(type_of(i).expiry_ms + scenario_.grace_to_answer_ms);
    at(now_ + longest + 1, Kind::gives_up, i, kNone, attempt);
    if (session(i).patience_ms > 0 && attempt == 1) {
      at(now_ + from_ms(session(i).patience_ms), Kind::leaves, i, kNone, attempt);
    }
    node.events.push_back(std::move(event));
    settle(client.node);
  }

  // By itself before its time is up, or because it has waited in vain.
  void gives_up(Index i, int attempt, bool by_itself) {
    Client& client = clients_[i];
    if (client.attempt != attempt || !client.waiting) {
      return;
    }
    if (by_itself && client.answered) {
      return;  // the answer is on its way
    }
    audit_.client_left(client.id, now_);
    client.waiting = false;
    leave_node(i);
    if (by_itself) {
      return wish_ends(i);
    }
    again(i, Reply::none, 0);
  }

  void leave_node(Index i) {
    Client& client = clients_[i];
    Node& node = nodes_[client.node];
    if (!asks_.erase(client.id) || !node.alive || node.life != client.node_life) {
      return;
    }
    --node.held;
    Event event;
    event.kind = EventKind::client_left;
    event.id = client.id;
    node.events.push_back(std::move(event));
    if (client.conn != kNone) {
      end_conn(client.conn, Outcome::cancelled, true);
    }
    settle(client.node);
  }

  void again(Index i, Reply got, double told_ms) {
    Client& client = clients_[i];
    const bool failed = got != Reply::cut && got != Reply::moved;
    if (failed) {
      ++client.failures;
    }
    if (client.done) {
      return;
    }
    const double wait = comes_again_ms(scenario_, session(i), got, told_ms, std::max(1, client.failures),
                                       static_cast<std::uint64_t>(client.attempt));
    at(now_ + from_ms(wait), Kind::client_comes, i);
  }

  void wish_over(Index i) {
    Client& client = clients_[i];
    if (client.done) {
      return;
    }
    if (client.standing) {
      audit_.ended(client.id, Ended::by_client, true, now_);
      close_standing(i, true);
    }
    wish_ends(i);
  }
  void wish_ends(Index i) {
    Client& client = clients_[i];
    if (!client.done) {
      --wanting_[static_cast<std::size_t>(session(i).traffic)];
    }
    client.done = true;
  }

  // What a node has said reaches its client.
  void client_told(Index i, int attempt, std::int64_t what) {
    Client& client = clients_[i];
    const auto reply = static_cast<Reply>(what & 7);
    const double told_ms = static_cast<double>(what >> 3);
    const std::string id = id_of(session(i), attempt);
    if (reply == Reply::up) {
      audit_.answered(id, Answered::honoured, now_), ++second().honoured;
    }
    if (reply == Reply::busy) {
      audit_.answered(id, Answered::rejected, now_), ++second().rejected;
    }
    if (reply == Reply::other) {
      audit_.answered(id, Answered::scrapped, now_), ++second().scrapped;
    }
    if (client.attempt != attempt) {
      return;
    }
    if (reply == Reply::up) {
      if (!client.waiting) {
        return;
      }
      client.waiting = false;
      const double took = static_cast<double>(now_ - client.sent) / kMs;
      second().setup.add(took), result_.setup.add(took);
      if (client.conn == kNone || conns_[client.conn].closed) {
        return again(i, Reply::cut, 0);  // gone meanwhile
      }
      if (client.done) {
        return close_standing(i, true);
      }
      client.failures = 0;
      client.standing = true;
      serve(i, +1);
      return;
    }
    if (!client.waiting) {
      return;
    }
    client.waiting = false;
    again(i, reply, told_ms);
  }

  void say(Index i, Reply reply, double told_ms = 0) {
    Client& client = clients_[i];
    client.answered = true;
    const bool twice = defect_ == NodeDefect::answers_twice && ++defect_opportunities_ % kFaultEvery == 0;
    const bool never = defect_ == NodeDefect::drops_answer && ++defect_opportunities_ % kFaultEvery == 0;
    const std::int64_t what = static_cast<std::int64_t>(reply) + (static_cast<std::int64_t>(told_ms) << 3);
    for (int n = never ? 0 : twice ? 2 : 1; n > 0; --n) {
      at(now_ + client_way(), Kind::client_told, i, static_cast<Index>(client.attempt), what);
    }
  }

  // Counts a client among those that its host serves, or no more.
  void serve(Index i, int by) {
    const Client& client = clients_[i];
    const Conn& conn = conns_[client.conn];
    hosts_[conn.host].served[static_cast<std::size_t>(nodes_[conn.node].zone) * types_ +
                             static_cast<std::size_t>(session(i).traffic)] += by;
  }

  // A standing connection is over for its client; `by_client`: the node hears of it from there.
  void close_standing(Index i, bool by_client) {
    Client& client = clients_[i];
    if (client.standing) {
      serve(i, -1);
    }
    client.standing = false;
    const Index conn = client.conn;
    if (conn == kNone || conns_[conn].closed || !by_client) {
      return;
    }
    const Index node = conns_[conn].node;
    if (!live(conns_[conn])) {
      return;
    }
    end_conn(conn, Outcome::cancelled, true);
    settle(node);
  }
  bool live(const Conn& conn) const {
    return nodes_[conn.node].alive && nodes_[conn.node].life == conn.node_life;
  }

  // --- tries ---

  void begin_try(Index n, const Action& action) {
    const auto asked = asks_.find(action.id);
    if (asked == asks_.end()) {
      return;
    }
    Client& client = clients_[asked->second];
    const auto named = numbers_.find(action.host);
    if (named == numbers_.end()) {
      return;
    }
    const Index host = named->second;
    const Index i = static_cast<Index>(conns_.size());
    conns_.push_back(
        {asked->second, n, host, client.tries++, client.attempt, hosts_[host].life, nodes_[n].life, now_});
    client.conn = i;
    send_try(i, action.time);
    if (nodes_[n].zone != plan_.hosts[host].zone) {
      ++result_.crossings;
    }
    if (defect_ != NodeDefect::two_tries || ++defect_opportunities_ % kFaultEvery != 0 || hosts_.size() < 2) {
      return;
    }
    // The defect: a copy of the line goes to the next host as well; nobody heeds what comes of it.
    const Index other = (host + 1) % static_cast<Index>(hosts_.size());
    conns_.push_back({asked->second, n, other, -1, client.attempt, hosts_[other].life, nodes_[n].life, now_});
    send_try(static_cast<Index>(conns_.size() - 1), action.time);
  }

  void send_try(Index i, Tenths time_out) {
    const Index host = conns_[i].host;
    const Index n = conns_[i].node;
    const Tenths one_way = way(nodes_[n], host);
    const bool reachable = hosts_[host].is != HostIs::vanished && !answers_lost(n, host);
    const bool refused = hosts_[host].is == HostIs::down ||
                         hosts_[host].connections >= scenario_.cap * plan_.hosts[host].cores;
    if (!reachable) {
      at(now_ + std::min(time_out, from_ms(scenario_.connect_ms)), Kind::try_fails, i, kNone,
         static_cast<int>(Outcome::connect_failed));
    } else if (refused) {
      at(now_ + 2 * one_way, Kind::try_fails, i, kNone, static_cast<int>(Outcome::connect_failed));
    } else {
      at(now_ + 2 * one_way, Kind::try_sent, i), at(now_ + 3 * one_way, Kind::try_arrives, i);
    }
    at(now_ + time_out, Kind::try_times_out, i);
  }

  void try_sent(Index i) {
    Conn& conn = conns_[i];
    if (conn.closed || !live(conn)) {
      return;
    }
    conn.written = true;
    audit_.try_came(id_of(session(conn.client), conn.attempt), static_cast<int>(conn.node),
                    static_cast<int>(conn.host), now_);
  }

  void try_arrives(Index i) {
    Conn& conn = conns_[i];
    Host& host = hosts_[conn.host];
    if (!conn.written || conn.closed || !live(conn)) {
      return;
    }
    if (host.is == HostIs::down || host.life != conn.host_life) {
      return at(now_ + way(nodes_[conn.node], conn.host), Kind::word_arrives, i, kNone,
                static_cast<int>(Outcome::connection_lost));
    }
    ++host.connections;
    conn.at_host = true;
    if (host.is != HostIs::up || cut(conn.node, conn.host)) {
      return;  // nothing comes back
    }
    host.model.advance(now_);
    const auto word = [&](Outcome outcome) {
      at(now_ + way(nodes_[conn.node], conn.host), Kind::word_arrives, i, kNone, static_cast<int>(outcome));
    };
    if (host.draining || host.model.full()) {
      return word(Outcome::rejected);
    }
    const std::string id = id_of(session(conn.client), conn.attempt);
    audit_.try_ran(id, static_cast<int>(conn.host));
    if (chance_of(id, conn.host) < host.failing) {
      return word(Outcome::error);
    }
    const double ratio = host.model.pushed();
    audit_.pushed(static_cast<int>(conn.host), ratio, now_);
    if (ratio > 1) {
      return falls(conn.host);
    }
    if (host.hangs > 0) {
      return;
    }
    const double chance = -std::log(
        1 - fixed_share(session(conn.client).seed, 31 * static_cast<std::uint64_t>(conn.attempt) + 5));
    conn.work = host.model.add(type_of(conn.client).setup_ms / 1000 * chance);
    host.works[conn.work] = i;
    wake(conn.host);
  }

  void wake(Index h) {
    Host& host = hosts_[h];
    const Tenths next = host.model.next();
    if (host.turn >= now_ && host.turn <= next) {
      return;
    }
    if (host.works.empty()) {
      return;
    }
    host.turn = next;
    at(next, Kind::host_turn, h, kNone, host.life);
  }

  void host_turn(Index h, std::int64_t life) {
    Host& host = hosts_[h];
    if (host.life != life || host.is != HostIs::up) {
      return;
    }
    host.model.advance(now_);
    host.turn = -1;
    for (const HostModel::Work work : host.model.done()) {
      const auto found = host.works.find(work);
      if (found == host.works.end()) {
        continue;
      }
      const Index what = found->second;
      host.works.erase(found);
      Conn& conn = conns_[what];
      conn.work = 0;
      if (!conn.at_host) {
        continue;
      }
      conn.up = true;
      conn.load = load_of(what);
      host.model.stand(conn.load, session(conn.client).group);
      host.standing.push_back(what);
      at(now_ + way(nodes_[conn.node], h), Kind::up_arrives, what);
      if (scenario_.swing > 0) {
        at(now_ + from_s(scenario_.change_s), Kind::load_changes, what);
      }
    }
    wake(h);
  }

  double load_of(Index i) const {
    const Session& whose = session(conns_[i].client);
    return load_at(scenario_, whose, static_cast<double>(now_) / kSecond - whose.arrive_s);
  }

  void load_changes(Index i) {
    Conn& conn = conns_[i];
    if (!conn.up) {
      return;
    }
    Host& host = hosts_[conn.host];
    const double load = load_of(i);
    host.model.advance(now_);
    host.model.load_changes(load - conn.load);
    conn.load = load;
    if (!conn.closed && live(conn) && conn.number >= 0 && host.is == HostIs::up) {
      Event event;
      event.kind = EventKind::load_told;
      event.id = id_of(session(conn.client), conn.attempt);
      event.host = plan_.hosts[conn.host].id;
      event.figure = load / scenario_.per_core * 1e6;
      nodes_[conn.node].events.push_back(std::move(event));
      settle(conn.node);
    }
    at(now_ + from_s(scenario_.change_s), Kind::load_changes, i);
  }

  void up_arrives(Index i) {
    Conn& conn = conns_[i];
    if (conn.closed || !live(conn) || answers_lost(conn.node, conn.host)) {
      return;
    }
    if (conn.number < 0) {
      return;  // the copy of a faulty node
    }
    const std::string id = id_of(session(conn.client), conn.attempt);
    audit_.try_over(id, static_cast<int>(conn.host), true, now_);
    Event& event = tell(conn.node, EventKind::established, id, conn.host);
    event.number = conn.number;
    event.took = now_ - conn.sent;
    ++nodes_[conn.node].standing[conn.host];
    conn.hears = false;  // stands for the node: its time-out is over
    say(conn.client, Reply::up);
    settle(conn.node);
  }

  void word_arrives(Index i, Outcome outcome) {
    if (answers_lost(conns_[i].node, conns_[i].host)) {
      return;
    }
    try_ends(i, outcome);
  }

  // A try that had not come up has ended, for whatever reason.
  void try_ends(Index i, Outcome outcome) {
    Conn& conn = conns_[i];
    if (conn.closed || !conn.hears || !live(conn)) {
      return;
    }
    end_conn(i, outcome, false);
    settle(conn.node);
  }

  // The node's side of a connection is over: it tells the policy, and the host hears of it.
  void end_conn(Index i, Outcome outcome, bool final) {
    Conn& conn = conns_[i];
    if (std::exchange(conn.closed, true)) {
      return;
    }
    const bool stood = !conn.hears;
    if (stood) {
      --nodes_[conn.node].standing[conn.host];
    }
    const std::string id = id_of(session(conn.client), conn.attempt);
    if (!stood) {
      audit_.try_over(id, static_cast<int>(conn.host), conn.written && outcome != Outcome::rejected, now_);
    }
    if (conn.number >= 0) {
      Event& event = tell(conn.node, EventKind::try_ended, id, conn.host);
      event.number = conn.number;
      event.outcome = outcome;
      event.took = now_ - conn.sent;
      event.final = final || stood;
      if (stood) {
        release(id, conn.node);
      }
    }
    at(now_ + way(nodes_[conn.node], conn.host), Kind::host_hears_end, i);
  }
  void release(const std::string& id, Index node) {
    if (asks_.erase(id)) {
      --nodes_[node].held;
    }
  }

  void host_hears_end(Index i) {
    Conn& conn = conns_[i];
    Host& host = hosts_[conn.host];
    if (!conn.at_host || host.life != conn.host_life) {
      return;
    }
    if (host.is == HostIs::vanished) {
      return;  // it will be reset when the machine is back
    }
    host.model.advance(now_);
    host_forgets(i);
  }
  void host_forgets(Index i) {
    Conn& conn = conns_[i];
    Host& host = hosts_[conn.host];
    if (conn.up) {
      host.model.leave(conn.load, session(conn.client).group);
      std::erase(host.standing, i);
    }
    if (conn.work) {
      host.model.drop(conn.work), host.works.erase(conn.work);
    }
    conn.up = conn.at_host = false;
    conn.work = 0;
    --host.connections;
  }

  // The host ends a connection; the node hears of it, and its client.
  void host_ends(Index i, bool politely) {
    Conn& conn = conns_[i];
    const Index h = conn.host;
    if (conn.at_host) {
      host_forgets(i);
    }
    if (conn.closed || !live(conn) || answers_lost(conn.node, h)) {
      return;
    }
    const Index c = conn.client;
    const bool stood = !conn.hears;
    end_conn(i, politely ? Outcome::cancelled : Outcome::connection_lost, stood);
    const Index node = conn.node;
    if (stood) {
      client_cut(c, politely ? Ended::moved : Ended::by_host, true);
    }
    settle(node);
  }

  void client_cut(Index c, Ended how, bool host_lives) {
    Client& client = clients_[c];
    audit_.ended(client.id, how, host_lives, now_);
    ++(how == Ended::moved ? second().moved : second().cut);
    if (!client.standing) {
      return;  // its answer is still on its way
    }
    close_standing(c, false);
    if (!client.done) {
      again(c, how == Ended::moved ? Reply::moved : Reply::cut, 0);
    }
  }

  // --- nodes ---

  void begin_node(Index n) {
    Node& node = nodes_[n];
    node.alive = true, node.stopping = false, node.watches = false;
    node.asked_list = now_;
    ++node.life;
    node.held = 0;
    std::fill(node.standing.begin(), node.standing.end(), 0);
    std::fill(node.slow.begin(), node.slow.end(), false);
    const SettingsMap settings = settings_of(env_of(scenario_, plan_, static_cast<int>(n)));
    node.policy =
        policy_of(policy_, settings, XXH64(&n, sizeof n, seed_ + static_cast<std::uint64_t>(node.life)),
                  kEpoch + now_, [this](const std::string& host) { return truth(host); });
    Event event;
    event.kind = EventKind::list_copy;
    event.listings = listings();
    audit_.node_new(static_cast<int>(n));
    hears_list(n, event.listings);
    node.events.push_back(std::move(event));
    settle(n);
    if (scenario_.list_mode == "pushed") {
      ask_list(n, true);
    }
  }

  double truth(const std::string& id) const {
    const auto& host = hosts_[numbers_.at(id)];
    if (host.is != HostIs::up || host.draining || host.hangs > 0 || host.failing > 0) {
      return 1e7;
    }
    return (host.model.load() + host.model.piled_s()) / std::max(host.model.capacity(), 1e-6) +
           (host.model.cold() ? 0.5 : 0);
  }

  Event& tell(Index n, EventKind kind, const std::string& id, Index host) {
    Event& event = nodes_[n].events.emplace_back();
    event.kind = kind;
    event.id = id;
    if (host != kNone) {
      event.host = plan_.hosts[host].id;
    }
    return event;
  }

  void settle(Index n) {
    Node& node = nodes_[n];
    if (node.turns++ > 0) {
      --node.turns;
      return;
    }  // the outer turn goes on
    while (node.alive && !node.events.empty()) {
      const std::vector<Event> events = std::exchange(node.events, {});
      for (const Action& action : node.policy->handle_events(kEpoch + now_, events)) {
        act(n, action);
      }
    }
    --node.turns;
  }

  void act(Index n, const Action& action) {
    switch (action.kind) {
      case ActionKind::setup_try:
        return begin_try(n, action);
      case ActionKind::cancel_try: {
        const auto asked = asks_.find(action.id);
        if (asked != asks_.end() && clients_[asked->second].conn != kNone) {
          end_conn(clients_[asked->second].conn, Outcome::cancelled, false);
        }
        return;
      }
      case ActionKind::reject:
        return answer(n, action.id, Reply::busy, static_cast<double>(action.time / kMs));
      case ActionKind::scrap:
        return answer(n, action.id, Reply::other, 0);
      case ActionKind::move: {
        const auto asked = asks_.find(action.id);
        if (asked == asks_.end()) {
          return;
        }
        const Index c = asked->second;
        if (clients_[c].conn == kNone || conns_[clients_[c].conn].closed) {
          return;
        }
        const bool rude = defect_ == NodeDefect::cuts_off;
        end_conn(clients_[c].conn, Outcome::cancelled, true);
        return client_cut(c, rude ? Ended::cut : Ended::moved,
                          hosts_[conns_[clients_[c].conn].host].is == HostIs::up);
      }
      case ActionKind::probe:
        return probe(n, action.host);
      case ActionKind::set_alarm:
        return at(now_ + std::max<Tenths>(action.time, 1), Kind::node_alarm, n,
                  static_cast<Index>(action.number), nodes_[n].life);
      case ActionKind::subscribe:
        return ask_list(n, true);
      case ActionKind::fetch_list:
        return ask_list(n, false);
      case ActionKind::log:
        return;
    }
  }

  void answer(Index n, const std::string& id, Reply reply, double told_ms) {
    const auto asked = asks_.find(id);
    if (asked == asks_.end()) {
      return;
    }
    const Index c = asked->second;
    release(id, n);
    say(c, reply, told_ms);
  }

  void node_alarm(Index n, int number, int life) {
    Node& node = nodes_[n];
    if (!node.alive || node.life != life) {
      return;
    }
    tell(n, EventKind::alarm, "", kNone).number = number;
    settle(n);
  }

  void probe(Index n, const std::string& name) {
    const auto named = numbers_.find(name);
    if (named == numbers_.end()) {
      return;
    }
    const Index h = named->second;
    const Index i = static_cast<Index>(probes_.size());
    probes_.push_back({n, h, nodes_[n].life, hosts_[h].life, now_});
    ++result_.probes;
    const Tenths one_way = way(nodes_[n], h);
    const Tenths patience = from_ms(scenario_.connect_ms) + kProbeSlack;
    const bool reachable = hosts_[h].is != HostIs::vanished && !answers_lost(n, h);
    at(now_ + patience, Kind::probe_over, i, kNone,
       static_cast<int>(reachable ? Outcome::timed_out : Outcome::connect_failed));
    if (!reachable) {
      return;
    }
    if (hosts_[h].is == HostIs::down) {
      at(now_ + 2 * one_way, Kind::probe_over, i, kNone, static_cast<int>(Outcome::connect_failed));
    } else {
      at(now_ + one_way, Kind::probe_arrives, i);  // on a connection kept for it
    }
  }

  void probe_arrives(Index i) {
    Probe& probe = probes_[i];
    Host& host = hosts_[probe.host];
    if (probe.over || host.is != HostIs::up) {
      return;
    }
    if (fixed_share(seed_, 0x9b0be + i) < host.failing) {
      return at(now_ + way(nodes_[probe.node], probe.host), Kind::probe_over, i, kNone,
                static_cast<int>(Outcome::error));
    }
    host.model.advance(now_);
    at(now_ + from_ms(host.model.probe_ms()) + way(nodes_[probe.node], probe.host), Kind::probe_over, i,
       kNone, static_cast<int>(Outcome::succeeded));
  }

  void probe_over(Index i, Outcome outcome) {
    Probe& probe = probes_[i];
    if (probe.over || (outcome == Outcome::succeeded && (answers_lost(probe.node, probe.host) ||
                                                         hosts_[probe.host].life != probe.host_life))) {
      return;
    }
    probe.over = true;
    Node& node = nodes_[probe.node];
    if (!node.alive || node.life != probe.node_life) {
      return;
    }
    Event& event = tell(probe.node, EventKind::probe_ended, "", probe.host);
    event.outcome = outcome;
    event.took = now_ - probe.sent;
    settle(probe.node);
  }

  // --- the list ---

  std::vector<EndpointEntry> listings() const {
    std::vector<EndpointEntry> out;
    for (Index h = 0; h < hosts_.size(); ++h) {
      if (hosts_[h].listed) {
        out.push_back(listing(h));
      }
    }
    return out;
  }
  EndpointEntry listing(Index h) const {
    const PlannedHost& planned = plan_.hosts[h];
    return {planned.id,   scenario_.zones[static_cast<std::size_t>(planned.zone)],
            planned.zone, hosts_[h].told,
            planned.size, hosts_[h].started > 0 ? kEpoch + hosts_[h].started : 0};
  }

  void hears_list(Index n, const std::vector<EndpointEntry>& list) {
    for (const EndpointEntry& one : list) {
      audit_.told(static_cast<int>(n), static_cast<int>(numbers_.at(one.host)),
                  one.state != EndpointState::healthy, now_);
    }
  }

  void ask_list(Index n, bool watch) {
    Node& node = nodes_[n];
    node.asked_list = now_;
    if (watch && node.watches) {
      return;
    }
    at(now_ + (list_down_ > 0 ? kListPatience : jittered(scenario_.list_call_ms)),
       list_down_ > 0 ? Kind::list_fails : Kind::list_comes, n, static_cast<Index>(node.life), watch);
  }

  void list_comes(Index n, int life, bool watch) {
    Node& node = nodes_[n];
    if (!node.alive || node.life != life) {
      return;
    }
    if (list_down_ > 0) {
      return list_fails(n, life);
    }
    node.watches = node.watches || watch;
    Event& event = tell(n, EventKind::list_whole, "", kNone);
    event.listings = listings();
    hears_list(n, event.listings);
    // A host that is not named any more is gone.
    for (Index h = 0; h < hosts_.size(); ++h) {
      if (!hosts_[h].listed) {
        audit_.told(static_cast<int>(n), static_cast<int>(h), true, now_);
      }
    }
    settle(n);
  }

  void list_fails(Index n, int life) {
    Node& node = nodes_[n];
    if (!node.alive || node.life != life) {
      return;
    }
    node.watches = false;
    tell(n, EventKind::list_lost, "", kNone);
    settle(n);
    if (scenario_.list_mode == "pushed" && list_down_ > 0) {
      at(now_ + kListPatience, Kind::list_comes, n, static_cast<Index>(life), 1);
    }
  }

  // The service learns of a host's state and tells those that watch.
  void publish(Index h, int life, EndpointState state) {
    Host& host = hosts_[h];
    if (host.life != life) {
      return;  // it has changed again meanwhile
    }
    host.told = state;
    host.listed = state != EndpointState::removed;
    if (list_down_ > 0) {
      return;
    }
    for (Index n = 0; n < nodes_.size(); ++n) {
      if (!nodes_[n].alive) {
        continue;
      }
      if (!nodes_[n].watches) {
        if (state != EndpointState::healthy) {
          at(std::max(now_, nodes_[n].asked_list + from_s(scenario_.ask_within_s)), Kind::list_counts, n, h,
             0);
        }
        continue;
      }
      Event& event = tell(n, EventKind::list_changes, "", kNone);
      event.listings.push_back(listing(h));
      hears_list(n, event.listings);
      settle(n);
    }
  }
  void list_counts(Index n, Index h) {
    if (hosts_[h].told != EndpointState::healthy && nodes_[n].alive) {
      audit_.told(static_cast<int>(n), static_cast<int>(h), true, now_);
    }
  }
  void tell_list(Index h, EndpointState state, double after_s) {
    at(now_ + from_s(after_s + stale_s_), Kind::publish, h, static_cast<Index>(hosts_[h].life),
       static_cast<int>(state));
  }

  // --- faults ---

  void fault(Index i, bool begins) {
    const PlannedFault& planned = plan_.faults[i];
    const Fault& fault = planned.fault;
    if (begins) {
      at(now_ + from_s(fault.for_s), Kind::fault_ends, i);
    }
    const int by = begins ? 1 : -1;
    for (Index k = 0; k < planned.hosts.size(); ++k) {
      const Index h = static_cast<Index>(planned.hosts[k]);
      Host& host = hosts_[h];
      host.model.advance(now_);
      switch (fault.kind) {
        case FaultKind::silent:
          if (begins && host.is == HostIs::up) {
            host.is = HostIs::silent, host.since = now_;
          } else if (!begins && host.is == HostIs::silent) {
            host.is = HostIs::up, host.turn = -1, wake(h);
          }
          break;
        case FaultKind::slow:
          host.model.slowed *= begins ? fault.size : 1 / fault.size;
          break;
        case FaultKind::reset:
        case FaultKind::failing:
          host.failing = begins ? fault.size : 0;
          break;
        case FaultKind::hang:
          host.hangs += by;
          break;
        case FaultKind::vanish:
          if (begins) {
            goes(h, HostIs::vanished, fault.for_s, scenario_.list_silent_s);
          }
          break;
        case FaultKind::restart:
          if (begins) {
            goes(h, HostIs::down, fault.for_s, scenario_.list_late_s);
          }
          break;
        case FaultKind::drain:
          if (begins) {
            at(now_ + from_s(fault.every_s * k), Kind::drain_next, i, h);
          }
          break;
        case FaultKind::neighbour:
          if (begins) {
            at(now_, Kind::neighbour_turns, i, kNone, 1);
          }
          break;
        default:
          break;
      }
      host.turn = -1;
      if (host.is == HostIs::up) {
        wake(h);
      }
    }
    for (const int number : planned.nodes) {
      const Index n = static_cast<Index>(number);
      if (!begins || !nodes_[n].alive) {
        continue;
      }
      if (fault.kind == FaultKind::node_reload) {  // it asks for the whole list anew
        nodes_[n].watches = false;
        ask_list(n, true);
        continue;
      }
      if (fault.kind == FaultKind::node_killed) {
        kill_node(n);
        at(now_ + from_s(fault.for_s), Kind::node_back, n);
      } else {
        Node& node = nodes_[n];
        node.stopping = true, node.stopped = now_;
        tell(n, EventKind::stopping, "", kNone);
        settle(n);
        at(now_ + kFrontStops, Kind::front_stops, n);
        at(now_ + kNodeEnds, Kind::node_ends, n, kNone, node.life);
        at(now_ + std::max(from_s(fault.for_s), kNodeEnds + kTick), Kind::node_back, n);
      }
    }
    const int from = zone_number(fault.zone);
    const int to = zone_number(fault.to);
    switch (fault.kind) {
      case FaultKind::list_stale:
        stale_s_ += by * fault.size;
        break;
      case FaultKind::list_down:
        list_down_ += by;
        if (begins) {
          list_goes();
        }
        break;
      case FaultKind::zone_cut:
        cuts_[zone_pair(from, to)] += by, cuts_[zone_pair(to, from)] += by;
        break;
      case FaultKind::one_way:
        one_ways_[zone_pair(from, to)] += by;
        break;
      case FaultKind::drop:
        if (begins) {
          drop_clients(i);
        }
        break;
      default:
        break;
    }
  }
  int zone_number(const std::string& zone) const {
    const auto found = std::find(scenario_.zones.begin(), scenario_.zones.end(), zone);
    return found == scenario_.zones.end() ? 0 : static_cast<int>(found - scenario_.zones.begin());
  }

  void neighbour_turns(Index i, bool on) {
    const PlannedFault& planned = plan_.faults[i];
    const bool over = now_ >= from_s(planned.fault.at_s + planned.fault.for_s);
    for (const int h : planned.hosts) {
      Host& host = hosts_[static_cast<std::size_t>(h)];
      host.model.advance(now_);
      host.model.taken = on && !over ? planned.fault.size : 0;
      host.turn = -1;
      if (host.is == HostIs::up) {
        wake(static_cast<Index>(h));
      }
    }
    if (over) {
      return;
    }
    const Tenths span =
        planned.fault.every_s > 0 ? from_s(planned.fault.every_s) : from_s(planned.fault.for_s);
    at(now_ + span, Kind::neighbour_turns, i, kNone, on ? 0 : 1);
  }

  void drop_clients(Index i) {
    const Fault& fault = plan_.faults[i].fault;
    for (Index c = 0; c < clients_.size(); ++c) {
      if (!clients_[c].standing || fixed_share(session(c).seed, 0xd409 + i) >= fault.size) {
        continue;
      }
      audit_.ended(clients_[c].id, Ended::by_client, true, now_);
      close_standing(c, true);
      at(now_ + from_s(fault.for_s * fixed_share(session(c).seed, 0xd509 + i)), Kind::client_comes, c);
    }
  }

  // A host's process or machine goes and comes back cold.
  void goes(Index h, HostIs how, double for_s, double noticed_s) {
    Host& host = hosts_[h];
    if (host.is != HostIs::up && host.is != HostIs::silent) {
      return;
    }
    host.is = how, host.since = now_;
    if (noticed_s < for_s) {
      tell_list(h, EndpointState::removed, noticed_s);
    }
    if (how == HostIs::down) {
      lose_all(h);
    }
    at(now_ + from_s(for_s), Kind::host_back, h, kNone, host.life);
  }
  void lose_all(Index h) {
    Host& host = hosts_[h];
    const std::vector<Index> standing = host.standing;
    for (const Index i : standing) {
      host_ends(i, false);
    }
    std::vector<Index> waiting;
    for (const auto& [work, what] : host.works) {
      waiting.push_back(what);
    }
    for (const Index what : waiting) {
      host_ends(what, false);
    }
    host.works.clear();
  }
  void falls(Index h) {
    Host& host = hosts_[h];
    host.fallen = true;
    goes(h, HostIs::down, 1e5, scenario_.list_late_s);
  }
  void host_back(Index h, int life) {
    Host& host = hosts_[h];
    if (host.life != life || host.fallen) {
      return;
    }
    lose_all(h);  // what a vanished machine held is reset now
    ++host.life;
    host.is = HostIs::up, host.draining = false, host.started = now_, host.turn = -1;
    host.connections = 0;
    host.works.clear(), host.standing.clear();
    host.model.start(now_, true);
    tell_list(h, EndpointState::healthy, scenario_.list_late_s);
  }

  void drains(Index i, Index h) {
    Host& host = hosts_[h];
    const Fault& fault = plan_.faults[i].fault;
    if (host.is != HostIs::up) {
      return;
    }
    host.draining = true;
    host.pace = fault.pace;
    tell_list(h, EndpointState::draining, scenario_.list_late_s);
    if (host.pace != "none") {
      at(now_ + from_s(scenario_.list_late_s), Kind::paced, h, kNone, host.life);
    }
    at(now_ + from_s(drain_lasts_s(fault)), Kind::host_back, h, kNone, host.life);
  }
  void paced(Index h, int life) {
    Host& host = hosts_[h];
    if (host.life != life || !host.draining || host.is != HostIs::up || host.standing.empty()) {
      return;
    }
    const bool all = host.pace == "at_once";
    const auto part = static_cast<std::size_t>(
        std::ceil(static_cast<double>(host.standing.size()) * (all ? 1 : kPacedShare)));
    const std::vector<Index> now(host.standing.begin(),
                                 host.standing.begin() + static_cast<std::ptrdiff_t>(part));
    host.model.advance(now_);
    for (const Index conn : now) {
      host_ends(conn, true);
    }
    at(now_ + kPaced, Kind::paced, h, kNone, life);
  }

  void kill_node(Index n) {
    Node& node = nodes_[n];
    audit_.node_lost(static_cast<int>(n), now_);
    node.alive = node.watches = false;
    node.events.clear();
    node.policy.reset();
    drop_node(n, Ended::node_lost);
    at(now_ + from_s(scenario_.notice_s), Kind::front_sees, n);
  }
  void drop_node(Index n, Ended how) {
    for (Index i = 0; i < conns_.size(); ++i) {
      Conn& conn = conns_[i];
      if (conn.node != n || conn.closed || conn.node_life != nodes_[n].life) {
        continue;
      }
      conn.closed = true;
      at(now_ + way(nodes_[n], conn.host), Kind::host_hears_end, i);
      if (!conn.hears && conn.number >= 0) {
        client_cut(conn.client, how, hosts_[conn.host].is == HostIs::up);
      }
    }
    for (Index c = 0; c < clients_.size(); ++c) {
      Client& client = clients_[c];
      if (client.node != n || client.node_life != nodes_[n].life) {
        continue;
      }
      asks_.erase(client.id);
      if (!client.waiting || client.answered) {
        continue;
      }
      client.waiting = false;
      again(c, Reply::cut, 0);
    }
  }
  void node_ends(Index n, int life) {
    Node& node = nodes_[n];
    if (!node.alive || node.life != life) {
      return;
    }
    audit_.finish(now_);
    audit_.node_lost(static_cast<int>(n), now_);
    node.alive = node.watches = false;
    node.policy.reset();
    node.events.clear();
    drop_node(n, Ended::cut);  // what it still held: not moved in time
  }
  void node_back(Index n) {
    if (nodes_[n].alive) {
      return;
    }
    begin_node(n);
    at(now_ + kNoNode, Kind::front_sees, n);
  }
  void list_goes() {
    for (Index n = 0; n < nodes_.size(); ++n) {
      if (nodes_[n].alive && nodes_[n].watches) {
        list_fails(n, nodes_[n].life);
      }
    }
  }

  // --- what is counted ---

  void tick() {
    const double at_s = static_cast<double>(now_ - kTick) / kSecond;
    const bool counts = now_ <= end_;
    Second& here = result_.second(at_s);
    const double share = static_cast<double>(kTick) / kSecond;
    double wanted = 0;
    double served = 0;
    double standing = 0;
    for (std::size_t t = 0; t < types_; ++t) {
      wanted += wanting_[t] * scenario_.traffic[t].value * share;
    }
    for (Index h = 0; h < hosts_.size(); ++h) {
      Host& host = hosts_[h];
      host.model.advance(now_);
      sheds(h);
      for (std::size_t z = 0; z < zones_; ++z) {
        for (std::size_t t = 0; t < types_; ++t) {
          const int count = host.served[z * types_ + t];
          if (count == 0) {
            continue;
          }
          standing += count;
          const bool heard = host.is == HostIs::up &&
                             !cuts_[zone_pair(plan_.hosts[h].zone, static_cast<int>(z))] &&
                             !one_ways_[zone_pair(plan_.hosts[h].zone, static_cast<int>(z))];
          if (!heard) {
            continue;
          }
          const Traffic& type = scenario_.traffic[t];
          const double there =
              2 * (static_cast<int>(z) == plan_.hosts[h].zone ? scenario_.same_ms : scenario_.cross_ms);
          served += count * type.value * share * host.model.in_time(type.message_goal_ms - there);
          for (std::size_t q = 0; q < std::size(kQuantiles); ++q) {
            const double delay = there + host.model.delay_ms(kQuantiles[q]);
            here.message.add(delay, count * kQuantileWeights[q]);
            if (counts) {
              result_.message.add(delay, count * kQuantileWeights[q]);
            }
          }
        }
      }
    }
    connection_s_ += standing * share;
    here.wanted += wanted, here.served += served;
    here.standing = standing;
    if (here.open.empty() || now_ % kSecond == 0) {
      here.open.clear();
      for (const Host& host : hosts_) {
        here.open.push_back(host.is == HostIs::down ? 0 : static_cast<int>(host.standing.size()));
      }
    }
    if (counts && at_s >= scenario_.settle_s) {
      result_.wanted += wanted, result_.served += served;
    }
    if (now_ < end_) {
      at(now_ + kTick, Kind::tick);
    }
    if (defect_ == NodeDefect::changes_bytes && now_ % kSecond == 0) {
      spoil();
    }
  }
  // The defect: one standing client's line comes back changed.
  void spoil() {
    for (const Client& client : clients_) {
      if (client.standing) {
        return audit_.bytes(client.id, false, now_);
      }
    }
  }

  void sheds(Index h) {
    Host& host = hosts_[h];
    if (scenario_.sheds == "none" || host.is != HostIs::up) {
      return;
    }
    for (int n = 0; n < 8 && host.model.piled_s() > scenario_.buffer_s && !host.standing.empty(); ++n) {
      host_ends(host.standing.back(), false);
    }
  }

  // What the real node measures by itself: slow messages by host, lines without an answer by connection.
  void tell_delays() {
    for (Host& host : hosts_) {
      if (host.is != HostIs::up) {
        continue;
      }
      host.probed.push_back(host.model.probe_ms());
      if (host.probed.size() > kProbesKept) {
        host.probed.pop_front();
      }
    }
    for (Index n = 0; n < nodes_.size(); ++n) {
      Node& node = nodes_[n];
      if (!node.alive) {
        continue;
      }
      for (Index h = 0; h < hosts_.size(); ++h) {
        const Host& host = hosts_[h];
        if (host.is != HostIs::up || answers_lost(n, h)) {
          continue;
        }
        const double there = node.zone == plan_.hosts[h].zone ? 0 : 2 * scenario_.cross_ms;
        const double delay = std::max(host.model.delay_ms(0.5) + there, probed_delay(h));
        const bool slow = delay > shortest_goal_ * kToldAt && node.standing[h] > 0;
        if (!slow && !node.slow[h]) {
          continue;
        }
        node.slow[h] = slow;
        tell(n, EventKind::delay_told, "", h).figure = delay * kMs;
      }
      settle(n);
    }
    for (Index h = 0; h < hosts_.size(); ++h) {
      for (const Index i : std::vector<Index>(hosts_[h].standing)) {
        const Conn& conn = conns_[i];
        const bool heard = hosts_[h].is == HostIs::up && !answers_lost(conn.node, h);
        if (heard || conn.closed || conn.hears || !live(conn)) {
          continue;
        }
        const Tenths since = std::max({hosts_[h].since, conn.sent, cut_since(conn)});
        const Tenths span = (now_ - since) / kToldEvery * kToldEvery;
        if (span <= 0) {
          continue;
        }
        tell(conn.node, EventKind::unanswered, id_of(session(conn.client), conn.attempt), h).figure =
            static_cast<double>(span);
        settle(conn.node);
      }
    }
    if (now_ < end_) {
      at(now_ + kToldEvery, Kind::told);
    }
  }
  // As the node judges by what a probe takes over the least it has seen: docs/architecture.md.
  double probed_delay(Index h) const {
    const Host& host = hosts_[h];
    if (host.probed.empty()) {
      return 0;
    }
    const double least = *std::min_element(host.probed.begin(), host.probed.end());
    const double waited = host.probed.back() - least;
    const double stretched = kOwnPart * shortest_goal_ * host.probed.back() / std::max(least, 1e-3);
    return waited > kNoiseMs ? std::max(waited, stretched) : waited;
  }
  Tenths cut_since(const Conn& conn) const {
    Tenths since = 0;
    for (const PlannedFault& one : plan_.faults) {
      if ((one.fault.kind == FaultKind::zone_cut || one.fault.kind == FaultKind::one_way) &&
          from_s(one.fault.at_s) <= now_ && answers_lost(conn.node, conn.host)) {
        since = std::max(since, from_s(one.fault.at_s));
      }
    }
    return since;
  }

  const Scenario& scenario_;
  std::uint64_t seed_;
  std::string policy_;
  NodeDefect defect_;
  Plan plan_;
  Audit audit_;
  Stream chance_;
  Tenths end_, now_ = 0;
  std::size_t zones_ = 1, types_ = 1, turn_ = 0;
  double shortest_goal_ = 0, stale_s_ = 0, connection_s_ = 0;
  int list_down_ = 0, defect_opportunities_ = 0;
  std::vector<int> wanting_, cuts_, one_ways_;
  std::vector<Host> hosts_;
  std::vector<Node> nodes_;
  std::vector<Client> clients_;
  std::vector<Conn> conns_;
  std::vector<Probe> probes_;
  std::unordered_map<std::string, Index> asks_, numbers_;
  std::uint64_t order_ = 0;
  std::priority_queue<Happening, std::vector<Happening>, std::greater<>> queue_;
  Result result_;
};

}  // namespace

Result simulate(const Scenario& scenario, std::uint64_t seed, const std::string& policy, Effort* effort) {
  return Run(scenario, seed, policy).run(effort);
}

}  // namespace dapplewharf::emulator
