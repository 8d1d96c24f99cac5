#pragma once

// A crowd of odd clients beside ordinary ones, before one machine of little
// memory.

#include "engine.h"
#include "process.h"

namespace review2 {

inline constexpr int kMemoryMb = 120;  // memory_mb
inline constexpr int kServers = 40;
inline constexpr int kCacheTokens = 167040;  // kv_cap_tokens
inline constexpr int kMaxHeaderBytes = 16384;
inline constexpr int kOddClients = 40;
inline constexpr int kOrdinaryClients = 60;
inline constexpr auto kLength = std::chrono::seconds(60);
/// LOST: more than three times.
inline constexpr int kAllowedLosses = 3;

inline auto Manifest(const EngineLimits& limits) -> std::string {
  json::array models;
  for (const auto& model : limits.models_) {
    models.push_back(json::object{{"name", model.name_},
                                  {"weights_mb", model.weights_mb_},
                                  {"load_s", 3.8},
                                  {"adapters", 0},
                                  {"adapter_mb", model.adapter_mb_}});
  }
  return json::serialize(json::object{
      {"version", 7},
      {"routes", json::array{json::object{{"name", "r-plan"},
                                          {"host", "a.example"},
                                          {"prefix", "/plan/"},
                                          {"kind", "stream"},
                                          {"timeout_ms", 5000},
                                          {"goal_ms", 1000},
                                          {"priority", 1},
                                          {"service", "usporedba"},
                                          {"max_attempts", 2},
                                          {"sticky", true},
                                          {"resumable", false},
                                          {"gap_aim_ms", 600}}}},
      {"services",
       json::array{json::object{
           {"name", "usporedba"},
           {"health_path", "/health"},
           {"max_conns", 640},
           {"engine", json::object{{"slots", limits.slots_},
                                   {"kv_cap_tokens", kCacheTokens},
                                   {"models", std::move(models)},
                                   {"weights_mb", limits.weights_mb_},
                                   {"adapter_slots", limits.adapter_slots_},
                                   {"loads_per_s", 1.4}}}}}},
      {"limits", json::object{{"max_header_bytes", kMaxHeaderBytes},
                              {"max_body_bytes", 4194304},
                              {"header_timeout_ms", 3000},
                              {"idle_timeout_ms", 15000}}}});
}

struct Counts {
  std::mutex mutex_;
  std::map<std::string, int> answers_;
  std::set<std::string> run_;  // requests that a server began to run
  int lost_ = 0;               // on kept connections, passed on to a server
  bool killed_ = false;
};

/// Returns the header fields of request `i` of client `number` that describe
/// its prompt.
using MakeFields = std::function<std::string(int number, int i)>;

inline auto OrdinaryFields(int i) -> std::string {
  return "X-Baobabroad-Model: model-1\r\n"
         "X-Baobabroad-Token-Count: 1460,20\r\n"
         "X-Baobabroad-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410," +
         std::to_string(100000 + i) +
         ":250\r\nX-Baobabroad-Deadline-Ms: 5000\r\n";
}

/// Sends streams on a kept connection; odd ones have the given fields.
inline auto RunClient(const Address& front, int number, bool odd,
                      const MakeFields& make_fields,
                      const std::atomic<bool>& stop, Record& record,
                      Counts& counts) -> void {
  Connection connection;
  int on_connection = 0;
  std::this_thread::sleep_for(Milliseconds(number * 37 % 700));
  for (int i = 0; !stop; ++i) {
    if (!connection.is_open()) {
      on_connection = 0;
      if (!connection.Open(front)) {
        std::this_thread::sleep_for(Milliseconds(200));
        continue;
      }
    }
    const auto id = std::to_string(number) + "-" + std::to_string(i);
    const auto request =
        "POST /plan/x HTTP/1.1\r\nHost: a.example\r\n"
        "X-Baobabroad-Request-Id: " +
        id + "\r\n" + (odd ? make_fields(number, i) : OrdinaryFields(i)) +
        "Content-Length: 2\r\n\r\n{}";
    if (request.size() > kMaxHeaderBytes) {
      continue;  // clients stay inside the limits
    }
    const bool sent = connection.Write(request);
    const auto answer = connection.Read(Clock::now() + Milliseconds(5000));
    const auto status = !answer ? std::string("none")
                        : connection.complete()
                            ? std::to_string(answer->Status())
                            : std::string("incomplete");
    {
      const std::lock_guard lock(counts.mutex_);
      ++counts.answers_[(odd ? "odd " : "ordinary ") + status];
      if (sent && (status == "none" || status == "incomplete") &&
          !connection.timed_out() && on_connection > 0 &&
          counts.run_.count(id) > 0) {
        ++counts.lost_;
        record.Line("request " + id + (odd ? " (odd)" : " (ordinary)") +
                    " ran at a server; its kept connection ended without a "
                    "complete answer");
      }
    }
    ++on_connection;
    if (!answer || !connection.complete() ||
        answer->Header("Connection") == "close") {
      connection.Close();
    }
    if (!odd || !answer || answer->Status() != 200) {
      std::this_thread::sleep_for(Milliseconds(100));
    }
  }
}

inline auto ResidentKb(pid_t pid) -> long {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  while (file >> word) {
    if (word == "VmRSS:") {
      long kilobytes = 0;
      file >> kilobytes;
      return kilobytes;
    }
  }
  return 0;
}

inline auto RunCrowd(const std::string& folder, Record& record,
                     const MakeFields& make_fields) -> int {
  LoopbackNet net;
  const auto host = net.Next();
  const auto server_host = net.Next();
  if (server_host.empty()) {
    return kCannotRun;
  }
  Counts counts;
  Store store;
  EngineLimits limits;
  limits.slots_ = 32;
  limits.events_ = 20;
  limits.event_time_ = Milliseconds(25);
  limits.weights_mb_ = 200'000;
  limits.models_ = {{"model-1", 65100, 12}};
  store.Put("op/config", Manifest(limits));
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 1; i <= kServers; ++i) {
    engines.push_back(std::make_unique<Engine>(store, "i-" + std::to_string(i),
                                               "usporedba", limits));
    engines.back()->on_run_ = [&counts](const std::string&,
                                        const Message& request) {
      const std::lock_guard lock(counts.mutex_);
      counts.run_.insert(request.Header("X-Baobabroad-Request-Id"));
    };
    if (!engines.back()->Start(server_host, {"model-1"})) {
      return kCannotRun;
    }
  }
  MachineSettings settings;
  settings.node_ = "front-zone-a-1";
  settings.host_ = host;
  settings.seeds_ = {host};
  settings.store_ = store.OpenFor(server_host, "A");
  settings.memory_mb_ = kMemoryMb;
  settings.max_fds_ = 3075;
  settings.cpu_share_ = 0.09;
  EntryProcess entry(settings, net.ports(), folder, "A");
  if (!entry.Start() || !entry.WaitUntilReady()) {
    return kCannotRun;
  }
  std::atomic<bool> stop = false;
  std::vector<std::thread> clients;
  for (int i = 0; i < kOddClients + kOrdinaryClients; ++i) {
    const bool odd = i < kOddClients && WithTrouble();
    clients.emplace_back([&, i, odd] {
      RunClient(entry.front(), i, odd, make_fields, stop, record, counts);
    });
  }
  const auto end = Clock::now() + kLength;
  long most = 0;
  int checks = 0;
  while (Clock::now() < end && entry.IsAlive()) {
    std::this_thread::sleep_for(Milliseconds(50));
    const auto resident = ResidentKb(entry.pid());
    most = std::max(most, resident);
    if (++checks % 40 == 0) {
      const std::lock_guard lock(counts.mutex_);
      std::string line = "resident memory " + std::to_string(resident / 1024) +
                         " MB, answers so far:";
      for (const auto& [kind, count] : counts.answers_) {
        line += " " + kind + ": " + std::to_string(count) + ",";
      }
      record.Line(line);
    }
    if (resident > kMemoryMb * 1024L) {
      record.Line("the process holds " + std::to_string(resident / 1024) +
                  " MB, over its memory_mb of " + std::to_string(kMemoryMb) +
                  ": the platform kills it");
      entry.Signal(SIGKILL);
      break;
    }
  }
  std::this_thread::sleep_for(Milliseconds(1000));
  stop = true;
  for (auto& client : clients) {
    client.join();
  }
  for (const auto& [kind, count] : counts.answers_) {
    record.Line("answers " + kind + ": " + std::to_string(count));
  }
  record.Line("most resident memory " + std::to_string(most / 1024) +
              " MB; requests lost on kept connections: " +
              std::to_string(counts.lost_));
  return counts.lost_ > kAllowedLosses ? kBroken : kHeld;
}

}  // namespace review2
