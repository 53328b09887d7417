// A new configuration names another discovery and a smaller limit of sockets than the node holds.
#include "clients.h"
using namespace rig;

namespace {
// 160 clients are under a third of the first limit; with their connections to hosts the node holds over 320 sockets.
constexpr int kClients = 160, kSockets = 512, kNewSockets = 256;
constexpr double kSilentLimit = 7000;  // "one that brings nothing back from a running host within 7 s"
std::atomic<int> up{0}, stuck{0}, moved{0}, ended{0};
std::atomic<bool> reloaded{false}, stop{false};

void client(Node& node) {
  Opened opened = open_connection(node, 3000);
  if (opened.fd < 0 || !is_up(opened)) {
    if (opened.fd >= 0) close(opened.fd);
    return;
  }
  ++up;
  LineReader reader(opened.fd);
  std::string line;
  while (!ending && !stop) {
    send_all(opened.fd, "LINE\r\n");
    const double sent = now();
    Read got = Read::timeout;
    while (got == Read::timeout && !ending && now() - sent < kSilentLimit + 50) got = reader.next(line, 100);
    if (ending) break;
    if (got == Read::timeout) {
      ++stuck;
      record("client %s: nothing came back within 7 s", opened.id.c_str());
      break;
    }
    if (got != Read::line || line == "MOVE") {
      ++(got == Read::line ? moved : ended);
      record("client %s: %s", opened.id.c_str(), got == Read::line ? "MOVE" : "ended");
      break;
    }
    for (const double until = sent + 2000; now() < until && !ending && !stop;) sleep_ms(20);
  }
  close(opened.fd);
}
}  // namespace

int main(int count, char** arguments) {
  const Case c = begin_case(count, arguments);
  Discovery discovery, second;
  std::vector<std::unique_ptr<Host>> hosts;
  for (int i = 0; i < 8; ++i) {
    hosts.push_back(std::make_unique<Host>());
    hosts[i]->on_open = [](Host& host, int fd, LineReader& reader, Open& open) {
      send_all(fd, "UP " + host.id + "-" + open.id + "\r\n");
      echo_lines(host, fd, reader, open);
    };
    hosts[i]->start("s-" + std::to_string(i), "127.0.0." + std::to_string(20 + i));
    discovery.entries.push_back({.id = hosts[i]->id, .host_port = hosts[i]->address()});
  }
  second.entries = discovery.entries;
  discovery.start("127.0.0.10");
  second.start("127.0.0.11");
  auto nodes = make_nodes(1, c.tmp);
  Node& node = *nodes[0];
  Settings settings;
  settings.discovery = "pushed";
  write_config(node, discovery.address(), discovery.list(-1), settings.json(), kSockets);
  node.start(c.root, c.run, discovery.address());
  if (!node.wait_ready(10000)) cannot_run("the node is not ready");
  for (int i = 0; i < kClients; ++i) {
    spawn([&node] { client(node); });
    sleep_ms(25);
  }
  sleep_ms(2000);
  record("the node holds %d connections of clients and %d at hosts", up.load(), open_at_hosts.load());
  if (up < kClients * 9 / 10) cannot_run("only " + std::to_string(up) + " connections came up");
  const int before = up;
  write_config(node, second.address(), discovery.list(-1), settings.json(), c.trouble ? kNewSockets : kSockets);
  node.signal(SIGHUP);
  sleep_ms(1500);
  // New clients after the change.
  int lost = 0;
  for (int i = 0; i < 5; ++i) {
    Opened opened = open_connection(node, 1500);
    if (opened.answer.empty()) ++lost;
    if (opened.fd >= 0) close(opened.fd);
  }
  sleep_ms(10000);
  stop = true;
  const int stuck_connections = stuck;
  sleep_ms(100);
  const bool exited_before = node.has_exited();
  node.signal(SIGTERM);
  const double told = now();
  while (!node.has_exited() && now() - told < 3700) sleep_ms(10);
  const bool ended_by_itself = !exited_before && node.pid < 0;
  const bool broken = stuck_connections > 0 || lost > 0 || exited_before || !ended_by_itself;
  char verdict[400];
  std::snprintf(verdict, sizeof verdict,
                "%d connections up at the SIGHUP; %d brought nothing back within 7 s, %d moved, %d ended; of 5 new requests %d had no "
                "answer within their time and 0.6 s; the node %s: %s",
                before, stuck_connections, moved.load(), ended.load(), lost,
                exited_before ? "had ended" : ended_by_itself ? "ended by itself after SIGTERM" : "did not end within 3.7 s of SIGTERM",
                broken ? "BROKEN" : "held");
  finish(broken ? 1 : 0, verdict);
}
