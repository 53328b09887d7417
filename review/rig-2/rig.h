// Small stand-ins for the cases of this review: hosts, discovery, clients and a supervisor of nodes, on loopback
// sockets and the real clock. One thread per connection; every wait has an end.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace rig {

inline double unix_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch()).count();
}
inline const double kStart = unix_ms();
inline double now() { return unix_ms() - kStart; }  // ms since the rig began
inline void sleep_ms(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void sleep_until(double at) { sleep_ms(at - now()); }

// ---- the record ----
inline std::mutex record_mutex;
inline FILE* record_file = nullptr;
inline void record(const char* format, ...) {
  std::lock_guard lock(record_mutex);
  if (!record_file) return;
  std::fprintf(record_file, "%10.1f ", now());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(record_file, format, arguments);
  va_end(arguments);
  std::fputc('\n', record_file);
  std::fflush(record_file);
}

[[noreturn]] inline void cannot_run(const std::string& why);

// ---- sockets ----
inline sockaddr_in address_of(const std::string& ip, int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
  return a;
}
inline int listen_at(const std::string& ip, int& port) {  // port 0: a free one, set
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in a = address_of(ip, port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 || listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof a;
  getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size);
  port = ntohs(a.sin_port);
  return fd;
}
inline int free_port(const std::string& ip) {
  int port = 0;
  const int fd = listen_at(ip, port);
  if (fd < 0) cannot_run("no free port at " + ip);
  close(fd);
  return port;
}
inline int connect_to(const std::string& ip, int port, double timeout_ms = 2000) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in a = address_of(ip, port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 && errno != EINPROGRESS) {
    close(fd);
    return -1;
  }
  pollfd p{fd, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof error;
  if (poll(&p, 1, static_cast<int>(timeout_ms)) != 1 || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
      error != 0) {
    close(fd);
    return -1;
  }
  return fd;
}
inline void close_with_reset(int fd) {
  const linger l{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
  close(fd);
}
inline bool send_all(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n > 0) {
      sent += static_cast<std::size_t>(n);
    } else if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
      pollfd p{fd, POLLOUT, 0};
      if (poll(&p, 1, 3000) == 0) return false;
    } else {
      return false;
    }
  }
  return true;
}

enum class Read { line, timeout, closed, reset };
// Reads lines; remembers when the first byte of the line in progress came.
struct LineReader {
  int fd;
  std::string buffer;
  double first_byte_at = 0;
  explicit LineReader(int descriptor) : fd(descriptor) {}
  Read next(std::string& line, double timeout_ms) {
    const double until = now() + timeout_ms;
    for (;;) {
      const std::size_t end = buffer.find('\n');
      if (end != std::string::npos) {
        line = buffer.substr(0, end + 1);
        buffer.erase(0, end + 1);
        while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) line.pop_back();
        return Read::line;
      }
      const double left = until - now();
      if (left <= 0) return Read::timeout;
      pollfd p{fd, POLLIN, 0};
      if (poll(&p, 1, static_cast<int>(left) + 1) <= 0) continue;
      char bytes[8192];
      const ssize_t n = recv(fd, bytes, sizeof bytes, 0);
      if (n == 0) return Read::closed;
      if (n < 0) {
        if (errno == EAGAIN || errno == EINTR) continue;
        return Read::reset;
      }
      if (buffer.empty()) first_byte_at = now();
      buffer.append(bytes, static_cast<std::size_t>(n));
    }
  }
};

inline std::atomic<bool> ending{false};  // all threads end soon
inline std::atomic<int> threads{0};
template <class Work>
void spawn(Work work) {
  ++threads;
  std::thread([work = std::move(work)]() mutable {
    work();
    --threads;
  }).detach();
}
template <class OnConnection>
void serve(int listener, OnConnection on_connection) {
  spawn([listener, on_connection] {
    while (!ending) {
      pollfd p{listener, POLLIN, 0};
      if (poll(&p, 1, 100) != 1) continue;
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
      if (fd < 0) continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      spawn([fd, on_connection] { on_connection(fd); });
    }
    close(listener);
  });
}

inline std::string attribute(const std::string& line, const std::string& name) {
  const std::size_t list = line.rfind(' ');
  std::string rest = list == std::string::npos ? "" : line.substr(list + 1);
  while (!rest.empty()) {
    const std::size_t comma = rest.find(',');
    const std::string entry = rest.substr(0, comma);
    if (entry.compare(0, name.size() + 1, name + "=") == 0) return entry.substr(name.size() + 1);
    rest = comma == std::string::npos ? "" : rest.substr(comma + 1);
  }
  return "";
}
inline std::string word(const std::string& line, int index) {
  std::size_t at = 0;
  for (int i = 0; i < index; ++i) {
    at = line.find(' ', at);
    if (at == std::string::npos) return "";
    ++at;
  }
  return line.substr(at, line.find(' ', at) - at);
}

// ---- discovery ----
struct Entry {
  std::string id, host_port, zone = "a", kind = "std", state = "up";
  int cell = 1;
  double weight = 1, started_at = 0;
};
// Serves the list. A call's answer is written `answer_lag()` ms after it could be; `fails()` turns a call away.
struct Discovery {
  std::string ip;
  int port = 0;
  std::mutex mutex;
  long generation = 41;
  std::vector<Entry> entries;
  std::map<std::string, long> changed_in;  // the generation of each host's last change
  std::map<std::string, double> changed_at;
  std::function<double(bool waits)> answer_lag = [](bool) { return 1.0; };
  std::atomic<bool> down{false};  // refuses connections and resets those that are open
  std::function<bool()> turns_away = [] { return false; };

  void start(const std::string& address) {
    ip = address;
    int fd = listen_at(ip, port);
    if (fd < 0) cannot_run("discovery cannot listen");
    spawn([this, fd]() mutable {
      while (!ending) {
        if (down && fd >= 0) close(fd), fd = -1;  // from now on connections are refused
        if (!down && fd < 0 && (fd = listen_at(ip, port)) < 0) cannot_run("discovery cannot listen again");
        pollfd p{fd, POLLIN, 0};
        if (fd < 0 || poll(&p, 1, 5) != 1) {
          if (fd < 0) sleep_ms(5);
          continue;
        }
        const int connection = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (connection >= 0) spawn([this, connection] { serve_connection(connection); });
      }
      if (fd >= 0) close(fd);
    });
  }
  std::string address() const { return ip + ":" + std::to_string(port); }
  void set_state(const std::string& id, const std::string& state) {
    std::lock_guard lock(mutex);
    for (Entry& entry : entries) {
      if (entry.id == id) {
        entry.state = state;
        changed_in[id] = ++generation;
        changed_at[id] = now();
        record("discovery %s: %s is %s, generation %ld", address().c_str(), id.c_str(), state.c_str(), generation);
      }
    }
  }
  static std::string json_of(const Entry& e) {
    char text[512];
    std::snprintf(text, sizeof text,
                  "{\"instanceId\":\"%s\",\"hostPort\":\"%s\",\"zone\":\"%s\",\"machineType\":\"%s\",\"cell\":%d,"
                  "\"lifecycle\":\"%s\",\"weight\":%.3f,\"startedAtMs\":%.0f}",
                  e.id.c_str(), e.host_port.c_str(), e.zone.c_str(), e.kind.c_str(), e.cell, e.state.c_str(), e.weight,
                  e.started_at);
    return text;
  }
  std::string list(long after) {  // after < 0: the whole list
    std::lock_guard lock(mutex);
    std::string all;
    for (const Entry& e : entries) {
      const auto changed = changed_in.find(e.id);
      if (after >= 0 && (changed == changed_in.end() || changed->second <= after)) continue;
      if (after < 0 && e.state == "removed") continue;
      all += (all.empty() ? "" : ",") + json_of(e);
    }
    return "{\"generation\":" + std::to_string(generation) + ",\"reset\":" + (after < 0 ? "true" : "false") +
           ",\"instances\":[" + all + "]}";
  }
  void serve_connection(int fd) {
    LineReader reader(fd);
    for (;;) {
      std::string line, request;
      Read got;
      while ((got = reader.next(line, 20)) == Read::timeout && !ending && !down) {
      }
      if (down) return close_with_reset(fd);
      if (got != Read::line || ending) break;
      request = line;
      while ((got = reader.next(line, 2000)) == Read::line && !line.empty()) {
      }
      if (got != Read::line) break;
      const std::string target = word(request, 1);
      long after = -1;
      double wait = 0;
      if (const auto at = target.find("after="); at != std::string::npos) after = std::atol(target.c_str() + at + 6);
      if (const auto at = target.find("wait_ms="); at != std::string::npos) wait = std::atof(target.c_str() + at + 8);
      record("discovery called %s", target.c_str());
      if (after >= 0 && wait > 0) {
        const double until = now() + std::min(wait, 60000.0);
        while (!ending && !down && now() < until) {
          {
            std::lock_guard lock(mutex);
            if (generation > after) break;
          }
          sleep_ms(2);
        }
      }
      if (down) return close_with_reset(fd);
      const bool away = turns_away();
      sleep_ms(answer_lag(after >= 0 && wait > 0));
      const std::string body = away ? "" : list(after);
      const std::string head = std::string("HTTP/1.1 ") + (away ? "503 Service Unavailable" : "200 OK") +
                               "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
                               "\r\n\r\n";
      char probe;
      const bool given_up = recv(fd, &probe, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
      const bool sent = send_all(fd, head + body);
      record("discovery answered %s: %s%s%s", target.c_str(), away ? "503" : body.substr(0, 160).c_str(),
             given_up ? " [the caller had closed]" : "", sent ? "" : " [not sent]");
      if (!sent || given_up) break;
    }
    close(fd);
  }
};

// ---- hosts ----
inline std::atomic<int> open_at_hosts{0};  // connections that hosts hold, probes too
struct Host;
struct Open {  // one OPEN line that a host has read
  std::string id, line, host;
  double first_byte_at = 0, last_byte_at = 0, ended_at = 0;
  std::string outcome;  // up, busy, err, none ...
};
struct Host {
  std::string id, ip;
  int port = 0;
  // Handles a connection after its OPEN line; it has to close the descriptor.
  std::function<void(Host&, int fd, LineReader&, Open&)> on_open;
  std::function<bool()> answers_pings = [] { return true; };

  std::string address() const { return ip + ":" + std::to_string(port); }
  void start(const std::string& name, const std::string& address) {
    id = name, ip = address;
    const int fd = listen_at(ip, port);
    if (fd < 0) cannot_run("a host cannot listen");
    serve(fd, [this](int connection) {
      ++open_at_hosts;
      serve_connection(connection);
      --open_at_hosts;
    });
  }
  void serve_connection(int fd) {
    LineReader reader(fd);
    std::string line;
    for (;;) {
      const Read got = reader.next(line, 300);
      if (ending || got == Read::closed || got == Read::reset) break;
      if (got == Read::timeout) continue;
      if (line == "PING") {
        sleep_ms(4);  // the way to the host and its work for a probe
        if (answers_pings()) send_all(fd, "PONG\r\n");
        continue;
      }
      if (word(line, 0) == "OPEN") {
        Open open{word(line, 1), line, id, reader.first_byte_at, now(), 0, ""};
        record("host %s got %s", id.c_str(), line.c_str());
        on_open(*this, fd, reader, open);
        return;
      }
      send_all(fd, "SYNTAX\r\n");
      record("host %s: SYNTAX for %s", id.c_str(), line.c_str());
      break;
    }
    close(fd);
  }
};
// Serves a connection after UP: each line is answered at once, until the other side ends.
inline void echo_lines(Host& host, int fd, LineReader& reader, const Open& open) {
  std::string line;
  for (;;) {
    const Read got = reader.next(line, 300);
    if (ending || got == Read::closed || got == Read::reset) break;
    if (got != Read::line) continue;
    sleep_ms(4);
    if (!send_all(fd, "RE " + line + "\r\n")) break;
  }
  close(fd);
  record("host %s: connection of %s ended", host.id.c_str(), open.id.c_str());
}

// ---- nodes ----
struct Node {
  std::string name, ip, config_path, log_path;
  int port = 0;
  pid_t pid = -1;
  std::string address() const { return ip + ":" + std::to_string(port); }
  void start(const std::string& root, const std::string& run, const std::string& discovery) {
    pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      setenv("PROXY_NAME", name.c_str(), 1);
      setenv("PROXY_LISTEN", address().c_str(), 1);
      setenv("PROXY_DISCOVERY", discovery.c_str(), 1);
      setenv("PROXY_CONFIG", config_path.c_str(), 1);
      const int out = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1), dup2(out, 2);
      if (chdir(root.c_str()) != 0) _exit(99);
      execl("/bin/sh", "sh", "-c", run.c_str(), static_cast<char*>(nullptr));
      _exit(99);
    }
    record("node %s started, process %d", name.c_str(), static_cast<int>(pid));
  }
  bool wait_ready(double timeout_ms) {
    const double until = now() + timeout_ms;
    while (now() < until) {
      const int fd = connect_to(ip, port, 200);
      if (fd >= 0) {
        LineReader reader(fd);
        std::string line;
        send_all(fd, "PING\r\n");
        const bool ready = reader.next(line, 4000) == Read::line && line == "PONG";
        close(fd);
        if (ready) {
          record("node %s answers PING", name.c_str());
          return true;
        }
      }
      sleep_ms(50);
    }
    return false;
  }
  bool has_exited(int* status = nullptr) {
    if (pid < 0) return true;
    int got = 0;
    if (waitpid(pid, &got, WNOHANG) != pid) return false;
    if (status) *status = got;
    record("node %s ended, status %d", name.c_str(), got);
    pid = -1;
    return true;
  }
  void signal(int number) {
    if (pid > 0) {
      kill(pid, number);
      record("node %s gets signal %d", name.c_str(), number);
    }
  }
  void end() {
    if (pid > 0) {
      kill(pid, SIGCONT);
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
      pid = -1;
    }
  }
};
inline std::vector<Node*> all_nodes;

inline void write_file(const std::string& path, const std::string& text) {
  const std::string part = path + ".part";
  FILE* file = std::fopen(part.c_str(), "w");
  if (!file) cannot_run("cannot write " + path);
  std::fwrite(text.data(), 1, text.size(), file);
  std::fclose(file);
  std::rename(part.c_str(), path.c_str());
}

[[noreturn]] inline void finish(int code, const std::string& verdict) {
  ending = true;
  for (Node* node : all_nodes) {
    node->end();
    record("the log of node %s:", node->name.c_str());
    std::ifstream log(node->log_path);
    for (std::string line; std::getline(log, line);) record("  %s", line.substr(0, 400).c_str());
  }
  record("%s", verdict.c_str());
  std::printf("%s\n", verdict.c_str());
  std::fflush(stdout);
  for (int i = 0; i < 200 && threads > 0; ++i) sleep_ms(10);
  _exit(code);
}
[[noreturn]] inline void cannot_run(const std::string& why) { finish(2, "could not run: " + why); }

// Makes `count` nodes at 127.0.0.2 and on; their configurations are written by the caller before the start.
inline std::vector<std::unique_ptr<Node>> make_nodes(int count, const std::string& folder) {
  std::vector<std::unique_ptr<Node>> nodes;
  for (int i = 0; i < count; ++i) {
    nodes.push_back(std::make_unique<Node>());
    Node& node = *nodes.back();
    node.name = "n" + std::to_string(i);
    node.ip = "127.0.0." + std::to_string(2 + i);
    node.port = free_port(node.ip);
    node.config_path = folder + "/" + node.name + ".json";
    node.log_path = folder + "/" + node.name + ".log";
    all_nodes.push_back(&node);
  }
  return nodes;
}

// The environment of a case: the repository's root, the record, the temporary folder, the run command.
struct Case {
  std::string root, folder, tmp, run;
  bool trouble = true;
};
inline Case begin_case(int count, char** arguments) {
  if (count < 5) {
    std::fprintf(stderr, "usage: case ROOT FOLDER TMP RUN-COMMAND\n");
    std::exit(2);
  }
  signal(SIGPIPE, SIG_IGN);
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, 8192);
  setrlimit(RLIMIT_NOFILE, &limit);
  Case c{arguments[1], arguments[2], arguments[3], arguments[4], true};
  const char* trouble = std::getenv("TROUBLE");
  c.trouble = !trouble || std::strcmp(trouble, "0") != 0;
  record_file = std::fopen((c.folder + "/record.txt").c_str(), "we");
  if (!record_file) {
    std::fprintf(stderr, "cannot write record.txt\n");
    std::exit(2);
  }
  record("TROUBLE=%d; times are milliseconds from the start of the script's program", c.trouble ? 1 : 0);
  // An upper end for everything.
  std::thread([] {
    std::this_thread::sleep_for(std::chrono::seconds(115));
    cannot_run("it took over 115 s");
  }).detach();
  return c;
}
}  // namespace rig
