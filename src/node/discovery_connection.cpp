// The steps of a call: connect, send, receive. Design: docs/design.md.
#include "node/discovery_connection.h"

#include <spdlog/spdlog.h>

#include "wire/http.h"

namespace dapplewharf {
namespace {

constexpr std::size_t kReadBytes = std::size_t{64} * 1024;
constexpr int kHttpOk = 200;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpServiceUnavailable = 503;

DiscoveryCallEnd end_of_refused_call(const HttpResponse& answer) {
  const bool is_overloaded =
      answer.state != HttpResponse::State::malformed &&
      (answer.status == kHttpTooManyRequests || answer.status == kHttpServiceUnavailable);
  return is_overloaded ? DiscoveryCallEnd::overloaded : DiscoveryCallEnd::refused;
}

}  // namespace

const char* name_of(DiscoveryCallEnd end) {
  switch (end) {
    case DiscoveryCallEnd::connection_broken:
      return "connection_broken";
    case DiscoveryCallEnd::idle_closed:
      return "idle_closed";
    case DiscoveryCallEnd::local_failure:
      return "local_failure";
    case DiscoveryCallEnd::overloaded:
      return "overloaded";
    case DiscoveryCallEnd::refused:
      return "refused";
    case DiscoveryCallEnd::overdue:
      return "overdue";
  }
  return "unknown";
}

void DiscoveryConnection::call(const std::string& address, const std::string& target,
                               Duration request_delay) {
  address_ = address;
  request_delay_ = request_delay;
  request_ = format_get_request(address, target);
  is_call_in_progress_ = true;
  is_reused_ = static_cast<bool>(socket_);
  sent_ = 0;
  received_.clear();
  if (!socket_) {
    return connect();
  }
  loop_.update_interest(socket_watch_, POLLIN | POLLOUT);
  on_ready();
}

void DiscoveryConnection::repeat_call() {
  close();
  is_call_in_progress_ = true;
  is_reused_ = false;
  connect();
}

void DiscoveryConnection::close() {
  loop_.cancel(failure_deadline_);
  loop_.cancel(request_deadline_);
  is_request_delayed_ = false;
  loop_.unwatch(socket_watch_);
  socket_.close();
  is_connected_ = false;
  is_call_in_progress_ = false;
}

void DiscoveryConnection::connect() {
  const auto address = parse_address(address_);
  is_connected_ = false;
  sent_ = 0;
  received_.clear();
  const ConnectStart start =
      address ? start_connecting(*address, limits_.descriptors, kReservedFromDiscovery, socket_)
              : ConnectStart::refused;
  if (start != ConnectStart::in_progress) {
    const DiscoveryCallEnd end = start == ConnectStart::refused ? DiscoveryCallEnd::connection_broken
                                                                : DiscoveryCallEnd::local_failure;
    // Reported asynchronously, so that the owner is not called back while it is still executing.
    return loop_.schedule(failure_deadline_, loop_.now(), [this, end] { end_call(end); });
  }
  socket_watch_ = loop_.watch(socket_.descriptor(), POLLOUT, [this](short) { on_ready(); });
}

void DiscoveryConnection::on_connected() {
  is_connected_ = true;
  is_request_delayed_ = request_delay_ > 0;
  if (is_request_delayed_) {
    loop_.schedule(request_deadline_, loop_.now() + request_delay_, [this] {
      is_request_delayed_ = false;
      on_ready();
    });
  }
}

void DiscoveryConnection::on_ready() {
  if (!is_connected_) {
    if (!socket_.is_connected()) {
      return end_call(DiscoveryCallEnd::connection_broken);
    }
    on_connected();
  }
  if (!send_request()) {
    return end_call(is_reused_ ? DiscoveryCallEnd::idle_closed : DiscoveryCallEnd::connection_broken);
  }
  const bool is_sending = is_call_in_progress_ && !is_request_delayed_ && sent_ < request_.size();
  loop_.update_interest(socket_watch_, is_sending ? POLLIN | POLLOUT : POLLIN);
  receive_answer();
}

// Returns false if the connection is broken.
bool DiscoveryConnection::send_request() {
  if (!is_call_in_progress_ || is_request_delayed_ || sent_ >= request_.size()) {
    return true;
  }
  const auto sent = socket_.send(request_.data() + sent_, request_.size() - sent_);
  sent_ += sent.value_or(0);
  return sent.has_value();
}

void DiscoveryConnection::receive_answer() {
  bool closed = false;
  const auto received = socket_.receive(received_, kReadBytes, closed);
  const bool is_broken = !received || (closed && received_.empty());
  if (!is_call_in_progress_) {
    if (is_broken || closed || *received > 0) {
      close();  // unexpected data, or closed by discovery
    }
    return;
  }
  if (is_broken) {
    const bool may_have_been_idle = is_reused_ && received_.empty();
    return end_call(may_have_been_idle ? DiscoveryCallEnd::idle_closed : DiscoveryCallEnd::connection_broken);
  }
  if (*received == 0 && !closed) {
    return;
  }
  const HttpResponse answer = parse_response(received_, closed, limits_.max_list_bytes);
  if (answer.state == HttpResponse::State::incomplete) {
    return;
  }
  if (answer.state == HttpResponse::State::malformed || answer.status != kHttpOk) {
    spdlog::warn("endpoint_list_refused http={} status={}", answer.state != HttpResponse::State::malformed,
                 answer.status);
    return end_call(end_of_refused_call(answer));
  }
  is_call_in_progress_ = false;
  if (answer.closes_connection || closed) {
    close();
  }
  owner_.on_call_answered(*this, answer.body);
}

void DiscoveryConnection::end_call(DiscoveryCallEnd end) {
  is_call_in_progress_ = false;
  owner_.on_call_ended(*this, end);
}

}  // namespace dapplewharf
