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
TimePoint tenths() {
  const auto since = Clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since).count() / 100;
}

}  // namespace

TimePoint EventLoop::unix_now() {
  return tenths<std::chrono::system_clock>();
}

TimePoint EventLoop::steady_now() {
  return tenths<std::chrono::steady_clock>();
}

EventLoop::EventLoop() : start_(unix_now() - steady_now()) {
  tick();
}

void EventLoop::tick() {
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
  deadline = {when, ++numbers_};
  deadlines_.emplace(deadline, std::move(due));
}

void EventLoop::cancel(Deadline& deadline) {
  if (deadline.number != 0) {
    deadlines_.erase(deadline);
  }
  deadline = {};
}

// Danger: one connection's fault ends the process and all others with it.
void EventLoop::run(const DueCallback& what) const {
  try {
    what();
  } catch (const std::exception& error) {
    spdlog::error("{}: {}", kFaultContainedEvent, error.what());
  }
}

void EventLoop::run_once(Duration longest) {
  std::vector<pollfd> polled;
  std::vector<Handle> tickets;
  watched_.for_each([&](Handle ticket, const Watched& watched) {
    if (watched.events == 0) {
      return;  // danger: an end that is not to be read yet would wake poll for ever
    }
    polled.push_back({watched.descriptor, watched.events, 0});
    tickets.push_back(ticket);
  });
  tick();
  Duration wait = longest;
  if (!deadlines_.empty()) {
    wait = std::min(wait, deadlines_.begin()->first.when - now_);
  }
  const auto ms = static_cast<int>((std::max<Duration>(wait, 0) + 9) / 10);  // never before its time
  const int found = poll(polled.data(), polled.size(), ms);
  if (found < 0 && errno != EINTR) {
    spdlog::error("poll: error {}", errno);
    std::this_thread::sleep_for(std::chrono::milliseconds(1));  // danger: it may go on failing for a while
  }
  tick();
  late_ = deadlines_.empty() ? 0 : std::max<Duration>(now_ - deadlines_.begin()->first.when, 0);
  for (std::size_t i = 0; found > 0 && i < polled.size(); ++i) {
    if (polled[i].revents == 0) {
      continue;
    }
    Watched* watched = watched_.find(tickets[i]);
    if (!watched) {
      continue;
    }
    const ReadyCallback ready = watched->ready;  // it may drop itself
    run([&] { ready(polled[i].revents); });
  }
  // Danger: after a pause of the process everything seems overdue; what has come meanwhile is read before.
  while (!deadlines_.empty() && deadlines_.begin()->first.when <= now_) {
    const DueCallback due = std::move(deadlines_.begin()->second);
    deadlines_.erase(deadlines_.begin());
    run(due);
  }
}

}  // namespace dapplewharf
