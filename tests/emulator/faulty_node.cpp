// A replacement for the node with one fault, for the tests of the live auditor. The environment variable
// BAD_RELAY names the fault: none, drops-answer, answers-twice, changes-byte, sends-after-drain, cuts-off or
// dies. Each client has a thread; requests go to the endpoints of the configuration in turn. The faulty node
// polls the endpoint list and avoids endpoints that leave, except with the fault sends-after-drain.
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
std::vector<std::pair<std::string, std::string>> endpoints;  // ids and addresses
std::set<std::string> leaving_ids;
std::mutex leaving_mutex;
std::atomic<int> next_endpoint{0}, answers{0};

/// Connects to an address and returns the socket, or -1.
int connect_to(const std::string& address_text) {
  const std::size_t colon = address_text.find(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address_text.substr(colon + 1))));
  inet_pton(AF_INET, address_text.substr(0, colon).c_str(), &address.sin_addr);
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
    return descriptor;
  }
  close(descriptor);
  return -1;
}

void send_text(int descriptor, const std::string& text) {
  (void)!send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
}

/// Reads one line; returns an empty text if the connection ends or the line is too long.
std::string read_line(int descriptor) {
  std::string line;
  for (char byte; line.size() < 4096 && recv(descriptor, &byte, 1, 0) == 1;) {
    line += byte;
    if (byte == '\n') {
      return line;
    }
  }
  return "";
}

void poll_endpoint_list(const std::string& address_text) {
  for (;; usleep(200000)) {
    const int call = connect_to(address_text);
    if (call < 0) {
      continue;
    }
    send_text(call, "GET /api/targets HTTP/1.1\r\nHost: list\r\n\r\n");
    std::string text;
    char bytes[4096];
    timeval timeout{0, 300000};
    setsockopt(call, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    for (ssize_t received; (received = recv(call, bytes, sizeof bytes, 0)) > 0;) {
      text.append(bytes, static_cast<std::size_t>(received));
    }
    close(call);
    const auto list =
        nlohmann::json::parse(text.substr(std::min(text.size(), text.find("\r\n\r\n") + 4)), nullptr, false);
    if (!list.is_object()) {
      continue;
    }
    const std::lock_guard lock(leaving_mutex);
    for (const auto& instance : list["instances"]) {
      if (instance["lifecycle"] != "up") {
        leaving_ids.insert(instance["instanceId"]);
      }
    }
  }
}

/// Passes bytes both ways until one side ends or neither sends for 8 s.
void relay(int client, int endpoint) {
  int lines = 0;
  for (;;) {
    pollfd sides[2] = {{client, POLLIN, 0}, {endpoint, POLLIN, 0}};
    if (poll(sides, 2, 8000) <= 0) {
      return;
    }
    for (int side = 0; side < 2; ++side) {
      if (sides[side].revents == 0) {
        continue;
      }
      char bytes[4096];
      const ssize_t received = recv(sides[side].fd, bytes, sizeof bytes, 0);
      if (received <= 0) {
        return;
      }
      if (side == 1 && fault == "changes-byte" && ++lines % 5 == 0 && received > 12) {
        bytes[10] ^= 1;
      }
      if (side == 1 && fault == "cuts-off" && ++lines % 9 == 0) {
        return;
      }
      send_text(sides[1 - side].fd, std::string(bytes, static_cast<std::size_t>(received)));
    }
  }
}

void serve(int client) {
  std::string line = read_line(client);
  while (line == "PING\r\n") {
    send_text(client, "PONG\r\n"), line = read_line(client);
  }
  int endpoint = -1;
  std::string answer = "BUSY\r\n";
  for (std::size_t attempts = 0; !line.empty() && endpoint < 0 && attempts < endpoints.size(); ++attempts) {
    const auto& [id, address_text] = endpoints[static_cast<std::size_t>(next_endpoint++) % endpoints.size()];
    {
      const std::lock_guard lock(leaving_mutex);
      if (leaving_ids.count(id) && fault != "sends-after-drain") {
        continue;
      }
    }
    endpoint = connect_to(address_text);
    if (endpoint < 0) {
      continue;
    }
    send_text(endpoint, line);
    answer = read_line(endpoint);
    if (answer.starts_with("UP ")) {
      break;
    }
    close(endpoint), endpoint = -1;
    answer = "BUSY\r\n";
    if (fault == "sends-after-drain") {
      break;
    }
  }
  const bool has_fault = !line.empty() && ++answers % 10 == 0;
  if (!line.empty() && !(has_fault && fault == "drops-answer")) {
    send_text(client, answer);
  }
  if (has_fault && fault == "answers-twice") {
    send_text(client, "BUSY\r\n");
  }
  if (has_fault && fault == "drops-answer") {
    usleep(1500000);
  }
  if (has_fault && fault == "dies") {
    _exit(9);
  }
  if (endpoint >= 0) {
    relay(client, endpoint), close(endpoint);
  }
  close(client);
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  fault = std::getenv("BAD_RELAY") ? std::getenv("BAD_RELAY") : "none";
  std::ifstream file(std::getenv("PROXY_CONFIG"));
  const auto config = nlohmann::json::parse(file);
  for (const auto& instance : config["known"]["instances"]) {
    endpoints.emplace_back(instance["instanceId"], instance["hostPort"]);
  }
  const std::string listen_address = config["listen"];
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(listen_address.substr(listen_address.find(':') + 1))));
  inet_pton(AF_INET, listen_address.substr(0, listen_address.find(':')).c_str(), &address.sin_addr);
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(listener, 128) != 0) {
    return 1;
  }
  std::thread(poll_endpoint_list, config["discovery"].get<std::string>()).detach();
  for (int client; (client = accept(listener, nullptr, nullptr)) >= 0;) {
    std::thread(serve, client).detach();
  }
  return 0;
}
