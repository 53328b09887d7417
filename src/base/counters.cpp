#include "base/counters.h"

#include <spdlog/fmt/fmt.h>

namespace dapplewharf {

std::string Counters::told() const {
  return fmt::format(
      "counters taken-in accepted={} greeted={} attachments={} handed-over={} malformed={} evicted={} "
      "lists={} "
      "lists-lost={} reloads={} reloads-refused={}"
      " | sent tries={} written={} probes={} list-calls={} bytes-to-hosts={} bytes-to-clients={}"
      " | tries up={} error={} turned-away={} unanswered={} not-connected={} lost={} ended={} cancelled={}"
      " not-sent={} withdrawn={} | answered honoured={} rejected={} scrapped={} moved={} left={} overdue={} "
      "no-descriptor={} | words told={} heard={} passed={}"
      " | faults accept-failures={} local-failures={} reattached={} violations={}",
      accepted, greeted, taken, handed_over, malformed, evicted, lists, lists_lost, reloads, reloads_refused,
      tries, tries_written, probes, list_calls, bytes_to_hosts, bytes_to_clients, up, errors, turned_away,
      unanswered, not_connected, lost, ended, cancelled, not_sent, withdrawn, honoured, rejected, scrapped,
      moved, left, overdue, no_descriptor, words_told, words_heard, words_passed, accept_failures,
      local_failures, reattached, violations);
}

}  // namespace dapplewharf
