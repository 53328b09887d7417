// Constants of the load-balancing policy, with their units. Times are in ticks of 0.1 ms.
#pragma once
#include "base/time.h"

namespace dapplewharf {

inline constexpr Tenths kListSilent = 3 * kSecond;   // a lost list is asked for again well within this
inline constexpr double kAskLatest = 0.7;            // of the time after which a node is taken as told
inline constexpr Tenths kSoughtSpan = 10 * kSecond;  // long enough for a quiet node to see how much comes
inline constexpr double kLeastTold = 0.1;    // reported loads under this tell little of what a host bears
inline constexpr Tenths kPulse = 100 * kMs;  // least time between two looks at the clock

inline constexpr int kBadRun = 3;              // failures in a row that degrade a health signal
inline constexpr int kPoints = 30;             // virtual points for a size of 1: shares true to a few percent
inline constexpr double kBore = 30 * kSecond;  // what a kind of machine bore fades over this time
inline constexpr double kScatter = 12;  // hosts that all nodes ask for one group while the crowd limit is on
inline constexpr double kBusy =
    0.3;  // of capacity, over the fleet: what groups cost twice is missed from there
inline constexpr double kWatch = 0.005;    // of all that service can be worth: what steady probes may cost
inline constexpr double kDear = 0.1;       // of all that service can be worth, for crossing zones each time
inline constexpr int kEnough = 8;          // good hosts on a route: more are hardly ever asked
inline constexpr int kOverBy = 2;          // design: connections over the mean before a host is passed
inline constexpr double kWellOver = 1.25;  // design: "well over" the mean
inline constexpr double kHomeOver = 4;     // the same where the group is paid for: elsewhere it is paid again
inline constexpr std::size_t kTimes = 40;  // set-up times kept to tell the usual one, and arrivals their rate
inline constexpr Tenths kTroubleHeld = 5 * kSecond;  // the crowd limit outlasts the last late host
inline constexpr double kInrush = 0.25;  // new connections a second for one host, of the mean that hosts hold
inline constexpr double kSpareShare =
    0.15;  // moved work a second that hosts with room may take, of what they hold
inline constexpr double kLeastRoom =
    0.5;  // with less room late hosts still give up as much, to be in time again
inline constexpr Tenths kLineSilent =
    3 * kSecond;  // a line unanswered for so long: nobody is there for its client
inline constexpr Tenths kFrontStops =
    500 * kMs;  // a front still deals to a node that stops, for about this long
inline constexpr Tenths kStrainHeld =
    1500 * kMs;  // slow-message notes come each second: one lost is no relief

}  // namespace dapplewharf
