// Writes the policy's actions as the simulator's wire wants them. The one place where actions are mapped to
// the simulator's words. Writes straight into the reply's buffer: what a decision costs is measured around
// this program.
#pragma once
#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

#include "config/platform_settings.h"
#include "policy/actions.h"

namespace dapplewharf {

/// Appends actions and values to a reply that outlives it; fields in the order of their names.
class ActionWriter {
 public:
  explicit ActionWriter(std::string& out) : out_(out) {}

  void write(const StartAttempt& action) {
    open("host", action.endpoint)
        .next("limitMs", milliseconds(action.timeout))
        .next("req", action.request_id)
        .verb("Attempt");
  }
  void write(const CancelAttempt& action) {
    open("n", action.attempt).next("req", action.request_id).verb("UndoSend");
  }
  void write(const RejectRequest& action) {
    open("backoffMs", milliseconds(action.retry_after)).next("req", action.request_id).verb("Decline");
  }
  void write(const FailRequest& action) { open("req", action.request_id).verb("ReportFailure"); }
  void write(const MigrateConnection& action) { open("req", action.request_id).verb("Migrate"); }
  void write(const CheckHealth& action) { open("host", action.endpoint).verb("Ping"); }
  void write(const SetTimer& action) {
    open("fromNowMs", milliseconds(action.delay)).next("handle", action.timer).verb("Remind");
  }
  void write(const WatchEndpoints& /*action*/) { open("on", true).verb("StreamChanges"); }
  void write(const FetchEndpoints& /*action*/) { out_ += "{\"verb\":\"Lookup\"}"; }
  void write(const LogMessage& action) { open("msg", action.text).verb("Debug"); }

  void value(std::int64_t whole) { digits(whole); }
  void value(int whole) { digits(whole); }
  void value(bool flag) { out_ += flag ? "true" : "false"; }
  void value(double figure) {
    const std::size_t from = out_.size();
    digits(figure);
    if (out_.find_first_of(".e", from) == std::string::npos) {
      out_ += ".0";
    }
  }
  void value(std::string_view words) {
    out_ += '"';
    for (const char letter : words) {
      if (letter == '"' || letter == '\\') {
        out_ += '\\';
      }
      out_ += static_cast<unsigned char>(letter) < ' ' ? ' ' : letter;
    }
    out_ += '"';
  }
  void value(const std::string& words) { value(std::string_view(words)); }

 private:
  static double milliseconds(Duration duration) { return static_cast<double>(duration) / kTicksPerMs; }

  template <class Figure>
  void digits(Figure figure) {
    char room[32];
    out_.append(room, std::to_chars(room, room + sizeof room, figure).ptr);
  }
  template <class Value>
  ActionWriter& open(const char* name, const Value& what) {
    out_ += '{';
    return put(name, what);
  }
  template <class Value>
  ActionWriter& next(const char* name, const Value& what) {
    out_ += ',';
    return put(name, what);
  }
  template <class Value>
  ActionWriter& put(const char* name, const Value& what) {
    out_ += '"';
    out_ += name;
    out_ += "\":";
    value(what);
    return *this;
  }
  void verb(const char* name) {
    out_ += ",\"verb\":\"";
    out_ += name;
    out_ += "\"}";
  }

  std::string& out_;
};

}  // namespace dapplewharf
