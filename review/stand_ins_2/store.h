#pragma once

// Stand-in for the platform's store, after "The platform's metadata store" of
// the users' protocol page: entries with revisions, pages, watches, conditional
// transactions and leases.

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http.h"

namespace review2 {

namespace json = boost::json;

inline auto Base64(const std::string& text) -> std::string {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    unsigned group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group =
          group << 8U |
          (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out +=
          i + j <= text.size() ? kDigits[group >> (18U - 6U * j) & 63U] : '=';
    }
  }
  return out;
}

inline auto FromBase64(const std::string& text) -> std::string {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  unsigned group = 0;
  unsigned bits = 0;
  for (const char c : text) {
    const auto digit = kDigits.find(c);
    if (digit == std::string_view::npos) {
      break;
    }
    group = group << 6U | static_cast<unsigned>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(group >> bits & 255U);
    }
  }
  return out;
}

/// Value of `name` in the query of `target`, percent-decoded.
inline auto QueryValue(const std::string& target, const std::string& name)
    -> std::string {
  auto begin = target.find('?');
  while (begin != std::string::npos) {
    const auto end = target.find('&', begin + 1);
    const auto field = target.substr(begin + 1, end - begin - 1);
    if (field.starts_with(name + "=")) {
      std::string value;
      for (std::size_t i = name.size() + 1; i < field.size(); ++i) {
        if (field[i] == '%' && i + 2 < field.size()) {
          value +=
              static_cast<char>(std::stoi(field.substr(i + 1, 2), nullptr, 16));
          i += 2;
        } else {
          value += field[i];
        }
      }
      return value;
    }
    begin = end;
  }
  return {};
}

class Store {
 public:
  ~Store() {
    stopping_ = true;
    changed_.notify_all();
    servers_.clear();
    if (sweeper_.joinable()) {
      sweeper_.join();
    }
  }

  /// Opens an address at which the machine `name` calls the store. Each machine
  /// gets one of its own, so that the store knows who calls.
  auto OpenFor(const std::string& host, const std::string& name) -> Address {
    if (!sweeper_.joinable()) {
      sweeper_ = std::thread([this] { Sweep(); });
    }
    servers_.push_back(std::make_unique<Server>());
    servers_.back()->Start(
        host, [this, name](Connection& connection, const Message& request) {
          return Handle(connection, request, name);
        });
    return servers_.back()->address();
  }

  /// Writes an entry for the operator or a server.
  auto Put(const std::string& key, const std::string& value) -> std::int64_t {
    const std::lock_guard lock(mutex_);
    return PutLocked(key, value, 0, ++revision_);
  }
  auto Remove(const std::string& key) -> void {
    const std::lock_guard lock(mutex_);
    if (items_.count(key) > 0) {
      RemoveLocked(key, ++revision_);
    }
  }
  [[nodiscard]] auto Get(const std::string& key) -> std::string {
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(key);
    return found == items_.end() ? std::string() : found->second.value_;
  }

  /// While set, calls of the machine `name` get no response.
  auto SetSilent(const std::string& name, bool silent) -> void {
    const std::lock_guard lock(mutex_);
    if (silent) {
      silent_.insert(name);
    } else {
      silent_.erase(name);
    }
  }

  /// Resets the open connections of all machines once; new ones work.
  auto ResetConnections() -> void {
    for (auto& server : servers_) {
      server->ResetConnections();
    }
  }

  /// Called, outside of any call to the store, for each transaction that wrote
  /// `key`: the machine that made it, the value and the revision.
  std::function<void(const std::string& machine, const std::string& key,
                     const std::string& value, std::int64_t revision)>
      on_write_;

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
    TimePoint at_ = Clock::now();
  };
  struct Lease {
    Milliseconds ttl_{};
    TimePoint ends_at_{};
  };

  auto PutLocked(const std::string& key, const std::string& value,
                 std::int64_t lease, std::int64_t revision) -> std::int64_t {
    auto& item = items_[key];
    item.created_ = item.created_ == 0 ? revision : item.created_;
    item.value_ = value;
    item.revision_ = revision;
    item.lease_ = lease;
    history_.push_back({key, item, false});
    changed_.notify_all();
    return revision;
  }
  auto RemoveLocked(const std::string& key, std::int64_t revision) -> void {
    items_.erase(key);
    Item gone;
    gone.revision_ = revision;
    history_.push_back({key, gone, true});
    changed_.notify_all();
  }

  auto Sweep() -> void {
    while (!stopping_) {
      std::this_thread::sleep_for(Milliseconds(20));
      const std::lock_guard lock(mutex_);
      const auto now = Clock::now();
      while (!history_.empty() && now - history_.front().at_ > kHistory) {
        forgotten_ = history_.front().item_.revision_;
        history_.pop_front();
      }
      for (auto lease = leases_.begin(); lease != leases_.end();) {
        if (lease->second.ends_at_ > now) {
          ++lease;
          continue;
        }
        EndLease(lease->first);
        lease = leases_.erase(lease);
      }
    }
  }
  auto EndLease(std::int64_t lease) -> void {
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease_ == lease) {
        keys.push_back(key);
      }
    }
    if (!keys.empty()) {
      ++revision_;
      for (const auto& key : keys) {
        RemoveLocked(key, revision_);
      }
    }
  }

  static auto ToJson(const std::string& key, const Item& item) -> json::object {
    return {{"key", key},
            {"value", Base64(item.value_)},
            {"rev", item.revision_},
            {"created", item.created_},
            {"lease", item.lease_}};
  }

  auto Handle(Connection& connection, const Message& request,
              const std::string& machine) -> bool {
    const auto target = request.Target();
    const auto path = target.substr(0, target.find('?'));
    std::unique_lock lock(mutex_);
    if (silent_.count(machine) > 0) {
      lock.unlock();
      while (!stopping_ && !connection.HasInput()) {
        std::this_thread::sleep_for(Milliseconds(10));
      }
      return false;
    }
    std::vector<std::tuple<std::string, std::string, std::int64_t>> written;
    const auto response = Respond(request, target, path, lock, written);
    lock.unlock();
    for (const auto& [key, value, revision] : written) {
      if (on_write_) {
        on_write_(machine, key, value, revision);
      }
    }
    return connection.Write(response);
  }

  auto Respond(
      const Message& request, const std::string& target,
      const std::string& path, std::unique_lock<std::mutex>& lock,
      std::vector<std::tuple<std::string, std::string, std::int64_t>>& written)
      -> std::string {
    if (path == "/v1/kv-range") {
      return Range(QueryValue(target, "prefix"), QueryValue(target, "after"));
    }
    if (path == "/v1/kv-watch") {
      return Watch(
          QueryValue(target, "prefix"), std::stoll(QueryValue(target, "after")),
          Milliseconds(std::stoll(QueryValue(target, "wait_ms"))), lock);
    }
    if (path == "/v1/kv-key") {
      const auto found = items_.find(QueryValue(target, "key"));
      if (found == items_.end()) {
        return Response(404, "{}");
      }
      auto item = ToJson(found->first, found->second);
      item["current_rev"] = revision_;
      return Response(200, json::serialize(item));
    }
    if (path == "/v1/kv-txn") {
      return Transact(json::parse(request.body_).as_object(), written);
    }
    if (path == "/v1/kv-lease") {
      const Milliseconds ttl(
          json::parse(request.body_).as_object().at("ttl_ms").as_int64());
      const auto id = ++last_lease_;
      leases_[id] = {ttl, Clock::now() + ttl};
      return Response(200, json::serialize(json::object{
                               {"lease", id}, {"ttl_ms", ttl.count()}}));
    }
    const auto slash = path.rfind('/');
    const auto id = std::atoll(path.c_str() + slash + 1);
    const auto lease = leases_.find(id);
    if (lease == leases_.end()) {
      return Response(404, "{}");
    }
    if (path.starts_with("/v1/kv-keep/")) {
      lease->second.ends_at_ = Clock::now() + lease->second.ttl_;
      return Response(200, json::serialize(json::object{
                               {"ttl_ms", lease->second.ttl_.count()}}));
    }
    if (path.starts_with("/v1/kv-lease-end/")) {
      EndLease(id);
      leases_.erase(id);
      return Response(200, "{}");
    }
    return Response(404, "{}");
  }

  auto Range(const std::string& prefix, const std::string& after)
      -> std::string {
    json::array items;
    bool more = false;
    for (const auto& [key, item] : items_) {
      if (!key.starts_with(prefix) || key <= after) {
        continue;
      }
      if (items.size() == kPageItems) {
        more = true;
        break;
      }
      items.push_back(ToJson(key, item));
    }
    return Response(200,
                    json::serialize(json::object{{"items", std::move(items)},
                                                 {"has_more", more},
                                                 {"current_rev", revision_}}));
  }

  auto Watch(const std::string& prefix, std::int64_t after, Milliseconds wait,
             std::unique_lock<std::mutex>& lock) -> std::string {
    json::array events;
    const auto collect = [&] {
      for (const auto& event : history_) {
        if (event.item_.revision_ > after && event.key_.starts_with(prefix)) {
          events.push_back(event.removed_
                               ? json::object{{"key", event.key_},
                                              {"rev", event.item_.revision_},
                                              {"tombstone", true}}
                               : ToJson(event.key_, event.item_));
        }
      }
      return !events.empty() || stopping_;
    };
    if (after < forgotten_) {
      return Response(410, "{}");
    }
    changed_.wait_for(lock, wait, collect);
    return Response(200,
                    json::serialize(json::object{{"events", std::move(events)},
                                                 {"current_rev", revision_}}));
  }

  auto Transact(
      const json::object& change,
      std::vector<std::tuple<std::string, std::string, std::int64_t>>& written)
      -> std::string {
    const auto text = [](const json::value& value) {
      return std::string(value.as_string().c_str());
    };
    for (const auto& row : change.at("expect").as_array()) {
      const auto found = items_.find(text(row.as_object().at("key")));
      const auto revision = found == items_.end() ? 0 : found->second.revision_;
      if (revision != row.as_object().at("rev").to_number<std::int64_t>()) {
        json::array items;
        for (const auto& other : change.at("expect").as_array()) {
          const auto key = text(other.as_object().at("key"));
          if (items_.count(key) > 0) {
            items.push_back(ToJson(key, items_.at(key)));
          }
        }
        return Response(
            412, json::serialize(json::object{{"items", std::move(items)}}));
      }
    }
    for (const auto& put : change.at("puts").as_array()) {
      const auto lease = put.as_object().at("lease").to_number<std::int64_t>();
      if (lease != 0 && leases_.count(lease) == 0) {
        return Response(404, "{}");
      }
    }
    ++revision_;
    for (const auto& key : change.at("deletes").as_array()) {
      if (items_.count(text(key)) > 0) {
        RemoveLocked(text(key), revision_);
      }
    }
    for (const auto& put : change.at("puts").as_array()) {
      const auto key = text(put.as_object().at("key"));
      const auto value = FromBase64(text(put.as_object().at("value")));
      PutLocked(key, value,
                put.as_object().at("lease").to_number<std::int64_t>(),
                revision_);
      written.emplace_back(key, value, revision_);
    }
    return Response(200, json::serialize(json::object{{"rev", revision_}}));
  }

  static constexpr std::size_t kPageItems = 500;
  static constexpr auto kHistory = std::chrono::seconds(20);  // history_s

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::deque<Event> history_;
  std::int64_t forgotten_ = 0;  // revision up to which events are dropped
  std::map<std::int64_t, Lease> leases_;
  std::set<std::string> silent_;
  std::int64_t revision_ = 100;
  std::int64_t last_lease_ = 7000;
  std::atomic<bool> stopping_ = false;
  std::vector<std::unique_ptr<Server>> servers_;
  std::thread sweeper_;
};

}  // namespace review2
