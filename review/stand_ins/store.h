#pragma once

#include <boost/json.hpp>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>

#include "http.h"

namespace review {

inline auto Base64Encode(const std::string& bytes) -> std::string {
  static const char* kAlphabet =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = (group << 8U) |
              (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k])
                                    : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text +=
          i + k > bytes.size() ? '=' : kAlphabet[(group >> (18 - 6 * k)) & 63U];
    }
  }
  return text;
}

inline auto Base64Decode(const std::string& text) -> std::string {
  std::string bytes;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    int digit = 0;
    if (c >= 'A' && c <= 'Z') {
      digit = c - 'A';
    } else if (c >= 'a' && c <= 'z') {
      digit = c - 'a' + 26;
    } else if (c >= '0' && c <= '9') {
      digit = c - '0' + 52;
    } else if (c == '+' || c == '/') {
      digit = c == '+' ? 62 : 63;
    } else {
      break;
    }
    group = (group << 6U) | static_cast<std::uint32_t>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>((group >> bits) & 255U);
    }
  }
  return bytes;
}

/// The platform's metadata store: items with revisions, transactions, leases
/// and watches, as the platform's page describes them.
class Store {
 public:
  explicit Store(const Address& at)
      : listener_(at, [this](Connection& connection) { Serve(connection); }) {
    std::thread([this] {
      for (;;) {
        std::this_thread::sleep_for(Milliseconds(10));
        EndLeases();
      }
    }).detach();
  }

  /// Writes an item as the operator or a server does. Returns its revision.
  auto Put(const std::string& key, const std::string& value) -> std::int64_t {
    const std::lock_guard lock(mutex_);
    Write(key, value, 0);
    changed_.notify_all();
    return revision_;
  }
  auto Remove(const std::string& key) -> void {
    const std::lock_guard lock(mutex_);
    Erase(key);
    changed_.notify_all();
  }
  [[nodiscard]] auto Get(const std::string& key) -> std::string {
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(key);
    return found == items_.end() ? "" : found->second.value_;
  }

 private:
  struct Item {
    std::string value_;
    std::int64_t revision_ = 0;
    std::int64_t created_ = 0;
    std::int64_t lease_ = 0;
  };
  struct Event {
    std::string key_;
    Item item_;
    bool removed_ = false;
  };
  struct Lease {
    Milliseconds ttl_{};
    Clock::time_point ends_at_;
  };

  auto Write(const std::string& key, const std::string& value,
             std::int64_t lease) -> void {
    auto& item = items_[key];
    item.value_ = value;
    item.revision_ = ++revision_;
    item.created_ = item.created_ == 0 ? revision_ : item.created_;
    item.lease_ = lease;
    events_.push_back({key, item, false});
  }
  auto Erase(const std::string& key) -> void {
    if (items_.erase(key) > 0) {
      Event event;
      event.key_ = key;
      event.item_.revision_ = ++revision_;
      event.removed_ = true;
      events_.push_back(event);
    }
  }
  auto EndLease(std::int64_t id) -> void {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease_ == id) {
        keys.push_back(key);
      }
    }
    for (const auto& key : keys) {
      Erase(key);
    }
  }
  auto EndLeases() -> void {
    const std::lock_guard lock(mutex_);
    std::vector<std::int64_t> ended;
    for (const auto& [id, lease] : leases_) {
      if (lease.ends_at_ <= Clock::now()) {
        ended.push_back(id);
      }
    }
    for (const auto id : ended) {
      EndLease(id);
    }
    if (!ended.empty()) {
      changed_.notify_all();
    }
  }

  static auto Encode(const std::string& key, const Item& item)
      -> boost::json::object {
    return {{"key", key},
            {"value", Base64Encode(item.value_)},
            {"rev", item.revision_},
            {"created", item.created_},
            {"lease", item.lease_}};
  }

  auto Range(const std::string& target) -> std::string {
    const auto prefix = QueryValue(target, "prefix");
    const auto after = QueryValue(target, "after");
    boost::json::array items;
    const std::lock_guard lock(mutex_);
    for (const auto& [key, item] : items_) {
      if (key.rfind(prefix, 0) == 0 && (after.empty() || key > after)) {
        items.push_back(Encode(key, item));
      }
    }
    return Response(
        200,
        boost::json::serialize(boost::json::object{{"items", std::move(items)},
                                                   {"has_more", false},
                                                   {"current_rev", revision_}}),
        "Content-Type: application/json\r\n");
  }

  auto Watch(const std::string& target) -> std::string {
    const auto prefix = QueryValue(target, "prefix");
    const auto after = std::atoll(QueryValue(target, "after").c_str());
    const auto until =
        Clock::now() +
        Milliseconds(std::atoll(QueryValue(target, "wait_ms").c_str()));
    std::unique_lock lock(mutex_);
    boost::json::array events;
    for (;;) {
      for (const auto& event : events_) {
        if (event.item_.revision_ <= after ||
            event.key_.rfind(prefix, 0) != 0) {
          continue;
        }
        if (event.removed_) {
          events.push_back({{"key", event.key_},
                            {"rev", event.item_.revision_},
                            {"tombstone", true}});
        } else {
          events.push_back(Encode(event.key_, event.item_));
        }
      }
      if (!events.empty() ||
          changed_.wait_until(lock, until) == std::cv_status::timeout) {
        break;
      }
    }
    return Response(
        200,
        boost::json::serialize(boost::json::object{
            {"events", std::move(events)}, {"current_rev", revision_}}),
        "Content-Type: application/json\r\n");
  }

  auto Transaction(const std::string& body) -> std::string {
    const auto document = boost::json::parse(body);
    const auto& object = document.as_object();
    const std::lock_guard lock(mutex_);
    for (const auto& entry : object.at("expect").as_array()) {
      const std::string key(entry.at("key").as_string().c_str());
      const auto found = items_.find(key);
      const auto revision = found == items_.end() ? 0 : found->second.revision_;
      if (revision != entry.at("rev").to_number<std::int64_t>()) {
        return Response(412, R"({"items":[]})");
      }
    }
    for (const auto& entry : object.at("puts").as_array()) {
      const auto lease = entry.at("lease").to_number<std::int64_t>();
      if (lease != 0 && leases_.count(lease) == 0) {
        return Response(404, "{}");
      }
    }
    for (const auto& entry : object.at("puts").as_array()) {
      Write(entry.at("key").as_string().c_str(),
            Base64Decode(entry.at("value").as_string().c_str()),
            entry.at("lease").to_number<std::int64_t>());
    }
    for (const auto& key : object.at("deletes").as_array()) {
      Erase(key.as_string().c_str());
    }
    changed_.notify_all();
    return Response(200, "{\"rev\":" + std::to_string(revision_) + "}",
                    "Content-Type: application/json\r\n");
  }

  auto GrantLease(const std::string& body) -> std::string {
    const auto ttl = boost::json::parse(body).at("ttl_ms").to_number<int>();
    const std::lock_guard lock(mutex_);
    const auto id = ++last_lease_;
    leases_[id] = {Milliseconds(ttl), Clock::now() + Milliseconds(ttl)};
    return Response(200, "{\"lease\":" + std::to_string(id) +
                             ",\"ttl_ms\":" + std::to_string(ttl) + "}");
  }

  auto RenewLease(std::int64_t id) -> std::string {
    const std::lock_guard lock(mutex_);
    const auto found = leases_.find(id);
    if (found == leases_.end()) {
      return Response(404, "{}");
    }
    found->second.ends_at_ = Clock::now() + found->second.ttl_;
    return Response(200, "{\"lease\":" + std::to_string(id) + ",\"ttl_ms\":" +
                             std::to_string(found->second.ttl_.count()) + "}");
  }

  auto Serve(Connection& connection) -> void {
    while (const auto request =
               connection.Read(Clock::now() + std::chrono::minutes(5))) {
      const auto target = request->Target();
      const auto starts = [&target](const char* prefix) {
        return target.rfind(prefix, 0) == 0;
      };
      const auto id = [&target] {
        return std::atoll(target.substr(target.rfind('/') + 1).c_str());
      };
      std::string response;
      if (starts("/v1/kv-range")) {
        response = Range(target);
      } else if (starts("/v1/kv-watch")) {
        response = Watch(target);
      } else if (starts("/v1/kv-txn")) {
        response = Transaction(request->body_);
      } else if (starts("/v1/kv-lease-end/")) {
        const std::lock_guard lock(mutex_);
        EndLease(id());
        changed_.notify_all();
        response = Response(200, "{}");
      } else if (starts("/v1/kv-lease")) {
        response = GrantLease(request->body_);
      } else if (starts("/v1/kv-keep/")) {
        response = RenewLease(id());
      } else {
        response = Response(404, "{}");
      }
      if (!connection.Write(response)) {
        return;
      }
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Event> events_;
  std::map<std::int64_t, Lease> leases_;
  std::int64_t revision_ = 10;
  std::int64_t last_lease_ = 1000;
  Listener listener_;
};

}  // namespace review
