#include "node/connection_table.h"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

#include "policy/notes.h"

namespace dapplewharf {
namespace {

constexpr std::size_t kBuffer = 8 * 1024;       // bytes held for one side before the other is no longer read
constexpr Tenths kGreetingTime = 2 * kSecond;   // for a first line to come whole; three are allowed
constexpr Tenths kKnownTime = 60 * kSecond;     // for the next, from one that has sent PING
constexpr Tenths kLineComesWithin = 200 * kMs;  // after its connection, a usual client's line
constexpr int kSilentPart = 8;                  // of the descriptors: those that have not said what they want
constexpr Tenths kAcceptPause = 5 * kMs;        // after accept failed
constexpr Tenths kAcceptFailsFor = kSecond;  // until clients are turned away for it: half a first line's time
constexpr Tenths kDialPause = 10 * kMs;      // after connecting failed on this machine
constexpr int kAtOnce = 32;                  // accepted in a turn, so that others have theirs
constexpr int kPingsAtOnce = 4;              // more in one go are a flood
constexpr std::size_t kPoured = 64 * 1024;   // taken from one that is told to go, so that it reads why
constexpr std::size_t kIdsKept = 4096;       // of clients that were held lately
constexpr int kLoggedASecond = 5;
constexpr Tenths kClosingTime = kSecond;  // for the last bytes to be taken
constexpr Tenths kLinger = 5 * kSecond;   // a half-closed connection on which nothing comes
constexpr Tenths kHostEnded = 800 * kMs;  // for the client to end what its host has ended
constexpr std::size_t kHeadKept = 32;

}  // namespace

ConnectionTable::ConnectionTable(EventLoop& loop, Counters& counters, const Limits& limits,
                                 const RequestSchema& grammar, Callbacks callbacks)
    : loop_(loop),
      counters_(counters),
      limits_(limits),
      grammar_(grammar),
      callbacks_(std::move(callbacks)),
      spare_(::open("/dev/null", O_RDONLY | O_CLOEXEC)) {}

std::optional<std::string> ConnectionTable::listen(const sockaddr_in& at) {
  if (auto fault = listen_at(at, listener_)) {
    return fault;
  }
  listening_ = loop_.watch(listener_.number(), POLLIN, [this](short) { accept_all(); });
  return std::nullopt;
}

void ConnectionTable::accept_all() {
  for (int i = 0; i < kAtOnce; ++i) {
    Socket taken(accept4(listener_.number(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!taken) {
      const int error = errno;
      if (error == ECONNABORTED || error == EINTR) {
        continue;
      }
      if (error != EAGAIN && error != EWOULDBLOCK) {
        accept_later(error);
      } else {
        accept_failing_since_ = 0;
      }
      return;
    }
    accept_failing_since_ = 0;
    ++counters_.accepted;
    const int on = 1;
    setsockopt(taken.number(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (crowded() || Socket::short_of(limits_.descriptors, kKeptBack / 2)) {
      evict_one();
    }
    // Danger: with all descriptors taken clients would hang unheard; the last ones serve to turn them away.
    if (Socket::short_of(limits_.descriptors, kKeptBack / 2)) {
      turn_away(taken);
      continue;
    }
    const int descriptor = taken.number();
    ProxiedConnection link;
    link.client.socket = std::move(taken);
    const Handle ticket = links_.add(std::move(link));
    ProxiedConnection& held = *links_.find(ticket);
    held.client.watched = loop_.watch(
        descriptor, POLLIN, [this, ticket](short) { guarded(ticket, &ConnectionTable::client_ready); });
    greeting_ends(ticket, held, kGreetingTime);
    held.silent_since = loop_.now();
    silent_.push_back(ticket);
    // Its line may have come with it: then it is not one of the silent.
    guarded(ticket, &ConnectionTable::client_ready);
  }
}

// Whether those that say nothing hold more than their part. Danger: many usual clients that come at once are
// silent for a moment, each until its line has come; they do not give way to one another.
bool ConnectionTable::crowded() {
  if (silent_.size() < static_cast<std::size_t>(limits_.descriptors / kSilentPart)) {
    return false;
  }
  return loop_.now() - links_.find(silent_.front())->silent_since >= kLineComesWithin;
}

// Danger: a passing failure of the system is no reason to turn a client away: who waits at the door loses
// nothing by it. Only where it lasts, or this process has no descriptor left, one of them is told so.
void ConnectionTable::accept_later(int error) {
  ++counters_.accept_failures;
  if (accept_failing_since_ == 0) {
    accept_failing_since_ = loop_.now();
    if (may_log()) {
      spdlog::warn("accept failed, error {}; tried again", error);
    }
  }
  const bool lasts = loop_.now() - accept_failing_since_ >= kAcceptFailsFor;
  const bool none_left = Socket::short_of(limits_.descriptors, 0);
  if ((error == EMFILE || error == ENFILE) && (lasts || none_left) && turn_away_one()) {
    return;
  }
  loop_.want(listening_, 0);  // danger: a door that is not opened would wake poll for ever
  loop_.at(accept_again_, loop_.now() + kAcceptPause, [this] {
    loop_.want(listening_, POLLIN);
    accept_all();
  });
}

// Danger: hundreds that connect and say nothing, or PING once, take every descriptor. A usual client sends
// its line at once, so the longest silent gives way, after one more look at whether it has spoken meanwhile.
void ConnectionTable::evict_one() {
  while (!silent_.empty()) {
    const Handle ticket = silent_.front();
    guarded(ticket, &ConnectionTable::client_ready);
    if (silent_.empty() || !(silent_.front() == ticket)) {
      continue;
    }
    ++counters_.evicted;
    links_.find(ticket)->client.socket.send_whole("BUSY\r\n");
    return drop(ticket);
  }
}

bool ConnectionTable::may_log() {
  if (loop_.now() - logged_at_ >= kSecond) {
    logged_at_ = loop_.now(), logged_ = 0;
  }
  return ++logged_ <= kLoggedASecond;  // danger: a flood of bad lines takes the log; the counter has them all
}

void ConnectionTable::refuse(Handle ticket, ProxiedConnection& link, const std::string& fault) {
  ++counters_.malformed;
  if (may_log()) {
    spdlog::warn("client's first line is malformed: {}", fault);
  }
  close_after(ticket, link, "ERR\r\n");
}

void ConnectionTable::turn_away(const Socket& taken) {
  ++counters_.no_descriptor;
  taken.send_whole("BUSY\r\n");
  taken.finish();
}

bool ConnectionTable::turn_away_one() {
  spare_.close();
  Socket taken(accept4(listener_.number(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  const bool any = static_cast<bool>(taken);
  if (any) {
    turn_away(taken);
  }
  taken.close();
  spare_ = Socket(::open("/dev/null", O_RDONLY | O_CLOEXEC));
  return any;
}

// Danger: what one connection sends must cost no other.
void ConnectionTable::guarded(Handle ticket, void (ConnectionTable::*what)(Handle)) {
  try {
    (this->*what)(ticket);
  } catch (const std::exception& error) {
    spdlog::error("connection dropped: {}", error.what());
    ProxiedConnection* link = links_.find(ticket);
    if (!link) {
      return;
    }
    if (link->phase == Phase::waiting) {
      callbacks_.client_left(ticket);  // nobody is left to be answered
    }
    finished(ticket, *link);
  }
}

// Danger: a string that grows by doubling holds up to twice what it may, times all connections.
std::optional<std::size_t> ConnectionTable::take(const Peer& from, std::string& to, bool& ended) {
  to.reserve(kBuffer);
  return from.socket.receive(to, kBuffer - to.size(), ended);
}

void ConnectionTable::client_ready(Handle ticket) {
  ProxiedConnection* link = links_.find(ticket);
  if (!link) {
    return;
  }
  Peer& client = link->client;
  if (link->phase == Phase::relaying) {
    bool ended = false;
    const std::size_t before = link->host.out.size();
    if (!client.in_ended && before < kBuffer) {
      const auto got = take(client, link->host.out, ended);
      if (!got) {
        link->client_first = true;
        return broke(ticket, *link, link->host);
      }
      from_client(*link, before);
      if (ended) {
        client.in_ended = true, link->client_first = !link->host.in_ended, set_linger(ticket);
      }
    }
    return settle(ticket, *link);
  }
  if (link->phase == Phase::closing) {
    std::string ignored;
    bool ended = false;
    const auto got = client.socket.receive(ignored, kBuffer, ended);
    // Danger: one that pours on at full speed would cost turns for as long as it is heard out.
    link->poured += got.value_or(0);
    if (!got || ended || link->poured > kPoured) {
      return drop(ticket);
    }
    return flush_closing(ticket, *link);
  }
  bool ended = false;
  const auto got = client.socket.receive(link->early, 2 * kLongestLine - link->early.size(), ended);
  if (got && !ended) {
    if (link->phase == Phase::greeting) {
      return greet(ticket, *link);
    }
    if (link->early.empty()) {
      return;
    }
    // Danger: commands poured in behind the first one would reach the host of that one. A client waits.
    callbacks_.client_left(ticket);
    end_try(ticket, *link, TerminationReason::client_gone);
    return refuse(ticket, *link, "more before its answer");
  }
  if (link->phase == Phase::greeting) {
    if (link->early.empty() || !got) {
      return drop(ticket);
    }
    return refuse(ticket, *link, "half a line");
  }
  // The client has gone, or ends its sending: it gets an answer in case it still listens.
  ++counters_.left;
  callbacks_.client_left(ticket);
  end_try(ticket, *link, TerminationReason::client_gone);
  if (got) {
    close_after(ticket, *link, "ERR\r\n");
  } else {
    drop(ticket);
  }
}

void ConnectionTable::greeting_ends(Handle ticket, ProxiedConnection& link, Tenths after) {
  loop_.at(link.deadline, loop_.now() + after, [this, ticket] {
    ProxiedConnection* late = links_.find(ticket);
    if (late && !late->early.empty()) {
      refuse(ticket, *late, "half a line");
    } else {
      drop(ticket);
    }
  });
}

void ConnectionTable::greet(Handle ticket, ProxiedConnection& link) {
  for (int pings = 0;; ++pings) {
    const std::size_t end = link.early.find('\n');
    const bool long_one = end == std::string::npos ? link.early.size() >= kLongestLine : end >= kLongestLine;
    if (end == std::string::npos && !long_one) {
      // One that has said PING has longer for its line to begin, and no longer for it to end.
      if (!link.early.empty() && link.deadline.when > loop_.now() + kGreetingTime) {
        greeting_ends(ticket, link, kGreetingTime);
      }
      return;
    }
    const std::string line = long_one ? "" : link.early.substr(0, end + 1);
    if (line == "PING\r\n" && pings < kPingsAtOnce) {
      ++counters_.greeted;
      link.early.erase(0, end + 1);
      link.client.socket.send_whole("PONG\r\n");
      greeting_ends(ticket, link, kKnownTime);
      std::erase(silent_, ticket);
      link.silent_since = loop_.now();
      silent_.push_back(ticket);
      continue;
    }
    Opened opened = opening_of(line, grammar_);
    if (long_one) {
      opened.fault = "too long";
    }
    // Danger: the id of another client's open attachment makes hosts turn away what they would have served,
    // and look sick. Ids are new with every connection, so one that was held lately is not free either.
    if (opened.opening && (ids_.count(opened.opening->id) ||
                           std::find(ended_.begin(), ended_.end(), opened.opening->id) != ended_.end())) {
      opened = {std::nullopt, "an id that is taken"};
    }
    if (opened.opening && end + 1 < link.early.size()) {
      opened = {std::nullopt, "more behind it"};
    }
    if (!opened.opening) {
      return refuse(ticket, link, opened.fault);
    }
    link.early = {};
    link.opening = std::move(*opened.opening);
    ids_.insert(link.opening.id);
    std::erase(silent_, ticket);
    link.phase = Phase::waiting;
    loop_.cancel(link.deadline);
    ++counters_.taken;
    return callbacks_.request_opened(ticket, link.opening);
  }
}

void ConnectionTable::begin_attempt(Handle ticket, const std::optional<sockaddr_in>& address, Tenths time_out,
                                    Tenths connect_time) {
  ProxiedConnection* link = links_.find(ticket);
  if (!link || link->phase != Phase::waiting || link->try_out) {
    return;
  }
  ++counters_.tries;
  link->try_out = true;
  link->reach = AttemptProgress::not_connected;
  link->first.clear();
  link->try_until = loop_.now() + time_out;
  // Danger: behind a long turn, or chosen in the very turn of its client's end, a try is a host's work for
  // nobody.
  link = attempt_with_client(ticket);
  if (!link) {
    return;
  }
  if (!address) {
    return end_try(ticket, *link, TerminationReason::connection_broken);
  }
  const Tenths connect_until =
      std::min(link->try_until, loop_.now() + (connect_time > 0 ? connect_time : limits_.connect_time));
  dial_host(ticket, *address, connect_until);
}

// Danger: what fails on this machine for a moment would be taken for the host's fault, or use up all tries of
// a request at once. Until the time to connect is over it is tried again; the host hears nothing of it.
void ConnectionTable::dial_host(Handle ticket, const sockaddr_in& address, Tenths connect_until) {
  ProxiedConnection* link = links_.find(ticket);
  if (!link || !link->try_out) {
    return;
  }
  if (Socket::short_of(limits_.descriptors, kKeptBack)) {
    evict_one();
  }
  switch (dial(address, limits_.descriptors, kKeptBack, link->host.socket)) {
    case Dial::refused:
      return end_try(ticket, *link, TerminationReason::connection_broken);
    case Dial::no_descriptor:
      return end_try(ticket, *link, TerminationReason::no_descriptor);
    case Dial::local_failure:
      ++counters_.local_failures;
      if (loop_.now() + kDialPause >= connect_until) {
        return end_try(ticket, *link, TerminationReason::local_failure);
      }
      return loop_.at(link->deadline, loop_.now() + kDialPause, [this, ticket, address, connect_until] {
        const ProxiedConnection* waiting = links_.find(ticket);
        if (waiting && waiting->try_out && may_still_send(ticket)) {
          dial_host(ticket, address, connect_until);
        }
      });
    case Dial::begun:
      break;
  }
  link->host.watched = loop_.watch(link->host.socket.number(), POLLOUT,
                                   [this, ticket](short) { guarded(ticket, &ConnectionTable::host_ready); });
  times_out(ticket, *link, connect_until);
}

void ConnectionTable::times_out(Handle ticket, ProxiedConnection& link, Tenths when) {
  loop_.at(link.deadline, when, [this, ticket] {
    if (ProxiedConnection* late = links_.find(ticket)) {
      end_try(ticket, *late, TerminationReason::timed_out);
    }
  });
}

// Reads what the client has sent by now, or its end; null when that ended the try.
ConnectionTable::ProxiedConnection* ConnectionTable::attempt_with_client(Handle ticket) {
  if (links_.find(ticket)->client.socket.has_news()) {
    client_ready(ticket);
  }
  ProxiedConnection* link = links_.find(ticket);
  return link && link->try_out ? link : nullptr;
}

// Danger: a connection comes up long after its host was chosen. Meanwhile the client may have left, the host
// may have been announced as leaving, or the time may be over, also in this very turn or during a pause of
// the process; whatever is found here is known not to have run. What has begun is never withdrawn.
bool ConnectionTable::may_still_send(Handle ticket) {
  ProxiedConnection* link = attempt_with_client(ticket);
  if (!link) {
    return false;
  }
  if (loop_.now() >= link->try_until) {
    return end_try(ticket, *link, TerminationReason::timed_out), false;
  }
  if (!callbacks_.may_send(ticket)) {
    return end_try(ticket, *link, TerminationReason::withdrawn), false;
  }
  return true;
}

bool ConnectionTable::deliver(Handle ticket, ProxiedConnection& link) {
  if (link.reach == AttemptProgress::not_connected) {
    if (!link.host.socket.connected()) {
      return end_try(ticket, link, TerminationReason::connection_broken), false;
    }
    if (!may_still_send(ticket)) {
      return false;
    }
    link.reach = AttemptProgress::partly_written;
    link.host.out = with_wait(link.opening, link.try_until - loop_.now());
    times_out(ticket, link, link.try_until);
  }
  if (link.reach == AttemptProgress::written) {
    return true;
  }
  const auto given = link.host.socket.send(link.host.out.data(), link.host.out.size());
  if (!given) {
    return end_try(ticket, link, TerminationReason::connection_broken), false;
  }
  link.host.out.erase(0, *given);
  if (link.host.out.empty()) {
    link.reach = AttemptProgress::written;
    ++counters_.tries_written;
  }
  loop_.want(link.host.watched, link.host.out.empty() ? POLLIN : POLLIN | POLLOUT);
  return true;
}

void ConnectionTable::host_ready(Handle ticket) {
  ProxiedConnection* link = links_.find(ticket);
  if (!link || !link->host.socket) {
    return;
  }
  if (link->phase == Phase::waiting) {
    if (deliver(ticket, *link)) {
      await_up(ticket, *link);
    }
    return;
  }
  Peer& host = link->host;
  const std::size_t before = link->client.out.size();
  if (!host.in_ended && before < kBuffer) {
    bool ended = false;
    const auto got = take(host, link->client.out, ended);
    if (!got) {
      return host_broke(ticket, *link);
    }
    if (ended) {
      host.in_ended = true, set_linger(ticket);
    }
    from_host(ticket, *link, before);
    if (link->phase != Phase::relaying) {
      return;  // moved
    }
  }
  settle(ticket, *link);
}

void ConnectionTable::await_up(Handle ticket, ProxiedConnection& link) {
  bool ended = false;
  const auto got = link.host.socket.receive(link.first, kBuffer - link.first.size(), ended);
  if (!got) {
    return end_try(ticket, link, TerminationReason::connection_broken);
  }
  const std::size_t end = link.first.find('\n');
  if (end == std::string::npos) {
    if (ended) {
      end_try(ticket, link, TerminationReason::closed);
    } else if (link.first.size() > kLongestLine) {
      end_try(ticket, link, TerminationReason::malformed_answer);
    }
    return;
  }
  const Word word = word_of(std::string_view(link.first).substr(0, end + 1));
  if (word == Word::busy) {
    return end_try(ticket, link, TerminationReason::busy);
  }
  if (word == Word::error) {
    return end_try(ticket, link, TerminationReason::error);
  }
  if (word != Word::up || link.reach != AttemptProgress::written) {
    if (may_log()) {
      spdlog::warn("a host answered nonsense: {}", link.first.substr(0, std::min<std::size_t>(end, 80)));
    }
    return end_try(ticket, link, TerminationReason::malformed_answer);
  }
  loop_.cancel(link.deadline);
  link.phase = Phase::relaying;
  link.reach = AttemptProgress::established;
  link.flowed = loop_.now();
  ++counters_.up;
  ++counters_.honoured;
  link.client.out = std::exchange(link.first, {});
  link.whole = end + 1;
  link.opening.line = {};  // no further try
  link.host.in_ended = ended;
  if (ended) {
    set_linger(ticket);
  }
  callbacks_.established(ticket);
  if (!links_.find(ticket) || link.phase != Phase::relaying) {
    return;
  }
  from_host(ticket, link, end + 1);
  if (link.phase == Phase::relaying) {
    settle(ticket, link);
  }
}

void ConnectionTable::drop_host(ProxiedConnection& link) {
  loop_.unwatch(link.host.watched);
  link.host = Peer();
}

void ConnectionTable::end_try(Handle ticket, ProxiedConnection& link, TerminationReason cause) {
  if (!link.try_out) {
    return;
  }
  link.try_out = false;
  loop_.cancel(link.deadline);
  drop_host(link);
  callbacks_.attempt_ended(ticket, {link.reach, cause});
}

void ConnectionTable::cancel(Handle ticket) {
  ProxiedConnection* link = links_.find(ticket);
  if (link && link->phase == Phase::waiting) {
    end_try(ticket, *link, TerminationReason::cancelled);
  }
}

void ConnectionTable::from_client(ProxiedConnection& link, std::size_t from) {
  counters_.bytes_to_hosts += link.host.out.size() - from;
  link.flowed = loop_.now();
  if (link.asked_at == 0 && link.host.out.find('\n', from) != std::string::npos) {
    link.asked_at = loop_.now();
  }
}

void ConnectionTable::from_host(Handle ticket, ProxiedConnection& link, std::size_t from) {
  counters_.bytes_to_clients += link.client.out.size() - from;
  link.flowed = loop_.now();
  for (std::size_t at = from; at < link.client.out.size(); ++at) {
    const char byte = link.client.out[at];
    if (link.head.size() < kHeadKept) {
      link.head += byte;
    }
    if (byte != '\n') {
      continue;
    }
    link.whole = at + 1;
    link.within_line = false;
    host_line(ticket, link);
    link.head.clear();
    if (link.moves) {
      return move(ticket);
    }
  }
}

void ConnectionTable::host_line(Handle ticket, ProxiedConnection& link) {
  link.last = word_of(link.head);
  if (link.last == Word::load) {
    return callbacks_.load_reported(ticket, load_of(link.head));
  }
  if (link.last == Word::bye || link.last == Word::move || link.asked_at == 0) {
    return;
  }
  callbacks_.line_answered(ticket, loop_.now() - std::exchange(link.asked_at, 0));
}

// A client is sent whole lines, so that MOVE can always stand between two, but for lines longer than the
// protocol's and for what comes before an end.
std::size_t ConnectionTable::may_go(const ProxiedConnection& link) {
  const std::size_t all = link.client.out.size();
  const bool long_one = all - link.whole >= kLongestLine || (link.within_line && link.whole == 0);
  return link.host.in_ended || long_one ? all : link.whole;
}

// Sends what may go to a side; false when that side is broken.
bool ConnectionTable::flush(ProxiedConnection& link, Peer& side, const Peer& other) {
  const bool to_client = &side == &link.client;
  const std::size_t may = to_client ? may_go(link) : side.out.size();
  if (may > 0) {
    const auto given = side.socket.send(side.out.data(), may);
    if (!given) {
      return false;
    }
    if (to_client && *given > 0) {
      link.within_line = side.out[*given - 1] != '\n' && *given >= link.whole;
      link.whole -= std::min(link.whole, *given);
    }
    side.out.erase(0, *given);
    if (side.out.empty()) {
      side.out.shrink_to_fit();
    }
  }
  if (other.in_ended && side.out.empty() && !side.out_ended) {
    side.out_ended = true;  // a FIN is passed on as one
    side.socket.finish();
  }
  return true;
}

void ConnectionTable::settle(Handle ticket, ProxiedConnection& link) {
  if (!flush(link, link.host, link.client)) {
    return host_broke(ticket, link);
  }
  if (!flush(link, link.client, link.host)) {
    link.client_first = link.client_first || !link.host.in_ended;
    return broke(ticket, link, link.host);
  }
  if (link.client.out_ended && link.host.out_ended) {
    return finished(ticket, link);
  }
  const auto events = [](const Peer& side, const Peer& other, bool sends) {
    return static_cast<short>((!side.in_ended && other.out.size() < kBuffer ? POLLIN : 0) |
                              (sends ? POLLOUT : 0));
  };
  loop_.want(link.client.watched, events(link.client, link.host, may_go(link) > 0));
  loop_.want(link.host.watched, events(link.host, link.client, !link.host.out.empty()));
}

// Danger: a host that cannot be reached any more may live and answer others; a client that is cut off without
// MOVE would not come again. What a host has reset it has ended, and the client's side ends alike.
void ConnectionTable::host_broke(Handle ticket, ProxiedConnection& link) {
  if (!is_way_broken(errno) || link.client.out_ended) {
    return broke(ticket, link, link.client);
  }
  end_try(ticket, link, TerminationReason::connection_broken);
  move(ticket);
}

// One side broke: the other gets what it is owed, then a reset.
void ConnectionTable::broke(Handle ticket, ProxiedConnection& link, Peer& other) {
  other.socket.send_whole(other.out);
  other.socket.abort();
  finished(ticket, link);
}

void ConnectionTable::finished(Handle ticket, ProxiedConnection& link) {
  const TerminationReason cause = link.last == Word::bye    ? TerminationReason::completed
                                  : link.last == Word::move ? TerminationReason::migrated
                                  : link.client_first       ? TerminationReason::client_gone
                                  : link.host.in_ended      ? TerminationReason::closed
                                                            : TerminationReason::connection_broken;
  end_try(ticket, link, cause);
  drop(ticket);
}

void ConnectionTable::set_linger(Handle ticket) {
  ProxiedConnection* link = links_.find(ticket);
  if (!link || link->deadline.number != 0) {
    return;
  }
  loop_.at(link->deadline, loop_.now() + (link->host.in_ended ? kHostEnded : kLinger), [this, ticket] {
    ProxiedConnection* held = links_.find(ticket);
    if (!held) {
      return;
    }
    held->deadline = {};
    if (!held->host.in_ended && loop_.now() - held->flowed < kLinger) {
      return set_linger(ticket);
    }
    finished(ticket, *held);  // danger: half-closed connections that nobody ends take all descriptors
  });
}

void ConnectionTable::answer(Handle ticket, const std::string& line) {
  ProxiedConnection* link = links_.find(ticket);
  if (!link || link->phase != Phase::waiting) {
    return;
  }
  end_try(ticket, *link, TerminationReason::cancelled);
  close_after(ticket, *link, line);
}

std::size_t ConnectionTable::busy() {
  std::size_t count = 0;
  links_.each([&](Handle, const ProxiedConnection& link) {
    count += link.phase != Phase::greeting || !link.early.empty();
  });
  return count;
}

bool ConnectionTable::accept_pending() {
  const auto before = counters_.accepted;
  accept_all();
  return counters_.accepted != before || accept_failing_since_ != 0;
}

void ConnectionTable::shorten_attempts(Tenths until) {
  links_.each([&](Handle ticket, ProxiedConnection& link) {
    if (!link.try_out || link.phase != Phase::waiting || link.try_until <= until) {
      return;
    }
    link.try_until = until;
    times_out(ticket, link, std::min(link.deadline.when, until));
  });
}

void ConnectionTable::move(Handle ticket) {
  ProxiedConnection* link = links_.find(ticket);
  if (link && link->phase == Phase::waiting) {  // it stood before this node started and is not up again yet
    link->try_out = false;
    return close_after(ticket, *link, "MOVE\r\n");
  }
  if (!link || link->phase != Phase::relaying) {
    return;
  }
  if (link->within_line && !link->moves) {  // danger: MOVE amid a line is no MOVE; its end is waited for
    link->moves = true;
    return loop_.at(link->deadline, loop_.now() + kClosingTime, [this, ticket] { drop(ticket); });
  }
  link->try_out = false;
  link->client.out.resize(link->whole);
  close_after(ticket, *link, link->client.out_ended ? "" : "MOVE\r\n");
}

// Danger: closing at once would reset the connection when bytes lie unread, and the answer would be lost.
void ConnectionTable::close_after(Handle ticket, ProxiedConnection& link, const std::string& line) {
  link.phase = Phase::closing;
  std::erase(silent_, ticket);
  drop_host(link);
  link.early = {};
  link.opening.line = {};
  link.client.out += line;
  loop_.at(link.deadline, loop_.now() + kClosingTime, [this, ticket] { drop(ticket); });
  flush_closing(ticket, link);
}

void ConnectionTable::flush_closing(Handle ticket, ProxiedConnection& link) {
  Peer& client = link.client;
  if (!client.out.empty()) {
    const auto given = client.socket.send(client.out.data(), client.out.size());
    if (!given) {
      return drop(ticket);
    }
    client.out.erase(0, *given);
  }
  if (client.out.empty() && !client.out_ended) {
    client.out_ended = true;
    client.socket.finish();
  }
  if (client.out.empty() && client.in_ended) {
    return drop(ticket);
  }
  loop_.want(client.watched, client.out.empty() ? POLLIN : POLLIN | POLLOUT);
}

void ConnectionTable::drop(Handle ticket) {
  ProxiedConnection* link = links_.find(ticket);
  if (!link) {
    return;
  }
  loop_.cancel(link->deadline);
  loop_.unwatch(link->client.watched);
  loop_.unwatch(link->host.watched);
  std::erase(silent_, ticket);
  if (ids_.erase(link->opening.id) > 0) {
    ended_.push_back(std::move(link->opening.id));
  }
  if (ended_.size() > kIdsKept) {
    ended_.pop_front();
  }
  links_.drop(ticket);
}

}  // namespace dapplewharf
