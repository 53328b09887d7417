// One endpoint as this node sees it.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "policy/connection_rate_limit.h"
#include "policy/connection_shedding.h"
#include "policy/constants.h"
#include "policy/endpoint_health.h"
#include "policy/health_check_schedule.h"
#include "policy/message_latency.h"
#include "policy/messages.h"
#include "policy/recovery_ramp.h"
#include "policy/sent_work_window.h"
#include "policy/slow_start.h"

namespace dapplewharf {

inline constexpr int kLooks = 3;                 // hosts looked at and passed before one is taken unseen
inline constexpr double kFull = 0.8;             // of capacity: messages begin to wait there
inline constexpr double kHealthCheckWork = 0.1;  // of the work of a new connection

class Host {
 public:
  Inbox inbox;

  Host(PolicyContext& context, std::string id)
      : context_(context),
        id_(std::move(id)),
        schedule_(context.settings, context.now, context.random.share()),
        latency_(context.settings),
        slow_start_(context.settings, id_),
        rate_limit_(context.settings) {}

  void read(const Note& note) {
    if (note.topic != Topic::event && note.topic != Topic::unlisted) {
      fleet_ = note.fleet;
    }
    switch (note.topic) {
      case Topic::listed:
        listed(note.listing, note.fresh, note.held);
        break;
      case Topic::unlisted:
        leaves(EndpointState::removed);
        break;
      case Topic::pulse:
        advance_ramp();
        check_health();
        shed_connections();
        break;
      case Topic::offer:
        offered(note);
        break;
      case Topic::event:
        happened(note);
        break;
      default:
        return;
    }
    tell();
  }

 private:
  void listed(const EndpointEntry& listing, bool fresh, double held) {
    const bool restarted = listing.started > slow_start_.started() && known_;
    card_.zone = listing.zone;
    card_.cell = listing.cell, card_.kind = listing.kind;
    card_.size = listing.size > 0 ? listing.size : 1;
    if (held >= 0) {
      card_.elsewhere = std::max(0.0, held - card_.open);
    }
    slow_start_.set_started(listing.started);
    if (listing.state != EndpointState::healthy) {
      return leaves(listing.state);
    }
    state_ = EndpointState::healthy, claimed_gone_ = false;
    // Without this a cold endpoint would get its full weight at once and fall over.
    if (fresh || restarted || (!known_ && slow_start_.active(context_.now))) {
      ramp_.restart(context_.now);
      health_.start_over(known_ ? kFullScore : fleet_.score);
      context_.log("host " + id_ + " starts cold, age ms " +
                   std::to_string((context_.now - slow_start_.started()) / kMs));
    }
    known_ = true;
  }

  // A wrong list would take away endpoints that still serve their connections. Where only drains bind, the
  // health checks decide on an endpoint that is removed without a drain; the first one is due at once.
  void leaves(EndpointState state) {
    if (state == EndpointState::removed && state_ == EndpointState::healthy &&
        context_.settings.only_drains_bind) {
      if (claimed_gone_) {
        return;
      }
      claimed_gone_ = true;
      schedule_.check_now(context_.now);
      return context_.log("host " + id_ + " is called gone, its probes decide");
    }
    if (state_ == EndpointState::healthy) {
      left_at_ = context_.now;
    }
    state_ = state;
  }
  bool in_service() const {
    return state_ == EndpointState::healthy &&
           !(claimed_gone_ && health_.signal(SignalSource::active).in_doubt());
  }

  // The one place that decides whether this host may be sent this attachment.
  bool may_be_sent(const Event& attachment) const {
    if (state_ != EndpointState::healthy) {
      // A mid-flow connection may be held here; without proof of that only the grace allows it.
      const bool in_grace = context_.now - left_at_ < context_.settings.drain_grace - kPulse;
      return state_ == EndpointState::draining && attachment.mid_flow && in_grace;
    }
    if (!in_service()) {
      return false;
    }
    if (slow_start_.active(context_.now)) {
      return slow_start_.admits_connection(context_.now, slow_start_conditions(), sent_work_,
                                           context_.random);
    }
    if (attachment.mid_flow) {
      return true;
    }
    return !latency_.at_connection_cap(context_.now, card_.open) &&
           rate_limit_.admits_connection(context_.now, surge_conditions(), sent_work_);
  }

  // Connections of this node that a warm endpoint of this one's machine type bears, for size 1.
  double sustained_by_warm() const {
    if (!fleet_.bears || fleet_.bears->empty()) {
      return 0;
    }
    const auto kind = fleet_.bears->find(card_.kind);
    const auto all_kinds = fleet_.bears->begin();
    return kind == fleet_.bears->end() ? all_kinds->second : kind->second;
  }

  SlowStartConditions slow_start_conditions() const {
    return {.size = card_.size,
            .sustained_by_warm = sustained_by_warm(),
            .quota_per_size = fleet_.granted,
            .selections_per_size = fleet_.sought,
            .group_selections = fleet_.sought_alike,
            .is_surge = fleet_.crowd_limit > 0,
            .reports_headroom = card_.roomy > context_.now,
            .knows_other_nodes_use = card_.elsewhere >= 0};
  }

  SurgeConditions surge_conditions() const {
    return {.size = card_.size,
            .open_connections = card_.open,
            .mean_connections = fleet_.mean,
            .quota_per_size = fleet_.granted,
            .surge_rate = fleet_.crowd_limit,
            .reports_headroom = card_.roomy > context_.now};
  }

  // Danger: at a node that probes a host once in minutes neither signal nor report tells of now. A host whose
  // last probe is older than a steady one would be is probed first; the attachment goes on with the answer.
  bool looks_first(const Note& note) const {
    // An answer that comes after the expiry is none: who has little time left is not held for a look.
    return !note.event.mid_flow && context_.settings.load_report_index &&
           note.event.expiry - context_.now > kSecond && note.looks < kLooks &&
           !schedule_.checked_recently(context_.now) && (schedule_.in_flight() || may_be_checked());
  }

  void offered(const Note& note) {
    const bool may = may_be_sent(note.event);
    if (may && looks_first(note)) {
      waiting_.push_back(note);
      schedule_.check_now(context_.now);
      return check_health();
    }
    const bool full = schedule_.checked_recently(context_.now) && load_ > kFull && note.looks < kLooks;
    context_.pass_on(note, Part::desk, may && !full ? Topic::taken : Topic::passed).looks += may ? 1 : 0;
    if (!may || full) {
      return;
    }
    sent_work_.add(context_.now, 1);
    ++card_.open;
  }

  void looked(const Event& event) {
    schedule_.note_ended(context_.now);
    const std::optional<std::size_t> at = context_.settings.load_report_index;
    const bool told = at && *at < event.report.size();
    load_ = card_.load = told ? event.report[*at] : -1;
    card_.roomy = told && load_ < kFull ? context_.now + kSteadyHealthCheckInterval : 0;
    for (Note& note : std::exchange(waiting_, {})) {
      if (event.outcome != Outcome::succeeded) {
        ++note.looks;
      } else {
        --note.asked;  // asked once more
      }
      context_.pass_on(note, Part::desk, Topic::passed);
    }
  }

  void happened(const Note& note) {
    const Event& event = note.event;
    switch (event.kind) {
      case EventKind::handed_over:
        ++card_.open;
        break;
      case EventKind::established:
        health_.note_connection_outcome(context_.now);
        result(SignalSource::passive,
               event.took <= event.expiry);  // the desk puts the longest good set-up time there
        break;
      case EventKind::try_ended:
        ended(event, note.standing);
        break;
      case EventKind::delay_told:
        latency_.record(context_.now, event.figure, card_.open);
        break;
      case EventKind::peer_word:
        card_.elsewhere = event.figure;
        break;
      case EventKind::probe_ended:
        looked(event);
        checked(event.outcome);
        break;
      default:
        break;
    }
  }

  void checked(Outcome outcome) {
    if (outcome == Outcome::not_sent) {
      return;  // failed on this machine, says nothing of the endpoint
    }
    health_.note_check_outcome(outcome);
    const bool succeeded = outcome == Outcome::succeeded;
    result(SignalSource::active, succeeded);
    if (succeeded && health_.checks_count_as_connections(context_.now)) {
      result(SignalSource::passive, true);
    }
  }

  void ended(const Event& event, bool standing) {
    if (standing && event.outcome == Outcome::connection_lost) {
      dropped_connection_at_ = context_.now;
    }
    card_.open = std::max(0, card_.open - 1);
    if (event.outcome == Outcome::succeeded || event.outcome == Outcome::cancelled ||
        event.outcome == Outcome::not_sent || event.outcome == Outcome::withdrawn) {
      return;  // says nothing of the host
    }
    health_.note_connection_outcome(context_.now);
    result(SignalSource::passive, false);
  }

  // Connections on an endpoint that serves nobody are lost until they end. An endpoint that answers health
  // checks with errors may still serve them; one that is slower than any client's patience does not.
  bool unable_to_serve() const {
    return health_.unresponsive() || latency_.over_every_deadline(context_.now);
  }

  std::optional<SheddingReason> shedding_reason() const {
    if (card_.open == 0) {
      return {};
    }
    if (unable_to_serve()) {
      return SheddingReason::unresponsive;
    }
    if (!in_service()) {
      return SheddingReason::leaving;
    }
    if (latency_.justifies_migration(context_.now)) {
      return SheddingReason::over_objective;
    }
    return {};
  }

  void shed_connections() {
    const std::optional<SheddingReason> reason = shedding_reason();
    if (!reason) {
      return;
    }
    const std::optional<SheddingBatch> batch =
        shedding_.next_batch(context_.now, *reason, !in_service(), fleet_.frozen);
    if (!batch) {
      return;
    }
    Note& note = context_.write(Part::desk, Topic::evict, id_);
    note.leaving = !in_service();
    note.part = batch->share;
    note.fleet = fleet_;
    if (batch->starts_episode) {
      context_.log("host " + id_ + " gives up connections, open " + std::to_string(card_.open) +
                   describe(*reason));
    }
  }

  std::string describe(SheddingReason reason) const {
    switch (reason) {
      case SheddingReason::unresponsive:
        return ", probes unanswered";
      case SheddingReason::leaving:
        return ", leaving the list";
      case SheddingReason::over_objective:
        break;
    }
    return ", message ms " + figure(latency_.latency() / kMs);
  }

  void result(SignalSource source, bool good) {
    const bool turned = health_.add_result(source, good);
    if (!good) {
      schedule_.hurry(context_.now);
    }
    if (turned) {
      context_.log("host " + id_ + (source == SignalSource::active ? " probes " : " set-ups ") +
                   (good ? "good" : "bad") + ", share good " +
                   figure(health_.signal(source).success_share()) + ", score " + figure(health_.score()));
      if (!good) {
        ramp_.restart_after_cooldown(context_.now);
      }
    } else if (!good && !ramp_.complete() && health_.signal(source).healthy()) {
      ramp_.restart(context_.now);  // each step is gated on the score holding
    }
  }

  TimePoint next_ramp_step_at() const { return health_.in_doubt() ? kNever : ramp_.next_step_at(); }

  void advance_ramp() {
    if (context_.now < next_ramp_step_at()) {
      return;
    }
    ramp_.advance(context_.now);
    health_.end_inheritance();
    context_.log("host " + id_ + " climbs to " + figure(ramp_.share()) + ", score " +
                 figure(health_.score()));
  }

  bool may_be_checked() const { return state_ == EndpointState::healthy && schedule_.may_start(); }

  void check_health() {
    if (!may_be_checked() || context_.now < schedule_.next_check_at()) {
      return;
    }
    schedule_.note_started(context_.now, health_.in_doubt(), fleet_.watch);
    sent_work_.add(context_.now, kHealthCheckWork);
    context_.act(ActionKind::probe, "", id_);
  }

  void tell() {
    card_.score = health_.score();
    card_.weight = card_.score / kFullScore * ramp_.share();
    card_.healthy = in_service();
    card_.strained = latency_.slow_until();
    card_.late = latency_.over_objective_until();
    card_.shedding = dropped_connection_at_ > 0 ? dropped_connection_at_ + kStrainHeld : 0;
    card_.cold = slow_start_.ends_at();
    card_.due = std::min(next_ramp_step_at(), may_be_checked() ? schedule_.next_check_at() : kNever);
    if (shedding_reason()) {
      card_.due = std::min(card_.due, shedding_.next_batch_at());
    }
    if (told_ == card_) {
      return;
    }
    context_.write(Part::roster, Topic::card, id_).card = card_;
    if (told_) {
      told_->due = card_.due;
    }
    if (told_ == card_) {
      return;  // when it is due concerns the roster alone
    }
    told_ = card_;
    context_.write(Part::ring, Topic::card, id_).card = card_;
  }

  PolicyContext& context_;
  std::string id_;
  EndpointStatus card_;
  std::optional<EndpointStatus> told_;  // the card as last sent round
  FleetStatistics fleet_;
  EndpointState state_ = EndpointState::removed;
  bool known_ = false;
  bool claimed_gone_ = false;  // the list says so, and it does not bind
  TimePoint left_at_ = 0;
  TimePoint dropped_connection_at_ = 0;
  double load_ = -1;           // over capacity, as last reported
  std::vector<Note> waiting_;  // offers that wait for a probe
  EndpointHealth health_;
  RecoveryRamp ramp_;
  HealthCheckSchedule schedule_;
  MessageLatency latency_;
  SlowStart slow_start_;
  ConnectionRateLimit rate_limit_;
  ConnectionShedding shedding_;
  SentWorkWindow sent_work_;
};

}  // namespace dapplewharf
