#include "config/schema.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace dapplewharf::config {
namespace {

constexpr double kMinute = 60000, kHour = 3600000;
constexpr double kMiB = 1048576;

}  // namespace

const std::vector<BlockRow>& blocks() {
  static const std::vector<BlockRow> table = {
      {"sidecar", true, false, true, false, "", "the program beside one application, named by its label"},
      {"pool", true, true, true, false, "", "a set of hosts, and the list that names them"},
      {"route", true, true, false, false, "", "which traffic types go to which pool"},
      {"traffic", true, true, true, false, "/settings/lanes[]", "a traffic type"},
      {"tenant", true, true, false, false, "/settings/realms[]", "a tenant and its share"},
      {"fleet", false, false, false, false, "/settings", "what this node is among others"},
      {"limits", false, false, false, false, "", "what the process and its tries may use"},
      {"rules", false, false, true, false, "/settings/guarantees", "the figures of the four rules"},
      {"prices", false, false, false, false, "/settings/charges", "what the operators take off for"},
      {"shadow", false, false, false, true, "", "settings of another shape that are only watched"},
      {"log", false, false, false, true, "", "the log on standard output"}};
  return table;
}

const std::vector<Row>& rows() {
  using T = Type;
  static const std::vector<Row> table = {
      {"sidecar", "listen", T::address, 0, 0, "", "", "0.2", false, "/listen",
       "where clients connect; no other sidecar of the machine may have it"},
      {"sidecar", "seed", T::text, 0, 0, "", "\"1\"", "0.2", false, "/seed",
       "chance is drawn from it; hexadecimal, another for each node"},
      {"pool", "discovery", T::address, 0, 0, "", "", "0.2", true, "/discovery",
       "where the list of hosts is asked for"},
      {"pool", "mode", T::word, 0, 0, "on_request pushed", "on_request", "0.2", false, "/settings/discovery",
       "whether the list answers when asked, or changes come unasked"},
      {"pool", "weights", T::word, 0, 0, "silent nominal rough live", "nominal", "0.3", true,
       "/settings/weights",
       "what the list's weight says; live: the size over 1 and what is held for each core, so it moves"},
      {"pool", "ask_within", T::duration, 500, 10 * kMinute, "", "10s", "0.2", true,
       "/settings/guarantees/askWithinMs", "a node that has not asked for so long counts as told"},
      {"route", "traffic", T::list, 0, 0, "", "", "0.2", true, "", "names of traffic types"},
      {"route", "pool", T::text, 0, 0, "", "", "0.2", true, "", "the label of a pool"},
      {"traffic", "effect", T::word, 0, 0, "idempotent deduplicated unrepeatable", "unrepeatable", "0.2",
       true, "/semantics", "what a repeated setup try does; unrepeatable ones are never tried twice"},
      {"traffic", "repeat_group", T::word, 0, 0, "all zone cell", "all", "0.2", true, "/group",
       "where deduplicated: the hosts that know each other's repeats"},
      {"traffic", "repeat_window", T::duration, 0, kHour, "", "5s", "0.2", true, "/windowMs",
       "where deduplicated: for how long they know them"},
      {"traffic", "latency_goal", T::duration, 1, 10 * kMinute, "", "", "0.2", true, "/objectiveMs",
       "a set-up within this time has its full value"},
      {"traffic", "expiry", T::duration, 1, 10 * kMinute, "", "", "0.2", true, "/hardLimitMs",
       "when the client gives up"},
      {"traffic", "message_goal", T::duration, 1, 10 * kMinute, "", "-", "0.2", true,
       "@/settings/extra/messageAimMs", "for a message on a standing connection"},
      {"traffic", "value", T::number, 0, 1000000, "", "1", "0.2", true, "/worth", "of a second well served"},
      {"tenant", "share", T::share, 0, 1, "", "", "0.2", true, "/portion",
       "of the service; all together 100% at the most"},
      {"tenant", "open", T::number, 0, 1e9, "", "-", "0.2", true, "@/settings/extra/tenantQuotaConnections",
       "open connections within its share, at all nodes together"},
      {"fleet", "nodes", T::number, 1, 100000, "", "1", "0.2", true, "/peersTotal", "how many there are"},
      {"fleet", "me", T::number, 0, 100000, "", "0", "0.2", true, "/me", "this one's number among them"},
      {"fleet", "zone", T::text, 0, 0, "", "\"\"", "0.2", true, "/zone",
       "its zone; hosts of the same come first"},
      {"fleet", "groups", T::flag, 0, 0, "", "off", "0.2", true, "/extra/groups",
       "connections of a group share work at their host"},
      {"fleet", "over_share_value", T::share, 0, 1, "", "100%", "0.2", true, "/overShareWorth",
       "of what goes beyond a tenant's share, of its value"},
      {"limits", "descriptors", T::number, 64, 1e6, "", "1024", "0.2", true, "/limits/sockets",
       "of the process; the last sixteen are kept for answers"},
      {"limits", "memory", T::size, 8 * kMiB, 1e12, "", "192MiB", "0.2", true, "/limits/memory_mb",
       "what the platform grants the process"},
      {"limits", "cores", T::number, 0.01, 1024, "", "1", "0.2", true, "/limits/cores",
       "what the platform grants the process"},
      {"limits", "tries", T::number, 1, 20, "", "1", "0.2", true, "/settings/bounds/maxAttempts",
       "setup tries of an attachment, one at a time"},
      {"limits", "connect", T::duration, 1, kMinute, "", "1s", "0.2", true, "/settings/bounds/dialTimeoutMs",
       "until a connection to a host counts as not made"},
      {"limits", "come_back", T::duration, 0, kMinute, "", "0ms", "0.2", true,
       "/settings/bounds/maxRetryAfterMs",
       "longest time to come back that rejected clients are told; 0ms: they are told none"},
      {"limits", "probes", T::flag, 0, 0, "", "off", "0.2", true, "/settings/bounds/probes",
       "hosts may be probed; without, half of a host's score is blind"},
      {"rules", "grace_to_answer", T::duration, 0, kMinute, "", "0ms", "0.2", true, "/graceToAnswerMs",
       "after the expiry, for a final answer to count"},
      {"rules", "drain_grace", T::duration, 1, kMinute, "", "", "0.2", true, "/stopSendingWithinMs",
       "nothing new to a host later than this after it is known to leave"},
      {"rules", "drain_binds_alone", T::flag, 0, 0, "", "off", "0.2", true, "/drainBindsAlone",
       "only a drain binds; a host called gone, or left out, without one is used while its probes are good"},
      {"rules", "cold_from", T::share, 0.001, 1, "", "", "0.2", true, "/coldFrom",
       "of its capacity that a host has when it starts"},
      {"rules", "cold_time", T::duration, 1, kHour, "", "", "0.2", true, "/coldMs", "after which it is warm"},
      {"rules", "fall_multiple", T::number, 1, 100, "", "", "0.2", true, "/fallMultiple",
       "of a cold host's present capacity that pushes it over"},
      {"rules", "fall_time", T::duration, 1, kMinute, "", "", "0.2", true, "/fallMs",
       "when it is sent so much for so long"},
      {"rules", "further_tries", T::number, 0, 1e6, "", "-", "0.4", true, "/extraFloor",
       "tries beyond an attachment's first that this node may make in further_tries_span, however little "
       "comes"},
      {"rules", "further_tries_share", T::share, 0, 100, "", "-", "0.4", true, "/repeatRatio",
       "and as many more, of the attachments that it took in that span"},
      {"rules", "further_tries_span", T::duration, 1, kHour, "", "-", "0.4", true, "/countedOverMs",
       "over which both are counted; the three stand together, without them tries are not rationed"},
      {"prices", "probe", T::number, 0, 1000, "", "0", "0.2", true, "/probe", "of one probe an attachment"},
      {"prices", "move", T::number, 0, 1000, "", "0", "0.2", true, "/moves", "of moving each client once"},
      {"prices", "crossing", T::number, 0, 1000, "", "0", "0.2", true, "/crossZone",
       "of each attachment crossing zones once"},
      {"shadow", "settings", T::text, 0, 0, "", "\"\"", "0.3", true, "",
       "a configuration in this language or the platform's form; on by a restart, off or changed by a "
       "reload"},
      {"log", "format", T::word, 0, 0, "text json", "text", "0.2", true, "",
       "a line of text, or one JSON object a line"},
      {"log", "level", T::word, 0, 0, "debug info warning error off", "info", "0.2", true, "",
       "the least that is written"},
      {"log", "decisions", T::word, 0, 0, "debug info warning error off", "info", "0.2", true, "",
       "the same for the decision module's own lines"}};
  return table;
}

const Row* row_of(const std::string& block, const std::string& name) {
  for (const Row& row : rows()) {
    if (block == row.block && name == row.name) {
      return &row;
    }
  }
  return nullptr;
}

const BlockRow* block_of(const std::string& name) {
  for (const BlockRow& row : blocks()) {
    if (name == row.name) {
      return &row;
    }
  }
  return nullptr;
}

std::vector<std::string> words_of(const Row& row) {
  std::vector<std::string> out;
  std::istringstream in(row.words);
  for (std::string one; in >> one;) {
    out.push_back(one);
  }
  return out;
}

std::string nearest(const std::string& name, const std::vector<std::string>& of) {
  std::string best;
  std::size_t least = std::max<std::size_t>(name.size() < 4 ? 1 : 2, name.size() / 3) + 1;
  for (const std::string& other : of) {
    std::vector<std::size_t> row(other.size() + 1);
    for (std::size_t j = 0; j <= other.size(); ++j) {
      row[j] = j;
    }
    for (std::size_t i = 1; i <= name.size(); ++i) {
      std::size_t before = row[0]++;
      for (std::size_t j = 1; j <= other.size(); ++j) {
        const std::size_t changed = before + (name[i - 1] != other[j - 1]);
        before = row[j];
        row[j] = std::min({row[j] + 1, row[j - 1] + 1, changed});
      }
    }
    if (row.back() < least) {
      least = row.back(), best = other;
    }
  }
  return best;
}

namespace {

std::string bound_text(const Row& row, double amount) {
  switch (row.type) {
    case Type::duration:
      return duration_text(amount);
    case Type::size:
      return size_text(amount);
    case Type::share:
      return number_text(std::round(amount * 1e6) / 1e4) + "%";
    default:
      return number_text(amount);
  }
}

std::string values_text(const Row& row) {
  if (*row.words) {
    return row.words;
  }
  if (row.least == 0 && row.most == 0) {
    return name_of(row.type);
  }
  return bound_text(row, row.least) + " to " + bound_text(row, row.most);
}

}  // namespace

std::string reference() {
  std::ostringstream out;
  for (const BlockRow& block : blocks()) {
    out << "### `" << block.name << (block.labelled ? " \"LABEL\"" : "") << " { }`\n\n"
        << block.help << (block.needed ? "; needed" : "") << (block.repeated ? "; any number" : "; once")
        << (block.operators ? "; also in the operators' own file" : "") << ".\n\n"
        << "| name | values | without it | reload | since | meaning |\n| --- | --- | --- | --- | --- | --- "
           "|\n";
    for (const Row& row : rows()) {
      if (std::string(block.name) == row.block) {
        out << "| `" << row.name << "` | " << values_text(row) << " | "
            << (*row.without ? row.without : "needed") << " | " << (row.reload ? "yes" : "restart") << " | "
            << row.since << " | " << row.help << " |\n";
      }
    }
    out << "\n";
  }
  std::string text = out.str();
  text.pop_back();  // no blank line at the end
  return text;
}

std::string explain(const std::string& name) {
  std::ostringstream out;
  for (const BlockRow& block : blocks()) {
    if (name == block.name) {
      out << name << (block.labelled ? " \"LABEL\"" : "") << " { }: " << block.help << "\n";
      for (const Row& row : rows()) {
        if (name == row.block) {
          out << "  " << row.name << " = " << values_text(row) << (*row.without ? "" : " (needed)") << "\n";
        }
      }
    }
  }
  for (const Row& row : rows()) {
    if (name == row.name || name == std::string(row.block) + "." + row.name) {
      out << row.block << "." << row.name << ": " << row.help << "\n  values: " << values_text(row)
          << "\n  without it: " << (*row.without ? row.without : "the configuration is refused")
          << "\n  a reload takes it: " << (row.reload ? "yes" : "no, a restart") << "\n  since: " << row.since
          << "\n";
    }
  }
  return out.str();
}

std::string canonical(const Value& value) {
  switch (value.type) {
    case Type::text:
      return in_quotes(value.raw);
    case Type::duration:
      return duration_text(value.amount);
    case Type::size:
      return size_text(value.amount);
    case Type::share:
      return number_text(std::round(value.amount * 1e8) / 1e6) + "%";
    case Type::rate:
      return number_text(value.amount) + "/s";
    case Type::number:
      return number_text(value.amount);
    case Type::list: {
      std::string out = "[";
      for (std::size_t i = 0; i < value.items.size(); ++i) {
        out += (i ? ", " : "") + canonical(value.items[i]);
      }
      return out + "]";
    }
    default:
      return value.raw;
  }
}

}  // namespace dapplewharf::config
