// Constants of the load-balancing policy, with their units. Times are in ticks of 0.1 ms.
#pragma once
#include "base/time.h"

namespace dapplewharf {

inline constexpr Tenths kListSilent = 3 * kSecond;    // a lost list is asked for again well within this
inline constexpr double kAskLatest = 0.7;             // of the time after which a node is taken as told
inline constexpr Tenths kSoughtSpan = 10 * kSecond;   // long enough for a quiet node to see how much comes
inline constexpr double kTurns = 0.7, kChance = 0.4;  // of what pushes a cold host over: by turns, by chance
inline constexpr double kLeastTold = 0.1;    // reported loads under this tell little of what a host bears
inline constexpr Tenths kPulse = 100 * kMs;  // least time between two looks at the clock

inline constexpr int kBadRun = 3,
                     kGoodRun = 12;  // design: in a row, they turn a signal; a score looks at twelve
inline constexpr double kRamp[] = {0.05, 0.20, 0.50, 1.00};  // design: the climb of a return
inline constexpr int kTop = 3;                               // the last step of the ramp
inline constexpr Tenths kStep = kSecond;               // least stay on a step: several probes in a hurry
inline constexpr Tenths kFirstCooldown = 2 * kSecond;  // short: most troubles here are over in half a minute
inline constexpr Tenths kLongestCooldown = 3600 * kSecond;  // the cap of the design's source
inline constexpr Tenths kFlapMemory = 60 * kSecond;  // flaps older than this no longer lengthen the cooldown
inline constexpr Tenths kProbeEvery = 1500 * kMs;    // steady probes of a node, at the most so often
inline constexpr Tenths kProbeShared = kSecond;      // and of all nodes together for one host
inline constexpr Tenths kProbeHurry = 200 * kMs;     // probes while a signal is in doubt
inline constexpr Tenths kHurryShared = 65 * kMs;     // and of all nodes together that may be in doubt
inline constexpr int kPoints = 30;             // virtual points for a size of 1: shares true to a few percent
inline constexpr int kLooks = 3;               // hosts looked at and passed before one is taken unseen
inline constexpr double kFull = 0.8;           // of capacity: messages begin to wait there
inline constexpr double kBore = 30 * kSecond;  // what a kind of machine bore fades over this time
inline constexpr double kScatter = 12;  // hosts that all nodes ask for one group while the crowd limit is on
inline constexpr double kBusy =
    0.3;  // of capacity, over the fleet: what groups cost twice is missed from there
inline constexpr double kWatch = 0.005;    // of all that service can be worth: what steady probes may cost
inline constexpr double kDear = 0.1;       // of all that service can be worth, for crossing zones each time
inline constexpr int kEnough = 8;          // good hosts on a route: more are hardly ever asked
inline constexpr Tenths kQuiet = kSecond;  // without a set-up for this long the probes speak for a host alone
inline constexpr int kOverBy = 2;          // design: connections over the mean before a host is passed
inline constexpr double kWellOver = 1.25;  // design: "well over" the mean
inline constexpr double kHomeOver = 4;     // the same where the group is paid for: elsewhere it is paid again
inline constexpr double kToldOver =
    1.5;  // and where others tell what they hold, by when the word has come round
inline constexpr double kProbeWork = 0.1;  // a probe is a small part of a set-up to a cold host
inline constexpr std::size_t kTimes = 40;  // set-up times kept to tell the usual one, and arrivals their rate
inline constexpr Tenths kTroubleHeld = 5 * kSecond;  // the crowd limit outlasts the last late host
inline constexpr double kInrush = 0.25;  // new connections a second for one host, of the mean that hosts hold
inline constexpr double kInrushLeast = 2;  // no fewer, for all nodes together, as they add up
inline constexpr double kRoomy = 4;        // times as many where the host itself tells of room
inline constexpr double kEase =
    0.7;  // of this node's part of what the shares grant: a crowd does no harm below
inline constexpr double kSpareShare =
    0.15;  // moved work a second that hosts with room may take, of what they hold
inline constexpr double kLeastRoom =
    0.5;  // with less room late hosts still give up as much, to be in time again
inline constexpr Tenths kCapHeld = 30 * kSecond;  // a host that was late is not filled up again for this long
inline constexpr Tenths kRelief =
    500 * kMs;  // between moves off a late host: time to see what the last ones did
inline constexpr double kReliefShare =
    0.15;                                  // of its connections: a few steps clear it, one overshoots little
inline constexpr double kMoveWorth = 6.5;  // of its price: so many served seconds' share a move must save
inline constexpr Tenths kLineSilent =
    3 * kSecond;  // a line unanswered for so long: nobody is there for its client
inline constexpr Tenths kFrontStops =
    500 * kMs;  // a front still deals to a node that stops, for about this long
inline constexpr Tenths kStrainHeld =
    1500 * kMs;  // slow-message notes come each second: one lost is no relief

}  // namespace dapplewharf
