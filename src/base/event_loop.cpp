#include "base/event_loop.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <thread>

#include "base/log_events.h"

namespace dapplewharf {
namespace {

template <class Clock>
TimePoint ticks_since_epoch() {
  const auto elapsed = Clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count() / 100;
}

}  // namespace

TimePoint EventLoop::unix_now() {
  return ticks_since_epoch<std::chrono::system_clock>();
}

TimePoint EventLoop::steady_now() {
  return ticks_since_epoch<std::chrono::steady_clock>();
}

EventLoop::EventLoop() : steady_clock_offset_(unix_now() - steady_now()) {
  update_time();
}

void EventLoop::update_time() {
  now_ = std::max(now_, from_steady(steady_now()));
}

Handle EventLoop::watch(int descriptor, short events, ReadyCallback ready) {
  return watched_.insert({descriptor, events, std::move(ready)});
}

void EventLoop::update_interest(Handle watched, short events) {
  if (Watched* found = watched_.find(watched)) {
    found->events = events;
  }
}

void EventLoop::schedule(Deadline& deadline, TimePoint when, DueCallback due) {
  cancel(deadline);
  deadline = {when, ++last_number_};
  deadlines_.emplace(deadline, std::move(due));
}

void EventLoop::cancel(Deadline& deadline) {
  if (deadline.number != 0) {
    deadlines_.erase(deadline);
  }
  deadline = {};
}

// Without the handler an exception in the callback of one connection would end the process, and with it all
// other connections.
void EventLoop::run_guarded(const DueCallback& callback) const {
  try {
    callback();
  } catch (const std::exception& error) {
    spdlog::error("{}: {}", kFaultContainedEvent, error.what());
  }
}

void EventLoop::run_once(Duration max_wait) {
  std::vector<pollfd> polled;
  std::vector<Handle> handles;
  watched_.for_each([&](Handle handle, const Watched& watched) {
    if (watched.events == 0) {
      return;  // poll reports a closed peer whatever it is asked for, and would return at once each time
    }
    polled.push_back({watched.descriptor, watched.events, 0});
    handles.push_back(handle);
  });
  update_time();
  Duration wait = max_wait;
  if (!deadlines_.empty()) {
    wait = std::min(wait, deadlines_.begin()->first.when - now_);
  }
  const auto ms =
      static_cast<int>((std::max<Duration>(wait, 0) + 9) / 10);  // rounded up: not before the deadline
  const int found = poll(polled.data(), polled.size(), ms);
  if (found < 0 && errno != EINTR) {
    spdlog::error("poll: error {}", errno);
    std::this_thread::sleep_for(std::chrono::milliseconds(1));  // avoids a busy loop while poll fails
  }
  update_time();
  lateness_ = deadlines_.empty() ? 0 : std::max<Duration>(now_ - deadlines_.begin()->first.when, 0);
  for (std::size_t i = 0; found > 0 && i < polled.size(); ++i) {
    if (polled[i].revents == 0) {
      continue;
    }
    Watched* watched = watched_.find(handles[i]);
    if (!watched) {
      continue;
    }
    const ReadyCallback ready = watched->ready;  // a copy, as the callback may unwatch itself
    run_guarded([&] { ready(polled[i].revents); });
  }
  // Ready descriptors come first: after the process was suspended all deadlines have passed, and timeouts
  // would fire although the awaited bytes have arrived.
  while (!deadlines_.empty() && deadlines_.begin()->first.when <= now_) {
    const DueCallback due = std::move(deadlines_.begin()->second);
    deadlines_.erase(deadlines_.begin());
    run_guarded(due);
  }
}

}  // namespace dapplewharf
