#include "gossip/peer_load_table.h"

#include <algorithm>

namespace dapplewharf {
namespace {

constexpr unsigned char kVersion = 1;
constexpr Tenths kHolds = 6 * kSecond;       // a word older than this says nothing of now
constexpr Tenths kAhead = 2 * kSecond;       // clocks differ by less
constexpr Tenths kAfterChange = 200 * kMs;   // least time between two words after changes
constexpr Tenths kNowAndThen = 2 * kSecond;  // and without any
constexpr int kMany = 12, kFew = 3;          // told after a change, and now and then
constexpr int kHeardLeast = 8;               // with fewer heard an estimate is chance
constexpr std::size_t kMostHosts = 84;       // that fit into 255 bytes
constexpr Tenths kStamp = 100 * kMs, kStamps = 65536;

std::uint16_t tag(const std::string& host) {
  return static_cast<std::uint16_t>(hash(host) >> 48);
}

}  // namespace

std::vector<int> PeerLoadTable::tell_to(Tenths now, const Counts& counts) {
  const bool changed = counts != told_;
  if (nodes_ < 2 || now < (changed ? std::min(changed_next_, next_) : next_)) {
    return {};
  }
  std::vector<int> others;
  for (int node = 0; node < nodes_; ++node) {
    if (node != me_) {
      others.push_back(node);
    }
  }
  const std::size_t wanted = std::min<std::size_t>(others.size(), changed ? kMany : kFew);
  for (std::size_t i = 0; i < wanted; ++i) {
    std::swap(others[i], others[i + chance_.next() % (others.size() - i)]);
  }
  others.resize(wanted);
  told_ = counts;
  changed_next_ = now + kAfterChange;
  // Danger: nodes that start together would all tell at the same moments.
  next_ = now + static_cast<Tenths>(kNowAndThen * (0.5 + chance_.share()));
  return others;
}

std::string PeerLoadTable::word(const Counts& counts, Tenths unix_now) {
  std::vector<std::pair<int, std::uint16_t>> most;
  for (const auto& [host, count] : counts) {
    if (count > 0) {
      most.emplace_back(std::min(count, 255), tag(host));
    }
  }
  std::sort(most.rbegin(), most.rend());  // beyond what fits the smallest counts are left out
  if (most.size() > kMostHosts) {
    most.resize(kMostHosts);
  }
  const auto stamp = static_cast<std::uint16_t>(unix_now / kStamp % kStamps);
  std::string out;
  for (const int byte : {int{kVersion}, stamp & 255, stamp >> 8}) {
    out += static_cast<char>(byte);
  }
  for (const auto& [count, host] : most) {
    for (const int byte : {host & 255, host >> 8, count}) {
      out += static_cast<char>(byte);
    }
  }
  return out;
}

bool PeerLoadTable::hear(int from, std::string_view bytes, Tenths unix_now) {
  const auto at = [&](std::size_t i) { return static_cast<int>(static_cast<unsigned char>(bytes[i])); };
  if (from < 0 || from >= nodes_ || from == me_) {
    return false;
  }
  if (bytes.size() < 3 || bytes.size() % 3 != 0 || bytes.size() > 255 || at(0) != kVersion) {
    return false;
  }
  const Tenths now = unix_now / kStamp;
  const Tenths stamp = at(1) + at(2) * 256;
  Tenths age = ((now - stamp) % kStamps + kStamps) % kStamps;
  if (age >= kStamps - kAhead / kStamp) {
    age -= kStamps;  // its clock is a little ahead
  }
  if (age * kStamp > kHolds) {
    return false;
  }
  Word word;
  word.at = (now - age) * kStamp;
  const auto known = words_.find(from);
  if (known != words_.end() && known->second.at > word.at) {
    return false;  // overtaken by a later one
  }
  for (std::size_t i = 3; i < bytes.size(); i += 3) {
    word.counts[static_cast<std::uint16_t>(at(i) + at(i + 1) * 256)] = at(i + 2);
  }
  words_[from] = std::move(word);
  return true;
}

std::optional<double> PeerLoadTable::elsewhere(const std::string& host, Tenths unix_now) const {
  int heard = 0;
  int sum = 0;
  for (const auto& [from, word] : words_) {
    if (unix_now - word.at > kHolds) {
      continue;
    }
    ++heard;
    const auto found = word.counts.find(tag(host));
    if (found != word.counts.end()) {
      sum += found->second;
    }
  }
  if (heard < std::min(nodes_ - 1, kHeardLeast) || heard == 0) {
    return std::nullopt;
  }
  return static_cast<double>(sum) * (nodes_ - 1) / heard;
}

}  // namespace dapplewharf
