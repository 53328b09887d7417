// Clients as the protocol page has them: OPEN, wait for UP, a line every two seconds, back after MOVE or a break.
#pragma once
#include "settings.h"

namespace rig {
inline std::atomic<int> last_client_id{0};
struct Opened {
  int fd = -1;
  std::string id, answer;  // empty: no line came in time, or the connection ended
};
inline Opened open_connection(const Node& node, double deadline_ms, const std::string& more = "") {
  Opened opened;
  char id[32], key[32];
  const int number = ++last_client_id;
  std::snprintf(id, sizeof id, "c%07x", number);
  std::snprintf(key, sizeof key, "%016llx", static_cast<unsigned long long>(number) * 0x9e3779b97f4a7c15ULL);
  opened.id = id;
  opened.fd = connect_to(node.ip, node.port);
  if (opened.fd < 0) return opened;
  char line[200];
  std::snprintf(line, sizeof line, "OPEN %s %s c=legajo,d=%.0f%s\r\n", id, key, deadline_ms, more.c_str());
  send_all(opened.fd, line);
  LineReader reader(opened.fd);
  // The host sends nothing after UP before the client does, so no bytes stay behind in this reader.
  std::string answer;
  if (reader.next(answer, deadline_ms + 600) == Read::line) opened.answer = answer;
  record("client %s at %s: %s", id, node.name.c_str(), opened.answer.empty() ? "no answer" : opened.answer.c_str());
  return opened;
}
inline bool is_up(const Opened& opened) { return word(opened.answer, 0) == "UP"; }
}  // namespace rig
