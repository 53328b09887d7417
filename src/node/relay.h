// Clients' connections, each with at most one connection to a host: sockets, bounded buffers and the bytes
// both ways, unchanged but for `d` of the first line. Owns both sockets of a link and the link's one
// deadline. Tells the node what happened and does what it is told; never chooses a host, a further try or an
// answer.
#pragma once
#include <deque>

#include "base/counters.h"
#include "base/loop.h"
#include "base/socket.h"
#include "wire/lines.h"

namespace dapplewharf {

// How far a setup try had come, and what ended it.
enum class Reach { not_connected, partly_written, written, up };
enum class Cause {
  no_descriptor,
  local_failure,  // this machine could not connect for now
  time_out,
  broken,  // refused, reset
  closed,  // an orderly end without a word
  busy,    // the host's words
  error,
  nonsense,
  bye,
  move,
  client,     // the client went first
  withdrawn,  // by the last look, before its first byte
  cancelled,  // by this node
};
struct TryEnd {
  Reach reach = Reach::not_connected;
  Cause cause = Cause::broken;
};

class Relay {
 public:
  struct Callbacks {
    std::function<void(Ticket, const Opening&)> request_opened;
    std::function<void(Ticket)> client_left;  // before it had its answer
    std::function<void(Ticket)> established;
    std::function<void(Ticket, TryEnd)> attempt_ended;  // once for each try
    std::function<bool(Ticket)> may_send;               // whether what allowed its try still holds
    std::function<void(Ticket, Tenths)> line_answered;
    std::function<void(Ticket, double)> load_reported;
  };
  Relay(Loop& loop, Counters& counters, const Limits& limits, const Grammar& grammar, Callbacks callbacks);

  std::optional<std::string> listen(const sockaddr_in& at);
  void begin_attempt(Ticket ticket, const std::optional<sockaddr_in>& address, Tenths time_out,
                     Tenths connect_time = 0);
  void cancel(Ticket ticket);
  void answer(Ticket ticket, const std::string& line);  // the final one; nothing follows it
  void move(Ticket ticket);
  std::size_t open() const { return links_.size(); }
  std::size_t busy();  // those of clients that have said what they want, or begun to
  // Takes in who waits at the door; whether there was anybody, or may be: accept failed.
  bool accept_pending();
  void shorten_attempts(Tenths until);  // tries that are out last no longer
  // How long each standing connection's client has waited for a line; 0: it does not.
  template <class Visit>
  void each_standing(Visit visit) {
    links_.each([&](Ticket ticket, const Link& link) {
      if (link.phase == Phase::relaying) {
        visit(ticket, link.asked_at == 0 ? 0 : loop_.now() - link.asked_at);
      }
    });
  }

 private:
  enum class Phase { greeting, waiting, relaying, closing };
  struct Side {
    Socket socket;
    Ticket watched;
    std::string out;        // bytes that are to go there
    bool in_ended = false;  // it sends no more
    bool out_ended = false;
  };
  struct Link {
    Phase phase = Phase::greeting;
    Side client, host;
    Loop::Deadline deadline;
    Tenths silent_since = 0;
    std::string early;  // what the client sent, up to its first line
    Opening opening;
    bool try_out = false;
    Reach reach = Reach::not_connected;
    Tenths try_until = 0;
    std::string first;         // the host's first line, as far as it has come
    Tenths asked_at = 0;       // when the client's first line since the host's last one came; 0: none has
    std::string head;          // the start of the host's line that is coming
    Word last = Word::other;   // what the host's last whole line was
    std::size_t whole = 0;     // bytes of client.out up to the end of a line
    bool within_line = false;  // the client has the start of a line whose end has not come
    bool moves = false;        // to be moved at the end of that line
    bool client_first = false;
    Tenths flowed = 0;       // when bytes last came
    std::size_t poured = 0;  // what came while it is told to go
  };

  void accept_all();
  bool crowded();
  void evict_one();
  void refuse(Ticket ticket, Link& link, const std::string& fault);
  bool may_log();
  void turn_away(const Socket& taken);
  void accept_later(int error);
  bool turn_away_one();  // whether there was anybody
  void client_ready(Ticket ticket);
  void host_ready(Ticket ticket);
  static std::optional<std::size_t> take(const Side& from, std::string& to, bool& ended);
  void greet(Ticket ticket, Link& link);
  void greeting_ends(Ticket ticket, Link& link, Tenths after);
  Link* attempt_with_client(Ticket ticket);  // the link of a try that is out; null when its client has gone
  void dial_host(Ticket ticket, const sockaddr_in& address, Tenths connect_until);
  bool may_still_send(Ticket ticket);       // false when the try is over
  bool deliver(Ticket ticket, Link& link);  // the try's line; false when the try is over
  void await_up(Ticket ticket, Link& link);
  void times_out(Ticket ticket, Link& link, Tenths when);
  void end_try(Ticket ticket, Link& link, Cause cause);
  void drop_host(Link& link);
  void from_client(Link& link, std::size_t from);
  void from_host(Ticket ticket, Link& link, std::size_t from);
  void host_line(Ticket ticket, Link& link);
  void settle(Ticket ticket, Link& link);
  static std::size_t may_go(const Link& link);  // to the client
  bool flush(Link& link, Side& side, const Side& other);
  void host_broke(Ticket ticket, Link& link);
  void broke(Ticket ticket, Link& link, Side& other);
  void finished(Ticket ticket, Link& link);
  void set_linger(Ticket ticket);
  void close_after(Ticket ticket, Link& link, const std::string& line);
  void flush_closing(Ticket ticket, Link& link);
  void drop(Ticket ticket);
  void guarded(Ticket ticket, void (Relay::*what)(Ticket));

  Loop& loop_;
  Counters& counters_;
  const Limits& limits_;
  const Grammar& grammar_;
  Callbacks callbacks_;
  Socket listener_, spare_;
  Ticket listening_;
  Loop::Deadline accept_again_;
  Tenths accept_failing_since_ = 0;  // 0: it does not
  Slots<Link> links_;
  std::deque<Ticket> silent_;      // those that have not said what they want, the longest silent first
  std::set<std::string> ids_;      // of clients that are held
  std::deque<std::string> ended_;  // and of the last ones that were
  Tenths logged_at_ = 0;           // bad clients' lines in the log, of one second
  int logged_ = 0;
};

}  // namespace dapplewharf
