// Writes the policy's actions as JSON in the simulator's wire format. Only this file knows the simulator's
// names for actions. It writes straight into the reply's buffer, without a JSON tree, because the simulator
// counts this program's processor time as the cost of its decisions.
#pragma once
#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

#include "config/platform_settings.h"
#include "policy/actions.h"

namespace dapplewharf {

/// Appends actions and values to a reply, which must outlive the writer. The fields of an action are in
/// alphabetical order.
class ActionWriter {
 public:
  explicit ActionWriter(std::string& reply) : reply_(reply) {}

  void write(const StartAttempt& action) {
    begin_object("host", action.endpoint)
        .add_field("limitMs", milliseconds(action.timeout))
        .add_field("req", action.request_id)
        .end_with_verb("Attempt");
  }
  void write(const CancelAttempt& action) {
    begin_object("n", action.attempt).add_field("req", action.request_id).end_with_verb("UndoSend");
  }
  void write(const RejectRequest& action) {
    begin_object("backoffMs", milliseconds(action.retry_after))
        .add_field("req", action.request_id)
        .end_with_verb("Decline");
  }
  void write(const FailRequest& action) {
    begin_object("req", action.request_id).end_with_verb("ReportFailure");
  }
  void write(const MigrateConnection& action) {
    begin_object("req", action.request_id).end_with_verb("Migrate");
  }
  void write(const CheckHealth& action) { begin_object("host", action.endpoint).end_with_verb("Ping"); }
  void write(const SetTimer& action) {
    begin_object("fromNowMs", milliseconds(action.delay))
        .add_field("handle", action.timer)
        .end_with_verb("Remind");
  }
  void write(const WatchEndpoints& /*action*/) { begin_object("on", true).end_with_verb("StreamChanges"); }
  void write(const FetchEndpoints& /*action*/) { reply_ += "{\"verb\":\"Lookup\"}"; }
  void write(const LogMessage& action) { begin_object("msg", action.text).end_with_verb("Debug"); }

  void write_value(std::int64_t number) { write_digits(number); }
  void write_value(int number) { write_digits(number); }
  void write_value(bool flag) { reply_ += flag ? "true" : "false"; }
  // Always with a fraction or an exponent, so that the value reads back as a double.
  void write_value(double number) {
    const std::size_t start = reply_.size();
    write_digits(number);
    if (reply_.find_first_of(".e", start) == std::string::npos) {
      reply_ += ".0";
    }
  }
  // Writes spaces for control characters.
  void write_value(std::string_view text) {
    reply_ += '"';
    for (const char character : text) {
      if (character == '"' || character == '\\') {
        reply_ += '\\';
      }
      reply_ += static_cast<unsigned char>(character) < ' ' ? ' ' : character;
    }
    reply_ += '"';
  }
  void write_value(const std::string& text) { write_value(std::string_view(text)); }

 private:
  static double milliseconds(Duration duration) { return static_cast<double>(duration) / kTicksPerMs; }

  template <class Number>
  void write_digits(Number number) {
    char buffer[32];
    reply_.append(buffer, std::to_chars(buffer, buffer + sizeof buffer, number).ptr);
  }
  template <class Value>
  ActionWriter& begin_object(const char* name, const Value& field_value) {
    reply_ += '{';
    return write_field(name, field_value);
  }
  template <class Value>
  ActionWriter& add_field(const char* name, const Value& field_value) {
    reply_ += ',';
    return write_field(name, field_value);
  }
  template <class Value>
  ActionWriter& write_field(const char* name, const Value& field_value) {
    reply_ += '"';
    reply_ += name;
    reply_ += "\":";
    write_value(field_value);
    return *this;
  }
  void end_with_verb(const char* verb) {
    reply_ += ",\"verb\":\"";
    reply_ += verb;
    reply_ += "\"}";
  }

  std::string& reply_;
};

}  // namespace dapplewharf
