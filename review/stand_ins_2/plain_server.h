#pragma once

// Stand-in for a server of a plain service, after the users' protocol page.

#include "store.h"

namespace review2 {

/// A server of a plain service. Runs each request for a while.
class PlainServer {
 public:
  PlainServer(Store& store, std::string id, std::string service,
              Milliseconds work, int slots)
      : store_(store),
        id_(std::move(id)),
        service_(std::move(service)),
        work_(work),
        slots_(slots) {}
  ~PlainServer() { Stop(); }

  std::function<void(const std::string& service, const std::string& request)>
      on_run_;

  auto Start(const std::string& host) -> bool {
    born_ = std::chrono::duration_cast<Milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
    const bool listens = server_.Start(
        host, [this](Connection& connection, const Message& request) {
          return Handle(connection, request);
        });
    if (listens) {
      Register("ready");
    }
    return listens;
  }
  auto Drain() -> void {
    draining_ = true;
    Register("draining");
  }
  /// Leaves the store and ends, as after drain_ms.
  auto Stop() -> void {
    if (!stopped_) {
      stopped_ = true;
      store_.Remove("servers/" + id_);
      server_.Stop();
    }
  }

 private:
  auto Register(const std::string& state) -> void {
    store_.Put("servers/" + id_, json::serialize(json::object{
                                     {"service", service_},
                                     {"addr", server_.address().ToString()},
                                     {"zone", "zone-a"},
                                     {"version", "v1"},
                                     {"slots", slots_},
                                     {"state", state},
                                     {"cold_left_ms", 0},
                                     {"seq", 0},
                                     {"born", born_}}));
  }
  auto Handle(Connection& connection, const Message& request) -> bool {
    const auto id = request.Header("X-Baobabroad-Request-Id");
    const auto fields = "X-Baobabroad-Instance-Id: " + id_ + "\r\n" +
                        (draining_ ? "Server-Leaving: 1\r\n" : "") +
                        "X-Baobabroad-Request-Id: " + id + "\r\n";
    if (request.Header("X-Baobabroad-Expect-Instance") != id_) {
      return connection.Write(Response(421, "{}", fields));
    }
    if (on_run_) {
      on_run_(service_, id);
    }
    std::this_thread::sleep_for(work_);
    return connection.Write(
        Response(200, "{\"request\":\"" + id + "\"}",
                 "X-Baobabroad-Server-Stamp: " + id_ + ".1\r\n" + fields));
  }

  Store& store_;
  std::string id_;
  std::string service_;
  Milliseconds work_;
  int slots_;
  Server server_;
  std::int64_t born_ = 0;
  std::atomic<bool> draining_ = false;
  bool stopped_ = false;
};

}  // namespace review2
