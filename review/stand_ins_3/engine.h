#pragma once

// Stand-in of a model server (PROTOCOL.md): registers in the store, carries out
// orders, and runs streams of numbered events that name the run, the server and
// the version of its software.

#include "store.h"

namespace review {

class Engine {
 public:
  struct Setup {
    std::string id_;
    Address address_;
    Address shown_;  // in its entry; by default address_
    std::string service_;
    std::string zone_;
    std::string version_;              // of its software
    std::vector<std::string> models_;  // held from the start
    int load_ms_ = 1200;
    int events_ = 60;     // of a stream
    int event_ms_ = 100;  // between two events
    bool quiet_ = false;  // does not record its runs
  };

  Engine(Store& store, Record& record, Setup setup)
      : store_(store),
        record_(record),
        setup_(std::move(setup)),
        models_(setup_.models_),
        born_(std::chrono::duration_cast<Ms>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count()) {
    listener_ = std::make_unique<Listener>(setup_.address_,
                                           [this](int fd) { Serve(fd); });
    record_.Line("server " + setup_.id_ + " starts, software " +
                 setup_.version_);
    beat_ = std::thread([this] { Beat(); });
  }
  ~Engine() {
    gone_ = true;
    beat_.join();
    listener_->Stop();
    Sleep(300);
  }
  Engine(const Engine&) = delete;
  auto operator=(const Engine&) -> Engine& = delete;

  [[nodiscard]] auto Holds(const std::string& model) -> bool {
    const std::lock_guard lock(mutex_);
    return std::find(models_.begin(), models_.end(), model) != models_.end();
  }
  [[nodiscard]] auto id() const -> const std::string& { return setup_.id_; }

  /// An order as it arrived.
  struct GivenOrder {
    Clock::time_point at_;
    std::string holder_;
    std::int64_t epoch_ = 0;
  };
  [[nodiscard]] auto orders() -> std::vector<GivenOrder> {
    const std::lock_guard lock(mutex_);
    return orders_;
  }

  /// Says that it is leaving.
  auto Drain() -> void {
    draining_ = true;
    Register();
    record_.Line("server " + setup_.id_ + " says that it is leaving");
  }
  /// Ends and removes its entry.
  auto Leave() -> void {
    gone_ = true;
    store_.Remove("servers/" + setup_.id_);
    record_.Line("server " + setup_.id_ + " has left");
  }

 private:
  auto ModelList() -> json::array {
    json::array models;
    for (const auto& model : models_) {
      models.push_back(
          {{"name", model}, {"version", 1}, {"adapters", json::array()}});
    }
    return models;
  }

  auto Register() -> void {
    const std::lock_guard lock(mutex_);
    if (gone_) {
      return;
    }
    store_.Put("servers/" + setup_.id_,
               json::serialize(json::object{
                   {"service", setup_.service_},
                   {"addr",
                    (setup_.shown_.port_ != 0 ? setup_.shown_ : setup_.address_)
                        .Text()},
                   {"zone", setup_.zone_},
                   {"version", setup_.version_},
                   {"slots", 64},
                   {"state", draining_ ? "draining" : "ready"},
                   {"cold_left_ms", 0},
                   {"stage", "hybrid"},
                   {"models", ModelList()},
                   {"seq", sequence_},
                   {"born", born_}}));
  }

  auto Beat() -> void {
    while (!gone_) {
      Register();
      for (int i = 0; i < 12 && !gone_; ++i) {
        Sleep(100);
      }
    }
  }

  auto Serve(int fd) -> void {
    Reader reader(fd);
    while (!gone_) {
      const auto request = reader.Head(Clock::now() + std::chrono::seconds(30));
      if (!request || gone_) {
        return;
      }
      const auto path = request->Target();
      const auto expected =
          request->headers_.Get("X-Baobabroad-Expect-Instance");
      const std::string leaving = draining_ ? "Server-Leaving: 1\r\n" : "";
      if (!expected.empty() && expected != setup_.id_) {
        SendAll(fd, Answer(421, "{}",
                           "X-Baobabroad-Instance-Id: " + setup_.id_ + "\r\n"));
      } else if (path == "/v1/report") {
        SendAll(fd, Answer(200, Report(), leaving));
      } else if (path == "/v1/order") {
        SendAll(fd, Answer(Order(request->body_), "{}", leaving));
      } else if (path == "/health") {
        SendAll(fd, Answer(draining_ ? 503 : 200, "{}",
                           leaving + "X-Baobabroad-Instance-Id: " + setup_.id_ +
                               "\r\n"));
      } else if (!Run(fd, *request, leaving)) {
        return;
      }
    }
  }

  auto Report() -> std::string {
    const std::lock_guard lock(mutex_);
    return json::serialize(json::object{{"stage", "hybrid"},
                                        {"models", ModelList()},
                                        {"busy", busy_},
                                        {"seq", sequence_},
                                        {"queued", 0},
                                        {"active", running_.load()},
                                        {"kv_used", 0},
                                        {"kv_total", 250000},
                                        {"handles", 0},
                                        {"born", born_}});
  }

  auto Order(const std::string& body) -> int {
    const auto order = json::parse(body).as_object();
    const std::string op(order.at("op").as_string());
    const std::string model(order.at("model").as_string());
    const std::lock_guard lock(mutex_);
    const auto held = std::find(models_.begin(), models_.end(), model);
    const auto* expect = order.if_contains("expect");
    const bool differs =
        expect != nullptr && expect->to_number<std::int64_t>() != sequence_;
    const bool in_effect = (op == "load") == (held != models_.end());
    // The models of the cases have no adapters.
    const int status = order.if_contains("adapter") != nullptr ? 400
                       : busy_ || differs                      ? 409
                       : in_effect                             ? 200
                                                               : 202;
    const std::string holder(order.at("holder").as_string());
    const auto epoch = order.at("fence").to_number<std::int64_t>();
    orders_.push_back({Clock::now(), holder, epoch});
    record_.Line("server " + setup_.id_ + " gets the order " + op + " " +
                 model + " from " + holder + ", epoch number " +
                 std::to_string(epoch) + ": " + std::to_string(status));
    if (status == 202) {
      ++sequence_;
      if (op == "unload") {
        models_.erase(held);
      } else {
        busy_ = true;
        std::thread([this, model] {
          Sleep(setup_.load_ms_);
          {
            const std::lock_guard done(mutex_);
            busy_ = false;
            models_.push_back(model);
          }
          record_.Line("server " + setup_.id_ + " has loaded " + model);
          Register();
        }).detach();
      }
    }
    return status;
  }

  /// Runs a stream. Returns false if the connection ended.
  auto Run(int fd, const Message& request, const std::string& leaving) -> bool {
    const auto& headers = request.headers_;
    const auto id = headers.Get("X-Baobabroad-Request-Id");
    const auto model = headers.Get("X-Baobabroad-Model");
    if (!Holds(model)) {
      return SendAll(fd, Answer(421, "{}",
                                leaving + "X-Baobabroad-Not-Run: 1\r\n" +
                                    "X-Baobabroad-Request-Id: " + id + "\r\n"));
    }
    const auto last = headers.Get("Last-Event-Id");
    int next = last.empty() ? 0 : std::atoi(last.c_str()) + 1;
    if (!setup_.quiet_) {
      record_.Line("server " + setup_.id_ + " (" + setup_.version_ + ") runs " +
                   id + " from event " + std::to_string(next));
    }
    ++running_;
    bool alive = SendAll(
        fd, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + leaving +
                "X-Baobabroad-Request-Id: " + id +
                "\r\nX-Baobabroad-Server-Stamp: " + setup_.id_ + ".1." + id +
                "\r\nX-Baobabroad-Weight-Versions: 1\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
    for (; alive && next < setup_.events_; ++next) {
      Sleep(setup_.event_ms_);
      const auto event = "id: " + std::to_string(next) +
                         "\ndata: " + setup_.id_ + " " + setup_.version_ +
                         "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      alive = !gone_ && !HasEnded(fd) && SendAll(fd, size + event + "\r\n");
    }
    --running_;
    return alive && SendAll(fd, "0\r\n\r\n");
  }

  Store& store_;
  Record& record_;
  Setup setup_;
  std::unique_ptr<Listener> listener_;
  std::thread beat_;
  std::mutex mutex_;
  std::vector<std::string> models_;
  std::vector<GivenOrder> orders_;
  std::int64_t born_;
  std::int64_t sequence_ = 0;
  bool busy_ = false;
  std::atomic<int> running_ = 0;
  std::atomic<bool> draining_ = false;
  std::atomic<bool> gone_ = false;
};

}  // namespace review
