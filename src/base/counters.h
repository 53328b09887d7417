// Plain counts of what the node takes in, sends and answers. Owns the counts and their printing; nothing
// reads them to decide.
#pragma once
#include <cstdint>
#include <string>

namespace dapplewharf {

struct Counters {
  // taken in
  std::uint64_t accepted = 0, greeted = 0, taken = 0, handed_over = 0, malformed = 0, evicted = 0, lists = 0,
                lists_lost = 0, reloads = 0, reloads_refused = 0;
  // sent
  std::uint64_t tries = 0, tries_written = 0, probes = 0, list_calls = 0, bytes_to_hosts = 0,
                bytes_to_clients = 0;
  // how tries ended
  std::uint64_t up = 0, errors = 0, turned_away = 0, unanswered = 0, not_connected = 0, lost = 0, ended = 0,
                cancelled = 0, not_sent = 0, withdrawn = 0;
  // answered
  std::uint64_t honoured = 0, rejected = 0, scrapped = 0, moved = 0, left = 0, overdue = 0, no_descriptor = 0;
  // faults of the system below, and of our own
  std::uint64_t accept_failures = 0, local_failures = 0, reattached = 0, violations = 0;
  // words with other nodes
  std::uint64_t words_told = 0, words_heard = 0, words_passed = 0;

  std::string told() const;  // one line
};

}  // namespace dapplewharf
