// Case: a host is silent for a while as a node takes over the connections that stand there.
#include "settings.h"
using namespace rig;

namespace {
constexpr double kSilentFor = 7000;  // of the pages' 5.2 to 19 s
constexpr double kAllUpWithin = 40000;
constexpr int kStanding = 12;
std::atomic<int> up{0}, lost{0};
std::atomic<double> silent_until{0};

void standing_client(const Node& node, int number, const std::string& host) {
  char id[32], key[32];
  std::snprintf(id, sizeof id, "a%07x", number);
  std::snprintf(key, sizeof key, "%016llx", static_cast<unsigned long long>(number) * 0x9e3779b97f4a7c15ULL);
  const int fd = connect_to(node.ip, node.port);
  if (fd < 0) cannot_run("a standing client cannot connect");
  LineReader reader(fd);
  std::string line;
  const double asked = now();
  send_all(fd, std::string("OPEN ") + id + " " + key + " c=legajo,d=40000,at=" + host + "\r\n");
  const Read got = reader.next(line, kAllUpWithin);
  record("client %s (at %s): %s after %.0f ms", id, host.c_str(), got == Read::line ? line.c_str() : "nothing", now() - asked);
  if (got == Read::line && line == "UP r" + std::string(id)) {
    ++up;
  } else {
    ++lost;
  }
  while (!ending && reader.next(line, 200) == Read::timeout) {
  }
  close(fd);
}
}  // namespace

int main(int count, char** arguments) {
  const Case c = begin_case(count, arguments);
  Discovery discovery;
  std::vector<std::unique_ptr<Host>> hosts;
  for (int i = 0; i < 6; ++i) {
    hosts.push_back(std::make_unique<Host>());
    hosts[i]->answers_pings = [i] { return i != 0 || now() >= silent_until; };
    hosts[i]->on_open = [i](Host& host, int fd, LineReader& reader, Open& open) {
      std::string line;
      while (i == 0 && now() < silent_until) {  // takes the line and answers nothing yet
        const Read got = reader.next(line, std::max(1.0, silent_until - now()));
        if (got == Read::closed || got == Read::reset) {
          record("host %s: the node gave up %s", host.id.c_str(), open.id.c_str());
          close(fd);
          return;
        }
      }
      send_all(fd, "UP r" + open.id + "\r\n");
      record("host %s: UP for %s", host.id.c_str(), open.id.c_str());
      echo_lines(host, fd, reader, open);
    };
    hosts[i]->start("s-" + std::to_string(i), "127.0.0." + std::to_string(20 + i));
    discovery.entries.push_back({.id = hosts[i]->id, .host_port = hosts[i]->address()});
  }
  discovery.start("127.0.0.10");
  auto nodes = make_nodes(1, c.tmp);
  Node& node = *nodes[0];
  Settings settings;
  settings.discovery = "pushed";
  settings.semantics = "at_most_once";
  write_config(node, discovery.address(), discovery.list(-1), settings.json());
  node.start(c.root, c.run, discovery.address());
  if (!node.wait_ready(10000)) cannot_run("the node is not ready");
  if (c.trouble) {
    silent_until = now() + kSilentFor;
    record("host s-0 is silent until %.0f", silent_until.load());
  }
  for (int i = 0; i < kStanding; ++i) {
    spawn([&node, i, &hosts] { standing_client(node, i + 1, hosts[static_cast<std::size_t>(i) % hosts.size()]->id); });
  }
  const double until = now() + kAllUpWithin + 1000;
  while (now() < until && up + lost < kStanding) {
    sleep_ms(50);
    if (node.has_exited()) cannot_run("the node ended");
  }
  char verdict[300];
  std::snprintf(verdict, sizeof verdict, "standing connections: %d, up %d, not up within 40 s or answered otherwise %d: %s",
                kStanding, up.load(), kStanding - up.load(), up == kStanding ? "held" : "BROKEN (one that is not up after 40 s is lost)");
  finish(up == kStanding ? 0 : 1, verdict);
}
