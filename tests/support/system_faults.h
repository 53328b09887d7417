// Injects faults into system calls. A program that links system_faults.cpp has its own socket, connect,
// accept4, recv, send, poll, open and clock_gettime, which pass every call on to the kernel except those that
// an injected fault applies to. Tests inject faults by `inject`; a program that runs by itself reads them
// from the environment:
//   SYSTEM_FAULTS="connect,errno=101,share=1,from_ms=0,until_ms=200;send,delay_ms=150,share=0.01"
//   SYSTEM_FAULTS_SEED=7
#pragma once
#include <cstdint>

namespace dapplewharf::faults {

enum class SystemCall { socket, connect, accept4, recv, send, poll, open, clock };

/// One fault and the calls that it applies to.
struct Fault {
  SystemCall call = SystemCall::connect;
  int error = 0;               // errno of the failing call; 0: the call is made
  double probability = 1;      // that a call within the period meets the fault
  std::int64_t from_ms = 0;    // start of the period, in monotonic time since the fault was injected
  std::int64_t until_ms = -1;  // end of the period, likewise; below 0: it never ends
  int port = 0;                // connect, recv, send: the peer's port; accept4: the local port; 0: any port
  int delay_ms = 0;            // the caller is blocked for this time before the call
  bool single_byte = false;    // recv, send: each call transfers one byte at most
  std::int64_t clock_step_ms = 0;  // clock: added to the wall clock, in whole seconds
  int call_interval = 1;           // n: the fault applies to the first call and every n-th after it
};

void inject(const Fault& fault);
void clear();
/// How many calls have met a fault so far; `clear` does not reset the count.
std::int64_t affected_calls();

}  // namespace dapplewharf::faults
