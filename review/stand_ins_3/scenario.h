#pragma once

// What the cases have in common: a manifest with one route for streams that may
// be resumed, a group of clients, and the verdict.

#include "client.h"
#include "engine.h"
#include "fleet.h"

namespace review {

inline constexpr const char* kModel = "m1";
inline constexpr const char* kPath = "/note/2f";
inline constexpr const char* kService = "llm-a";
inline constexpr const char* kOtherService = "llm-b";

/// Returns false if the environment says TROUBLE=0: the case then runs without
/// its disruption.
inline auto HasTrouble() -> bool {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// Returns a service of model servers. `prefix` and a number name its models,
/// each of 65.1 GB.
inline auto ModelService(const std::string& name, const std::string& prefix,
                         int models) -> json::object {
  json::array list;
  for (int i = 1; i <= models; ++i) {
    list.push_back({{"name", prefix + std::to_string(i)},
                    {"weights_mb", 65100},
                    {"load_s", 1.2},
                    {"adapters", 0},
                    {"adapter_mb", 12.0},
                    {"warm_s", 0.4},
                    {"disk_s", 0.8}});
  }
  json::object engine{{"slots", 64},
                      {"kv_cap_tokens", 259377},
                      {"kv_token_bytes", 163840},
                      {"link_mbps", 1100000.0},
                      {"weights_mb", 220000},
                      {"adapter_slots", 8},
                      {"loads_per_s", 1.4},
                      {"models", std::move(list)}};
  return {{"name", name},     {"health_path", "/health"},
          {"max_conns", 360}, {"protocol", "h1"},
          {"tls", false},     {"engine", std::move(engine)}};
}

inline auto StreamRoute(const std::string& prefix, const std::string& service)
    -> json::object {
  return {{"name", "r-" + service}, {"host", "x.example"}, {"prefix", prefix},
          {"kind", "stream"},       {"timeout_ms", 15000}, {"goal_ms", 2000},
          {"priority", 0},          {"service", service},  {"max_attempts", 2},
          {"sticky", true},         {"resumable", true},   {"gap_aim_ms", 600}};
}

/// `models`: how many kService has, m1 and so on. `others`: there is a second
/// service, with the models n1 to n3.
/// `keys`: those of the one client account there is; none: there is no account.
inline auto Manifest(int models = 1, bool others = false, int version = 7,
                     const std::vector<std::string>& keys = {}) -> std::string {
  json::array routes{StreamRoute("/note/", kService)};
  json::array services{ModelService(kService, "m", models)};
  if (others) {
    routes.push_back(StreamRoute("/other/", kOtherService));
    services.push_back(ModelService(kOtherService, "n", 3));
  }
  json::object manifest{{"version", version},
                        {"routes", std::move(routes)},
                        {"services", std::move(services)},
                        {"limits",
                         {{"max_header_bytes", 16384},
                          {"max_body_bytes", 4194304},
                          {"header_timeout_ms", 3000},
                          {"idle_timeout_ms", 15000}}}};
  if (!keys.empty()) {
    json::array list(keys.begin(), keys.end());
    manifest["tenants"] =
        json::array{{{"name", "ward-a"}, {"api_keys", std::move(list)}}};
  }
  return json::serialize(manifest);
}

/// Streams that begin at the same time, each read by a client in a thread of
/// its own.
class Group {
 public:
  Group(Record& record, const std::string& name, int count, int limit_ms,
        const std::string& model = kModel) {
    for (int i = 0; i < count; ++i) {
      clients_.push_back(
          std::make_unique<Client>(record, name + std::to_string(i), kPath,
                                   model, Clock::now() + Ms(limit_ms)));
    }
  }
  ~Group() { Join(); }
  Group(const Group&) = delete;
  auto operator=(const Group&) -> Group& = delete;

  /// Runs `action` with each client and its number, `gap_ms` apart.
  template <class Action>
  auto Start(int gap_ms, Action action) -> void {
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      threads_.emplace_back(
          [this, i, action] { action(*clients_[i], static_cast<int>(i)); });
      Sleep(gap_ms);
    }
  }
  /// Resets the connections of every `nth` client.
  auto Break(std::size_t nth) -> void {
    for (std::size_t i = 0; i < clients_.size(); i += nth) {
      clients_[i]->Break();
    }
  }
  auto Join() -> void {
    for (auto& thread : threads_) {
      thread.join();
    }
    threads_.clear();
  }
  [[nodiscard]] auto clients() const
      -> const std::vector<std::unique_ptr<Client>>& {
    return clients_;
  }

 private:
  std::vector<std::unique_ptr<Client>> clients_;
  std::vector<std::thread> threads_;
};

/// Writes one line for each stream.
inline auto Describe(Record& record, const std::string& title,
                     const Group& group) -> void {
  record.Line(title);
  for (const auto& client : group.clients()) {
    const auto& stream = client->stream();
    std::string text = "  first attempt " + stream.first_id_ + ", last event " +
                       std::to_string(stream.last_event_) +
                       (stream.complete_ ? ", complete" : ", not complete") +
                       ", made by software";
    for (const auto& version : stream.versions_) {
      text += " " + version;
    }
    text += ", statuses";
    for (const int status : stream.statuses_) {
      text += " " + std::to_string(status);
    }
    record.Line(text + (stream.gap_.empty() ? "" : ", gap: " + stream.gap_));
  }
}

/// Returns the streams that hold events of two software versions.
inline auto CountMixed(const Group& group) -> int {
  return static_cast<int>(std::count_if(
      group.clients().begin(), group.clients().end(), [](const auto& client) {
        return client->stream().versions_.size() > 1;
      }));
}

}  // namespace review
