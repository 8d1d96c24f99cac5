#pragma once

// Stand-in of the platform's metadata store (PROTOCOL.md). Each process has an
// address of its own for it, so that a single one can be partitioned from it.

#include <boost/json.hpp>
#include <condition_variable>
#include <deque>

#include "net.h"

namespace review {

namespace json = boost::json;

inline auto Encode64(const std::string& text) -> std::string {
  static const char* digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  std::uint32_t bits = 0;
  int held = 0;
  for (const char c : text) {
    bits = (bits << 8U) | static_cast<unsigned char>(c);
    for (held += 8; held >= 6;) {
      held -= 6;
      out += digits[(bits >> static_cast<unsigned>(held)) & 63U];
    }
  }
  if (held > 0) {
    out += digits[(bits << static_cast<unsigned>(6 - held)) & 63U];
  }
  while (out.size() % 4 != 0) {
    out += '=';
  }
  return out;
}

class Store {
 public:
  /// Listens at `addresses`, one for each process.
  explicit Store(const std::vector<Address>& addresses)
      : cut_(addresses.size()) {
    for (std::size_t i = 0; i < addresses.size(); ++i) {
      listeners_.push_back(std::make_unique<Listener>(
          addresses[i], [this, i](int fd) { Serve(fd, i); }));
    }
    expiry_ = std::thread([this] { ExpireLeases(); });
  }
  ~Store() {
    stopped_ = true;
    changed_.notify_all();
    for (auto& listener : listeners_) {
      listener->Stop();
    }
    expiry_.join();
    Sleep(600);  // waiting watches end
  }
  Store(const Store&) = delete;
  auto operator=(const Store&) -> Store& = delete;

  /// Partitions process `index` from the store, or heals the partition. The
  /// connections are silent meanwhile; what they held is lost.
  auto Cut(std::size_t index, bool cut) -> void { cut_[index] = cut; }

  /// A copy of what the store holds, for a drill.
  struct Copy;
  [[nodiscard]] auto TakeCopy() -> std::shared_ptr<Copy>;
  /// Returns from `copy`, in the next era.
  auto Restore(const Copy& copy) -> void;

  /// Writes of the operator and of the servers.
  auto Put(const std::string& key, const std::string& value) -> void {
    const std::lock_guard lock(mutex_);
    Write(key, Encode64(value), 0, ++revision_);
    changed_.notify_all();
  }
  auto Remove(const std::string& key) -> void {
    const std::lock_guard lock(mutex_);
    Erase(key, ++revision_);
    changed_.notify_all();
  }

 private:
  struct Item {
    std::string value_;  // base64
    std::int64_t revision_ = 0;
    std::int64_t created_ = 0;
    std::int64_t lease_ = 0;
  };
  struct Lease {
    Ms ttl_{};
    Clock::time_point ends_;
  };
  struct Event {
    std::int64_t revision_;
    std::string key_;
    json::object shown_;
  };

  static auto Show(const std::string& key, const Item& item) -> json::object {
    return {{"key", key},
            {"value", item.value_},
            {"rev", item.revision_},
            {"created", item.created_},
            {"lease", item.lease_}};
  }

  auto Write(const std::string& key, const std::string& value,
             std::int64_t lease, std::int64_t revision) -> void {
    auto& item = items_[key];
    item.created_ = item.created_ == 0 ? revision : item.created_;
    item.value_ = value;
    item.lease_ = lease;
    item.revision_ = revision;
    history_.push_back({revision, key, Show(key, item)});
  }

  auto Erase(const std::string& key, std::int64_t revision) -> void {
    if (items_.erase(key) > 0) {
      history_.push_back(
          {revision,
           key,
           {{"key", key}, {"rev", revision}, {"tombstone", true}}});
    }
  }

  auto EndLease(std::int64_t id) -> bool {
    if (leases_.erase(id) == 0) {
      return false;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease_ == id) {
        keys.push_back(key);
      }
    }
    if (!keys.empty()) {
      ++revision_;
      for (const auto& key : keys) {
        Erase(key, revision_);
      }
      changed_.notify_all();
    }
    return true;
  }

  auto ExpireLeases() -> void {
    while (!stopped_) {
      Sleep(20);
      const std::lock_guard lock(mutex_);
      std::vector<std::int64_t> ended;
      for (const auto& [id, lease] : leases_) {
        if (lease.ends_ <= Clock::now()) {
          ended.push_back(id);
        }
      }
      for (const auto id : ended) {
        EndLease(id);
      }
    }
  }

  auto Serve(int fd, std::size_t index) -> void {
    Reader reader(fd);
    while (!stopped_) {
      const auto request = reader.Head(Clock::now() + std::chrono::seconds(30));
      if (!request) {
        return;
      }
      std::string answer;
      if (!cut_[index]) {
        Sleep(2);
        answer = Handle(*request);
      }
      if (cut_[index]) {
        // Silent until the cut heals; then the connection is gone.
        while (cut_[index] && !stopped_) {
          Sleep(20);
        }
        return;
      }
      if (!SendAll(fd, answer)) {
        return;
      }
    }
  }

  static auto Query(const std::string& target, const std::string& name)
      -> std::string {
    const auto question = target.find('?');
    auto rest = question == std::string::npos ? std::string()
                                              : target.substr(question + 1);
    while (!rest.empty()) {
      const auto end = rest.find('&');
      const auto field = rest.substr(0, end);
      if (field.starts_with(name + "=")) {
        std::string text;
        for (std::size_t i = name.size() + 1; i < field.size(); ++i) {
          if (field[i] == '%' && i + 2 < field.size()) {
            text += static_cast<char>(
                std::strtol(field.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
          } else {
            text += field[i];
          }
        }
        return text;
      }
      rest = end == std::string::npos ? "" : rest.substr(end + 1);
    }
    return "";
  }

  [[nodiscard]] auto Reply(int status, const json::object& body) const
      -> std::string {
    return Answer(status, json::serialize(body),
                  "Store-Era: " + std::to_string(era_) + "\r\n");
  }

  auto Handle(const Message& request) -> std::string {
    const auto target = request.Target();
    const auto path = target.substr(0, target.find('?'));
    const auto body = request.body_.empty()
                          ? json::object()
                          : json::parse(request.body_).as_object();
    const auto id = std::atoll(path.substr(path.rfind('/') + 1).c_str());
    std::unique_lock lock(mutex_);
    if (path == "/v1/kv-range") {
      const auto prefix = Query(target, "prefix");
      const auto after = Query(target, "after");
      json::array items;
      for (const auto& [key, item] : items_) {
        if (key.starts_with(prefix) && key > after) {
          items.push_back(Show(key, item));
        }
      }
      return Reply(200, {{"items", std::move(items)},
                         {"has_more", false},
                         {"current_rev", revision_}});
    }
    if (path == "/v1/kv-watch") {
      return Watch(lock, Query(target, "prefix"),
                   std::atoll(Query(target, "after").c_str()),
                   std::atoi(Query(target, "wait_ms").c_str()));
    }
    if (path == "/v1/kv-lease") {
      const Ms ttl(body.at("ttl_ms").to_number<std::int64_t>());
      leases_[++last_lease_] = {ttl, Clock::now() + ttl};
      return Reply(200, {{"lease", last_lease_}, {"ttl_ms", ttl.count()}});
    }
    if (path.starts_with("/v1/kv-keep/")) {
      const auto found = leases_.find(id);
      if (found == leases_.end()) {
        return Reply(404, {});
      }
      found->second.ends_ = Clock::now() + found->second.ttl_;
      return Reply(200, {{"ttl_ms", found->second.ttl_.count()}});
    }
    if (path.starts_with("/v1/kv-lease-end/")) {
      return Reply(EndLease(id) ? 200 : 404, {});
    }
    if (path == "/v1/kv-txn") {
      return Commit(body);
    }
    return Reply(404, {});
  }

  auto Watch(std::unique_lock<std::mutex>& lock, const std::string& prefix,
             std::int64_t after, int wait_ms) -> std::string {
    const auto until = Clock::now() + Ms(wait_ms);
    for (;;) {
      if (after > revision_) {
        return Reply(410, {});
      }
      json::array events;
      for (const auto& event : history_) {
        if (event.revision_ > after && event.key_.starts_with(prefix)) {
          events.push_back(event.shown_);
        }
      }
      if (!events.empty() || stopped_ || Clock::now() >= until) {
        return Reply(
            200, {{"events", std::move(events)}, {"current_rev", revision_}});
      }
      changed_.wait_until(lock, until);
    }
  }

  auto Commit(const json::object& body) -> std::string {
    for (const auto& row : body.at("expect").as_array()) {
      const std::string key(row.at("key").as_string());
      const auto found = items_.find(key);
      const auto revision = found == items_.end() ? 0 : found->second.revision_;
      if (revision != row.at("rev").to_number<std::int64_t>()) {
        return Reply(412, {{"items", json::array()}});
      }
    }
    for (const auto& put : body.at("puts").as_array()) {
      const auto lease = put.at("lease").to_number<std::int64_t>();
      if (lease != 0 && leases_.count(lease) == 0) {
        return Reply(404, {});
      }
    }
    ++revision_;
    for (const auto& put : body.at("puts").as_array()) {
      Write(std::string(put.at("key").as_string()),
            std::string(put.at("value").as_string()),
            put.at("lease").to_number<std::int64_t>(), revision_);
    }
    for (const auto& key : body.at("deletes").as_array()) {
      Erase(std::string(key.as_string()), revision_);
    }
    changed_.notify_all();
    return Reply(200, {{"rev", revision_}});
  }

  std::vector<std::atomic<bool>> cut_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::thread expiry_;
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::map<std::int64_t, Lease> leases_;
  std::deque<Event> history_;
  std::int64_t revision_ = 100;
  std::int64_t last_lease_ = 70000;
  int era_ = 1;
};

struct Store::Copy {
  std::map<std::string, Item> items_;
  std::map<std::int64_t, Lease> leases_;
  std::deque<Event> history_;
  std::int64_t revision_ = 0;
  std::int64_t last_lease_ = 0;
};

inline auto Store::TakeCopy() -> std::shared_ptr<Copy> {
  const std::lock_guard lock(mutex_);
  return std::make_shared<Copy>(
      Copy{items_, leases_, history_, revision_, last_lease_});
}

inline auto Store::Restore(const Copy& copy) -> void {
  const std::lock_guard lock(mutex_);
  items_ = copy.items_;
  leases_ = copy.leases_;
  for (auto& [id, lease] : leases_) {
    lease.ends_ = Clock::now() + lease.ttl_;
  }
  history_ = copy.history_;
  revision_ = copy.revision_;
  last_lease_ = copy.last_lease_;
  ++era_;
  changed_.notify_all();
}

}  // namespace review
