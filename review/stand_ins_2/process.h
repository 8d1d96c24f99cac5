#pragma once

// Starts the project's program as a separate process, with the command of the
// deploy file and settings like those of a small deployment.

#include <dirent.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <cstdlib>
#include <fstream>
#include <random>
#include <sstream>

#include "http.h"

namespace review2 {

/// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

/// Returns false if the case is to run without its disruption.
inline auto WithTrouble() -> bool {
  const auto* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// Writes what was sent, answered and run, with the time since the start.
class Record {
 public:
  explicit Record(const std::string& file) : out_(file) {}

  auto Line(const std::string& text) -> void {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f ", Seconds());
    out_ << time << text << std::endl;
  }
  [[nodiscard]] auto Seconds() const -> double {
    return std::chrono::duration<double>(Clock::now() - start_).count();
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  TimePoint start_ = Clock::now();
};

/// Ports of a machine; the same on all machines.
struct Ports {
  std::uint16_t peers_ = 0;  // TCP and UDP
  std::uint16_t ready_ = 0;
  std::uint16_t directory_ = 0;
  std::uint16_t control_ = 0;
  std::uint16_t front_ = 0;
};

/// Returns true if nothing uses the port at the address.
inline auto IsFree(const std::string& host, std::uint16_t port, int type)
    -> bool {
  const int probe = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(probe, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto native = ToSockaddr({host, port});
  const bool is_free = bind(probe, reinterpret_cast<const sockaddr*>(&native),
                            sizeof(native)) == 0;
  close(probe);
  return is_free;
}

/// Loopback addresses on which all ports of a machine are free.
class LoopbackNet {
 public:
  LoopbackNet() {
    std::random_device random;
    net_ = "127." + std::to_string(20 + random() % 200) + "." +
           std::to_string(1 + random() % 250) + ".";
    ports_ = {7380, 8141, 8143, 8144, 8149};
  }
  [[nodiscard]] auto ports() const -> const Ports& { return ports_; }

  /// Returns the next address; an empty text if no address is free.
  auto Next() -> std::string {
    while (last_ < 250) {
      const auto host = net_ + std::to_string(++last_);
      bool is_free = IsFree(host, ports_.peers_, SOCK_DGRAM);
      for (const auto port : {ports_.peers_, ports_.ready_, ports_.directory_,
                              ports_.control_, ports_.front_, kMetricsPort}) {
        is_free = is_free && IsFree(host, port, SOCK_STREAM);
      }
      if (is_free) {
        return host;
      }
    }
    return {};
  }

  static constexpr std::uint16_t kMetricsPort = 9187;

 private:
  std::string net_;
  int last_ = 0;
  Ports ports_;
};

/// What the settings of a machine hold beside the defaults.
struct MachineSettings {
  std::string node_;
  std::string host_;
  std::string zone_ = "zone-a";
  std::vector<std::string> seeds_;
  Address store_;
  int memory_mb_ = 260;
  int max_fds_ = 4100;
  double cpu_share_ = 0.25;
  std::string bounds_;  // further lines of [bounds]
};

/// One `baobab_entryd`.
class EntryProcess {
 public:
  EntryProcess(MachineSettings settings, const Ports& ports,
               const std::string& folder, const std::string& label)
      : settings_(std::move(settings)),
        ports_(ports),
        file_(folder + "/" + label + ".toml"),
        log_(folder + "/" + label + ".log") {
    std::ofstream out(file_);
    const auto at = [this](std::uint16_t port) {
      return "\"" + Address{settings_.host_, port}.ToString() + "\"\n";
    };
    out << "node = \"" << settings_.node_
        << "\"\nrole = \"entry\"\nclass = \"front\"\n"
        << "serves = [\"front\",\"control\",\"directory\"]\nip = \""
        << settings_.host_ << "\"\nzone = \"" << settings_.zone_
        << "\"\nregion = \"region-a\"\nport_range = [" << ports.peers_ << ","
        << ports.peers_ + 15 << "]\nseeds = [";
    for (const auto& seed : settings_.seeds_) {
      out << (&seed == settings_.seeds_.data() ? "" : ",") << "\"" << seed
          << ":" << ports.control_ << "\"";
    }
    out << "]\nbootstrap = true\nin_tolerance = false\n"
        << "discovery = \"platform\"\nentry = \"directory\"\n"
        << "heartbeat_ms = 1200\n[zones]\n"
        << settings_.zone_
        << " = \"region-a\"\n[listen]\nfront = " << at(ports.front_)
        << "ready = " << at(ports.ready_) << "control = " << at(ports.control_)
        << "directory = " << at(ports.directory_)
        << "[limits]\ncpu_share = " << settings_.cpu_share_
        << "\ncores = 1\nmemory_mb = " << settings_.memory_mb_
        << "\nmax_fds = " << settings_.max_fds_
        << "\nlink_mbps = 1000.0\ndisk_mb = 0\n[tolerate]\nmachines = 2\n"
        << "zones = 0\nregions = 0\n[bounds]\nseed_lag_s = 3\n"
        << "reuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\nsync_s = 4\n"
        << "drain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n"
        << "config_ms = 2000\nrollback_slack_ms = 250\nmax_skew_ms = 5000\n"
        << "retry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 54\n"
        << "recover_s = 12\npass_ms = 120\nretry_after_s = 0\n"
        << "checks_fence = false\nlease_ms = 3000\nthaw_ms = 300\n"
        << "ceiling_window_s = 5\nceiling_over = 1.1\nttl_max_s = 5\n"
        << settings_.bounds_ << "[platform]\naddr = \""
        << settings_.store_.ToString()
        << "\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\n"
        << "history_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n";
  }
  ~EntryProcess() { Signal(SIGKILL); }
  EntryProcess(const EntryProcess&) = delete;
  auto operator=(const EntryProcess&) -> EntryProcess& = delete;

  auto Start() -> bool {
    const auto* program = std::getenv("ENTRYD");
    const std::string file =
        program == nullptr ? "target/platform/baobab_entryd" : program;
    if (access(file.c_str(), X_OK) != 0) {
      return false;
    }
    const auto boot = "BAOBABROAD_BOOT=" + file_;
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // also if the case is interrupted
      const auto files = static_cast<rlim_t>(settings_.max_fds_);
      const rlimit limit{files, files};  // `max_fds` is the platform's limit
      setrlimit(RLIMIT_NOFILE, &limit);
      const int out = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      const auto port = std::to_string(LoopbackNet::kMetricsPort);
      char* arguments[] = {const_cast<char*>(file.c_str()),
                           const_cast<char*>("--metrics-port"),
                           const_cast<char*>(port.c_str()), nullptr};
      char* environment[] = {const_cast<char*>(boot.c_str()), nullptr};
      execve(file.c_str(), arguments, environment);
      _exit(127);
    }
    return pid_ > 0;
  }

  /// Sends a signal; waits for the end after SIGKILL.
  auto Signal(int signal) -> void {
    if (pid_ <= 0) {
      return;
    }
    kill(pid_, signal);
    if (signal == SIGKILL) {
      waitpid(pid_, nullptr, 0);
      pid_ = 0;
    }
  }

  /// Returns true unless the process has ended by itself.
  [[nodiscard]] auto IsAlive() -> bool {
    if (pid_ > 0 && waitpid(pid_, &end_status_, WNOHANG) == pid_) {
      pid_ = 0;
    }
    return pid_ > 0;
  }

  /// Returns true once the readiness check answers 200.
  auto WaitUntilReady(Milliseconds timeout = Milliseconds(10000)) -> bool {
    const auto until = Clock::now() + timeout;
    while (Clock::now() < until) {
      Connection connection;
      if (connection.Open({settings_.host_, ports_.ready_}) &&
          connection.Write("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
        const auto response = connection.Read(Clock::now() + Milliseconds(500));
        if (response && response->Status() == 200) {
          return true;
        }
      }
      std::this_thread::sleep_for(Milliseconds(20));
    }
    return false;
  }

  [[nodiscard]] auto front() const -> Address {
    return {settings_.host_, ports_.front_};
  }
  [[nodiscard]] auto directory() const -> Address {
    return {settings_.host_, ports_.directory_};
  }
  /// Number of open descriptors.
  [[nodiscard]] auto OpenFiles() const -> std::size_t {
    std::size_t count = 0;
    const auto path = "/proc/" + std::to_string(pid_) + "/fd";
    if (auto* folder = opendir(path.c_str())) {
      while (readdir(folder) != nullptr) {
        ++count;
      }
      closedir(folder);
    }
    return count < 2 ? 0 : count - 2;  // without "." and ".."
  }
  [[nodiscard]] auto pid() const -> pid_t { return pid_; }
  [[nodiscard]] auto end_status() const -> int { return end_status_; }
  [[nodiscard]] auto settings() const -> const MachineSettings& {
    return settings_;
  }

 private:
  MachineSettings settings_;
  Ports ports_;
  std::string file_;
  std::string log_;
  pid_t pid_ = 0;
  int end_status_ = 0;
};

}  // namespace review2
