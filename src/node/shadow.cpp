#include "node/shadow.h"

#include <spdlog/fmt/fmt.h>

#include <stdexcept>
#include <utility>

namespace dapplewharf {

std::string ShadowCounts::told() const {
  return fmt::format(
      "shadow same={} other-host={} would-turn-away={} would-try={} would-wait={} would-move={} "
      "would-leave={}"
      " | probes would={} real={}",
      same, other_host, would_turn, would_try, would_wait, would_move, would_leave, probes, real_probes);
}

Shadow::Shadow(SettingsMap settings, std::uint64_t seed, Tenths now)
    : load_balancer_(std::make_unique<LoadBalancer>(std::move(settings), seed, now)) {}

void Shadow::update_settings(SettingsMap settings) {
  if (load_balancer_) {
    load_balancer_->update_settings(std::move(settings));
  }
}

void Shadow::follow(Tenths now, const std::vector<Event>& events, const std::vector<Action>& real) {
  if (!load_balancer_) {
    return;
  }
  try {
    std::vector<Event> told;
    if (alarm_ > 0 && now >= alarm_) {
      alarm_ = 0, told.emplace_back();
    }
    for (const Event& event : events) {
      if (std::optional<Event> one = heard(event)) {
        told.push_back(std::move(*one));
      }
    }
    feed(now, told);
    std::vector<Event> back;
    for (const Action& action : real) {
      decided(action, back);
    }
    feed(now, back);
    // Danger: what is kept of attachments that are gone would grow for ever.
    const auto forget = [this](const std::string& id) {
      const auto found = followed_.find(id);
      if (found != followed_.end() && found->second.answered && !found->second.out) {
        followed_.erase(found);
      }
    };
    for (const Event& event : events) {
      forget(event.id);
    }
    for (const Action& action : real) {
      forget(action.id);
    }
  } catch (const std::exception& error) {
    // Danger: a fault in what only watches must not reach the decisions that count.
    why_ = error.what();
    load_balancer_.reset();
    followed_.clear();
  }
}

void Shadow::feed(Tenths now, const std::vector<Event>& events) {
  if (!events.empty()) {
    took(now, load_balancer_->handle_events(now, events));
  }
}

// What the module would do. Nothing of it is carried out; its alarms are the only thing that comes back to
// it.
void Shadow::took(Tenths now, const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    if (action.kind == ActionKind::probe) {
      ++counts_.probes;
    }
    if (action.kind == ActionKind::set_alarm) {
      const Tenths at = now + action.time;
      alarm_ = alarm_ > 0 && alarm_ < at ? alarm_ : at;
    }
    const auto found = followed_.find(action.id);
    if (found == followed_.end()) {
      continue;
    }
    Followed& one = found->second;
    if (action.kind == ActionKind::setup_try) {
      one.would = action.host;
    }
    if (action.kind == ActionKind::reject || action.kind == ActionKind::scrap) {
      one.would = "";
    }
    if (action.kind == ActionKind::move && !std::exchange(one.moves, true)) {
      ++counts_.would_move;
    }
  }
}

// The event as the module is to hear it; none where it does not hold the attachment any more.
std::optional<Event> Shadow::heard(const Event& event) {
  if (event.id.empty()) {
    return event.kind == EventKind::alarm ? std::nullopt : std::optional(event);
  }
  if (event.kind == EventKind::attachment || event.kind == EventKind::handed_over) {
    Followed& one = followed_[event.id];
    one.opening = event;
    one.out = event.kind == EventKind::handed_over;
    return event;
  }
  const auto found = followed_.find(event.id);
  if (found == followed_.end()) {
    return std::nullopt;
  }
  Followed& one = found->second;
  const bool known = one.known;
  if (event.kind == EventKind::try_ended) {
    one.out = false, one.answered = one.answered || event.final;
  }
  if (event.kind == EventKind::client_left) {
    one.answered = true;
  }
  if (known) {
    return event;
  }
  Event told = event;
  if (event.kind == EventKind::established) {  // it is held again, as a connection that was there
    told = one.opening;
    told.kind = EventKind::handed_over;
    told.host = event.host;
    one.known = true;
    return told;
  }
  if (event.kind != EventKind::delay_told) {
    return std::nullopt;
  }
  told.id.clear();  // a delay is its host's, whoever told it
  return told;
}

void Shadow::decided(const Action& real, std::vector<Event>& back) {
  if (real.kind == ActionKind::probe) {
    ++counts_.real_probes;
  }
  const auto found = followed_.find(real.id);
  if (found == followed_.end()) {
    return;
  }
  Followed& one = found->second;
  if (real.kind == ActionKind::move) {
    one.answered = true;
    if (one.moves) {
      --counts_.would_move, ++counts_.same;
    } else {
      ++counts_.would_leave;
    }
    return;  // the end of its try comes as an event
  }
  const bool tries = real.kind == ActionKind::setup_try;
  if (!tries && real.kind != ActionKind::reject && real.kind != ActionKind::scrap) {
    return;
  }
  if (tries) {
    one.out = true, ++one.tries;
  } else {
    one.answered = true;
  }
  if (!one.known) {
    return;  // after a difference its tries are not compared
  }
  const std::optional<std::string> would = std::exchange(one.would, std::nullopt);
  const std::string was = tries ? real.host : "";
  if (would && *would == was) {
    return void(++counts_.same);
  }
  if (!would) {
    ++counts_.would_wait;
  } else if (would->empty()) {
    ++counts_.would_turn;
  } else if (tries) {
    ++counts_.other_host;
  } else {
    ++counts_.would_try;
  }
  // Brought back: the module is told that the client left, and that a try of its own came to nothing.
  one.known = false;
  Event left;
  left.kind = EventKind::client_left;
  left.id = real.id;
  back.push_back(left);
  if (!would || would->empty()) {
    return;
  }
  Event ended;
  ended.kind = EventKind::try_ended;
  ended.id = real.id;
  ended.host = *would;
  ended.number = tries ? one.tries - 1 : one.tries;
  ended.outcome = Outcome::cancelled;
  ended.final = true;
  back.push_back(ended);
}

}  // namespace dapplewharf
