#include "emulator/live/live.h"

#include <dirent.h>
#include <fcntl.h>
#include <spdlog/fmt/fmt.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "emulator/env.h"
#include "emulator/live/gather.h"
#include "emulator/live/rig_process.h"

namespace dapplewharf::emulator {
namespace {

constexpr Duration kReadyTimeout = 40 * kSecond;
constexpr Duration kStartDelay = 300 * kMs;  // gives the rig's processes time to read when the run begins
constexpr Duration kSampleInterval = 250 * kMs;
constexpr Duration kEndTimeout = 20 * kSecond;
constexpr double kSecondSignalDelayS = 0.05;
constexpr int kFirstNetwork = 64, kNetworkCount = 180;
constexpr double kLateAnswersS = 0.3;  // after the last deadline, for answers that are still in transit

volatile std::sig_atomic_t interrupted = 0;
void on_signal(int) {
  interrupted = 1;
}

/// A child process, by its id until it has ended.
struct ChildProcess {
  pid_t pid = -1;
  int status = 0;
  bool is_running() {
    if (pid > 0 && waitpid(pid, &status, WNOHANG) == pid) {
      pid = -1;
    }
    return pid > 0;
  }
  // The id of a process that has ended may belong to another process by now, so only a running one is
  // signalled.
  void send_signal(int signal) {
    if (is_running()) {
      ::kill(pid, signal);
    }
  }
  void kill_and_wait() {
    if (!is_running()) {
      return;
    }
    ::kill(pid, SIGKILL);
    waitpid(pid, &status, 0);
    pid = -1;
  }
};

struct Pipe {
  int read_end = -1, write_end = -1;
  Pipe() {
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0) {
      throw RunFailed("cannot make a pipe for a process of the rig: " + std::string(std::strerror(errno)));
    }
    read_end = ends[0], write_end = ends[1];
  }
  ~Pipe() { close(read_end), close(write_end); }
  Pipe(const Pipe&) = delete;
};

/// One run on sockets.
class LiveRun {
 public:
  LiveRun(const Scenario& scenario, const LiveOptions& options)
      : scenario_(scenario), options_(options), plan_(make_plan(scenario, options.seed)) {
    for (const int number : {SIGINT, SIGTERM, SIGHUP}) {
      std::signal(number, on_signal);
    }
    claim_network();
    folder_ = options.out.empty() ? std::filesystem::temp_directory_path().string() +
                                        fmt::format("/dapplewharf-fleet-{}", getpid())
                                  : options.out + "/parts";
    std::error_code fault;
    std::filesystem::create_directories(folder_, fault);
    if (fault) {
      throw InvalidInput(folder_ + ":0:0: cannot be made: " + fault.message() +
                         "; expected a folder to write to");
    }
  }
  ~LiveRun() {
    for (ChildProcess& node : nodes_) {
      node.kill_and_wait();
    }
    for (ChildProcess& process : rig_processes_) {
      process.kill_and_wait();
    }
    std::error_code ignored;
    if (options_.out.empty()) {
      std::filesystem::remove_all(folder_, ignored);
    }
  }

  Result run() {
    check_limits();
    double longest_deadline_ms = 0;
    for (const TrafficType& type : scenario_.traffic_types) {
      longest_deadline_ms = std::max(longest_deadline_ms, type.expiry_ms);
    }
    const double for_s = scenario_.duration_s + longest_deadline_ms / 1000 + kLateAnswersS;
    start_rig_process("hosts", run_endpoints, for_s);
    await_rig_process(0);
    nodes_.resize(static_cast<std::size_t>(scenario_.node_count));
    samples_.resize(nodes_.size());
    for (int n = 0; n < static_cast<int>(nodes_.size()); ++n) {
      write_config(n, addresses_.list(n)), start_node(n);
    }
    start_rig_process("clients", run_clients, for_s);
    await_rig_process(1);
    loop_.run_once(0);
    started_at_ = loop_.now() + kStartDelay;
    const TimePoint start_steady = started_at_ - loop_.from_steady(0);
    for (const auto& start : start_pipes_) {
      if (write(start->write_end, &start_steady, sizeof start_steady) != sizeof start_steady) {
        throw RunFailed("a process of the rig has ended");
      }
    }
    schedule_node_faults();
    sample_nodes();
    const TimePoint end_by = started_at_ + static_cast<Duration>(for_s * kSecond) + kEndTimeout;
    while (rig_processes_[0].is_running() || rig_processes_[1].is_running()) {
      run_loop_once();
      if (loop_.now() > end_by) {
        throw RunFailed("a process of the rig did not end in time");
      }
    }
    for (const ChildProcess& process : rig_processes_) {
      if (process.status != 0) {
        throw RunFailed("a process of the rig failed");
      }
    }
    for (ChildProcess& node : nodes_) {
      node.send_signal(SIGUSR1);  // writes its counters to its log
    }
    poll(nullptr, 0, 150);
    RunRecords run_records{std::move(records_), std::move(samples_)};
    for (const char* process : {"hosts", "clients"}) {
      for (Record& record : Records::read(folder_ + "/" + process + ".records")) {
        run_records.records.push_back(std::move(record));
      }
    }
    if (worst_lateness_ > 0) {
      run_records.records.push_back(
          {0, RecordKind::event_loop_late, "", static_cast<long>(worst_lateness_), 0, 0});
    }
    return make_result(scenario_, plan_, options_.seed, std::move(run_records));
  }

 private:
  // Gives each concurrent run a loopback network of its own. An open socket claims it until the run ends.
  void claim_network() {
    for (int i = 0; i < kNetworkCount; ++i) {
      addresses_.net = kFirstNetwork + (static_cast<int>(getpid()) + i) % kNetworkCount;
      if (addresses_.claim(network_claim_)) {
        return;
      }
    }
    throw RunFailed("no network of 127.64.0.0 to 127.243.0.0 is free for this run");
  }
  // A run that runs out of descriptors would measure only that.
  void check_limits() {
    double connections = scenario_.initial_clients;
    double total_life_s = 0;
    for (const Session& session : plan_.sessions) {
      total_life_s += session.lifetime_s;
    }
    connections = std::max(connections, total_life_s / scenario_.duration_s);
    connections = std::min(connections, static_cast<double>(plan_.sessions.size()));
    const auto needed =
        static_cast<int>(1.1 * connections + scenario_.host_count * scenario_.node_count * 2 + 200);
    const int available = descriptor_limit(1 << 20);  // asks for all: the need of a burst is not known
    if (available < needed) {
      throw RunFailed(
          fmt::format("this run needs {} descriptors in a process and may open {}; expected fewer "
                      "clients.standing or a higher limit",
                      needed, available));
    }
    if (scenario_.node_count > 200 || plan_.hosts.size() > 240) {
      throw InvalidInput(
          scenario_.file + ":1:1: " +
          fmt::format(
              "{} nodes and {} hosts on sockets; expected 200 and 240 at the most, or the sim command",
              scenario_.node_count, plan_.hosts.size()));
    }
    if (access(options_.node.c_str(), X_OK) != 0) {
      throw InvalidInput(options_.node +
                         ":0:0: is no program that can be started; expected the node, --node PATH");
    }
  }

  void start_rig_process(const std::string& name,
                         int (*run_process)(const Scenario&, const Plan&, const LoopbackAddresses&,
                                            ParentChannel, double),
                         double for_s) {
    auto ready = std::make_unique<Pipe>();
    auto start = std::make_unique<Pipe>();
    const ParentChannel parent{ready->write_end, start->read_end, folder_ + "/" + name + ".records"};
    std::cout.flush();
    const pid_t pid = fork();
    if (pid < 0) {
      throw RunFailed("cannot start a process of the rig: " + std::string(std::strerror(errno)));
    }
    if (pid == 0) {
      _exit(run_process(scenario_, plan_, addresses_, parent, for_s));
    }
    close(ready->write_end), ready->write_end = -1;  // so that the end of the process closes the pipe
    rig_processes_.push_back({pid, 0});
    ready_pipes_.push_back(std::move(ready)), start_pipes_.push_back(std::move(start));
  }
  void await_rig_process(std::size_t index) {
    const TimePoint deadline = loop_.now() + kReadyTimeout;
    for (;;) {
      run_loop_once();
      pollfd ready{ready_pipes_[index]->read_end, POLLIN, 0};
      if (poll(&ready, 1, 0) == 1) {
        char byte;
        if (read(ready_pipes_[index]->read_end, &byte, 1) == 1) {
          return;
        }
        throw RunFailed("a process of the rig did not start");
      }
      if (loop_.now() > deadline) {
        throw RunFailed("the rig or a node was not ready in time");
      }
    }
  }

  void run_loop_once() {
    loop_.run_once(20 * kMs);
    worst_lateness_ = std::max(worst_lateness_, loop_.lateness());
    if (interrupted) {
      throw RunFailed("interrupted; all processes of the run have been ended");
    }
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (!is_stopped(n) && !nodes_[n].is_running() && nodes_[n].status != -1) {
        const int status = nodes_[n].status;
        throw RunFailed(fmt::format(
            "node {} ended by itself, {} {}; its log: {}", n, WIFSIGNALED(status) ? "signal" : "exit code",
            WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status), last_log_line(n)));
      }
    }
  }
  bool is_stopped(std::size_t n) const { return n < is_stopped_.size() && is_stopped_[n]; }
  std::string log_path(std::size_t n) const { return fmt::format("{}/node-{}.log", folder_, n); }
  std::string last_log_line(std::size_t n) const {
    std::ifstream in(log_path(n));
    std::string line;
    std::string last = "empty";
    while (std::getline(in, line)) {
      if (!line.empty()) {
        last = line;
      }
    }
    return last;
  }

  void write_config(int n, const std::string& discovery) {
    nlohmann::json instances = nlohmann::json::array();
    for (std::size_t h = 0; h < plan_.hosts.size(); ++h) {
      const PlannedHost& host = plan_.hosts[h];
      if (host.join_time_s > 0) {
        continue;
      }
      instances.push_back(
          {{"instanceId", host.id},
           {"hostPort", addresses_.host(static_cast<int>(h), n)},
           {"zone", scenario_.zones[static_cast<std::size_t>(host.zone)]},
           {"machineType", scenario_.host_kinds[static_cast<std::size_t>(host.kind)].name},
           {"cell", h},  // one cell per host: the auditor treats the repeat group "cell" as one host
           {"lifecycle", "up"},
           {"weight", host.nominal_size},
           {"startedAtMs", 0}});
    }
    const nlohmann::json config = {
        {"name", fmt::format("n{}", n)},
        {"listen", addresses_.node(n)},
        {"discovery", discovery},
        {"seed", to_hex(options_.seed * 1000 + static_cast<std::uint64_t>(n))},
        {"limits",
         {{"cores", 1.0}, {"memory_mb", scenario_.node_memory_mb}, {"sockets", scenario_.node_descriptors}}},
        {"known", {{"generation", 1}, {"reset", true}, {"instances", instances}}},
        {"settings", make_node_settings(scenario_, plan_, n)}};
    write_file(fmt::format("{}/node-{}.json", folder_, n), config.dump(1));
  }

  void start_node(int n) {
    is_stopped_.resize(nodes_.size());
    const std::string config = fmt::format("{}/node-{}.json", folder_, n);
    const std::string log = log_path(static_cast<std::size_t>(n));
    const pid_t pid = fork();
    if (pid < 0) {
      throw RunFailed("cannot start a process for a node: " + std::string(std::strerror(errno)));
    }
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      if (out >= 0) {
        dup2(out, STDOUT_FILENO), dup2(out, STDERR_FILENO);
      }
      for (int descriptor = 3; descriptor < 64; ++descriptor) {
        close(descriptor);
      }
      for (const int number : {SIGINT, SIGTERM, SIGHUP}) {
        std::signal(number, SIG_DFL);
      }
      for (const char* name : {"PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY"}) {
        unsetenv(name);
      }
      setenv("PROXY_CONFIG", config.c_str(), 1);
      if (options_.system_faults) {
        setenv("SYSTEM_FAULTS", options_.system_faults(n).c_str(), 1);
        setenv("SYSTEM_FAULTS_SEED", std::to_string(options_.seed * 100 + static_cast<unsigned>(n)).c_str(),
               1);
      }
      execl(options_.node.c_str(), options_.node.c_str(), nullptr);
      _exit(127);
    }
    if (now() >= 0) {
      records_.add(now(), RecordKind::node_started, static_cast<std::size_t>(n));
    }
    nodes_[static_cast<std::size_t>(n)] = {pid, 0};
    is_stopped_[static_cast<std::size_t>(n)] = false;
  }

  /// Runs `due` at a time of the run, in seconds.
  void schedule_at(double at_s, EventLoop::DueCallback due) {
    EventLoop::Deadline deadline;
    loop_.schedule(deadline, started_at_ + static_cast<Duration>(at_s * kSecond), std::move(due));
  }
  TimePoint now() const { return loop_.now() - started_at_; }

  void schedule_node_faults() {
    for (const PlannedFault& planned : plan_.faults) {
      const Fault& fault = planned.fault;
      for (const int n : planned.nodes) {
        const auto node = static_cast<std::size_t>(n);
        if (fault.kind == FaultKind::node_killed) {
          schedule_at(fault.start_s, [this, node] {
            is_stopped_[node] = true;
            nodes_[node].send_signal(SIGKILL);
            records_.add(now(), RecordKind::node_killed, node);
          });
          schedule_at(fault.start_s + fault.duration_s,
                      [this, node] { nodes_[node].kill_and_wait(), start_node(static_cast<int>(node)); });
        } else if (fault.kind == FaultKind::node_restarted) {
          schedule_at(fault.start_s, [this, node] {
            is_stopped_[node] = true, nodes_[node].send_signal(SIGTERM);
            records_.add(now(), RecordKind::node_shutting_down, node);
          });
          schedule_at(fault.start_s + kSecondSignalDelayS,
                      [this, node] { nodes_[node].send_signal(SIGTERM); });
          // SIGKILL comes no sooner than 0.7 s after the longest deadline, of which 3 s at most count.
          // Requests and connections that the node still holds then are lost.
          double longest_deadline_s = 0;
          for (const TrafficType& type : scenario_.traffic_types) {
            longest_deadline_s = std::max(longest_deadline_s, type.expiry_ms / 1000);
          }
          const double killed_after_s = std::min(longest_deadline_s, 3.0) + 0.7;
          schedule_at(fault.start_s + killed_after_s, [this, node] { finish_stopped_node(node); });
          schedule_at(fault.start_s + std::max(fault.duration_s, killed_after_s + 0.1),
                      [this, node] { start_node(static_cast<int>(node)); });
        } else if (fault.kind == FaultKind::node_reload) {
          schedule_at(fault.start_s, [this, node] {
            write_config(static_cast<int>(node), addresses_.list(static_cast<int>(node)));
            nodes_[node].send_signal(SIGHUP);
          });
        }
      }
    }
  }

  // A node that ended by itself with an error status must not count as one that shut down in order.
  void finish_stopped_node(std::size_t n) {
    const bool ended = !nodes_[n].is_running();
    if (ended && nodes_[n].status != 0) {
      throw RunFailed(
          fmt::format("node {} ended with status {}; its log: {}", n, nodes_[n].status, last_log_line(n)));
    }
    nodes_[n].kill_and_wait();
  }

  void sample_nodes() {
    loop_.schedule(sample_due_, loop_.now() + kSampleInterval, [this] { sample_nodes(); });
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (is_stopped(n) || !nodes_[n].is_running()) {
        continue;
      }
      const std::string proc = fmt::format("/proc/{}/", nodes_[n].pid);
      Sample sample;
      sample.when = now();
      std::ifstream cpu(proc + "schedstat");
      std::ifstream status(proc + "status");
      double cpu_ns = 0;
      cpu >> cpu_ns;
      sample.cpu_s = cpu_ns / 1e9;
      for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
          sample.rss_kib = std::strtol(line.c_str() + 6, nullptr, 10);
        }
      }
      if (DIR* descriptors = opendir((proc + "fd").c_str())) {
        while (readdir(descriptors)) {
          ++sample.descriptors;
        }
        closedir(descriptors);
        sample.descriptors -= 2;  // the entries "." and ".."
      }
      if (sample.when >= 0 && cpu_ns > 0) {
        samples_[n].push_back(sample);
      }
    }
    if (options_.progress && now() >= 0) {
      const double share = std::min(1.0, static_cast<double>(now()) / kSecond / scenario_.duration_s);
      std::string active_faults;
      for (const PlannedFault& planned : plan_.faults) {
        if (static_cast<double>(now()) / kSecond >= planned.fault.start_s &&
            static_cast<double>(now()) / kSecond < planned.fault.start_s + planned.fault.duration_s) {
          active_faults += " " + planned.fault.name;
        }
      }
      std::cerr << fmt::format("\r[{:<30}] {:4.0f} of {:.0f} s {:<40}",
                               std::string(static_cast<std::size_t>(30 * share), '#'),
                               static_cast<double>(now()) / kSecond, scenario_.duration_s, active_faults)
                << (share >= 1 ? "\r" : "") << std::flush;
    }
  }

  /// Records of what this process does to the nodes.
  struct OwnRecords : std::vector<Record> {
    void add(TimePoint when, RecordKind kind, std::size_t node) {
      push_back({when, kind, "", static_cast<long>(node), 0, 0});
    }
  };

  const Scenario& scenario_;
  LiveOptions options_;
  Plan plan_;
  LoopbackAddresses addresses_;
  Socket network_claim_;
  std::string folder_;
  EventLoop loop_;
  TimePoint started_at_ = INT64_MAX / 2;
  Duration worst_lateness_ = 0;
  EventLoop::Deadline sample_due_;
  std::vector<ChildProcess> nodes_, rig_processes_;
  std::vector<bool> is_stopped_;
  std::vector<std::unique_ptr<Pipe>> ready_pipes_, start_pipes_;
  std::vector<std::vector<Sample>> samples_;
  OwnRecords records_;
};

}  // namespace

Result play_live(const Scenario& scenario, const LiveOptions& options) {
  return LiveRun(scenario, options).run();
}

}  // namespace dapplewharf::emulator
