// One of the two health signals of an endpoint.
#pragma once
#include <algorithm>
#include <deque>

#include "policy/constants.h"
#include "policy/notes.h"

namespace dapplewharf {

// One of the two signals of a host: its last results, and whether a run has turned it.
struct HealthSignal {
  std::deque<bool> results;
  bool good = true;
  int run = 0;  // results in a row like the last

  // Returns true when the signal turns.
  bool add(bool result) {
    run = !results.empty() && results.back() == result ? run + 1 : 1;
    keep_last(results, result, kGoodRun);
    if (good == result || run < (result ? kGoodRun : kBadRun)) {
      return false;
    }
    good = result;
    return true;
  }
  // Danger: at a quiet node one bad set-up is all there is; what has not been seen counts as good.
  double share() const {
    return 1 - static_cast<double>(std::count(results.begin(), results.end(), false)) / kGoodRun;
  }
  bool in_doubt() const { return !good || (!results.empty() && !results.back()); }
};

}  // namespace dapplewharf
