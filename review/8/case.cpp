// Discovery has too many callers and turns the nodes' calls away for a while. Lists are pushed; a host drains.
#include "drain.h"
using namespace rig;

int main(int count, char** arguments) {
  const Case c = begin_case(count, arguments);
  constexpr double kCrowdFrom = 10000, kCrowdUntil = 18000;  // all_call_s: at most 8 s until each has had its call
  Discovery discovery;
  std::atomic<double> first_turned_away{0};
  if (c.trouble) {
    discovery.turns_away = [&] {
      const bool away = now() >= kCrowdFrom && now() < kCrowdUntil;
      double none = 0;
      if (away) first_turned_away.compare_exchange_strong(none, now());
      return away;
    };
  }
  Settings settings;
  settings.discovery = "pushed";
  settings.drain_grace_ms = 500;
  // The drain begins just after a first call was turned away, so that no open watch tells of it.
  DrainPlan plan{.settings = settings,
                 .drains_now =
                     [&] {
                       return c.trouble ? first_turned_away > 0 && now() >= first_turned_away + 300 : now() >= 12000;
                     },
                 .end_at = 20000,
                 .limit_after_change = 500 + 50};
  play_drain(c, discovery, plan);
}
