// What the other nodes hold: each now and then tells a few others how many connections it has at each host,
// and from the words of the last seconds this node estimates what all the others hold there. Owns the last
// word of each node; no sockets, a virtual clock. Danger: words are lost, late, doubled or from a former life
// of their sender; an estimate is a hint for the balance, never a verdict on a host, and there is none while
// few are heard.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "base/time.h"

namespace dapplewharf {

class PeerLoadTable {
 public:
  using Counts = std::map<std::string, int>;  // connections of one node at each host

  // `nodes` in all and this one's number among them; fewer than two: nothing is ever told.
  PeerLoadTable(int nodes, int me, std::uint64_t seed) : nodes_(nodes), me_(me), chance_(seed) {}

  // To whom `counts` are to be told now: several at once after a change, a few now and then else.
  std::vector<int> tell_to(Tenths now, const Counts& counts);

  // A word as bytes, at most 255 of them: 1 version, 2 the time in tenths of a second, and 3 for each host.
  static std::string word(const Counts& counts, Tenths unix_now);

  // A word has come from node `from`. False: it is unreadable, of another version, stale or older than the
  // last.
  bool hear(int from, std::string_view bytes, Tenths unix_now);

  // Connections that all other nodes hold there, as far as is known.
  std::optional<double> elsewhere(const std::string& host, Tenths unix_now) const;

 private:
  struct Word {
    Tenths at = 0;  // when it was written
    std::map<std::uint16_t, int> counts;
  };
  int nodes_, me_;
  RandomGenerator chance_;
  Counts told_;
  Tenths next_ = 0, changed_next_ = 0;
  std::map<int, Word> words_;
};

}  // namespace dapplewharf
