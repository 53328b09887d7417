// Discovery is slow: each call is answered, in time by the pages' figures, but later than the node waits. A host drains.
#include "drain.h"
using namespace rig;

int main(int count, char** arguments) {
  const Case c = begin_case(count, arguments);
  constexpr double kSlowFrom = 5000, kSlowUntil = 35000;  // 30 s: `discovery_stale` lasts 10 to 30 s
  constexpr double kLag = 2800;      // under timeout_ms = 3000 of the site
  constexpr double kWaitLag = 1900;  // under "2 s after that wait is over"
  Discovery discovery;
  if (c.trouble) {
    discovery.answer_lag = [](bool waits) {
      return now() < kSlowFrom || now() > kSlowUntil ? 1.0 : waits ? kWaitLag : kLag;
    };
  }
  // The figures of reclamos-cuyo: lists on request, 750 ms of grace, 5 s for asking.
  DrainPlan plan{.settings = {},
                 .drains_now = [] { return now() >= 16000; },
                 .end_at = 35000,
                 .limit_after_change = 6000 + 750 + 50};
  play_drain(c, discovery, plan);
}
