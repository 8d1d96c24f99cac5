#include "baobab_platform/store_client.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "baobab_base/step_error.h"
#include "baobab_targets/scripted_peer.h"
#include "stand_ins/store_server.h"

namespace baobab::platform {
namespace {

/// A client and a store fake on one io_context.
struct Rig {
  boost::asio::io_context context_;
  std::unique_ptr<stand_in::StoreServer> server_ =
      std::make_unique<stand_in::StoreServer>(context_, "127.0.0.1", 0,
                                              stand_in::StoreLimits{});
  std::unique_ptr<StoreClient> client_;

  explicit Rig(Duration watch_silence = std::chrono::minutes(10)) {
    StoreClientSettings settings;
    settings.addresses_ = {"127.0.0.1:" + std::to_string(server_->port())};
    settings.first_backoff_ = std::chrono::milliseconds(1);
    settings.longest_backoff_ = std::chrono::milliseconds(2);
    settings.watch_silence_ = watch_silence;
    client_ = std::make_unique<StoreClient>(context_, settings);
  }

  /// Starts a call and runs handlers until its result arrives.
  template <class Result, class Start>
  auto Await(Start start) -> Result {
    std::vector<Result> results;
    start([&results](Result result) { results.push_back(std::move(result)); });
    while (results.empty()) {
      context_.run_one();
    }
    return std::move(results.front());
  }

  auto Swap(Revision expected, const std::string& value) -> WriteResult {
    return Await<WriteResult>([&](auto done) {
      client_->CompareAndSwap("/k", expected, value, 0, done);
    });
  }

  auto Read() -> ReadResult {
    return Await<ReadResult>([&](auto done) { client_->Read("/k", done); });
  }
};

// Guards against a store that uses up the memory of a daemon by an answer, or a
// message of a watch, that has no end.
TEST_CASE("Bytes of the store without end are a failure", "[platform]") {
  const bool watch = GENERATE(false, true);
  constexpr std::size_t kMostPieces = 48;  // of a megabyte
  boost::asio::io_context context;
  std::size_t pieces = 0;
  const auto piece = std::make_shared<std::string>(std::size_t{1} << 20, 'x');
  std::function<void(ScriptedPeer::Connection&)> send_piece =
      [&](ScriptedPeer::Connection& connection) {
        boost::asio::async_write(
            connection.socket_, boost::asio::buffer(*piece),
            [&](boost::system::error_code error, std::size_t /*bytes*/) {
              if (!error && ++pieces < kMostPieces) {
                send_piece(connection);
              }
            });
      };
  ScriptedPeer peer(context, [&](ScriptedPeer::Connection& connection) {
    if (pieces == 0) {
      boost::asio::write(
          connection.socket_,
          boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\n")));
      send_piece(connection);
    }
  });
  StoreClientSettings settings;
  settings.addresses_ = {peer.endpoint().ToString()};
  settings.first_backoff_ = std::chrono::milliseconds(1);
  settings.longest_backoff_ = std::chrono::milliseconds(2);
  StoreClient client(context, settings);
  std::optional<ReadResult> result;
  WatchHandle handle;
  if (watch) {
    handle = client.Watch("/", 1, {});
  } else {
    client.Read("/k", [&](ReadResult read) { result = std::move(read); });
  }
  // A watch that is given up opens another connection.
  while (pieces < kMostPieces && !result && peer.accepted() < 2) {
    context.run_one();
  }
  CHECK(pieces < kMostPieces);
  CHECK((watch || (result && result->failure_)));
}

TEST_CASE("A compare-and-swap tells the loser what it lost to", "[platform]") {
  Rig rig;
  const auto first = rig.Swap(0, "one");
  REQUIRE(first.effect_ == Effect::kTookEffect);
  const auto second = rig.Swap(0, "two");
  CHECK(second.effect_ == Effect::kDidNotTakeEffect);
  CHECK(second.compare_failed_);
  CHECK(second.current_->value_ == "one");
  CHECK(second.current_->mod_revision_ == first.revision_);
  CHECK(rig.client_->counts().writes_ == 2);
}

// Guards against a record written on the strength of other records that have
// changed meanwhile.
TEST_CASE("A guard with another revision stops the write", "[platform]") {
  Rig rig;
  const auto guard = rig.Swap(0, "one").revision_;
  const auto write = [&](Revision expected) {
    return rig.Await<WriteResult>([&](auto done) {
      rig.client_->GuardedSwap("/other", 0, "x", {{"/k", expected}}, done);
    });
  };
  const auto refused = write(guard + 1);
  CHECK(refused.compare_failed_);
  CHECK_FALSE(refused.current_.has_value());
  CHECK(write(guard).effect_ == Effect::kTookEffect);
}

// Guards against a lost answer reported as a write that did not happen, on
// which a caller would write a second time.
TEST_CASE("A lost answer leaves the effect unknown", "[platform]") {
  Rig rig;
  rig.server_->SetFault(R"({"lost_answers":1})");
  const auto write = rig.Swap(0, "one");
  CHECK(write.effect_ == Effect::kUnknown);
  REQUIRE(write.failure_);
  CHECK(write.failure_->step_ == "receive");
  CHECK(rig.Read().values_.at(0).value_ == "one");
}

TEST_CASE("Failures before anything was sent did not take effect",
          "[platform]") {
  Rig rig;
  rig.server_.reset();
  CHECK(rig.Swap(0, "one").effect_ == Effect::kDidNotTakeEffect);
  CHECK(rig.Read().failure_->step_ == "connect");
}

TEST_CASE("An outage leaves writes unknown and reads failed", "[platform]") {
  Rig rig;
  rig.server_->SetFault(R"({"outage_ms":3600000})");
  CHECK(rig.Swap(0, "one").effect_ == Effect::kUnknown);
  CHECK(rig.Read().failure_.has_value());
}

TEST_CASE("A lease holds its keys until it is revoked", "[platform]") {
  Rig rig;
  const auto lease = rig.Await<LeaseResult>([&](auto done) {
    rig.client_->GrantLease(std::chrono::seconds(60), done);
  });
  REQUIRE(lease.effect_ == Effect::kTookEffect);
  const auto write = rig.Await<WriteResult>([&](auto done) {
    rig.client_->CreateIfAbsent("/k", "held", lease.id_, done);
  });
  CHECK(write.effect_ == Effect::kTookEffect);
  const auto keep = [&](auto done) {
    rig.client_->KeepLeaseAlive(lease.id_, done);
  };
  CHECK(rig.Await<LeaseResult>(keep).ttl_ == std::chrono::seconds(60));
  const auto revoke = [&](auto done) {
    rig.client_->RevokeLease(lease.id_, done);
  };
  CHECK(rig.Await<LeaseResult>(revoke).effect_ == Effect::kTookEffect);
  CHECK(rig.Read().values_.empty());
  CHECK(rig.Await<LeaseResult>(keep).ttl_ == std::chrono::seconds(0));
}

// Guards against changes that are lost or repeated across a lost connection.
TEST_CASE("A watch resumes where its connection ended", "[platform]") {
  Rig rig;
  std::vector<std::string> seen;
  int losses = 0;
  auto revision = rig.Swap(0, "one").revision_;
  WatchEvents events;
  events.on_changes_ = [&](const std::vector<WatchEvent>& changes) {
    for (const auto& change : changes) {
      seen.push_back(change.value_.value_);
    }
  };
  events.on_connected_ = [&](bool connected) { losses += connected ? 0 : 1; };
  auto watch = rig.client_->Watch("/", revision, std::move(events));
  while (seen.empty()) {
    rig.context_.run_one();
  }
  rig.server_->DropWatches();
  revision = rig.Swap(revision, "two").revision_;
  rig.Swap(revision, "three");
  while (seen.size() < 3) {
    rig.context_.run_one();
  }
  CHECK(seen == std::vector<std::string>{"one", "two", "three"});
  CHECK(losses == 1);
  CHECK(rig.client_->counts().watches_ >= 2);
}

// Guards against a watch on a half-open connection that never delivers again.
TEST_CASE("A watch leaves a connection that went silent", "[platform]") {
  Rig rig(std::chrono::milliseconds(50));
  std::vector<std::string> seen;
  bool connected = false;
  WatchEvents events;
  events.on_connected_ = [&](bool now) { connected = now; };
  events.on_changes_ = [&](const std::vector<WatchEvent>& changes) {
    for (const auto& change : changes) {
      seen.push_back(change.value_.value_);
    }
  };
  auto watch = rig.client_->Watch("/", 1, std::move(events));
  while (!connected) {
    rig.context_.run_one();
  }
  rig.server_->SetFault(R"({"silent_connections":true})");
  REQUIRE(rig.Swap(0, "one").effect_ == Effect::kTookEffect);
  while (seen.empty()) {
    rig.context_.run_one();
  }
  CHECK(seen == std::vector<std::string>{"one"});
}

TEST_CASE("A bad address is refused at the start", "[platform]") {
  boost::asio::io_context context;
  StoreClientSettings settings;
  CHECK_THROWS_AS(StoreClient(context, settings), StepError);
  settings.addresses_ = {"store.example:2379"};
  CHECK_THROWS_AS(StoreClient(context, settings), StepError);
}

}  // namespace
}  // namespace baobab::platform
