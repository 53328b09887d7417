// One endpoint as this node sees it. Puts the rules of health, recovery, slow start, rate limits, shedding
// and health checks together, decides whether the endpoint may take a request, and tells the other parts of
// the policy its status. Design: docs/design.md.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "policy/connection_rate_limit.h"
#include "policy/connection_shedding.h"
#include "policy/endpoint_health.h"
#include "policy/health_check_schedule.h"
#include "policy/message_latency.h"
#include "policy/messages.h"
#include "policy/recovery_ramp.h"
#include "policy/sent_work_window.h"
#include "policy/slow_start.h"

namespace dapplewharf {

/// The state of one endpoint. Created when the endpoint list first names it, and kept from then on.
class Endpoint {
 public:
  std::vector<EndpointMessage> inbox;  // filled and emptied by the message loop

  /// @param context must outlive this object. One random number is drawn from it.
  Endpoint(PolicyContext& context, std::string id);

  /// Handles one message and posts what follows from it.
  void read(const EndpointMessage& message);

 private:
  void handle(const EndpointListed& message);
  void handle(const EndpointUnlisted& message);
  void handle(const EndpointTick& message);
  void handle(const AdmissionRequest& message);
  void handle(const ConnectionOpened& message);
  void handle(const AttemptSucceeded& message);
  void handle(const AttemptFinished& message);
  void handle(const LatencyObserved& message);
  void handle(const GossipObserved& message);
  void handle(const HealthCheckEnded& message);

  // The endpoint list.
  void leave_service(EndpointState state);
  [[nodiscard]] bool in_service() const;

  // Admission.
  [[nodiscard]] bool may_take_request(bool is_mid_connection) const;
  [[nodiscard]] bool may_take_connection_while_leaving(bool is_mid_connection) const;
  [[nodiscard]] SlowStartConditions slow_start_conditions() const;
  [[nodiscard]] SurgeConditions surge_conditions() const;
  [[nodiscard]] double sustained_by_warm() const;
  [[nodiscard]] bool reports_headroom() const { return status_.headroom_until > context_.now; }
  [[nodiscard]] bool needs_health_check_first(const CandidateList& candidates) const;
  [[nodiscard]] bool at_reported_capacity(const CandidateList& candidates) const;
  void admit_or_decline(const CandidateList& candidates);

  // Health.
  [[nodiscard]] bool may_check_health() const;
  void check_health_if_due();
  void record_reported_load(const HealthCheckEnded& check);
  void return_waiting_requests(Outcome check_outcome);
  void record_check_outcome(Outcome outcome);
  void record_result(SignalSource source, bool succeeded);
  void log_signal_turn(SignalSource source, bool healthy);
  [[nodiscard]] TimePoint next_ramp_step_at() const;
  void advance_ramp_if_due();

  // Shedding.
  [[nodiscard]] std::optional<SheddingReason> shedding_reason() const;
  void shed_connections_if_due();
  void log_shedding(SheddingReason reason);

  // Status.
  void update_status();
  [[nodiscard]] TimePoint next_wake_up() const;
  void post_status();

  PolicyContext& context_;
  std::string id_;
  EndpointStatus status_;
  std::optional<EndpointStatus> posted_status_;
  FleetStatistics fleet_;  // as last told

  EndpointState state_ = EndpointState::removed;
  bool was_listed_ = false;           // as healthy, at any time
  bool removal_unconfirmed_ = false;  // the list calls it removed, and only drains bind
  TimePoint left_service_at_ = 0;
  std::optional<TimePoint> dropped_connection_at_;

  EndpointHealth health_;
  RecoveryRamp ramp_;
  HealthCheckSchedule check_schedule_;
  MessageLatency latency_;
  SlowStart slow_start_;
  ConnectionRateLimit rate_limit_;
  ConnectionShedding shedding_;
  SentWorkWindow sent_work_;
  std::vector<CandidateList> waiting_for_check_;
};

}  // namespace dapplewharf
