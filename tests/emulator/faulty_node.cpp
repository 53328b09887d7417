// A stand-in for the node with one fault, for the tests of the live auditor. BAD_RELAY names it: none,
// drops-answer, answers-twice, changes-byte, sends-after-drain, cuts-off, dies. Serves each client in a
// thread, in turn over the hosts of its configuration; hears the list and heeds it only where the fault is
// another one.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>

namespace {

std::string fault;
std::vector<std::pair<std::string, std::string>> hosts;  // ids and addresses
std::set<std::string> leaving;
std::mutex guard;
std::atomic<int> turns{0}, answers{0};

int dial(const std::string& where) {
  const std::size_t colon = where.find(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(where.substr(colon + 1))));
  inet_pton(AF_INET, where.substr(0, colon).c_str(), &to.sin_addr);
  const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect(made, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0) {
    return made;
  }
  close(made);
  return -1;
}

void say(int to, const std::string& text) {
  (void)!send(to, text.data(), text.size(), MSG_NOSIGNAL);
}

std::string line_of(int from) {
  std::string line;
  for (char one; line.size() < 4096 && recv(from, &one, 1, 0) == 1;) {
    line += one;
    if (one == '\n') {
      return line;
    }
  }
  return "";
}

void watch_list(const std::string& where) {
  for (;; usleep(200000)) {
    const int call = dial(where);
    if (call < 0) {
      continue;
    }
    say(call, "GET /api/targets HTTP/1.1\r\nHost: list\r\n\r\n");
    std::string text;
    char bytes[4096];
    timeval patience{0, 300000};
    setsockopt(call, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    for (ssize_t got; (got = recv(call, bytes, sizeof bytes, 0)) > 0;) {
      text.append(bytes, static_cast<std::size_t>(got));
    }
    close(call);
    const auto list =
        nlohmann::json::parse(text.substr(std::min(text.size(), text.find("\r\n\r\n") + 4)), nullptr, false);
    if (!list.is_object()) {
      continue;
    }
    const std::lock_guard hold(guard);
    for (const auto& one : list["instances"]) {
      if (one["lifecycle"] != "up") {
        leaving.insert(one["instanceId"]);
      }
    }
  }
}

void relay(int client, int host) {
  int lines = 0;
  for (;;) {
    pollfd both[2] = {{client, POLLIN, 0}, {host, POLLIN, 0}};
    if (poll(both, 2, 8000) <= 0) {
      return;
    }
    for (int side = 0; side < 2; ++side) {
      if (both[side].revents == 0) {
        continue;
      }
      char bytes[4096];
      const ssize_t got = recv(both[side].fd, bytes, sizeof bytes, 0);
      if (got <= 0) {
        return;
      }
      if (side == 1 && fault == "changes-byte" && ++lines % 5 == 0 && got > 12) {
        bytes[10] ^= 1;
      }
      if (side == 1 && fault == "cuts-off" && ++lines % 9 == 0) {
        return;
      }
      say(both[1 - side].fd, std::string(bytes, static_cast<std::size_t>(got)));
    }
  }
}

void serve(int client) {
  std::string line = line_of(client);
  while (line == "PING\r\n") {
    say(client, "PONG\r\n"), line = line_of(client);
  }
  int host = -1;
  std::string answer = "BUSY\r\n";
  for (std::size_t tries = 0; !line.empty() && host < 0 && tries < hosts.size(); ++tries) {
    const auto& [id, where] = hosts[static_cast<std::size_t>(turns++) % hosts.size()];
    {
      const std::lock_guard hold(guard);
      if (leaving.count(id) && fault != "sends-after-drain") {
        continue;
      }
    }
    host = dial(where);
    if (host < 0) {
      continue;
    }
    say(host, line);
    answer = line_of(host);
    if (answer.starts_with("UP ")) {
      break;
    }
    close(host), host = -1;
    answer = "BUSY\r\n";
    if (fault == "sends-after-drain") {
      break;
    }
  }
  const bool faulty = !line.empty() && ++answers % 10 == 0;
  if (!line.empty() && !(faulty && fault == "drops-answer")) {
    say(client, answer);
  }
  if (faulty && fault == "answers-twice") {
    say(client, "BUSY\r\n");
  }
  if (faulty && fault == "drops-answer") {
    usleep(1500000);
  }
  if (faulty && fault == "dies") {
    _exit(9);
  }
  if (host >= 0) {
    relay(client, host), close(host);
  }
  close(client);
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  fault = std::getenv("BAD_RELAY") ? std::getenv("BAD_RELAY") : "none";
  std::ifstream file(std::getenv("PROXY_CONFIG"));
  const auto config = nlohmann::json::parse(file);
  for (const auto& one : config["known"]["instances"]) {
    hosts.emplace_back(one["instanceId"], one["hostPort"]);
  }
  const std::string where = config["listen"];
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(std::stoi(where.substr(where.find(':') + 1))));
  inet_pton(AF_INET, where.substr(0, where.find(':')).c_str(), &at.sin_addr);
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(listener, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(listener, 128) != 0) {
    return 1;
  }
  std::thread(watch_list, config["discovery"].get<std::string>()).detach();
  for (int taken; (taken = accept(listener, nullptr, nullptr)) >= 0;) {
    std::thread(serve, taken).detach();
  }
  return 0;
}
