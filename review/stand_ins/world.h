#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdarg>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "store.h"

/// What the review cases share: a record of events, the program under test as
/// a process, servers, and clients.
namespace review {

/// Writes lines with the time since the start to `record.txt`.
class Record {
 public:
  explicit Record(const std::string& file)
      : file_(std::fopen(file.c_str(), "w")) {
    if (file_ == nullptr) {
      std::perror(file.c_str());
      std::exit(2);
    }
  }
  __attribute__((format(printf, 2, 3))) auto Line(const char* format, ...)
      -> void {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8.3f ",
                 std::chrono::duration<double>(Clock::now() - start_).count());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::FILE* file_;
  std::mutex mutex_;
  Clock::time_point start_ = Clock::now();
};

/// Loopback addresses of one run. The network 127.A.B.0/24 is drawn from the
/// process id, so that the fixed ports of the program are free.
class Addresses {
 public:
  Addresses()
      : network_("127." + std::to_string(100 + getpid() % 100) + "." +
                 std::to_string(getpid() / 100 % 250 + 1) + ".") {}
  [[nodiscard]] auto Machine(int number) const -> std::string {
    return network_ + std::to_string(10 + number);
  }
  [[nodiscard]] auto Server(int number) const -> Address {
    return {network_ + std::to_string(100 + number), 8500};
  }
  [[nodiscard]] auto StoreAddress() const -> Address {
    return {network_ + "7", 8142};
  }

 private:
  std::string network_;
};

inline auto UnixMilliseconds() -> std::int64_t {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// One machine with the program under test, run as the deploy file says.
class Machine {
 public:
  Machine(const Addresses& addresses, int number, int machines,
          const std::string& folder)
      : name_("front-zone-a-" + std::to_string(number)),
        address_(addresses.Machine(number)),
        folder_(folder) {
    std::string seeds;
    for (int i = 1; i <= std::min(machines, 3); ++i) {
      seeds +=
          (seeds.empty() ? "\"" : ",\"") + addresses.Machine(i) + ":8144\"";
    }
    std::ofstream(settings())
        << "node = \"" << name_ << "\"\n"
        << "role = \"entry\"\nclass = \"front\"\n"
        << "serves = [\"front\",\"control\",\"directory\"]\n"
        << "ip = \"" << address_ << "\"\n"
        << "zone = \"zone-a\"\nregion = \"region-a\"\n"
        << "port_range = [7380,7395]\n"
        << "seeds = [" << seeds << "]\n"
        << "bootstrap = true\nin_tolerance = false\n"
        << "discovery = \"platform\"\nentry = \"directory\"\n"
        << "heartbeat_ms = 1200\n"
        << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\","
        << "\"recover\",\"fleet\",\"stream\",\"engine\",\"platform\"]\n"
        << "[zones]\nzone-a = \"region-a\"\n"
        << "[listen]\n"
        << "front = \"" << address_ << ":8149\"\n"
        << "ready = \"" << address_ << ":8141\"\n"
        << "control = \"" << address_ << ":8144\"\n"
        << "directory = \"" << address_ << ":8143\"\n"
        << "[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\n"
        << "max_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n"
        << "[tolerate]\nmachines = 2\nzones = 0\nregions = 0\n"
        << "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\n"
        << "ack_ms = 4000\nsync_s = 4\ndrain_ms = 2000\ngrace_s = 8\n"
        << "loss_slack_ms = 200\nconfig_ms = 2000\nrollback_slack_ms = 250\n"
        << "max_skew_ms = 5000\nretry_ratio = 0.2\nretry_window_s = 10\n"
        << "retry_slack = 52\nrecover_s = 12\npass_ms = 120\n"
        << "retry_after_s = 0\nchecks_fence = false\nlease_ms = 3000\n"
        << "thaw_ms = 300\nceiling_window_s = 5\nceiling_over = 1.1\n"
        << "ttl_max_s = 5\n"
        << "[platform]\naddr = \"" << addresses.StoreAddress().ToString()
        << "\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\n"
        << "history_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n";
  }
  ~Machine() { Kill(); }
  Machine(const Machine&) = delete;
  auto operator=(const Machine&) -> Machine& = delete;

  auto Start() -> void {
    const auto log = folder_ + "/" + name_ + ".log";
    const auto boot = "BAOBABROAD_BOOT=" + settings();
    const char* path = std::getenv("PATH");
    const auto path_variable = std::string("PATH=") + (path ? path : "/bin");
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // also if the case is interrupted
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      std::string program = "target/platform/baobab_entryd";
      std::string option = "--metrics-port";
      std::string port = "9187";
      char* arguments[] = {program.data(), option.data(), port.data(), nullptr};
      char* environment[] = {const_cast<char*>(path_variable.c_str()),
                             const_cast<char*>(boot.c_str()), nullptr};
      execve(program.c_str(), arguments, environment);
      _exit(127);
    }
  }
  /// Waits until the readiness check answers 200.
  auto WaitUntilReady(Milliseconds most) -> bool {
    const auto until = Clock::now() + most;
    while (Clock::now() < until) {
      Connection connection;
      if (connection.Open({address_, 8141}) &&
          connection.Write("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
        const auto response = connection.Read(Clock::now() + Milliseconds(500));
        if (response && response->Status() == 200) {
          return true;
        }
      }
      std::this_thread::sleep_for(Milliseconds(50));
    }
    return false;
  }
  auto Signal(int signal) -> void {
    if (pid_ > 0) {
      kill(pid_, signal);
    }
  }
  auto Kill() -> void {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = 0;
    }
  }
  /// Returns true if the process has ended, and then its wait status.
  auto HasEnded(int& status) -> bool {
    if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = 0;
      return true;
    }
    return pid_ == 0;
  }
  /// Memory of the process in bytes, without what the system has received for
  /// it and it has not read yet.
  [[nodiscard]] auto MemoryBytes() const -> std::size_t {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  }
  [[nodiscard]] auto name() const -> const std::string& { return name_; }
  [[nodiscard]] auto address() const -> const std::string& { return address_; }
  [[nodiscard]] auto front() const -> Address { return {address_, 8149}; }
  [[nodiscard]] auto settings() const -> std::string {
    return folder_ + "/" + name_ + ".toml";
  }
  [[nodiscard]] auto log() const -> std::string {
    return folder_ + "/" + name_ + ".log";
  }

 private:
  std::string name_;
  std::string address_;
  std::string folder_;
  pid_t pid_ = 0;
};

/// A server. `run` answers the requests that are not the platform's own calls;
/// it returns false to end the connection.
class Server {
 public:
  using Run = std::function<bool(const Message&, Connection&)>;

  Server(Store& store, const Address& at, std::string id, std::string service,
         std::string models, Run run)
      : store_(store),
        address_(at),
        id_(std::move(id)),
        service_(std::move(service)),
        models_(std::move(models)),
        run_(std::move(run)),
        listener_(at, [this](Connection& connection) { Serve(connection); }) {
    Register("ready");
  }

  auto Register(const std::string& state) -> void {
    store_.Put("servers/" + id_,
               R"({"service":")" + service_ + R"(","addr":")" +
                   address_.ToString() +
                   R"(","zone":"zone-a","version":"v1","slots":64,"state":")" +
                   state + R"(","cold_left_ms":0,"stage":"hybrid","models":)" +
                   models_ + R"(,"seq":)" + std::to_string(orders_) +
                   R"(,"born":)" + std::to_string(born_) + "}");
  }
  [[nodiscard]] auto id() const -> const std::string& { return id_; }

 private:
  auto Serve(Connection& connection) -> void {
    while (const auto request =
               connection.Read(Clock::now() + std::chrono::minutes(5))) {
      if (!request->complete_) {
        return;
      }
      const auto expected = request->Header("X-Baobabroad-Expect-Instance");
      const auto target = request->Target();
      if (!expected.empty() && expected != id_) {
        connection.Write(
            Response(421, "", "X-Baobabroad-Instance-Id: " + id_ + "\r\n"));
      } else if (target == "/v1/report") {
        connection.Write(Response(
            200,
            R"({"stage":"hybrid","models":)" + models_ +
                R"(,"busy":false,"seq":)" + std::to_string(orders_) +
                R"(,"queued":0,"active":0,"kv_used":0,"kv_total":252855,)" +
                R"("handles":0,"born":)" + std::to_string(born_) + "}"));
      } else if (target == "/v1/order") {
        connection.Write(Response(200, "{}"));  // it holds all models
      } else if (!run_(*request, connection)) {
        return;
      }
    }
  }

  Store& store_;
  Address address_;
  std::string id_;
  std::string service_;
  std::string models_;
  Run run_;
  std::int64_t born_ = UnixMilliseconds();
  std::atomic<int> orders_ = 0;
  Listener listener_;
};

/// Ends the process at once. The threads of stores and servers still run, so
/// that nothing is destroyed.
[[noreturn]] inline auto Exit(int code) -> void { _exit(code); }

/// Headers of each answer of a server.
inline auto AnswerHeaders(const Message& request, const std::string& server)
    -> std::string {
  return "X-Baobabroad-Request-Id: " +
         request.Header("X-Baobabroad-Request-Id") +
         "\r\nX-Baobabroad-Server-Stamp: " + server + ".1.600\r\n";
}

/// Begins an event stream.
inline auto StreamHead(const Message& request, const std::string& server)
    -> std::string {
  return "HTTP/1.1 200 OK\r\n" + AnswerHeaders(request, server) +
         "Content-Type: text/event-stream\r\nTransfer-Encoding: "
         "chunked\r\n\r\n";
}

inline auto Chunk(const std::string& bytes) -> std::string {
  char size[20];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

}  // namespace review
