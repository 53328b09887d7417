#include "node/health_checker.h"

#include "policy/notes.h"
#include "wire/lines.h"

namespace dapplewharf {
namespace {

const std::string kPing = "PING\r\n";
constexpr Tenths kProbeSlack = 50 * kMs;  // over the time to connect, for a probe's answer

}  // namespace

HealthChecker::HealthChecker(EventLoop& loop, Counters& counters, const Limits& limits, Told told)
    : loop_(loop), counters_(counters), limits_(limits), told_(std::move(told)) {}

void HealthChecker::probe(const std::string& host, const std::string& address) {
  Line& line = lines_[host];
  if (line.out) {
    return;
  }
  ++counters_.health_checks;
  line.out = true;
  line.since = loop_.now();
  line.sent = 0;
  line.in.clear();
  loop_.at(line.deadline, loop_.now() + limits_.connect_time + kProbeSlack, [this, host] {
    const auto found = lines_.find(host);
    if (found != lines_.end()) {
      over(host, found->second, TerminationReason::timed_out, false);
    }
  });
  if (line.address != address) {  // it moved
    loop_.unwatch(line.watched);
    line.socket.close();
    line.address = address;
  }
  line.stale = static_cast<bool>(line.socket);
  if (!line.socket) {
    return dial_out(host, line);
  }
  loop_.want(line.watched, POLLIN | POLLOUT);
}

// Danger: connections kept to machines that are gone without a word would add up.
void HealthChecker::forget(const std::string& host) {
  const auto found = lines_.find(host);
  if (found == lines_.end()) {
    return;
  }
  over(host, found->second, TerminationReason::cancelled, false);
  lines_.erase(host);
}

void HealthChecker::dial_out(const std::string& host, Line& line) {
  line.reach = AttemptProgress::not_connected;
  line.stale = false;
  line.sent = 0;
  const auto to = address_of(line.address);
  const Dial dialled = to ? dial(*to, limits_.descriptors, kProbesLeave, line.socket) : Dial::refused;
  if (dialled != Dial::begun) {
    return over(host, line,
                dialled == Dial::refused         ? TerminationReason::connection_broken
                : dialled == Dial::no_descriptor ? TerminationReason::no_descriptor
                                                 : TerminationReason::local_failure,
                false);
  }
  line.watched = loop_.watch(line.socket.number(), POLLOUT, [this, host](short) { ready(host); });
}

void HealthChecker::ready(const std::string& host) {
  const auto found = lines_.find(host);
  if (found == lines_.end() || !found->second.socket) {
    return;
  }
  Line& line = found->second;
  if (line.reach == AttemptProgress::not_connected) {
    if (!line.socket.connected()) {
      return over(host, line, TerminationReason::connection_broken, false);
    }
    line.reach = AttemptProgress::partly_written;
  }
  bool ended = false;
  auto got = line.socket.receive(line.in, kLongestLine, ended);
  if (line.out && line.sent < kPing.size() && got && !ended) {
    const auto given = line.socket.send(kPing.data() + line.sent, kPing.size() - line.sent);
    if (given) {
      line.sent += *given;
    } else {
      got = std::nullopt;
    }
    if (line.sent == kPing.size()) {
      line.reach = AttemptProgress::written, line.written = loop_.now();
    }
  }
  if (!got || ended) {
    if (line.out && line.stale && line.in.empty()) {  // a kept connection had ended meanwhile
      loop_.unwatch(line.watched);
      line.socket.close();
      return dial_out(host, line);
    }
    return over(host, line, ended ? TerminationReason::closed : TerminationReason::connection_broken, false);
  }
  loop_.want(line.watched, line.out && line.sent < kPing.size() ? POLLIN | POLLOUT : POLLIN);
  const std::size_t end = line.in.find('\n');
  if (end == std::string::npos) {
    if (line.in.size() > kLongestLine) {
      over(host, line, TerminationReason::malformed_answer, false);
    }
    return;
  }
  const Word word = word_of(std::string_view(line.in).substr(0, end + 1));
  line.in.erase(0, end + 1);
  const TerminationReason cause = word == Word::pong    ? TerminationReason::completed
                                  : word == Word::error ? TerminationReason::error
                                  : word == Word::busy  ? TerminationReason::busy
                                                        : TerminationReason::malformed_answer;
  over(host, line, cause, cause == TerminationReason::completed || cause == TerminationReason::error);
}

void HealthChecker::over(const std::string& host, Line& line, TerminationReason cause, bool keep) {
  Probed probed{{line.reach, cause}, loop_.now() - line.since, 0};
  // Danger: an error comes at once, whatever waits there; as the least time it makes a sound host look slow.
  if (cause == TerminationReason::completed) {
    probed.answer_after = loop_.now() - line.written;
  }
  const bool told = std::exchange(line.out, false);
  loop_.cancel(line.deadline);
  if (!keep) {
    loop_.unwatch(line.watched);
    line.socket.close();
    line.reach = AttemptProgress::not_connected;
  }
  if (told) {
    told_(host, probed);
  }
}

}  // namespace dapplewharf
