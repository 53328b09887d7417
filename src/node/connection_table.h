// Clients' connections, each with at most one connection to a host: sockets, bounded buffers and the bytes
// both ways, unchanged but for `d` of the first line. Owns both sockets of a link and the link's one
// deadline. Tells the node what happened and does what it is told; never chooses a host, a further try or an
// answer.
#pragma once
#include <deque>

#include "base/counters.h"
#include "base/event_loop.h"
#include "base/socket.h"
#include "node/attempt_result.h"
#include "wire/lines.h"

namespace dapplewharf {

class ConnectionTable {
 public:
  struct Callbacks {
    std::function<void(Handle, const RequestLine&)> request_opened;
    std::function<void(Handle)> client_left;  // before it had its answer
    std::function<void(Handle)> established;
    std::function<void(Handle, AttemptResult)> attempt_ended;  // once for each try
    std::function<bool(Handle)> may_send;                      // whether what allowed its try still holds
    std::function<void(Handle, Tenths)> line_answered;
    std::function<void(Handle, double)> load_reported;
  };
  ConnectionTable(EventLoop& loop, Counters& counters, const Limits& limits, const RequestSchema& grammar,
                  Callbacks callbacks);

  std::optional<std::string> listen(const sockaddr_in& at);
  void begin_attempt(Handle ticket, const std::optional<sockaddr_in>& address, Tenths time_out,
                     Tenths connect_time = 0);
  void cancel(Handle ticket);
  void answer(Handle ticket, const std::string& line);  // the final one; nothing follows it
  void move(Handle ticket);
  std::size_t open() const { return links_.size(); }
  std::size_t busy();  // those of clients that have said what they want, or begun to
  // Takes in who waits at the door; whether there was anybody, or may be: accept failed.
  bool accept_pending();
  void shorten_attempts(Tenths until);  // tries that are out last no longer
  // How long each standing connection's client has waited for a line; 0: it does not.
  template <class Visit>
  void each_standing(Visit visit) {
    links_.each([&](Handle ticket, const ProxiedConnection& link) {
      if (link.phase == Phase::relaying) {
        visit(ticket, link.asked_at == 0 ? 0 : loop_.now() - link.asked_at);
      }
    });
  }

 private:
  enum class Phase { greeting, waiting, relaying, closing };
  struct Peer {
    Socket socket;
    Handle watched;
    std::string out;        // bytes that are to go there
    bool in_ended = false;  // it sends no more
    bool out_ended = false;
  };
  struct ProxiedConnection {
    Phase phase = Phase::greeting;
    Peer client, host;
    EventLoop::Deadline deadline;
    Tenths silent_since = 0;
    std::string early;  // what the client sent, up to its first line
    RequestLine opening;
    bool try_out = false;
    AttemptProgress reach = AttemptProgress::not_connected;
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
  void refuse(Handle ticket, ProxiedConnection& link, const std::string& fault);
  bool may_log();
  void turn_away(const Socket& taken);
  void accept_later(int error);
  bool turn_away_one();  // whether there was anybody
  void client_ready(Handle ticket);
  void host_ready(Handle ticket);
  static std::optional<std::size_t> take(const Peer& from, std::string& to, bool& ended);
  void greet(Handle ticket, ProxiedConnection& link);
  void greeting_ends(Handle ticket, ProxiedConnection& link, Tenths after);
  ProxiedConnection* attempt_with_client(
      Handle ticket);  // the link of a try that is out; null when its client has gone
  void dial_host(Handle ticket, const sockaddr_in& address, Tenths connect_until);
  bool may_still_send(Handle ticket);                    // false when the try is over
  bool deliver(Handle ticket, ProxiedConnection& link);  // the try's line; false when the try is over
  void await_up(Handle ticket, ProxiedConnection& link);
  void times_out(Handle ticket, ProxiedConnection& link, Tenths when);
  void end_try(Handle ticket, ProxiedConnection& link, TerminationReason cause);
  void drop_host(ProxiedConnection& link);
  void from_client(ProxiedConnection& link, std::size_t from);
  void from_host(Handle ticket, ProxiedConnection& link, std::size_t from);
  void host_line(Handle ticket, ProxiedConnection& link);
  void settle(Handle ticket, ProxiedConnection& link);
  static std::size_t may_go(const ProxiedConnection& link);  // to the client
  bool flush(ProxiedConnection& link, Peer& side, const Peer& other);
  void host_broke(Handle ticket, ProxiedConnection& link);
  void broke(Handle ticket, ProxiedConnection& link, Peer& other);
  void finished(Handle ticket, ProxiedConnection& link);
  void set_linger(Handle ticket);
  void close_after(Handle ticket, ProxiedConnection& link, const std::string& line);
  void flush_closing(Handle ticket, ProxiedConnection& link);
  void drop(Handle ticket);
  void guarded(Handle ticket, void (ConnectionTable::*what)(Handle));

  EventLoop& loop_;
  Counters& counters_;
  const Limits& limits_;
  const RequestSchema& grammar_;
  Callbacks callbacks_;
  Socket listener_, spare_;
  Handle listening_;
  EventLoop::Deadline accept_again_;
  Tenths accept_failing_since_ = 0;  // 0: it does not
  SlotMap<ProxiedConnection> links_;
  std::deque<Handle> silent_;      // those that have not said what they want, the longest silent first
  std::set<std::string> ids_;      // of clients that are held
  std::deque<std::string> ended_;  // and of the last ones that were
  Tenths logged_at_ = 0;           // bad clients' lines in the log, of one second
  int logged_ = 0;
};

}  // namespace dapplewharf
