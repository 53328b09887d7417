// The state of one endpoint at this node. Endpoint applies the rules of health, recovery ramp, slow start,
// rate limit, shedding and health checks, decides whether the endpoint may take a request, and publishes the
// endpoint's status to the other parts of the policy. Design: docs/design.md.
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

/// The state of one endpoint. Created when the endpoint list first names the endpoint, and never deleted.
class Endpoint {
 public:
  std::vector<EndpointMessage> inbox;  // filled and emptied by the message loop

  /// @param context must outlive this object. The constructor draws one random number from it.
  Endpoint(PolicyContext& context, std::string id);

  /// Handles one message, then posts the endpoint's status if it has changed.
  void handle_message(const EndpointMessage& message);

 private:
  void handle(const EndpointListed& message);
  void handle(const EndpointUnlisted& message);
  void handle(const EndpointWakeUp& message);
  void handle(const ListFreshnessObserved& message);
  void handle(const AdmissionRequest& message);
  void handle(const ConnectionRestored& message);
  void handle(const AttemptSucceeded& message);
  void handle(const AttemptFinished& message);
  void handle(const LatencyObserved& message);
  void handle(const GossipObserved& message);
  void handle(const HealthCheckEnded& message);

  // The endpoint list.
  void leave_service(EndpointState state);
  [[nodiscard]] bool is_in_service() const;

  // Admission.
  [[nodiscard]] bool may_take_request(bool is_mid_connection) const;
  [[nodiscard]] bool may_resume_while_draining(bool is_mid_connection) const;
  [[nodiscard]] SlowStartConditions slow_start_conditions() const;
  [[nodiscard]] SurgeConditions surge_conditions() const;
  [[nodiscard]] double sustained_per_capacity() const;
  [[nodiscard]] bool reports_headroom() const { return status_.headroom_until > context_.now; }
  [[nodiscard]] bool needs_health_check_first(const CandidateList& candidates) const;
  [[nodiscard]] bool is_at_reported_capacity(const CandidateList& candidates) const;
  void admit_or_decline(const CandidateList& candidates);

  // Health.
  [[nodiscard]] bool may_check_health() const;
  void check_health_if_due();
  void record_reported_load(const HealthCheckEnded& check);
  void return_waiting_requests(Outcome check_outcome);
  void record_check_outcome(Outcome outcome);
  void record_result(SignalSource source, bool succeeded);
  void log_signal_change(SignalSource source, bool is_healthy);
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
  FleetStatistics fleet_;  // as last received

  EndpointState state_ = EndpointState::removed;
  bool was_listed_ = false;              // the list has named it as healthy at some time
  bool is_list_in_doubt_ = false;        // it is a cached list, and later changes may have been missed
  bool may_be_draining_ = false;         // it has rejected a request while the list was in doubt
  bool is_removal_unconfirmed_ = false;  // the list removed it without a drain; health checks decide
  TimePoint left_service_at_ = 0;
  std::optional<TimePoint> connection_lost_at_;  // when an established connection last broke

  EndpointHealth health_;
  RecoveryRamp ramp_;
  HealthCheckSchedule check_schedule_;
  MessageLatency latency_;
  SlowStart slow_start_;
  ConnectionRateLimit rate_limit_;
  ConnectionShedding shedding_;
  SentWorkWindow sent_work_;
  std::vector<CandidateList> waiting_for_check_;  // requests that wait for the health check in flight
};

}  // namespace dapplewharf
