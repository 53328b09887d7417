// Two nodes, eight hosts, a stream of new connections; one host begins to drain. Counts the lines that the host is
// sent from then on. Used by the cases about drains.
#pragma once
#include "clients.h"

namespace rig {
struct DrainPlan {
  Settings settings;
  std::function<bool()> drains_now;
  double end_at;
  double limit_after_change;  // ms from the change in the list until nothing new may come
};
[[noreturn]] inline void play_drain(const Case& c, Discovery& discovery, DrainPlan plan) {
  std::mutex mutex;
  std::vector<Open> opens;
  std::atomic<int> asked{0}, up{0}, busy{0}, other{0};
  std::atomic<bool> draining{false};
  std::vector<std::unique_ptr<Host>> hosts;
  for (int i = 0; i < 8; ++i) {
    hosts.push_back(std::make_unique<Host>());
    hosts[i]->on_open = [&](Host& host, int fd, LineReader& reader, Open& open) {
      {
        std::lock_guard lock(mutex);
        opens.push_back(open);
      }
      if (host.id == "s-0" && draining) {  // "turned away: full, draining"
        send_all(fd, "BUSY\r\n");
        close(fd);
        return;
      }
      send_all(fd, "UP " + host.id + "-" + open.id + "\r\n");
      echo_lines(host, fd, reader, open);
    };
    hosts[i]->start("s-" + std::to_string(i), "127.0.0." + std::to_string(20 + i));
    discovery.entries.push_back({.id = hosts[i]->id, .host_port = hosts[i]->address()});
  }
  discovery.start("127.0.0.10");
  auto nodes = make_nodes(2, c.tmp);
  plan.settings.peers = 2;
  for (auto& node : nodes) {
    plan.settings.me = static_cast<int>(&node - nodes.data());
    write_config(*node, discovery.address(), discovery.list(-1), plan.settings.json());
    node->start(c.root, c.run, discovery.address());
  }
  for (auto& node : nodes) {
    if (!node->wait_ready(10000)) cannot_run("a node is not ready");
  }
  if (now() > 4000) cannot_run("the nodes were ready too late");
  while (now() < plan.end_at) {
    if (!draining && plan.drains_now()) {
      draining = true;
      discovery.set_state("s-0", "draining");
    }
    Node* node = nodes[static_cast<std::size_t>(asked++) % 2].get();
    spawn([&, node] {
      Opened opened = open_connection(*node, plan.settings.deadline_ms);
      ++(is_up(opened) ? up : word(opened.answer, 0) == "BUSY" ? busy : other);
      if (opened.fd < 0) return;
      LineReader reader(opened.fd);
      std::string line;
      for (int i = 0; i < 2 && !ending && is_up(opened); ++i) {
        if (!send_all(opened.fd, "LINE\r\n") || reader.next(line, 1000) != Read::line || line == "MOVE") break;
        if (reader.next(line, 2000) != Read::timeout) break;
      }
      close(opened.fd);
    });
    sleep_ms(30);
    for (auto& each : nodes) {
      if (each->has_exited()) cannot_run("a node ended");
    }
  }
  sleep_ms(3700);
  if (!draining) cannot_run("no drain began");
  const double change = discovery.changed_at["s-0"], limit = change + plan.limit_after_change;
  int before = 0, late = 0;
  double last = 0;
  {
    std::lock_guard lock(mutex);
    for (const Open& open : opens) {
      if (open.host != "s-0" || open.first_byte_at <= change) continue;
      if (open.first_byte_at <= limit) {
        ++before;
      } else {
        ++late, last = open.first_byte_at;
        record("late: %s at %.1f", open.id.c_str(), open.first_byte_at);
      }
    }
  }
  char text[400];
  std::snprintf(text, sizeof text,
                "%d connections asked for, %d up, %d BUSY, %d other; s-0 drains from %.0f, nothing new may come after %.0f; %d "
                "OPEN lines until then, %d later, the last at %.0f: %s",
                asked.load(), up.load(), busy.load(), other.load(), change, limit, before, late, last,
                late ? "BROKEN" : "held");
  finish(late ? 1 : 0, text);  // does not return: threads still use what stands here
}
}  // namespace rig
