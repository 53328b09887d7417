// Parsing of request lines, and the queue of silent clients. Design: docs/design.md.
#include "node/client_admission.h"

#include <algorithm>

namespace dapplewharf {
namespace {

constexpr int kSilentClientShare = 8;  // silent clients may hold one in eight of the descriptors
constexpr Duration kMaxRequestLineDelay = 200 * kMs;  // until an ordinary client's request line has arrived
constexpr int kPingsPerTurn = 4;  // of one client; more are treated as a malformed request
constexpr std::size_t kMaxClosedIds = 4096;

}  // namespace

ClientMessage ClientAdmission::next_message(std::string& prefix, int pings) {
  const std::size_t end = prefix.find('\n');
  const bool is_complete = end != std::string::npos;
  const bool is_too_long = is_complete ? end >= kMaxLineBytes : prefix.size() >= kMaxLineBytes;
  if (is_too_long) {
    return MalformedRequest{"line too long"};
  }
  if (!is_complete) {
    return IncompleteLine{};
  }
  const std::string line = prefix.substr(0, end + 1);
  if (line == "PING\r\n" && pings < kPingsPerTurn) {
    prefix.erase(0, end + 1);
    return Ping{};
  }
  ParsedRequestLine parsed = parse_request_line(line, schema_);
  if (!parsed.request_line) {
    return MalformedRequest{parsed.error};
  }
  // A host rejects a request whose id is already open, and its endpoint would then appear unhealthy. Clients
  // use a new id for each connection, so recently closed ids are rejected as well.
  if (is_id_in_use(parsed.request_line->id)) {
    return MalformedRequest{"id already in use"};
  }
  if (end + 1 < prefix.size()) {
    return MalformedRequest{"data after the request line"};
  }
  open_ids_.insert(parsed.request_line->id);
  return std::move(*parsed.request_line);
}

bool ClientAdmission::is_id_in_use(const std::string& id) const {
  return open_ids_.count(id) > 0 ||
         std::find(closed_ids_.begin(), closed_ids_.end(), id) != closed_ids_.end();
}

void ClientAdmission::release(const std::string& id) {
  if (open_ids_.erase(id) > 0) {
    closed_ids_.push_back(id);
  }
  if (closed_ids_.size() > kMaxClosedIds) {
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
  if (silent_.size() < static_cast<std::size_t>(limits_.descriptors / kSilentClientShare)) {
    return false;
  }
  return now - silent_.front().since >= kMaxRequestLineDelay;
}

}  // namespace dapplewharf
