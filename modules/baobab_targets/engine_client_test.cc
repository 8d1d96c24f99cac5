#include "baobab_targets/engine_client.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "baobab_targets/connection_pool.h"
#include "baobab_targets/scripted_peer.h"

namespace baobab {
namespace {

namespace asio = boost::asio;

struct Result {
  std::vector<ChatChunk> chunks_;
  EngineLoad load_;
  bool ended_ = false;
  std::optional<ChatFailure> failure_;
};

auto RunChat(const std::string& reply) -> Result {
  asio::io_context io;
  ScriptedPeer peer(io, [&reply](ScriptedPeer::Connection& connection) {
    asio::write(connection.socket_, asio::buffer(reply));
    connection.socket_.close();
  });
  EngineClient client(
      std::make_shared<ConnectionPool>(io, 4, std::chrono::seconds(60)), {});
  Result result;
  client.StartChat(
      peer.endpoint(), "{}", false,
      {[&](EngineLoad load) { result.load_ = load; },
       [&](const ChatChunk& chunk) { result.chunks_.push_back(chunk); },
       [&] { result.ended_ = true; },
       [&](const ChatFailure& failure) { result.failure_ = failure; }});
  while (!result.ended_ && !result.failure_) {
    io.run_one();
  }
  return result;
}

constexpr auto kHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "X-Engine-Running: 3\r\nX-Engine-Waiting: 4\r\n\r\n";

TEST_CASE("A completion stream gives chunks with offsets", "[targets]") {
  const auto result = RunChat(
      std::string(kHead) +
      "data: {\"request_id\":\"r\",\"offset\":0,\"tokens\":2,\"choices\":"
      "[{\"delta\":{\"content\":\"ab\"}}]}\n\n"
      "data: "
      "{\"request_id\":\"r\",\"offset\":2,\"total_tokens\":2}\n\n"
      "data: [DONE]\n\n");
  CHECK(result.ended_);
  REQUIRE(result.chunks_.size() == 2);
  CHECK(result.chunks_[0].content_ == "ab");
  CHECK(result.chunks_[0].tokens_ == 2);
  CHECK(result.chunks_[1].offset_ == 2);
  CHECK(result.chunks_[1].total_tokens_ == 2U);
  CHECK(result.load_.running_ == 3);
  CHECK(result.load_.waiting_ == 4);
}

// Guards against a cut or corrupt stream that is presented as whole, and
// against a rejection that is reported as possibly executed.
TEST_CASE("Streams that are not whole fail", "[targets]") {
  struct Case {
    std::string reply_;
    Outcome outcome_;
    unsigned status_;
  };
  const auto row = GENERATE(values<Case>({
      {std::string(kHead) + "data: {\"offset\":0}\n\n", Outcome::kUnknown, 200},
      {std::string(kHead) + "data: {\"offset\":\n\n", Outcome::kUnknown, 200},
      {std::string(kHead) + "data: {}\n\ndata: [DONE]\n\n", Outcome::kUnknown,
       200},
      {"HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\n{}", Outcome::kNotRun, 503},
      {"HTTP/1.1 400 X\r\nContent-Length: 2\r\n\r\n{}", Outcome::kNotRun, 400},
      {"HTTP/1.1 500 X\r\nContent-Length: 2\r\n\r\n{}", Outcome::kUnknown, 500},
  }));
  const auto result = RunChat(row.reply_);
  CHECK_FALSE(result.ended_);
  REQUIRE(result.failure_);
  CHECK(result.failure_->failure_.outcome_ == row.outcome_);
  CHECK(result.failure_->status_ == row.status_);
  CHECK(result.failure_->body_ == (row.status_ == 200 ? "" : "{}"));
}

// Guards against an exchange that reads an error response without end for as
// long as the engine sends.
TEST_CASE("An error response without end is a failure", "[targets]") {
  const auto* head = GENERATE("HTTP/1.1 503 X\r\n", "HTTP/1.1 500 X\r\n");
  constexpr std::size_t kMostPieces = 1000;
  asio::io_context io;
  std::size_t pieces = 0;
  const auto piece = std::make_shared<std::string>(16 * 1024, 'x');
  std::function<void(ScriptedPeer::Connection&)> send_piece =
      [&](ScriptedPeer::Connection& connection) {
        asio::async_write(
            connection.socket_, asio::buffer(*piece),
            [&](boost::system::error_code error, std::size_t /*bytes*/) {
              if (!error && ++pieces < kMostPieces) {
                send_piece(connection);
              } else {
                connection.socket_.close();
              }
            });
      };
  ScriptedPeer peer(io, [&](ScriptedPeer::Connection& connection) {
    asio::write(connection.socket_,
                asio::buffer(std::string(head) + "Connection: close\r\n\r\n"));
    send_piece(connection);
  });
  EngineClient client(
      std::make_shared<ConnectionPool>(io, 4, std::chrono::seconds(60)), {});
  std::optional<ChatFailure> failure;
  client.StartChat(peer.endpoint(), "{}", false,
                   {{},
                    [](const ChatChunk&) {},
                    [] { FAIL("no failure"); },
                    [&](const ChatFailure& f) { failure = f; }});
  while (!failure) {
    io.run_one();
  }
  CHECK(pieces < kMostPieces);
  CHECK(failure->failure_.outcome_ == Outcome::kUnknown);
  CHECK(failure->body_.size() <= std::size_t{64} * 1024);
}

TEST_CASE("Invalid completion requests are rejected with a reason",
          "[targets]") {
  auto [body, reason] = GENERATE(table<std::string, std::string>({
      {"[]", "the body is not a JSON object"},
      {"{\"messages\":[{}]}", "the field \"model\" must be a non-empty string"},
      {"{\"model\":\"m\",\"messages\":{}}",
       "the field \"messages\" must be a non-empty array"},
  }));
  std::string error;
  CHECK_FALSE(ParseChatRequest(body, error));
  CHECK(error == reason);
}

TEST_CASE("The request keeps the caller's fields and gains the extensions",
          "[targets]") {
  std::string error;
  const std::string body =
      R"({"model":"m","temperature":0.5,"stream":false,"messages":[{"role":"user","content":"hi"},{"content":[{"text":"you"}]}]})";
  const auto summary = ParseChatRequest(body, error);
  REQUIRE(summary);
  CHECK(summary->prompt_ == "user:hi\n:you\n");
  const auto built = BuildChatBody(body, {"r-1", 2, 7});
  CHECK(built.find("\"temperature\":5E-1") != std::string::npos);
  CHECK(built.find("\"stream\":true") != std::string::npos);
  CHECK(
      built.ends_with(R"("request_id":"r-1","priority":2,"resume_offset":7})"));
}

TEST_CASE("A report needs the engine's incarnation", "[targets]") {
  CHECK_FALSE(ParseEngineReport(R"({"running":1})"));
  const auto report = ParseEngineReport(
      R"({"incarnation":5,"draining":true,"slots":8,"models":[{"name":"m",)"
      R"("state":"loaded"},7],"finished_orders":[{"order_id":"o","ok":true}]})");
  REQUIRE(report);
  CHECK(report->incarnation_ == 5);
  CHECK(report->draining_);
  REQUIRE(report->models_.size() == 1);
  CHECK(report->models_[0].state_ == "loaded");
  REQUIRE(report->finished_orders_.size() == 1);
  CHECK(report->finished_orders_[0].ok_);
}

// Guards against block numbers above 2^53, which JSON numbers would round.
TEST_CASE("Cache events keep all digits of their blocks", "[targets]") {
  CHECK_FALSE(ParseCacheEvents("{}"));
  const auto events = ParseCacheEvents(
      R"({"last":9,"events":[{"sequence":9,"kind":"removed","model":"m",)"
      R"("block":"18446744073709551615"}]})");
  REQUIRE(events);
  CHECK(events->last_ == 9);
  REQUIRE(events->events_.size() == 1);
  CHECK(events->events_[0].block_ == 18446744073709551615U);
  CHECK(events->events_[0].removed_);
}

}  // namespace
}  // namespace baobab
