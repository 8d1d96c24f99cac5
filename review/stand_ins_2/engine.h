#pragma once

// Stand-in for a model server: registration, reports, orders and streams, after
// the users' protocol page.

#include <sstream>

#include "store.h"

namespace review2 {

/// A model of the manifest.
struct ModelSize {
  std::string name_;
  double weights_mb_ = 0;
  double adapter_mb_ = 0;
};

struct EngineLimits {
  std::size_t slots_ = 64;
  double weights_mb_ = 220'000;
  std::size_t adapter_slots_ = 8;
  Milliseconds load_time_{300};
  std::size_t adapters_ = 40;  // of each model, named a1, a2, and so on
  int events_ = 4;             // of a stream
  Milliseconds event_time_{10};
  std::vector<ModelSize> models_;
};

/// An order that arrived.
struct ReceivedOrder {
  TimePoint at_{};
  std::string server_;
  std::string op_;
  std::string model_;
  std::string adapter_;
  std::string holder_;
  std::int64_t fence_ = 0;
  std::int64_t expect_ = -1;
  int status_ = 0;
};

class Engine {
 public:
  Engine(Store& store, std::string id, std::string service, EngineLimits limits)
      : store_(store),
        id_(std::move(id)),
        service_(std::move(service)),
        limits_(std::move(limits)) {}
  ~Engine() { Stop(); }

  auto Start(const std::string& host, std::vector<std::string> models) -> bool {
    for (const auto& model : models) {
      models_[model] = {};
    }
    born_ = std::chrono::duration_cast<Milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
    if (!server_.Start(host,
                       [this](Connection& connection, const Message& request) {
                         return Handle(connection, request);
                       })) {
      return false;
    }
    Register();
    heart_ = std::thread([this] {
      while (!stopping_) {
        std::this_thread::sleep_for(Milliseconds(50));
        bool finished = false;
        {
          const std::lock_guard lock(mutex_);
          finished = busy_ && Clock::now() >= busy_until_;
          if (finished) {
            busy_ = false;
            if (loading_) {
              models_[order_model_] = {};
            } else {
              models_.erase(order_model_);
            }
          }
        }
        if (finished || ++beats_ % 24 == 0) {
          Register();
        }
      }
    });
    return true;
  }
  auto Stop() -> void {
    stopping_ = true;
    if (heart_.joinable()) {
      heart_.join();
    }
    server_.Stop();
  }

  /// Called for each order, and for each request that begins to run.
  std::function<void(const ReceivedOrder&)> on_order_;
  std::function<void(const std::string& server, const Message&)> on_run_;

 private:
  [[nodiscard]] auto Models() -> json::array {
    json::array models;
    for (const auto& [name, adapters] : models_) {
      json::array names;
      for (const auto& adapter : adapters) {
        names.emplace_back(adapter);
      }
      models.push_back(json::object{
          {"name", name}, {"version", 1}, {"adapters", std::move(names)}});
    }
    return models;
  }

  auto Register() -> void {
    std::string value;
    {
      const std::lock_guard lock(mutex_);
      value =
          json::serialize(json::object{{"service", service_},
                                       {"addr", server_.address().ToString()},
                                       {"zone", "zone-a"},
                                       {"version", "v1"},
                                       {"slots", limits_.slots_},
                                       {"state", "ready"},
                                       {"cold_left_ms", 0},
                                       {"stage", "hybrid"},
                                       {"models", Models()},
                                       {"seq", sequence_},
                                       {"born", born_}});
    }
    store_.Put("servers/" + id_, value);
  }

  auto Handle(Connection& connection, const Message& request) -> bool {
    const auto expected = request.Header("X-Baobabroad-Expect-Instance");
    const auto own = "X-Baobabroad-Instance-Id: " + id_ + "\r\n";
    const auto request_id = request.Header("X-Baobabroad-Request-Id");
    const auto echo =
        own + (request_id.empty()
                   ? ""
                   : "X-Baobabroad-Request-Id: " + request_id + "\r\n");
    if (!expected.empty() && expected != id_) {
      return connection.Write(Response(421, "{}", echo));
    }
    const auto target = request.Target();
    if (target == "/health") {
      return connection.Write(Response(200, "{}", own));
    }
    if (target == "/v1/report") {
      std::string body;
      {
        const std::lock_guard lock(mutex_);
        body = json::serialize(json::object{{"stage", "hybrid"},
                                            {"models", Models()},
                                            {"busy", busy_},
                                            {"seq", sequence_},
                                            {"queued", 0},
                                            {"active", 0},
                                            {"kv_used", 0},
                                            {"kv_total", 90000},
                                            {"handles", 0},
                                            {"born", born_}});
      }
      return connection.Write(Response(200, body, own));
    }
    if (target == "/v1/order") {
      const auto status = Order(request);
      return connection.Write(Response(status, "{}", own));
    }
    return Run(connection, request, echo);
  }

  auto Order(const Message& request) -> int {
    const auto body = json::parse(request.body_).as_object();
    const auto text = [&body](const char* name) {
      const auto* value = body.if_contains(name);
      return value == nullptr ? std::string()
                              : std::string(value->as_string().c_str());
    };
    ReceivedOrder order{Clock::now(),    id_,
                        text("op"),      text("model"),
                        text("adapter"), text("holder")};
    order.fence_ = body.at("fence").to_number<std::int64_t>();
    if (const auto* expect = body.if_contains("expect")) {
      order.expect_ = expect->to_number<std::int64_t>();
    }
    bool changed = false;
    {
      const std::lock_guard lock(mutex_);
      order.status_ = Apply(order, changed);
    }
    if (on_order_) {
      on_order_(order);
    }
    if (changed) {
      Register();
    }
    return order.status_;
  }

  auto Apply(const ReceivedOrder& order, bool& changed) -> int {
    const bool load = order.op_ == "load";
    const auto model = models_.find(order.model_);
    if (order.expect_ >= 0 && order.expect_ != sequence_) {
      return 409;
    }
    if (!order.adapter_.empty()) {
      if (model == models_.end()) {
        return 421;
      }
      const auto number = std::strtoul(order.adapter_.c_str() + 1, nullptr, 10);
      if (order.adapter_ != "a" + std::to_string(number) || number < 1 ||
          number > limits_.adapters_) {
        return 400;
      }
      if (load == (model->second.count(order.adapter_) > 0)) {
        return 200;
      }
      ++sequence_;
      changed = true;
      if (load) {
        model->second.insert(order.adapter_);
        return 202;
      }
      model->second.erase(order.adapter_);
      return 200;
    }
    if (busy_) {
      return 409;
    }
    if (load == (model != models_.end())) {
      return 200;
    }
    ++sequence_;
    busy_ = true;
    busy_until_ = Clock::now() + limits_.load_time_;
    loading_ = load;
    order_model_ = order.model_;
    return 202;
  }

  auto Run(Connection& connection, const Message& request,
           const std::string& fields) -> bool {
    const auto wanted = request.Header("X-Baobabroad-Model");
    const auto slash = wanted.find('/');
    const auto name = wanted.substr(0, slash);
    const auto adapter =
        slash == std::string::npos ? "" : wanted.substr(slash + 1);
    {
      const std::lock_guard lock(mutex_);
      const auto model = models_.find(name);
      if (model == models_.end() ||
          (!adapter.empty() && model->second.count(adapter) == 0)) {
        return connection.Write(Response(421, "{}", fields));
      }
    }
    if (on_run_) {
      on_run_(id_, request);
    }
    if (!connection.Write("HTTP/1.1 200 OK\r\nContent-Type: "
                          "text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                          "X-Baobabroad-Server-Stamp: " +
                          id_ + ".1\r\n" + fields + "\r\n")) {
      return false;
    }
    for (int event = 0; event < limits_.events_; ++event) {
      std::this_thread::sleep_for(limits_.event_time_);
      const auto text =
          "id: " + std::to_string(event) + "\ndata: " + name + "\n\n";
      std::ostringstream chunk;
      chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
      if (!connection.Write(chunk.str())) {
        return false;
      }
    }
    return connection.Write("0\r\n\r\n");
  }

  Store& store_;
  std::string id_;
  std::string service_;
  EngineLimits limits_;
  Server server_;
  std::mutex mutex_;
  std::map<std::string, std::set<std::string>> models_;
  std::int64_t sequence_ = 0;
  std::int64_t born_ = 0;
  bool busy_ = false;
  bool loading_ = false;
  std::string order_model_;
  TimePoint busy_until_{};
  std::atomic<bool> stopping_ = false;
  std::thread heart_;
  int beats_ = 0;
};

}  // namespace review2
