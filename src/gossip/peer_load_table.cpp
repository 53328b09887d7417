// The messages and estimates of the peer load table.
#include "gossip/peer_load_table.h"

#include <algorithm>
#include <utility>

namespace dapplewharf {
namespace {

constexpr int kVersion = 1;
constexpr Duration kMaxMessageAge = 6 * kSecond;
constexpr Duration kMaxClockLead = 2 * kSecond;  // of a sender's clock over this node's
constexpr Duration kMinIntervalAfterChange = 200 * kMs;
constexpr Duration kMeanInterval = 2 * kSecond;
constexpr int kMaxRecipientsAfterChange = 12;
constexpr int kMaxRecipients = 3;
constexpr int kMinNodesHeard = 8;  // an estimate from fewer nodes would be too random
constexpr int kMaxCount = 255;     // a count has one byte
constexpr std::size_t kMaxMessageBytes = 255;
constexpr std::size_t kHeaderBytes = 3;
constexpr std::size_t kEntryBytes = 3;
constexpr std::size_t kMaxEntries = (kMaxMessageBytes - kHeaderBytes) / kEntryBytes;
constexpr Duration kTimestampStep = 100 * kMs;
constexpr std::int64_t kTimestampCount = 65536;  // two bytes; then the time stamps wrap around

std::uint16_t endpoint_hash(const std::string& endpoint) {
  return static_cast<std::uint16_t>(hash(endpoint) >> 48);
}

void append_byte(std::string& out, int byte) {
  out += static_cast<char>(byte);
}

void append_two_bytes(std::string& out, int value) {
  append_byte(out, value & 255);
  append_byte(out, value >> 8);
}

int byte_at(std::string_view bytes, std::size_t offset) {
  return static_cast<unsigned char>(bytes[offset]);
}

int two_bytes_at(std::string_view bytes, std::size_t offset) {
  return byte_at(bytes, offset) + byte_at(bytes, offset + 1) * 256;
}

}  // namespace

std::vector<int> PeerLoadTable::choose_recipients(TimePoint now, const Counts& counts) {
  const bool changed = counts != last_sent_;
  const TimePoint due = changed ? std::min(next_send_after_change_, next_send_) : next_send_;
  if (nodes_ < 2 || now < due) {
    return {};
  }
  std::vector<int> others;
  for (int node = 0; node < nodes_; ++node) {
    if (node != node_index_) {
      others.push_back(node);
    }
  }
  const std::size_t wanted =
      std::min<std::size_t>(others.size(), changed ? kMaxRecipientsAfterChange : kMaxRecipients);
  for (std::size_t i = 0; i < wanted; ++i) {
    std::swap(others[i], others[i + random_.next() % (others.size() - i)]);
  }
  others.resize(wanted);
  last_sent_ = counts;
  next_send_after_change_ = now + kMinIntervalAfterChange;
  // Without the random factor, nodes that start together would all send at the same moments.
  const double interval = static_cast<double>(kMeanInterval) * (0.5 + random_.next_fraction());
  next_send_ = now + static_cast<Duration>(interval);
  return others;
}

std::string PeerLoadTable::encode(const Counts& counts, TimePoint unix_now) {
  std::vector<std::pair<int, std::uint16_t>> entries;
  for (const auto& [endpoint, count] : counts) {
    if (count > 0) {
      entries.emplace_back(std::min(count, kMaxCount), endpoint_hash(endpoint));
    }
  }
  std::sort(entries.rbegin(), entries.rend());
  if (entries.size() > kMaxEntries) {
    entries.resize(kMaxEntries);
  }
  std::string out;
  append_byte(out, kVersion);
  append_two_bytes(out, static_cast<int>(unix_now / kTimestampStep % kTimestampCount));
  for (const auto& [count, endpoint] : entries) {
    append_two_bytes(out, endpoint);
    append_byte(out, count);
  }
  return out;
}

std::optional<TimePoint> PeerLoadTable::sent_time(int timestamp, TimePoint unix_now) {
  const std::int64_t now = unix_now / kTimestampStep;
  std::int64_t age = ((now - timestamp) % kTimestampCount + kTimestampCount) % kTimestampCount;
  if (age >= kTimestampCount - kMaxClockLead / kTimestampStep) {
    age -= kTimestampCount;  // the sender's clock is ahead of this one's
  }
  if (age * kTimestampStep > kMaxMessageAge) {
    return std::nullopt;
  }
  return (now - age) * kTimestampStep;
}

bool PeerLoadTable::receive(int from, std::string_view bytes, TimePoint unix_now) {
  if (from < 0 || from >= nodes_ || from == node_index_) {
    return false;
  }
  const bool well_formed =
      bytes.size() >= kHeaderBytes && bytes.size() <= kMaxMessageBytes && bytes.size() % kEntryBytes == 0;
  if (!well_formed || byte_at(bytes, 0) != kVersion) {
    return false;
  }
  const std::optional<TimePoint> sent_at = sent_time(two_bytes_at(bytes, 1), unix_now);
  if (!sent_at) {
    return false;
  }
  const auto known = latest_.find(from);
  if (known != latest_.end() && known->second.sent_at > *sent_at) {
    return false;
  }
  Message message;
  message.sent_at = *sent_at;
  for (std::size_t i = kHeaderBytes; i < bytes.size(); i += kEntryBytes) {
    message.counts[static_cast<std::uint16_t>(two_bytes_at(bytes, i))] = byte_at(bytes, i + 2);
  }
  latest_[from] = std::move(message);
  return true;
}

std::optional<double> PeerLoadTable::connections_elsewhere(const std::string& endpoint,
                                                           TimePoint unix_now) const {
  int nodes_heard = 0;
  int sum = 0;
  for (const auto& [node, message] : latest_) {
    if (unix_now - message.sent_at > kMaxMessageAge) {
      continue;
    }
    ++nodes_heard;
    const auto found = message.counts.find(endpoint_hash(endpoint));
    if (found != message.counts.end()) {
      sum += found->second;
    }
  }
  if (nodes_heard < std::min(nodes_ - 1, kMinNodesHeard) || nodes_heard == 0) {
    return std::nullopt;
  }
  return static_cast<double>(sum) * (nodes_ - 1) / nodes_heard;
}

}  // namespace dapplewharf
