// System calls that fail on purpose. A program that links system_faults.cpp has its own socket, connect,
// accept4, recv, send, poll, open and clock_gettime, which pass every call on to the kernel but for those
// that a fault is set for. Tests set faults by `inject`; a program of its own reads them from the
// environment:
//   SYSTEM_FAULTS="connect,errno=101,share=1,from_ms=0,until_ms=200;send,delay_ms=150,share=0.01"
//   SYSTEM_FAULTS_SEED=7
#pragma once
#include <cstdint>

namespace dapplewharf::faults {

enum class Call { socket, connect, accept4, recv, send, poll, open, clock };

struct Fault {
  Call call = Call::connect;
  int error = 0;               // errno of the failing call; 0: the call is made
  double share = 1;            // of the calls in the span
  std::int64_t from_ms = 0;    // of the monotonic clock, since the fault was set
  std::int64_t until_ms = -1;  // below 0: for good
  int port = 0;              // connect, recv, send: only where it is the peer.s; accept4: only at it; 0: any
  int delay_ms = 0;          // the caller is held up for so long before the call
  bool shortened = false;    // recv, send: one byte at a time
  std::int64_t step_ms = 0;  // clock: added to the wall clock
  int every = 1;             // only the first call and each so manieth after it
};

void inject(const Fault& fault);
void clear();
std::int64_t hits();  // calls that a fault has changed so far

}  // namespace dapplewharf::faults
