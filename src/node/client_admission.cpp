// Reading of request lines before a host is chosen, and the queue of silent clients. Design: docs/design.md.
#include "node/client_admission.h"

#include <algorithm>

namespace dapplewharf {
namespace {

constexpr int kSilentShare = 8;                     // one part in so many of the descriptors
constexpr Duration kLineArrivesWithin = 200 * kMs;  // after the connection, from an ordinary client
constexpr int kPingsPerTurn = 4;                    // more in one turn are a flood
constexpr std::size_t kClosedIdsKept = 4096;

}  // namespace

ClientMessage ClientAdmission::next_message(std::string& prefix, int pings) {
  const std::size_t end = prefix.find('\n');
  const bool complete = end != std::string::npos;
  const bool too_long = complete ? end >= kMaxLineBytes : prefix.size() >= kMaxLineBytes;
  if (too_long) {
    return MalformedRequest{"too long"};
  }
  if (!complete) {
    return IncompleteLine{};
  }
  const std::string line = prefix.substr(0, end + 1);
  if (line == "PING\r\n" && pings < kPingsPerTurn) {
    prefix.erase(0, end + 1);
    return Ping{};
  }
  ParsedRequestLine opened = parse_request_line(line, schema_);
  if (!opened.request_line) {
    return MalformedRequest{opened.error};
  }
  // Hosts reject a request whose id is open already, and would then look unhealthy. Ids are new with every
  // connection, so one that was open lately is refused as well.
  if (is_taken(opened.request_line->id)) {
    return MalformedRequest{"an id that is taken"};
  }
  if (end + 1 < prefix.size()) {
    return MalformedRequest{"more behind it"};
  }
  open_ids_.insert(opened.request_line->id);
  return std::move(*opened.request_line);
}

bool ClientAdmission::is_taken(const std::string& id) const {
  return open_ids_.count(id) > 0 ||
         std::find(closed_ids_.begin(), closed_ids_.end(), id) != closed_ids_.end();
}

void ClientAdmission::release(const std::string& id) {
  if (open_ids_.erase(id) > 0) {
    closed_ids_.push_back(id);
  }
  if (closed_ids_.size() > kClosedIdsKept) {
    closed_ids_.pop_front();
  }
}

void ClientAdmission::add_silent(Handle client, TimePoint now) {
  silent_.push_back({client, now});
}

void ClientAdmission::remove_silent(Handle client) {
  std::erase_if(silent_, [client](const SilentClient& silent) { return silent.handle == client; });
}

std::optional<Handle> ClientAdmission::longest_silent() const {
  return silent_.empty() ? std::nullopt : std::optional(silent_.front().handle);
}

bool ClientAdmission::silent_clients_exceed_share(TimePoint now) const {
  if (silent_.size() < static_cast<std::size_t>(limits_.descriptors / kSilentShare)) {
    return false;
  }
  return now - silent_.front().since >= kLineArrivesWithin;
}

}  // namespace dapplewharf
