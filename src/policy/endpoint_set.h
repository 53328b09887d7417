// The endpoints of the list and what they add up to.
#pragma once
#include <cmath>
#include <deque>
#include <set>

#include "policy/backoff.h"
#include "policy/constants.h"
#include "policy/messages.h"

namespace dapplewharf {

// Follows the list and says when the weights are frozen.
class EndpointSet {
 public:
  explicit EndpointSet(PolicyContext& around) : context_(around) {}

  void read(const EndpointSetMessage& message) {
    std::visit([this](const auto& one) { handle(one); }, message);
    set_alarm();
  }

 private:
  void handle(const EndpointsCached& message) {
    list(message.endpoints);
    ask_at_ = context_.now + backoff().first(context_.random.share());
    ask();
  }
  void handle(const EndpointsSnapshot& message) {
    losses_ = 0;
    lost_at_ = 0;
    list(message.endpoints);
  }
  void handle(const EndpointsUpdate& message) {
    losses_ = 0;
    lost_at_ = 0;
    list_changes(message.endpoints);
  }
  void handle(const EndpointWatchFailed&) {
    ++losses_;
    subscribed_ = false;
    if (lost_at_ == 0) {
      lost_at_ = context_.now;
    }
    ask_at_ = context_.now + backoff().again(losses_, context_.random.share());
  }
  void handle(const ShutdownStarted&) { stopped_at_ = context_.now; }
  void handle(const TimerFired&) { pulse(); }
  void handle(const StatusChanged& message) { heard(message.endpoint, message.status); }
  void handle(const SelectEndpoints& message) {
    const std::optional<std::int64_t>& group = message.query->request.affinity_group;
    sought_.emplace_back(context_.now, group);
    if (message.query->tried.empty()) {
      keep_last(came_, context_.now, kTimes);
    }
    SelectEndpoints completed{message.query, figures()};
    if (group) {
      for (const auto& [when, other] : sought_) {
        completed.fleet.sought_alike += group == other;
      }
    }
    context_.post_to_selector(std::move(completed));
  }

  void list(const std::vector<EndpointEntry>& entries) {
    std::set<std::string> named;
    for (const EndpointEntry& entry : entries) {
      named.insert(entry.host);
    }
    const std::set<std::string> before = listed_;
    list_changes(entries);
    for (const std::string& host : before) {
      if (!named.count(host)) {
        context_.post_to_endpoint(host, EndpointUnlisted{});
      }
    }
  }

  void list_changes(const std::vector<EndpointEntry>& entries) {
    const FleetStatistics fleet = figures();
    std::vector<std::string> named;
    for (const EndpointEntry& entry : entries) {
      EndpointListed message{entry, fleet, std::nullopt, started_ && !listed_.count(entry.host)};
      if (context_.settings.weights_follow_load) {
        weigh(message);
      }
      named.push_back(entry.host);
      context_.post_to_endpoint(entry.host, std::move(message));
    }
    listed_.insert(named.begin(), named.end());
    if (!std::exchange(started_, true)) {
      came_.push_back(context_.now);
    }
  }

  // Danger: a weight that sinks as a host fills sends all nodes to whoever was empty a second ago. A host's
  // size is the largest seen of its kind; what the weight lacks of it tells what all nodes hold there.
  void weigh(EndpointListed& message) {
    EndpointEntry& entry = message.entry;
    double& largest = largest_[entry.kind];
    largest = std::max(largest, entry.size);
    if (entry.size > 0) {
      message.connections = largest * (largest / entry.size - 1);
    }
    if (largest > 0) {
      entry.size = largest;
    }
  }

  // Danger: where little time is allowed for asking, a long wait alone would take all of it.
  Backoff backoff() const {
    const double most =
        context_.settings.notified_within > 0 ? kAskLatest * context_.settings.notified_within : kNever;
    return {context_.settings.node_count, static_cast<Tenths>(most)};
  }

  void ask() {
    if (!started_ || subscribed_ || !context_.settings.polls_endpoints || context_.now < ask_at_) {
      return;
    }
    subscribed_ = true;
    context_.act(WatchEndpoints{});
  }

  void heard(const std::string& host, const EndpointStatus& card) {
    EndpointStatus& known = cards_[host];
    if (known.healthy != card.healthy || degraded(known) != degraded(card)) {
      to_check_ = true;
    }
    due_.erase({known.due, host});
    known = card;
    if (card.due < kNever) {
      due_.insert({card.due, host});
    }
  }

  // When the list counts as silent, if it does not answer before.
  Tenths silent_from() const {
    const double in_turn = std::min(kAskLatest * context_.settings.notified_within,
                                    Backoff::kShared * context_.settings.node_count);
    return lost_at_ > 0 ? lost_at_ + kListSilent + static_cast<Tenths>(in_turn) + 1 : kNever;
  }
  bool silent() const { return context_.now >= silent_from(); }
  bool degraded(const EndpointStatus& card) const { return card.score < 75 && context_.now >= card.cold; }

  void set_alarm() {  // one stands for whatever is due first
    Tenths due = due_.empty() ? kNever : due_.begin()->first;
    if (to_check_ || stopped_at_ > 0) {
      due = context_.now;  // whether the weights freeze; what is to be moved
    }
    if (started_ && !subscribed_ && context_.settings.polls_endpoints) {
      due = std::min(due, ask_at_);
    }
    if (!frozen_) {
      due = std::min(due, silent_from());
    }
    due = std::max({due, pulsed_at_ + kPulse, context_.now + 1});
    if (due >= kNever || (alarm_at_ > context_.now && alarm_at_ <= due)) {
      return;
    }
    alarm_at_ = due;
    context_.act(SetTimer{0, due - context_.now});
  }

  void pulse() {
    pulsed_at_ = context_.now, to_check_ = false;
    ask();
    // Danger: moved at once, clients come back to this node while the front still deals to it, and in step.
    if (stopped_at_ > 0 && context_.now - stopped_at_ >= kFrontStops) {
      MigrateConnections all;
      all.share = static_cast<double>(context_.now - stopped_at_ - kFrontStops) / kSecond;
      all.budget = INT32_MAX;
      all.whole_groups = true;
      context_.post_to_request_table(std::move(all));
    }
    const FleetStatistics fleet = figures();
    for (auto at = due_.begin(); at != due_.end() && at->first <= context_.now; ++at) {
      context_.post_to_endpoint(at->second, EndpointTick{fleet});
    }
  }

  // Worked out from what the hosts last told, when somebody needs it.
  FleetStatistics figures() {
    FleetStatistics fleet;
    std::map<std::string, std::pair<double, double>> kinds;  // open connections and size, of warm hosts
    double scores = 0;
    double open = 0;
    double size = 0;
    double all_open = 0;
    double leaving = 0;
    double all_size = 0;
    double roomy = 0;
    double near_open = 0;
    double near_size = 0;
    double near_held = 0;
    double near_told = 0;
    double told = 0;
    double told_size = 0;
    int hosts = 0;
    int bad = 0;
    for (const auto& [id, card] : cards_) {
      if (!card.healthy) {
        leaving += card.open;
        continue;
      }
      ++hosts, scores += card.score;
      if (card.cold > context_.now) {
        fleet.some_cold = true;
      }
      if (degraded(card)) {
        ++bad;
      }
      if (card.shedding > context_.now || (card.open && card.late > context_.now)) {
        trouble_at_ = context_.now;
      }
      all_open += card.open, all_size += card.size;
      if (card.weight <= 0.5) {
        continue;
      }
      if (card.zone == context_.settings.zone) {
        near_open += card.open, near_size += card.size;
      }
      if (card.zone == context_.settings.zone && card.elsewhere >= 0) {
        near_held += card.open + card.elsewhere, near_told += card.size;
      }
      if (card.strained <= context_.now) {
        roomy += card.size;
      }
      if (card.cold <= context_.now) {
        auto& kind = kinds[card.kind];
        kind.first += card.open, kind.second += card.size, open += card.open, size += card.size;
      }
      if (card.cold <= context_.now && card.load >= 0) {
        told += card.load * card.size, told_size += card.size;
      }
    }
    fleet.crowd_limit = trouble_at_ > 0 && context_.now - trouble_at_ < kTroubleHeld ? kInrush : 0;
    // Danger: with no near host at weight a mean of nothing shuts the far ones to a crowd they have room for.
    if (all_size > 0) {
      fleet.mean = near_size > 0 ? near_open / near_size : all_open / all_size;
    }
    if (near_told > 0) {
      fleet.held = near_held / near_told;
    }
    if (all_size > 0) {
      fleet.granted = context_.settings.granted_connections() / all_size;
    }
    const double room = all_size > 0 ? std::max(roomy / all_size, kLeastRoom) : 0;
    // Danger: a node all of whose connections stand at hosts that leave finds no room by what others hold.
    fleet.spare = static_cast<int>(std::ceil(kSpareShare * std::max(all_open, leaving) * room));
    if (hosts > 0) {
      fleet.score = scores / hosts;
    }
    if (hosts > 0) {
      fleet.each = std::max(all_open / hosts, kOverBy / context_.settings.node_count);
    }
    if (told_size > 0) {
      fleet.load = told / told_size;
    }
    // Danger: hosts hardly used are taken for weak; with none warm the successors of a whole fleet stay
    // empty.
    if (size > 0) {
      kinds[""] = {open, size};  // what a kind that was never seen goes by
    }
    // A kind that fell at a stroke is remembered for what it bore before.
    const double kept =
        std::exp(-static_cast<double>(context_.now - std::exchange(bore_at_, context_.now)) / kBore);
    for (const auto& [kind, held] : kinds) {
      const double now =
          held.first / held.second / (fleet.load < 0 ? 1 : std::clamp(fleet.load, kLeastTold, 1.0));
      bears_[kind] = std::max(now, bears_[kind] * kept);
    }
    // Danger: where little comes, probes cost more than its service. Looks and messages watch there too.
    if (context_.settings.load_report_index && !came_.empty()) {
      fleet.watch = static_cast<Tenths>(context_.settings.health_check_price * hosts / kWatch / came_.size() *
                                        (context_.now - came_.front() + kSecond));
    }
    if (!told_bears_ || *told_bears_ != bears_) {
      told_bears_ = std::make_shared<const std::map<std::string, double>>(bears_);
    }
    fleet.bears = told_bears_;
    fleet.alone = fleet.held < 0 && fleet.each < kOverBy;
    std::erase_if(sought_, [this](const auto& one) { return context_.now - one.first > kSoughtSpan; });
    if (all_size > 0) {
      fleet.sought = static_cast<double>(sought_.size()) / all_size;
    }
    // Danger: trouble behind most hosts, or a node that alone sees it: moving work only churns it.
    fleet.frozen = bad * 2 > hosts || silent();
    if (fleet.frozen != frozen_) {
      context_.log(std::string("weights ") + (fleet.frozen ? "frozen" : "free") + ", degraded " +
                   std::to_string(bad) + " of " + std::to_string(hosts) + (silent() ? ", list silent" : ""));
      context_.post_to_selector(WeightsFreezeChanged{fleet.frozen});
    }
    frozen_ = fleet.frozen;
    return fleet;
  }

  PolicyContext& context_;
  std::map<std::string, EndpointStatus> cards_;
  std::set<std::string> listed_;
  std::map<std::string, double> largest_;  // size of each kind of machine, where weights move
  std::set<std::pair<Tenths, std::string>> due_;
  std::deque<Tenths> came_;  // the start, and when the last attachments came
  bool started_ = false, subscribed_ = false, frozen_ = false, to_check_ = false;
  int losses_ = 0;
  std::deque<std::pair<Tenths, std::optional<std::int64_t>>> sought_;  // when a host was, for which group
  Tenths bore_at_ = 0;
  std::shared_ptr<const std::map<std::string, double>> told_bears_;
  std::map<std::string, double> bears_;  // of each kind's last hosts that were warm
  Tenths lost_at_ = 0, ask_at_ = 0, trouble_at_ = 0, alarm_at_ = 0, pulsed_at_ = 0, stopped_at_ = 0;
};

}  // namespace dapplewharf
