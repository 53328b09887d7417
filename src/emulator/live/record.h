// What the rig's processes have observed, one record a line. The parent merges the records of all processes
// by time and replays them into the auditor. This part defines the form of a line; it does not interpret a
// sequence of them. Times are ticks of 0.1 ms since the run began.
#pragma once
#include <string>
#include <vector>

#include "base/time.h"

namespace dapplewharf::emulator {

/// The kind of a record, by the letter that is written. Behind each: what the record's id and values hold.
enum class RecordKind : char {
  request_sent = 'a',                // id, node, traffic type, 1: the connection was open before the run
  answer_received = 'r',             // id, Reply, milliseconds of the Retry-After value
  client_gave_up = 'g',              // id
  connection_ended = 'e',            // id, 0 by the client, 1 migrated, 2 cut
  line_compared = 'b',               // id, 1: the bytes are those that were sent
  value_requested = 'w',             // traffic type, from, to
  value_served = 'v',                // traffic type, from, to
  established_clients = 'c',         // their number
  line_returned = 'l',               // node, delay in ticks
  setup_finished = 'u',              // node, duration in ticks
  attempt_received = 't',            // id, node, endpoint
  attempt_executed = 'n',            // id, endpoint
  attempt_ended = 'o',               // id, endpoint, 1: may have run
  cold_load = 'p',                   // endpoint, thousandths of the load under which it falls over
  endpoint_reported = 'd',           // node, endpoint, 1: it leaves
  endpoint_closed_connection = 'x',  // id, endpoint
  endpoint_state = 's',              // endpoint, 1: up
  open_connections = 'h',            // endpoint, connections
  health_check = 'q',                // endpoint
  node_killed = 'k',                 // node
  node_started = 'f',                // node, started again
  node_shutting_down = 'j',          // node, told to end
  descriptors_exhausted = 'y',       // the recording process had no descriptor left
  event_loop_late = 'z'              // lateness of the recording process in ticks
};

struct Record {
  TimePoint when = 0;
  RecordKind kind = RecordKind::event_loop_late;
  std::string id;            // of the request; empty where the kind has none
  long a = 0, b = 0, c = 0;  // values, in the order that the kind lists
};

class Records {
 public:
  void add(TimePoint when, RecordKind kind, const std::string& id, long a = 0, long b = 0, long c = 0);
  /// Writes all records and an end mark; throws BadInput if the file cannot be written.
  void write(const std::string& path) const;
  /// Reads a file of records; throws std::runtime_error if its end mark is missing.
  static std::vector<Record> read(const std::string& path);

 private:
  std::string text_;
};

}  // namespace dapplewharf::emulator
