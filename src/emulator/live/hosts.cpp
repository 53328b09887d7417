// The stand-in hosts and their list service, on sockets: the published protocol around the model of a host.
// Owns listeners, connections and the list; never knows what a client asked for beyond the line that a node
// sent.
#include <poll.h>
#include <spdlog/fmt/fmt.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "emulator/live/parts.h"
#include "emulator/model/chance.h"
#include "emulator/model/host.h"

namespace dapplewharf::emulator {
namespace {

constexpr std::size_t kMost = 64 * 1024;  // held for a peer that does not read
constexpr Tenths kPaced = 500 * kMs;
constexpr double kPacedShare = 0.2;
constexpr int kFillers = 4;        // connections that fill a queue of one
constexpr double kOutlasts = 0.6;  // s: clients end first, or the end of hosts would seem a fault
constexpr double kFallenForS = 1e5;

enum class HostIs { up, silent, vanished, down };

class Hosts : public Part {
 public:
  using Part::Part;

 private:
  struct Conn {
    Socket socket;
    Handle watched;
    int host = 0, node = 0, life = 0;
    enum class Phase { fresh, opening, up, over } phase = Phase::fresh;
    std::string in, out, id;
    long session = -1;
    double load = 0;
    HostModel::Work work = 0;
    bool ran = false, ended = false, closes = false, told_over = false;
    EventLoop::Deadline change;
  };
  struct Door {  // of one host for one node
    Socket listener;
    Handle watched;
    std::vector<Socket> fillers;
  };
  struct Host {
    Host(const Scenario& scenario, const Plan& plan, const PlannedHost& planned)
        : model(scenario, plan, planned) {}
    HostModel model;
    HostIs is = HostIs::up;
    bool draining = false, listed = true, fallen = false;
    double failing = 0, resetting = 0;  // share of set-ups
    int hangs = 0, life = 0, connections = 0;
    std::string pace, told = "up";
    double started_unix_ms = 0;
    std::map<HostModel::Work, Handle> works;  // whose
    std::vector<Handle> standing;
    EventLoop::Deadline turn;
    std::vector<Door> doors;  // by node
  };
  struct Caller {  // of the list
    Socket socket;
    Handle watched;
    int node = 0;
    std::string in;
    long after = -1;
    bool waits = false;
    EventLoop::Deadline deadline;
  };

  void prepare() override {
    cuts_.assign(scenario_.zones.size() * scenario_.zones.size(), 0), one_ways_ = cuts_;
    for (std::size_t h = 0; h < plan_.hosts.size(); ++h) {
      Host& host = *hosts_.emplace_back(std::make_unique<Host>(scenario_, plan_, plan_.hosts[h]));
      host.doors.resize(static_cast<std::size_t>(scenario_.nodes));
      if (plan_.hosts[h].joins_s > 0) {
        host.is = HostIs::down, host.listed = false;
      } else {
        open_doors(static_cast<int>(h));
      }
    }
    lists_.resize(static_cast<std::size_t>(scenario_.nodes));
    open_lists();
    for (std::size_t i = 0; i < plan_.sessions.size(); ++i) {
      sessions_[hex(plan_.sessions[i].seed)] = static_cast<long>(i);
    }
  }

  void listen(const std::string& where, Socket& socket) {
    if (const auto fault = listen_at(*address_of(where), socket)) {
      throw std::runtime_error("cannot listen at " + where + ": " + *fault);
    }
  }

  void begin() override {
    for (std::size_t h = 0; h < hosts_.size(); ++h) {
      hosts_[h]->model.start(now(), false);
      if (plan_.hosts[h].joins_s > 0) {
        once(from_s(plan_.hosts[h].joins_s), [this, h] { back(static_cast<int>(h), hosts_[h]->life); });
      }
      records_.add(stamp(), Seen::host_is, "", static_cast<long>(h), hosts_[h]->is == HostIs::up);
    }
    for (std::size_t i = 0; i < plan_.faults.size(); ++i) {
      const Fault& fault = plan_.faults[i].fault;
      once(from_s(fault.at_s), [this, i] { go(i, true); });
      once(from_s(fault.at_s + fault.for_s), [this, i] { go(i, false); });
    }
    every_second(0);
  }

  void every_second(Tenths when) {
    for (std::size_t h = 0; h < hosts_.size(); ++h) {
      records_.add(stamp(), Seen::open, "", static_cast<long>(h),
                   hosts_[h]->is == HostIs::down ? 0 : static_cast<long>(hosts_[h]->standing.size()));
    }
    once(when + kSecond, [this, when] { every_second(when + kSecond); });
  }

  // --- doors ---

  void open_doors(int h) {
    Host& host = *hosts_[static_cast<std::size_t>(h)];
    for (int n = 0; n < static_cast<int>(host.doors.size()); ++n) {
      Door& door = host.doors[static_cast<std::size_t>(n)];
      listen(addresses_.host(h, n), door.listener);
      watch_door(h, n);
      if (blocked(h, n)) {
        block(h, n);
      }
    }
  }
  void watch_door(int h, int n) {
    Door& door = hosts_[static_cast<std::size_t>(h)]->doors[static_cast<std::size_t>(n)];
    door.watched = loop_.watch(door.listener.number(), POLLIN, [this, h, n](short) { accept_at(h, n); });
  }
  void close_doors(int h) {
    for (Door& door : hosts_[static_cast<std::size_t>(h)]->doors) {
      loop_.unwatch(door.watched);
      door.watched = {};
      door.fillers.clear();
      door.listener.close();
    }
  }

  // Whether nothing of this host reaches that node.
  bool blocked(int h, int n) const {
    const Host& host = *hosts_[static_cast<std::size_t>(h)];
    return host.is == HostIs::vanished || cut(cuts_, h, n) || cut(one_ways_, h, n);
  }
  bool cut(const std::vector<int>& which, int h, int n) const {
    return which[pair_of(plan_.hosts[static_cast<std::size_t>(h)].zone, plan_.zone_of_node(n, scenario_))] >
           0;
  }
  std::size_t pair_of(int from, int to) const {
    return static_cast<std::size_t>(from) * scenario_.zones.size() + static_cast<std::size_t>(to);
  }

  // Danger: on loopback the kernel answers for a machine that is gone. Its queue is made one place long and
  // filled, so that connections to it never come up.
  void block(int h, int n) {
    Door& door = hosts_[static_cast<std::size_t>(h)]->doors[static_cast<std::size_t>(n)];
    if (!door.listener || !door.fillers.empty()) {
      return;
    }
    loop_.want(door.watched, 0);
    ::listen(door.listener.number(), 0);
    for (int i = 0; i < kFillers; ++i) {
      Socket filler;
      dial(*address_of(addresses_.host(h, n)), 1 << 20, 0, filler);
      door.fillers.push_back(std::move(filler));
    }
  }
  void unblock(int h, int n) {
    Door& door = hosts_[static_cast<std::size_t>(h)]->doors[static_cast<std::size_t>(n)];
    if (!door.listener) {
      return;
    }
    door.fillers.clear();
    ::listen(door.listener.number(), SOMAXCONN);
    loop_.want(door.watched, POLLIN);
  }
  void look_at_doors() {
    for (int h = 0; h < static_cast<int>(hosts_.size()); ++h) {
      for (int n = 0; n < static_cast<int>(scenario_.nodes); ++n) {
        blocked(h, n) ? block(h, n) : unblock(h, n);
      }
    }
    conns_.each([this](Handle ticket, Conn& conn) { look_at(ticket, conn); });
  }
  // Whether a connection is read and written just now.
  bool reads(const Conn& conn) const {
    const Host& host = *hosts_[static_cast<std::size_t>(conn.host)];
    return host.is == HostIs::up && !cut(cuts_, conn.host, conn.node);
  }
  bool writes(const Conn& conn) const { return reads(conn) && !cut(one_ways_, conn.host, conn.node); }
  void look_at(Handle ticket, Conn& conn) {
    loop_.want(conn.watched, static_cast<short>((reads(conn) ? POLLIN : 0) |
                                                (writes(conn) && !conn.out.empty() ? POLLOUT : 0)));
    if (writes(conn) && !conn.out.empty()) {
      flush(ticket);
    }
  }

  void accept_at(int h, int n) {
    Host& host = *hosts_[static_cast<std::size_t>(h)];
    for (;;) {
      Socket taken(accept4(host.doors[static_cast<std::size_t>(n)].listener.number(), nullptr, nullptr,
                           SOCK_NONBLOCK | SOCK_CLOEXEC));
      if (!taken) {
        if (errno == EMFILE || errno == ENFILE) {
          starves();
        }
        return;
      }
      if (host.connections >= scenario_.cap * plan_.hosts[static_cast<std::size_t>(h)].cores) {
        taken.abort();
        continue;
      }
      const int descriptor = taken.number();
      Conn made;
      made.socket = std::move(taken);
      made.host = h, made.node = n, made.life = host.life;
      const Handle ticket = conns_.add(std::move(made));
      ++host.connections;
      conns_.find(ticket)->watched = loop_.watch(descriptor, POLLIN, [this, ticket](short what) {
        if (what & POLLOUT) {
          flush(ticket);
        }
        if (what & ~POLLOUT) {
          ready(ticket);
        }
      });
      look_at(ticket, *conns_.find(ticket));
    }
  }

  // --- connections ---

  void ready(Handle ticket) {
    Conn* conn = conns_.find(ticket);
    if (!conn || !reads(*conn)) {
      return;
    }
    for (;;) {  // all that is there, so that an end is seen before what came with it is begun
      bool ended = false;
      const auto got = conn->socket.receive(conn->in, 16384, ended);
      if (!got || ended) {
        return gone(ticket);
      }
      if (*got == 0) {
        break;
      }
      if (conn->in.size() > kMost) {
        return gone(ticket);
      }
    }
    for (std::size_t end; conn && (end = conn->in.find('\n')) != std::string::npos;) {
      const std::string line = conn->in.substr(0, end + 1);
      conn->in.erase(0, end + 1);
      heard(ticket, *conn, line);
      conn = conns_.find(ticket);
    }
  }

  void heard(Handle ticket, Conn& conn, const std::string& line) {
    Host& host = *hosts_[static_cast<std::size_t>(conn.host)];
    host.model.advance(now());
    if (conn.phase == Conn::Phase::up) {
      const double there = far(conn) ? 2 * scenario_.cross_ms : 0;
      const double delay = there + host.model.delay_ms(chance_of(conn.id + line, 3));
      return later(ticket, from_ms(delay), [this, ticket, line] { say(ticket, line); });
    }
    if (conn.phase != Conn::Phase::fresh) {
      return;
    }
    if (line == "PING\r\n" || line == "STATS\r\n") {
      return probed(ticket, conn);
    }
    if (!line.starts_with("OPEN ") || !opened(conn, line)) {
      return say(ticket, "SYNTAX\r\n");
    }
    conn.phase = Conn::Phase::opening;
    look_for_end(conn.id);
    tries_[conn.id] = ticket;
    records_.add(stamp(), Seen::try_came, conn.id, conn.node, conn.host);
    const Tenths there = far(conn) ? from_ms(3 * scenario_.cross_ms) : 0;
    if (there > 0) {
      later(ticket, there, [this, ticket] { set_up(ticket); });
    } else {
      set_up(ticket);
    }
  }
  bool far(const Conn& conn) const {
    return plan_.hosts[static_cast<std::size_t>(conn.host)].zone != plan_.zone_of_node(conn.node, scenario_);
  }

  // Danger: an earlier try that its node has ended seems to be out still, where its host does not read or its
  // end has not been read yet.
  void look_for_end(const std::string& id) {
    const auto earlier = tries_.find(id);
    Conn* conn = earlier == tries_.end() ? nullptr : conns_.find(earlier->second);
    if (!conn || conn->phase != Conn::Phase::opening || conn->told_over) {
      return;
    }
    char byte;
    const ssize_t got = ::recv(conn->socket.number(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))) {
      return;
    }
    over(*conn, conn->ran);
    conn->told_over = true;
  }

  // Does something after a while unless the connection has gone or its host is another one.
  void later(Handle ticket, Tenths after, std::function<void()> what) {
    const Conn* conn = conns_.find(ticket);
    const int life = conn->life;
    const int h = conn->host;
    once(now() + after, [this, ticket, life, h, what = std::move(what)] {
      if (conns_.find(ticket) && hosts_[static_cast<std::size_t>(h)]->life == life) {
        what();
      }
    });
  }

  bool opened(Conn& conn, const std::string& line) {
    if (line.size() < 5 + 16 + 1 + 16) {
      return false;
    }
    conn.id = line.substr(5, 16);
    const auto known = sessions_.find(line.substr(22, 16));
    if (known == sessions_.end() && (!addresses_.anybody || plan_.sessions.empty())) {
      return false;
    }
    conn.session =
        known != sessions_.end()
            ? known->second
            : static_cast<long>(chance_of(conn.id, 11) * static_cast<double>(plan_.sessions.size()));
    return true;
  }
  const Session& session(const Conn& conn) const {
    return plan_.sessions[static_cast<std::size_t>(conn.session)];
  }

  void set_up(Handle ticket) {
    Conn& conn = *conns_.find(ticket);
    Host& host = *hosts_[static_cast<std::size_t>(conn.host)];
    host.model.advance(now());
    if (host.draining || host.model.full()) {
      over(conn, false);
      return finish(ticket, "BUSY\r\n");
    }
    records_.add(stamp(), Seen::try_ran, conn.id, conn.host);
    conn.ran = true;
    if (chance_of(conn.id, static_cast<std::uint64_t>(conn.host)) < host.failing) {
      over(conn, true);
      return finish(ticket, "ERR\r\n");
    }
    if (chance_of(std::to_string(++set_ups_), 13) < host.resetting) {
      over(conn, true);
      conn.told_over = true;
      loop_.unwatch(conn.watched);
      conn.watched = {};
      conn.socket.abort();
      return gone(ticket);
    }
    const double ratio = host.model.pushed();
    if (ratio > 0) {
      records_.add(stamp(), Seen::pushed, "", conn.host, std::lround(ratio * 1000));
    }
    if (ratio > 1) {
      host.fallen = true;
      return goes(conn.host, HostIs::down, kFallenForS, scenario_.list_late_s);
    }
    if (host.hangs > 0) {
      return;
    }
    const Traffic& type = scenario_.traffic[static_cast<std::size_t>(session(conn).traffic)];
    conn.work = host.model.add(type.setup_ms / 1000 * -std::log(1 - chance_of(conn.id, 5)));
    host.works[conn.work] = ticket;
    wake(conn.host);
  }

  void probed(Handle ticket, Conn& conn) {
    Host& host = *hosts_[static_cast<std::size_t>(conn.host)];
    records_.add(stamp(), Seen::probe, "", conn.host);
    if (chance_of(std::to_string(++probes_), 7) < host.failing) {
      return say(ticket, "ERR\r\n");
    }
    const double there = far(conn) ? 2 * scenario_.cross_ms : 0;
    later(ticket, from_ms(there + host.model.probe_ms()), [this, ticket] { say(ticket, "PONG\r\n"); });
  }

  void wake(int h) {
    Host& host = *hosts_[static_cast<std::size_t>(h)];
    if (host.works.empty() || host.is != HostIs::up) {
      return;
    }
    at(host.turn, host.model.next(), [this, h] { turn(h); });
  }
  void turn(int h) {
    Host& host = *hosts_[static_cast<std::size_t>(h)];
    if (host.is != HostIs::up) {
      return;
    }
    host.model.advance(now());
    for (const HostModel::Work work : host.model.done()) {
      const auto found = host.works.find(work);
      if (found == host.works.end()) {
        continue;
      }
      const Handle ticket = found->second;
      host.works.erase(found);
      Conn* conn = conns_.find(ticket);
      if (!conn) {
        continue;
      }
      stands(ticket, *conn);
      const std::string word = "UP " + conn->id + "\r\n";
      if (far(*conn)) {
        later(ticket, from_ms(scenario_.cross_ms), [this, ticket, word] { say(ticket, word); });
      } else {
        say(ticket, word);
      }
    }
    wake(h);
  }

  void stands(Handle ticket, Conn& conn) {
    Host& host = *hosts_[static_cast<std::size_t>(conn.host)];
    conn.work = 0;
    conn.phase = Conn::Phase::up;
    over(conn, true);
    conn.load = load_of(conn);
    host.model.stand(conn.load, session(conn).group);
    host.standing.push_back(ticket);
    if (scenario_.swing > 0) {
      at(conn.change, now() + from_s(scenario_.change_s), [this, ticket] { changes(ticket); });
    }
  }
  double load_of(const Conn& conn) const {
    return load_at(scenario_, session(conn), static_cast<double>(now()) / kSecond - session(conn).arrive_s);
  }
  void changes(Handle ticket) {
    Conn* conn = conns_.find(ticket);
    if (!conn || conn->phase != Conn::Phase::up) {
      return;
    }
    Host& host = *hosts_[static_cast<std::size_t>(conn->host)];
    const double load = load_of(*conn);
    host.model.advance(now());
    host.model.load_changes(load - conn->load);
    conn->load = load;
    at(conn->change, now() + from_s(scenario_.change_s), [this, ticket] { changes(ticket); });
    say(ticket, fmt::format("LOAD {:.1f}\r\n", load / scenario_.per_core * 1e6));
  }
  void over(const Conn& conn, bool may_have_run) {
    records_.add(stamp(), Seen::try_over, conn.id, conn.host, may_have_run);
  }

  void say(Handle ticket, const std::string& line) {
    Conn* conn = conns_.find(ticket);
    if (!conn || conn->out.size() > kMost) {
      return;
    }
    conn->out += line;
    flush(ticket);
  }
  void finish(Handle ticket, const std::string& line) {
    Conn* conn = conns_.find(ticket);
    if (!conn) {
      return;
    }
    conn->phase = Conn::Phase::over;
    conn->closes = true;
    say(ticket, line);
  }
  void flush(Handle ticket) {
    Conn* conn = conns_.find(ticket);
    if (!conn || !writes(*conn)) {
      return;
    }
    if (!conn->out.empty()) {
      const auto sent = conn->socket.send(conn->out.data(), conn->out.size());
      if (!sent) {
        return gone(ticket);
      }
      conn->out.erase(0, *sent);
    }
    if (conn->out.empty() && conn->closes && !conn->ended) {
      conn->socket.finish(), conn->ended = true;
    }
    loop_.want(conn->watched, static_cast<short>(POLLIN | (conn->out.empty() ? 0 : POLLOUT)));
  }

  // The node has ended it, or it is reset by this host.
  void gone(Handle ticket) {
    Conn* conn = conns_.find(ticket);
    if (!conn) {
      return;
    }
    Host& host = *hosts_[static_cast<std::size_t>(conn->host)];
    if (conn->life == host.life) {
      host.model.advance(now());
      --host.connections;
      if (conn->phase == Conn::Phase::opening && !conn->told_over) {
        over(*conn, conn->ran);
      }
      if (const auto at = tries_.find(conn->id); at != tries_.end() && at->second == ticket) {
        tries_.erase(at);
      }
      if (conn->work) {
        host.model.drop(conn->work), host.works.erase(conn->work);
      }
      if (conn->phase == Conn::Phase::up) {
        host.model.leave(conn->load, session(*conn).group);
        std::erase(host.standing, ticket);
      }
    }
    loop_.cancel(conn->change);
    loop_.unwatch(conn->watched);
    conns_.drop(ticket);
  }
  void reset_all(int h) {
    std::vector<Handle> here;
    conns_.each([&](Handle ticket, const Conn& conn) {
      if (conn.host == h) {
        here.push_back(ticket);
      }
    });
    for (const Handle ticket : here) {
      Conn& conn = *conns_.find(ticket);
      if (!conn.id.empty()) {
        records_.add(stamp(), Seen::host_ended, conn.id, h);
      }
      loop_.unwatch(conn.watched);
      conn.watched = {};
      conn.socket.abort();
      gone(ticket);
    }
  }

  // --- faults ---

  void go(std::size_t i, bool begins) {
    const PlannedFault& planned = plan_.faults[i];
    const Fault& fault = planned.fault;
    const int by = begins ? 1 : -1;
    for (std::size_t k = 0; k < planned.hosts.size(); ++k) {
      const int h = planned.hosts[k];
      Host& host = *hosts_[static_cast<std::size_t>(h)];
      host.model.advance(now());
      switch (fault.kind) {
        case FaultKind::silent:
          if (begins && host.is == HostIs::up) {
            is(h, HostIs::silent);
          } else if (!begins && host.is == HostIs::silent) {
            is(h, HostIs::up);
          }
          break;
        case FaultKind::slow:
          host.model.slowed *= begins ? fault.size : 1 / fault.size;
          break;
        case FaultKind::failing:
          host.failing = begins ? fault.size : 0;
          break;
        case FaultKind::reset:
          host.resetting = begins ? fault.size : 0;
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
            once(now() + from_s(fault.every_s * static_cast<double>(k)), [this, i, h] { drains(i, h); });
          }
          break;
        default:
          break;
      }
      wake(h);
    }
    if (fault.kind == FaultKind::neighbour && begins) {
      neighbour(i, true);
    }
    if (fault.kind == FaultKind::list_stale) {
      stale_s_ += by * fault.size;
    }
    if (fault.kind == FaultKind::list_down) {
      list_down_ += by, list_down_ > 0 ? close_lists() : open_lists();
    }
    if (fault.kind == FaultKind::zone_cut || fault.kind == FaultKind::one_way) {
      const int from = zone(fault.zone);
      const int to = zone(fault.to);
      std::vector<int>& which = fault.kind == FaultKind::zone_cut ? cuts_ : one_ways_;
      which[pair_of(from, to)] += by;
      if (fault.kind == FaultKind::zone_cut) {
        which[pair_of(to, from)] += by;
      }
      look_at_doors();
    }
  }
  int zone(const std::string& name) const {
    return static_cast<int>(std::find(scenario_.zones.begin(), scenario_.zones.end(), name) -
                            scenario_.zones.begin());
  }

  void is(int h, HostIs what) {
    Host& host = *hosts_[static_cast<std::size_t>(h)];
    host.is = what;
    records_.add(stamp(), Seen::host_is, "", h, what == HostIs::up);
    for (int n = 0; n < static_cast<int>(host.doors.size()); ++n) {
      if (what != HostIs::down) {
        blocked(h, n) ? block(h, n) : unblock(h, n);
      }
    }
    std::vector<Handle> here;
    conns_.each([&](Handle ticket, const Conn& conn) {
      if (conn.host == h) {
        here.push_back(ticket);
      }
    });
    for (const Handle ticket : here) {
      if (Conn* conn = conns_.find(ticket)) {
        look_at(ticket, *conn);
      }
    }
    if (what == HostIs::up) {
      wake(h);
    }
  }

  void neighbour(std::size_t i, bool on) {
    const PlannedFault& planned = plan_.faults[i];
    const Fault& fault = planned.fault;
    const bool ends = now() >= from_s(fault.at_s + fault.for_s);
    for (const int h : planned.hosts) {
      Host& host = *hosts_[static_cast<std::size_t>(h)];
      host.model.advance(now());
      host.model.taken = on && !ends ? fault.size : 0;
      wake(h);
    }
    if (ends) {
      return;
    }
    once(now() + from_s(fault.every_s > 0 ? fault.every_s : fault.for_s),
         [this, i, on] { neighbour(i, !on); });
  }

  void goes(int h, HostIs how, double for_s, double noticed_s) {
    Host& host = *hosts_[static_cast<std::size_t>(h)];
    if (host.is != HostIs::up && host.is != HostIs::silent) {
      return;
    }
    if (noticed_s < for_s) {
      tell_list(h, "removed", noticed_s);
    }
    is(h, how);
    if (how == HostIs::down) {
      close_doors(h), reset_all(h);
    }
    once(now() + from_s(for_s), [this, h, life = host.life] { back(h, life); });
  }
  void back(int h, int life) {
    Host& host = *hosts_[static_cast<std::size_t>(h)];
    if (host.life != life || host.fallen) {
      return;
    }
    close_doors(h);
    reset_all(h);
    ++host.life;
    host.connections = 0, host.draining = false;
    host.works.clear(), host.standing.clear();
    host.model.start(now(), true);
    host.started_unix_ms = static_cast<double>(EventLoop::unix_now()) / kMs;
    host.is = HostIs::up;
    open_doors(h);
    records_.add(stamp(), Seen::host_is, "", h, 1);
    tell_list(h, "up", scenario_.list_late_s);
  }

  void drains(std::size_t i, int h) {
    Host& host = *hosts_[static_cast<std::size_t>(h)];
    const Fault& fault = plan_.faults[i].fault;
    if (host.is != HostIs::up) {
      return;
    }
    host.draining = true;
    host.pace = fault.pace;
    tell_list(h, "draining", scenario_.list_late_s);
    const int life = host.life;
    if (host.pace != "none") {
      once(now() + from_s(scenario_.list_late_s), [this, h, life] { paced(h, life); });
    }
    once(now() + from_s(drain_lasts_s(fault)), [this, h, life] { back(h, life); });
  }
  void paced(int h, int life) {
    Host& host = *hosts_[static_cast<std::size_t>(h)];
    if (host.life != life || !host.draining || host.is != HostIs::up || host.standing.empty()) {
      return;
    }
    const bool all = host.pace == "at_once";
    const auto part = static_cast<std::size_t>(
        std::ceil(static_cast<double>(host.standing.size()) * (all ? 1 : kPacedShare)));
    const std::vector<Handle> those(host.standing.begin(),
                                    host.standing.begin() + static_cast<std::ptrdiff_t>(part));
    for (const Handle ticket : those) {
      Conn& conn = *conns_.find(ticket);
      host.model.advance(now());
      host.model.leave(conn.load, session(conn).group);
      std::erase(host.standing, ticket);
      records_.add(stamp(), Seen::host_ended, conn.id, h);
      finish(ticket, "MOVE\r\n");
    }
    once(now() + kPaced, [this, h, life] { paced(h, life); });
  }

  // --- the list ---

  void tell_list(int h, const std::string& state, double after_s) {
    const int life = hosts_[static_cast<std::size_t>(h)]->life;
    once(now() + from_s(after_s + stale_s_), [this, h, state, life] {
      Host& host = *hosts_[static_cast<std::size_t>(h)];
      if (host.life != life) {
        return;
      }
      host.told = state;
      host.listed = state != "removed";
      ++version_;
      changes_.emplace_back(version_, h);
      std::vector<Handle> waiting;
      callers_.each([&](Handle ticket, const Caller& caller) {
        if (caller.waits) {
          waiting.push_back(ticket);
        }
      });
      for (const Handle ticket : waiting) {
        answer(ticket);
      }
    });
  }
  void open_lists() {
    for (std::size_t n = 0; n < lists_.size(); ++n) {
      if (lists_[n].listener) {
        continue;
      }
      listen(addresses_.list(static_cast<int>(n)), lists_[n].listener);
      lists_[n].watched = loop_.watch(lists_[n].listener.number(), POLLIN, [this, n](short) {
        Socket taken(accept4(lists_[n].listener.number(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!taken) {
          return;
        }
        const int descriptor = taken.number();
        Caller made;
        made.socket = std::move(taken);
        made.node = static_cast<int>(n);
        const Handle ticket = callers_.add(std::move(made));
        callers_.find(ticket)->watched =
            loop_.watch(descriptor, POLLIN, [this, ticket](short) { called(ticket); });
      });
    }
  }
  void close_lists() {
    for (Door& door : lists_) {
      loop_.unwatch(door.watched);
      door.watched = {};
      door.listener.close();
    }
    std::vector<Handle> all;
    callers_.each([&](Handle ticket, const Caller&) { all.push_back(ticket); });
    for (const Handle ticket : all) {
      hang_up(ticket);
    }
  }
  void hang_up(Handle ticket) {
    Caller* caller = callers_.find(ticket);
    if (!caller) {
      return;
    }
    loop_.unwatch(caller->watched);
    loop_.cancel(caller->deadline);
    callers_.drop(ticket);
  }

  void called(Handle ticket) {
    Caller* caller = callers_.find(ticket);
    if (!caller) {
      return;
    }
    bool ended = false;
    const auto got = caller->socket.receive(caller->in, kMost, ended);
    if (!got || ended) {
      return hang_up(ticket);
    }
    const std::size_t head = caller->in.find("\r\n\r\n");
    if (head == std::string::npos || caller->waits) {
      return;
    }
    const std::string request = caller->in.substr(0, caller->in.find("\r\n"));
    caller->in.erase(0, head + 4);
    const auto figure = [&](const char* name) {
      const std::size_t from = request.find(name);
      return from == std::string::npos ? -1L
                                       : std::strtol(request.c_str() + from + std::strlen(name), nullptr, 10);
    };
    caller->after = figure("after=");
    const long wait_ms = std::clamp(figure("wait_ms="), 0L, 60000L);
    const bool waits = caller->after >= 0 && caller->after == version_;
    loop_.at(caller->deadline,
             loop_.now() + (waits ? from_ms(static_cast<double>(wait_ms)) : from_ms(scenario_.list_call_ms)),
             [this, ticket] { answer(ticket); });
    caller->waits = waits;
  }

  nlohmann::json entry(int h, int node) const {
    const Host& host = *hosts_[static_cast<std::size_t>(h)];
    const PlannedHost& planned = plan_.hosts[static_cast<std::size_t>(h)];
    return {{"instanceId", planned.id},
            {"hostPort", addresses_.host(h, node)},
            {"zone", scenario_.zones[static_cast<std::size_t>(planned.zone)]},
            {"machineType", scenario_.kinds[static_cast<std::size_t>(planned.kind)].name},
            {"cell", h},
            {"lifecycle", host.told},
            {"weight", planned.size},
            {"startedAtMs", host.started_unix_ms}};
  }

  void answer(Handle ticket) {
    Caller* caller = callers_.find(ticket);
    if (!caller) {
      return;
    }
    const bool whole = caller->after <= 0 || caller->after > version_;  // 0: knows nothing
    nlohmann::json list = nlohmann::json::array();
    std::vector<int> named;
    for (int h = 0; h < static_cast<int>(hosts_.size()); ++h) {
      const bool changed = std::any_of(changes_.begin(), changes_.end(), [&](const auto& one) {
        return one.second == h && one.first > caller->after;
      });
      if (whole ? hosts_[static_cast<std::size_t>(h)]->listed : changed) {
        list.push_back(entry(h, caller->node)), named.push_back(h);
      }
    }
    const std::string body =
        nlohmann::json{{"generation", version_}, {"reset", whole}, {"instances", list}}.dump();
    const std::string text =
        fmt::format("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.size()) +
        body;
    caller->waits = false;
    loop_.cancel(caller->deadline);
    const Tenths told = stamp();
    // The list is small against a socket's buffer: what does not go out at once is a broken caller.
    const auto sent = caller->socket.send(text.data(), text.size());
    for (int h = 0; h < static_cast<int>(hosts_.size()); ++h) {
      const Host& host = *hosts_[static_cast<std::size_t>(h)];
      if (whole || std::count(named.begin(), named.end(), h)) {
        records_.add(told, Seen::told, "", caller->node, h, !host.listed || host.told != "up");
      }
    }
    if (!sent || *sent < text.size()) {
      hang_up(ticket);
    }
  }

  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<Door> lists_;
  SlotMap<Conn> conns_;
  SlotMap<Caller> callers_;
  std::map<std::string, long> sessions_;
  std::map<std::string, Handle> tries_;  // the last one of each attachment
  std::vector<int> cuts_, one_ways_;
  std::vector<std::pair<long, int>> changes_;
  long version_ = 1;
  double stale_s_ = 0;
  int list_down_ = 0;
  long probes_ = 0;
  long set_ups_ = 0;
};

}  // namespace

int run_hosts_alone(const Scenario& scenario, const Plan& plan, int net, double for_s,
                    const std::string& file) {
  LoopbackAddresses addresses;
  addresses.net = net, addresses.anybody = true;
  int ready[2];
  int go[2];
  const Tenths now = EventLoop::steady_now();
  if (pipe(ready) != 0 || pipe(go) != 0 || write(go[1], &now, sizeof now) != sizeof now) {
    return 1;
  }
  return run_hosts(scenario, plan, addresses, {ready[1], go[0], file}, for_s);
}

int run_hosts(const Scenario& scenario, const Plan& plan, const LoopbackAddresses& addresses,
              ParentChannel parent, double for_s) {
  return Hosts(scenario, plan, addresses, std::move(parent)).run(for_s + kOutlasts);
}

}  // namespace dapplewharf::emulator
