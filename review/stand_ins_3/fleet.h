#pragma once

// Starts the program of the deploy file as separate processes on loopback
// addresses, and can partition single ones from the others.

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <fstream>

#include "net.h"

namespace review {

/// Forwards datagrams from one address to another while it is open.
class DatagramRelay {
 public:
  DatagramRelay(const Address& from, const Address& to)
      : fd_(Bind(from, SOCK_DGRAM)), to_(SocketAddress(to)) {
    if (fd_ < 0) {
      std::perror(from.Text().c_str());
      std::exit(2);
    }
    thread_ = std::thread([this] { Run(); });
  }
  ~DatagramRelay() {
    stopped_ = true;
    thread_.join();
    close(fd_);
  }
  DatagramRelay(const DatagramRelay&) = delete;
  auto operator=(const DatagramRelay&) -> DatagramRelay& = delete;
  auto Cut(bool cut) -> void { cut_ = cut; }

 private:
  auto Run() -> void {
    std::vector<char> bytes(70000);
    while (!stopped_) {
      pollfd wait{fd_, POLLIN, 0};
      if (poll(&wait, 1, 50) <= 0) {
        continue;
      }
      const auto size = recv(fd_, bytes.data(), bytes.size(), 0);
      if (size > 0 && !cut_) {
        sendto(fd_, bytes.data(), static_cast<std::size_t>(size), 0,
               reinterpret_cast<const sockaddr*>(&to_), sizeof to_);
      }
    }
  }

  int fd_;
  sockaddr_in to_;
  std::atomic<bool> cut_ = false;
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
};

class Fleet {
 public:
  /// Limits of a machine, as the settings state them.
  struct Limits {
    int memory_mb_ = 260;
    int descriptors_ = 4100;
    std::string cpu_share_ = "0.25";
    std::string more_bounds_;  // lines of the table
  };

  /// Keeps settings and logs in `directory`. `count` machines, each in a zone
  /// of its own. The machine `apart` (-1: none) talks to the others through
  /// relays that can be cut: its port for datagrams is the next one.
  Fleet(Record& record, std::string directory, int count, int apart)
      : Fleet(record, std::move(directory), count, apart, Limits()) {}
  Fleet(Record& record, std::string directory, int count, int apart,
        Limits limits)
      : record_(record),
        apart_(apart),
        limits_(std::move(limits)),
        directory_(std::move(directory)) {
    const auto seed = static_cast<int>(getpid());
    net_ = "127." + std::to_string(64 + seed % 128) + "." +
           std::to_string(seed / 128 % 250) + ".";
    FindPorts(count);
    for (int i = 0; i < count; ++i) {
      processes_.push_back(-1);
      WriteSettings(i, count);
    }
    for (int i = 0; apart >= 0 && i < count; ++i) {
      const int own = i == apart ? peer_port_ + 1 : peer_port_;
      const int seen = i == apart ? peer_port_ : peer_port_ + 1;
      relays_.push_back(std::make_unique<DatagramRelay>(Address{Ip(i), seen},
                                                        Address{Ip(i), own}));
    }
  }
  ~Fleet() {
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      Kill(static_cast<int>(i));
    }
  }
  Fleet(const Fleet&) = delete;
  auto operator=(const Fleet&) -> Fleet& = delete;

  [[nodiscard]] auto Ip(int index) const -> std::string {
    return net_ + std::to_string(index + 1);
  }
  [[nodiscard]] auto Front(int index) const -> Address {
    return {Ip(index), front_port_};
  }
  /// The address of the store for each process.
  [[nodiscard]] auto StoreAddresses() const -> std::vector<Address> {
    std::vector<Address> addresses;
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      addresses.push_back({net_ + "200", store_port_ + static_cast<int>(i)});
    }
    return addresses;
  }
  [[nodiscard]] auto ServerAddress(int index) const -> Address {
    return {net_ + std::to_string(100 + index), server_port_};
  }

  auto Start(int index) -> void {
    const auto settings = SettingsFile(index);
    const auto log = directory_ + "/log-" + std::to_string(index);
    const pid_t child = fork();
    if (child == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      setenv("BAOBABROAD_BOOT", settings.c_str(), 1);
      execl("target/platform/baobab_entryd", "target/platform/baobab_entryd",
            "--metrics-port", "9187", static_cast<char*>(nullptr));
      _exit(127);
    }
    processes_[static_cast<std::size_t>(index)] = child;
    record_.Line("machine " + std::to_string(index) + " starts");
  }

  auto Signal(int index, int signal) -> void {
    if (processes_[static_cast<std::size_t>(index)] > 0) {
      kill(processes_[static_cast<std::size_t>(index)], signal);
    }
  }
  auto Kill(int index) -> void {
    auto& process = processes_[static_cast<std::size_t>(index)];
    if (process > 0) {
      kill(process, SIGKILL);
      waitpid(process, nullptr, 0);
      process = -1;
    }
  }

  /// Returns the resident memory of the process in MB; 0 if it has ended.
  [[nodiscard]] auto MemoryMb(int index) const -> double {
    std::ifstream in(
        "/proc/" + std::to_string(processes_[static_cast<std::size_t>(index)]) +
        "/statm");
    long total = 0;
    long resident = 0;
    in >> total >> resident;
    return static_cast<double>(resident) *
           static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
  }

  /// Partitions the machine `apart` from the others, or heals the partition.
  auto CutApart(bool cut) -> void {
    for (auto& relay : relays_) {
      relay->Cut(cut);
    }
  }

  [[nodiscard]] auto IsReady(int index) const -> bool {
    const int fd = Connect({Ip(index), ready_port_}, 200);
    if (fd < 0) {
      return false;
    }
    SendAll(fd, "GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto answer = Reader(fd).Head(Clock::now() + Ms(500));
    close(fd);
    return answer && answer->Status() == 200;
  }
  /// Returns true if the machine holds the order lease, by its metrics page.
  [[nodiscard]] auto IsHolder(int index) const -> bool {
    const int fd = Connect({Ip(index), 9187}, 200);
    if (fd < 0) {
      return false;
    }
    SendAll(fd, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto answer = Reader(fd).Head(Clock::now() + Ms(500));
    close(fd);
    return answer &&
           answer->body_.find("gateway_is_holder 1") != std::string::npos;
  }
  /// Waits until machine 0, which has the largest CPU share, holds the order
  /// lease.
  auto AwaitHolder() const -> void {
    const auto until = Clock::now() + std::chrono::seconds(30);
    while (!IsHolder(0)) {
      if (Clock::now() > until) {
        record_.Line("machine 0 does not hold the order lease");
        std::exit(2);
      }
      Sleep(100);
    }
  }

  /// Waits until the machines are ready. Ends the script if they don't get so.
  auto AwaitReady(const std::vector<int>& machines) const -> void {
    const auto until = Clock::now() + std::chrono::seconds(20);
    for (const int index : machines) {
      while (!IsReady(index)) {
        if (Clock::now() > until) {
          record_.Line("machine " + std::to_string(index) + " is not ready");
          std::exit(2);
        }
        Sleep(50);
      }
    }
  }

 private:
  auto FindPorts(int count) -> void {
    for (int base = 21000 + getpid() % 5000; base < 32000; base += 40) {
      bool free = true;
      for (int i = 0; i < count && free; ++i) {
        for (int port = base; port < base + 8 && free; ++port) {
          for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
            const int fd = Bind({Ip(i), port}, type);
            free = free && fd >= 0;
            if (fd >= 0) {
              close(fd);
            }
          }
        }
      }
      if (free) {
        front_port_ = base;
        ready_port_ = base + 1;
        control_port_ = base + 2;
        directory_port_ = base + 3;
        peer_port_ = base + 4;
        store_port_ = base + 10;
        server_port_ = base + 30;
        return;
      }
    }
    std::fprintf(stderr, "no free ports\n");
    std::exit(2);
  }

  [[nodiscard]] auto SettingsFile(int index) const -> std::string {
    return directory_ + "/settings-" + std::to_string(index) + ".toml";
  }

  auto WriteSettings(int index, int count) const -> void {
    const auto ip = Ip(index);
    const int peer = index == apart_ ? peer_port_ + 1 : peer_port_;
    const auto port = [&ip](int number) {
      return "\"" + ip + ":" + std::to_string(number) + "\"\n";
    };
    std::ofstream out(SettingsFile(index));
    out << "node = \"front-z" << index << "-1\"\nrole = \"entry\"\n"
        << "class = \"front\"\nserves = [\"front\",\"control\",\"directory\"]\n"
        << "ip = \"" << ip << "\"\nzone = \"z" << index
        << "\"\nregion = \"r\"\nport_range = [" << peer << "," << peer + 10
        << "]\nseeds = [";
    for (int i = 0; i < count && i < 3; ++i) {
      out << (i > 0 ? "," : "") << "\"" << Ip(i) << ":" << control_port_
          << "\"";
    }
    out << "]\nbootstrap = true\nin_tolerance = false\n"
        << "discovery = \"platform\"\nentry = \"directory\"\n"
        << "heartbeat_ms = 1200\ncontracts = [\"base\",\"drain\",\"config\","
        << "\"cost\",\"retry\",\"recover\",\"fleet\",\"stream\",\"engine\","
        << "\"platform\"]\n[zones]\n";
    for (int i = 0; i < count; ++i) {
      out << "z" << i << " = \"r\"\n";
    }
    out << "[listen]\nfront = " << port(front_port_)
        << "ready = " << port(ready_port_)
        << "control = " << port(control_port_)
        << "directory = " << port(directory_port_)
        << "[limits]\ncpu_share = " << (index == 0 ? "0.5" : limits_.cpu_share_)
        << "\ncores = 1\nmemory_mb = " << limits_.memory_mb_
        << "\nmax_fds = " << limits_.descriptors_
        << "\nlink_mbps = 1000.0\ndisk_mb = 0\n"
        << "[tolerate]\nmachines = 2\nzones = 0\nregions = 0\n"
        << "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\n"
        << "ack_ms = 4000\nsync_s = 4\ndrain_ms = 2000\ngrace_s = 8\n"
        << "loss_slack_ms = 200\nconfig_ms = 2000\nrollback_slack_ms = 250\n"
        << "max_skew_ms = 5000\nretry_ratio = 0.2\nretry_window_s = 10\n"
        << "retry_slack = 54\nrecover_s = 12\npass_ms = 120\n"
        << "retry_after_s = 0\nchecks_fence = false\nlease_ms = 3000\n"
        << "thaw_ms = 300\nceiling_window_s = 5\nceiling_over = 1.1\n"
        << "ttl_max_s = 5\n"
        << limits_.more_bounds_ << "[platform]\naddr = \"" << net_
        << "200:" << store_port_ + index
        << "\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\n"
        << "history_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n";
  }

  Record& record_;
  int apart_;
  Limits limits_;
  std::string directory_;
  std::string net_;
  int front_port_ = 0;
  int ready_port_ = 0;
  int control_port_ = 0;
  int directory_port_ = 0;
  int peer_port_ = 0;
  int store_port_ = 0;
  int server_port_ = 0;
  std::vector<pid_t> processes_;
  std::vector<std::unique_ptr<DatagramRelay>> relays_;
};

}  // namespace review
