// Event counters of a node, with their names and descriptions, and their output as one log line. No decision
// depends on a counter. See docs/oncall.md, "Counters".
#pragma once
#include <array>
#include <cstdint>
#include <string>

namespace dapplewharf {

/// All counters of a node, since the process started.
struct Counters {
  // received
  std::uint64_t clients_accepted = 0;
  std::uint64_t pings_answered = 0;
  std::uint64_t requests_received = 0;
  std::uint64_t connections_adopted = 0;
  std::uint64_t malformed_requests = 0;
  std::uint64_t silent_clients_evicted = 0;
  std::uint64_t endpoint_lists = 0;
  std::uint64_t endpoint_list_calls_lost = 0;
  std::uint64_t reloads = 0;
  std::uint64_t reloads_rejected = 0;
  // sent
  std::uint64_t attempts = 0;
  std::uint64_t attempts_written = 0;
  std::uint64_t health_checks = 0;
  std::uint64_t endpoint_list_calls = 0;
  std::uint64_t bytes_to_endpoints = 0;
  std::uint64_t bytes_to_clients = 0;
  // how attempts ended
  std::uint64_t attempts_established = 0;
  std::uint64_t attempt_errors = 0;
  std::uint64_t attempts_rejected = 0;
  std::uint64_t attempts_timed_out = 0;
  std::uint64_t attempts_not_connected = 0;
  std::uint64_t connections_lost = 0;
  std::uint64_t connections_completed = 0;
  std::uint64_t attempts_cancelled = 0;
  std::uint64_t attempts_not_sent = 0;
  std::uint64_t attempts_withdrawn = 0;
  // final answers
  std::uint64_t requests_succeeded = 0;
  std::uint64_t requests_rejected = 0;
  std::uint64_t requests_failed = 0;
  std::uint64_t connections_migrated = 0;
  std::uint64_t clients_left = 0;
  std::uint64_t requests_overdue = 0;
  std::uint64_t clients_rejected_without_descriptor = 0;
  // gossip
  std::uint64_t gossip_sent = 0;
  std::uint64_t gossip_received = 0;
  std::uint64_t gossip_ignored = 0;
  // faults of the system and of this program
  std::uint64_t accept_failures = 0;
  std::uint64_t local_connect_failures = 0;
  std::uint64_t reconnects = 0;
  std::uint64_t rule_violations = 0;

  /// @return one line "counters name=value ..." with the names of `kCounterTable`.
  [[nodiscard]] std::string format() const;
  /// @return one line with the former names, in the order and form of the previous release; it will be
  /// removed in the next release.
  [[nodiscard]] std::string format_with_former_names() const;
};

/// The names of a counter and what it counts.
struct CounterDescription {
  std::uint64_t Counters::*value;
  const char* name;
  const char* former_name;  ///< also printed, until the next release
  const char* meaning;
};

/// All counters, in the order in which they are printed.
inline constexpr std::array kCounterTable{
    CounterDescription{&Counters::clients_accepted, "clients_accepted", "accepted",
                       "client connections accepted"},
    CounterDescription{&Counters::pings_answered, "pings_answered", "greeted", "PING lines answered"},
    CounterDescription{&Counters::requests_received, "requests_received", "attachments",
                       "well-formed OPEN lines"},
    CounterDescription{&Counters::connections_adopted, "connections_adopted", "handed-over",
                       "requests for a connection that was open before this process started"},
    CounterDescription{&Counters::malformed_requests, "malformed_requests", "malformed",
                       "clients refused for breaking the protocol"},
    CounterDescription{&Counters::silent_clients_evicted, "silent_clients_evicted", "evicted",
                       "silent clients dropped for their descriptor"},
    CounterDescription{&Counters::endpoint_lists, "endpoint_lists", "lists", "endpoint lists received"},
    CounterDescription{&Counters::endpoint_list_calls_lost, "endpoint_list_calls_lost", "lists-lost",
                       "calls to discovery without a usable answer"},
    CounterDescription{&Counters::reloads, "reloads", "reloads", "SIGHUPs"},
    CounterDescription{&Counters::reloads_rejected, "reloads_rejected", "reloads-refused",
                       "SIGHUPs whose configuration was rejected"},
    CounterDescription{&Counters::attempts, "attempts", "tries", "attempts begun"},
    CounterDescription{&Counters::attempts_written, "attempts_written", "written",
                       "attempts whose request was sent in full"},
    CounterDescription{&Counters::health_checks, "health_checks", "probes", "health checks begun"},
    CounterDescription{&Counters::endpoint_list_calls, "endpoint_list_calls", "list-calls",
                       "calls to discovery"},
    CounterDescription{&Counters::bytes_to_endpoints, "bytes_to_endpoints", "bytes-to-hosts",
                       "bytes of established connections received for their hosts"},
    CounterDescription{&Counters::bytes_to_clients, "bytes_to_clients", "bytes-to-clients",
                       "bytes of established connections received for their clients"},
    CounterDescription{&Counters::attempts_established, "attempts_established", "up",
                       "attempts that the host answered with UP"},
    CounterDescription{&Counters::attempt_errors, "attempt_errors", "error",
                       "attempts that the host answered with ERR or outside the protocol"},
    CounterDescription{&Counters::attempts_rejected, "attempts_rejected", "turned-away",
                       "attempts that the host answered with BUSY"},
    CounterDescription{&Counters::attempts_timed_out, "attempts_timed_out", "unanswered",
                       "attempts without an answer in time"},
    CounterDescription{&Counters::attempts_not_connected, "attempts_not_connected", "not-connected",
                       "attempts that ended before the request was sent in full"},
    CounterDescription{&Counters::connections_lost, "connections_lost", "lost",
                       "attempts and connections broken after the request was sent"},
    CounterDescription{&Counters::connections_completed, "connections_completed", "ended",
                       "connections that the host ended with BYE"},
    CounterDescription{&Counters::attempts_cancelled, "attempts_cancelled", "cancelled",
                       "attempts and connections that the client or this node ended"},
    CounterDescription{&Counters::attempts_not_sent, "attempts_not_sent", "not-sent",
                       "attempts that this machine could not connect"},
    CounterDescription{&Counters::attempts_withdrawn, "attempts_withdrawn", "withdrawn",
                       "attempts whose host left before the first byte"},
    CounterDescription{&Counters::requests_succeeded, "requests_succeeded", "honoured",
                       "requests answered with UP"},
    CounterDescription{&Counters::requests_rejected, "requests_rejected", "rejected",
                       "requests answered with BUSY"},
    CounterDescription{&Counters::requests_failed, "requests_failed", "scrapped",
                       "requests answered with ERR"},
    CounterDescription{&Counters::connections_migrated, "connections_migrated", "moved",
                       "connections sent MOVE"},
    CounterDescription{&Counters::clients_left, "clients_left", "left",
                       "clients that left before their answer"},
    CounterDescription{&Counters::requests_overdue, "requests_overdue", "overdue",
                       "requests answered after their deadline"},
    CounterDescription{&Counters::clients_rejected_without_descriptor, "clients_rejected_without_descriptor",
                       "no-descriptor", "clients answered BUSY because no descriptor was left"},
    CounterDescription{&Counters::gossip_sent, "gossip_sent", "told", "gossip messages sent"},
    CounterDescription{&Counters::gossip_received, "gossip_received", "heard",
                       "gossip messages received and used"},
    CounterDescription{&Counters::gossip_ignored, "gossip_ignored", "passed",
                       "gossip messages that were foreign, stale or unreadable"},
    CounterDescription{&Counters::accept_failures, "accept_failures", "accept-failures",
                       "accept calls that failed"},
    CounterDescription{&Counters::local_connect_failures, "local_connect_failures", "local-failures",
                       "connects that failed on this machine and were retried"},
    CounterDescription{&Counters::reconnects, "reconnects", "reattached",
                       "further attempts for adopted connections"},
    CounterDescription{&Counters::rule_violations, "rule_violations", "violations",
                       "steps that the request ledger refused"},
};

}  // namespace dapplewharf
