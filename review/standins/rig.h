// Small stand-ins for the platform around a node: hosts, discovery, clients, and the node's own process.
// They follow the operators' protocol page. All sockets are on 127.0.0.1 with free ports; the clock is the
// machine's monotonic one. One thread a connection; nothing here knows how the node works inside.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cmath>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rig {

inline double now_ms() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}
inline void sleep_ms(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void sleep_until(double at_ms) { sleep_ms(at_ms - now_ms()); }

// record.txt: one line an event, with the time in milliseconds since the start of the script.
class Record {
 public:
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void operator()(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard<std::mutex> lock(mutex_);
    if (!file_) return;
    std::fprintf(file_, "%10.1f  ", now_ms());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
};
inline Record record;

inline std::function<void()> end_processes;  // ends what the script has started

// The case could not run: exit 2.
[[noreturn]] inline void cannot_run(const std::string& why) {
  record("CANNOT RUN: %s", why.c_str());
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  std::fflush(stderr);
  if (end_processes) end_processes();
  _exit(2);
}

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}
inline std::string address_text(int port) { return "127.0.0.1:" + std::to_string(port); }

inline int listen_on(int port, int* chosen) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = loopback(port);
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(listener, 512) != 0) {
    close(listener);
    return -1;
  }
  socklen_t size = sizeof address;
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  if (chosen) *chosen = ntohs(address.sin_port);
  return listener;
}
inline int free_port() {
  int port = 0;
  const int listener = listen_on(0, &port);
  if (listener < 0) return 0;
  close(listener);
  return port;
}

inline bool send_all(int descriptor, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t sent = send(descriptor, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (sent <= 0) {
      if (sent < 0 && errno == EINTR) continue;
      return false;
    }
    done += static_cast<std::size_t>(sent);
  }
  return true;
}

enum class Read { line, timeout, closed, reset };
// Reads lines from a socket.
class LineReader {
 public:
  explicit LineReader(int descriptor) : descriptor_(descriptor) {}
  Read next(std::string& line, double until_ms) {
    for (;;) {
      const std::size_t end = buffer_.find('\n');
      if (end != std::string::npos) {
        line = buffer_.substr(0, end);
        if (!line.empty() && line.back() == '\r') line.pop_back();
        buffer_.erase(0, end + 1);
        return Read::line;
      }
      const double left = until_ms - now_ms();
      if (left <= 0) return Read::timeout;
      pollfd waiting{descriptor_, POLLIN, 0};
      const int ready = poll(&waiting, 1, static_cast<int>(left) + 1);
      if (ready <= 0) continue;
      char bytes[8192];
      const ssize_t received = recv(descriptor_, bytes, sizeof bytes, 0);
      if (received == 0) return Read::closed;
      if (received < 0) {
        if (errno == EINTR || errno == EAGAIN) continue;
        return Read::reset;
      }
      buffer_.append(bytes, static_cast<std::size_t>(received));
    }
  }

 private:
  int descriptor_;
  std::string buffer_;
};

// ---- hosts ----

// A host. `on_open` decides what an OPEN is answered; by default UP. Lines on an open connection come back at
// once, unless the connection has fallen silent.
struct HostConnection {
  int descriptor = -1;
  std::string id;  // of the client's OPEN
  double opened_at = 0;
  std::atomic<bool> silent{false};  // brings nothing back any more
  std::atomic<bool> ended{false};
};

class Host {
 public:
  enum class Mode { serve, draining, hang, down };
  struct Sent {  // an OPEN whose last byte has come
    double at;
    std::string id;
    std::string answer;
  };

  Host(std::string id, std::string zone) : id_(std::move(id)), zone_(std::move(zone)) {
    listener_ = listen_on(0, &port_);
    if (listener_ < 0) cannot_run("no port for a host");
    std::thread([this] { accept_all(); }).detach();
  }
  const std::string& id() const { return id_; }
  const std::string& zone() const { return zone_; }
  std::string address() const { return address_text(port_); }
  void set(Mode mode) { mode_ = mode; }
  // Resets all connections, as a process does that dies; in mode `down` new ones are reset too.
  void reset_connections() { ++life_; }
  // Called with each OPEN whose last byte has come.
  std::function<void()> on_open;
  std::vector<Sent> sent() {
    std::lock_guard<std::mutex> lock(mutex_);
    return sent_;
  }
  // Calls `visit` for each open connection.
  void for_each(const std::function<void(HostConnection&)>& visit) {
    std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& connection : connections_) {
      if (!connection->ended) visit(*connection);
    }
  }

 private:
  void accept_all() {
    for (;;) {
      const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0) {
        sleep_ms(1);
        continue;
      }
      const int on = 1;
      setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, descriptor] { serve(descriptor); }).detach();
    }
  }
  // The next line, unless the host dies before.
  Read next(LineReader& reader, std::string& line, int life) {
    for (;;) {
      const Read read = reader.next(line, now_ms() + 20);
      if (read != Read::timeout) return read;
      if (life != life_) return Read::timeout;
    }
  }
  static void close_with_reset(int descriptor) {
    const linger reset{1, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    close(descriptor);
  }
  void serve(int descriptor) {
    const int life = life_;
    if (mode_ == Mode::down) return close_with_reset(descriptor);
    LineReader reader(descriptor);
    std::string line;
    for (;;) {
      const Read read = next(reader, line, life);
      if (read == Read::timeout) return close_with_reset(descriptor);
      if (read != Read::line) break;
      if (line == "PING") {
        if (mode_ == Mode::hang) continue;
        send_all(descriptor, "PONG\r\n");
        continue;
      }
      if (line.rfind("OPEN ", 0) == 0) {
        open(descriptor, reader, line, life);
        if (life != life_) return close_with_reset(descriptor);
        break;
      }
      send_all(descriptor, "SYNTAX\r\n");
      break;
    }
    close(descriptor);
  }
  void open(int descriptor, LineReader& reader, const std::string& request, int life) {
    const std::string id = request.substr(5, request.find(' ', 5) - 5);
    const Mode mode = mode_;
    const char* answer = mode == Mode::draining ? "BUSY" : mode == Mode::hang ? "nothing" : "UP";
    {
      std::lock_guard<std::mutex> lock(mutex_);
      sent_.push_back({now_ms(), id, answer});
    }
    record("host %s got %s -> %s", id_.c_str(), request.c_str(), answer);
    if (on_open) on_open();
    std::string line;
    if (mode == Mode::hang) {
      while (next(reader, line, life) == Read::line) {
      }
      return;
    }
    if (mode == Mode::draining) {
      send_all(descriptor, "BUSY\r\n");
      return;
    }
    auto connection = std::make_shared<HostConnection>();
    connection->descriptor = descriptor;
    connection->id = id;
    connection->opened_at = now_ms();
    {
      std::lock_guard<std::mutex> lock(mutex_);
      connections_.push_back(connection);
    }
    send_all(descriptor, "UP " + id + "\r\n");
    for (;;) {
      const Read read = next(reader, line, life);
      if (read != Read::line) {
        record("host %s: connection %s %s", id_.c_str(), id.c_str(),
               read == Read::timeout ? "cut off: the host died"
               : read == Read::reset ? "reset by the node"
                                     : "ended by the node");
        break;
      }
      if (!connection->silent) send_all(descriptor, line + "\r\n");
    }
    connection->ended = true;
    std::lock_guard<std::mutex> lock(mutex_);
    connections_.remove(connection);
  }

  std::string id_, zone_;
  int port_ = 0, listener_ = -1;
  std::atomic<Mode> mode_{Mode::serve};
  std::atomic<int> life_{0};
  std::mutex mutex_;
  std::vector<Sent> sent_;
  std::list<std::shared_ptr<HostConnection>> connections_;
};

// ---- discovery ----

// The list service: the whole list, and a watch on changes.
class Discovery {
 public:
  struct Told {  // an answer that has been written to a node
    double at;
    long version;
    std::set<std::string> leaving;  // hosts that it names as draining or gone
  };

  // @param is_up false: down from the start, so that calls are refused.
  explicit Discovery(long version, bool is_up = true) : version_(version) {
    port_ = free_port();
    if (port_ == 0) cannot_run("no port for discovery");
    if (is_up) come_up();
  }
  std::string address() const { return address_text(port_); }
  // How long a call waits in the queue before it is answered.
  void set_queue_ms(double ms) { queue_ms_ = ms; }
  void come_up() {
    const int listener = listen_on(port_, nullptr);
    if (listener < 0) cannot_run("discovery cannot listen");
    record("discovery is up");
    std::thread([this, listener] { accept_all(listener); }).detach();
  }
  // Adds a host or changes its state; the version goes up by one.
  void set(const Host& host, const std::string& lifecycle, double started_at_ms = 0) {
    std::lock_guard<std::mutex> lock(mutex_);
    ++version_;
    Entry& entry = entries_[host.id()];
    entry.version = version_;
    entry.lifecycle = lifecycle;
    char started[32];
    std::snprintf(started, sizeof started, "%.0f", started_at_ms);
    entry.json = "{\"instanceId\":\"" + host.id() + "\",\"hostPort\":\"" + host.address() + "\",\"zone\":\"" +
                 host.zone() + "\",\"machineType\":\"mid-3\",\"cell\":1,\"lifecycle\":\"" + lifecycle +
                 "\",\"weight\":3.0,\"startedAtMs\":" + started + "}";
    record("discovery has version %ld: %s %s", version_, host.id().c_str(), lifecycle.c_str());
    changed_.notify_all();
  }
  long version() {
    std::lock_guard<std::mutex> lock(mutex_);
    return version_;
  }
  // The list as discovery has it, in its own form.
  std::string whole_list() {
    std::lock_guard<std::mutex> lock(mutex_);
    return body(-1, nullptr);
  }
  std::vector<Told> told() {
    std::lock_guard<std::mutex> lock(mutex_);
    return told_;
  }

 private:
  struct Entry {
    long version = 0;
    std::string lifecycle;
    std::string json;
  };
  // The whole list for after < 0, else the entries that changed since.
  std::string body(long after, std::set<std::string>* leaving) {
    std::string list;
    for (const auto& [id, entry] : entries_) {
      if (after < 0 ? entry.lifecycle == "removed" : entry.version <= after) continue;
      list += (list.empty() ? "" : ",") + entry.json;
      if (leaving && entry.lifecycle != "up") leaving->insert(id);
    }
    return "{\"generation\":" + std::to_string(version_) + ",\"reset\":" + (after < 0 ? "true" : "false") +
           ",\"instances\":[" + list + "]}";
  }
  void accept_all(int listener) {
    for (;;) {
      const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0) {
        sleep_ms(1);
        continue;
      }
      const int on = 1;
      setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, descriptor] { serve(descriptor); }).detach();
    }
  }
  static long parameter(const std::string& line, const std::string& name) {
    const std::size_t at = line.find(name + "=");
    return at == std::string::npos ? -1 : std::atol(line.c_str() + at + name.size() + 1);
  }
  void serve(int descriptor) {
    LineReader reader(descriptor);
    std::string line, request;
    while (reader.next(line, now_ms() + 200000) == Read::line) {
      if (!line.empty()) {
        if (line.rfind("GET ", 0) == 0) request = line;
        continue;
      }
      record("discovery got %s", request.c_str());
      sleep_ms(queue_ms_);
      long after = parameter(request, "after");
      const long wait_ms = std::max(0L, parameter(request, "wait_ms"));
      std::unique_lock<std::mutex> lock(mutex_);
      if (after > version_) after = -1;
      if (after >= 0) {
        changed_.wait_for(lock, std::chrono::milliseconds(wait_ms), [&] { return version_ > after; });
      }
      Told told{0, version_, {}};
      const std::string text = body(after, &told.leaving);
      lock.unlock();
      told.at = now_ms();
      if (!send_all(descriptor, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                                    std::to_string(text.size()) + "\r\n\r\n" + text)) {
        break;
      }
      record("discovery told version %ld", told.version);
      lock.lock();
      told_.push_back(told);
    }
    close(descriptor);
  }

  int port_ = 0;
  std::atomic<double> queue_ms_{0};
  std::mutex mutex_;
  std::condition_variable changed_;
  long version_;
  std::map<std::string, Entry> entries_;
  std::vector<Told> told_;
};

// ---- the node ----

class Node {
 public:
  // @param run the deploy file's `run`, started by /bin/sh -c from `root`.
  Node(std::string root, std::string run, std::string folder, std::string name)
      : root_(std::move(root)), run_(std::move(run)), folder_(std::move(folder)), name_(std::move(name)) {
    port_ = free_port();
    all().push_back(this);
    end_processes = [] { end_all(); };
  }
  std::string address() const { return address_text(port_); }
  int port() const { return port_; }
  // Replaces the file as a whole.
  void write_config(const std::string& discovery, const std::string& known, const std::string& settings,
                    int sockets = 1024) {
    discovery_ = discovery;
    const std::string written = config_path() + ".new";
    std::ofstream file(written);
    file << "{\"name\":\"" << name_ << "\",\"listen\":\"" << address() << "\",\"discovery\":\"" << discovery
         << "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" << sockets << "},"
         << "\"known\":" << known << ",\"settings\":" << settings << "}\n";
    file.close();
    if (std::rename(written.c_str(), config_path().c_str()) != 0) cannot_run("the configuration cannot be replaced");
  }
  void start() {
    const std::string log = folder_ + "/" + name_ + ".log";
    pid_ = fork();
    if (pid_ < 0) cannot_run("fork");
    if (pid_ == 0) {
      if (chdir(root_.c_str()) != 0) _exit(127);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      const std::string temporary = folder_ + "/tmp-" + name_;
      setenv("TMPDIR", temporary.c_str(), 1);
      setenv("PROXY_NAME", name_.c_str(), 1);
      setenv("PROXY_LISTEN", address().c_str(), 1);
      setenv("PROXY_DISCOVERY", discovery_.c_str(), 1);
      setenv("PROXY_CONFIG", config_path().c_str(), 1);
      execl("/bin/sh", "sh", "-c", run_.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    std::ofstream(folder_ + "/" + name_ + ".pid") << pid_ << "\n";
    record("node %s started", name_.c_str());
  }
  // As the front: a node is taken in once it has answered PING.
  void wait_ready() {
    const double until = now_ms() + 10000;
    while (now_ms() < until) {
      if (has_ended()) cannot_run("the node ended at its start");
      const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in address = loopback(port_);
      if (connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
        LineReader reader(descriptor);
        std::string line;
        send_all(descriptor, "PING\r\n");
        const bool ready = reader.next(line, now_ms() + 1000) == Read::line && line == "PONG";
        close(descriptor);
        if (ready) {
          record("node %s answered PONG", name_.c_str());
          return;
        }
      } else {
        close(descriptor);
      }
      sleep_ms(10);
    }
    cannot_run("the node is not ready after 10 s");
  }
  void signal(int number) {
    if (pid_ > 0) kill(pid_, number);
  }
  bool has_ended() {
    if (pid_ <= 0) return true;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
    record("node %s ended, status %d", name_.c_str(), status);
    pid_ = -1;
    return true;
  }
  void kill_now() {
    if (pid_ <= 0) return;
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    record("node %s killed", name_.c_str());
    pid_ = -1;
  }
  static void end_all() {
    for (Node* node : all()) node->kill_now();
  }

 private:
  std::string config_path() const { return folder_ + "/" + name_ + ".json"; }
  static std::vector<Node*>& all() {
    static std::vector<Node*> nodes;
    return nodes;
  }
  std::string root_, run_, folder_, name_, discovery_;
  int port_ = 0;
  pid_t pid_ = -1;
};

// ---- clients ----

inline int connect_to(int port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in address = loopback(port);
  if (connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}
inline std::string hex16(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}
inline std::uint64_t mixed(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}
inline std::string new_id() {
  static std::atomic<std::uint64_t> next{1};
  static const std::uint64_t base = static_cast<std::uint64_t>(getpid()) << 32;
  return hex16(mixed(base + next++));
}

// ---- settings ----

struct SettingsChoice {
  std::string discovery = "on_request";  // or "pushed"
  int drain_grace_ms = 1500, max_attempts = 4;
  double cold_from = 0.33, cold_ms = 8800, fall_ms = 2000, fall_multiple = 2.5;
  int nodes = 2, me = 0;
  std::string semantics = "idempotent";
};
// Settings like those of a small deployment.
inline std::string settings(const SettingsChoice& choice) {
  const std::string lane_end = ",\"group\":\"all\",\"semantics\":\"" + choice.semantics +
                               "\",\"stream\":true,\"windowMs\":5000.0,\"lateWorth\":0.0";
  return "{\"bounds\":{\"cancel\":true,\"dialTimeoutMs\":250.0,\"maxAttempts\":" +
         std::to_string(choice.max_attempts) +
         ",\"maxRetryAfterMs\":1500.0,"
         "\"peerMessages\":false,\"probes\":true,\"retryAfter\":true,\"secondCopies\":false},"
         "\"charges\":{\"crossZone\":0.16,\"moves\":0.021,\"probe\":0.0016},\"discovery\":\"" +
         choice.discovery +
         "\",\"extra\":{\"groups\":true,\"messageAimMs\":[50.0,150.0,150.0],\"mode\":\"proxy\",\"parkMs\":0.0,"
         "\"tellsDelay\":true,\"tellsLoad\":true},"
         "\"feedback\":{\"fields\":[],\"how\":\"silent\"},"
         "\"guarantees\":{\"askWithinMs\":10000.0,\"coldFrom\":" +
         std::to_string(choice.cold_from) + ",\"coldMs\":" + std::to_string(choice.cold_ms) +
         ",\"fallMs\":" + std::to_string(choice.fall_ms) +
         ",\"fallMultiple\":" + std::to_string(choice.fall_multiple) + ",\"graceToAnswerMs\":8.0,\"stopSendingWithinMs\":" +
         std::to_string(choice.drain_grace_ms) +
         "},\"lanes\":[{\"name\":\"host-floor\",\"hardLimitMs\":3200.0,\"objectiveMs\":800.0,\"worth\":5.0" +
         lane_end + "},{\"name\":\"diner-watch\",\"hardLimitMs\":2000.0,\"objectiveMs\":500.0,\"worth\":2.0" +
         lane_end + "},{\"name\":\"booking-status\",\"hardLimitMs\":3000.0,\"objectiveMs\":500.0,\"worth\":5.0" +
         lane_end + "}],\"layer\":0,\"machineTypes\":[\"mid-3\"],\"me\":" +
         std::to_string(choice.me) + ",\"overShareWorth\":0.1,\"peersTotal\":" +
         std::to_string(choice.nodes) +
         ",\"tickMs\":2.0,\"tiers\":[\"mesa-live\"],\"weights\":\"nominal\",\"workload\":\"conn\","
         "\"worthBy\":\"request\",\"zone\":\"north\",\"zones\":[\"north\",\"south\"]}";
}

struct Arguments {
  std::string root, run, folder, record_path;
  bool trouble = true;
};
// ROOT RUN FOLDER RECORD, and TROUBLE in the environment.
inline Arguments begin(int count, char** values) {
  if (count < 5) {
    std::fprintf(stderr, "ROOT RUN FOLDER RECORD\n");
    _exit(2);
  }
  ::signal(SIGPIPE, SIG_IGN);
  now_ms();
  const char* trouble = std::getenv("TROUBLE");
  Arguments arguments{values[1], values[2], values[3], values[4], !(trouble && std::string(trouble) == "0")};
  record.open(arguments.record_path);
  record("trouble: %s", arguments.trouble ? "yes" : "no");
  return arguments;
}
// Ends the node processes and the script: 1 if the rule was broken, 0 if it held.
[[noreturn]] inline void finish(bool broken) {
  Node::end_all();
  record("%s", broken ? "RESULT: the rule was broken" : "RESULT: the rule held");
  std::fflush(nullptr);
  _exit(broken ? 1 : 0);
}

}  // namespace rig
