#include "engine_channel.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>

#include "baobab_targets/scripted_peer.h"

namespace baobab {
namespace {

using placement::OrderAnswer;

auto MakeResponse(const std::string& status_line, const std::string& body,
                  const std::string& fields = "") -> std::string {
  return status_line + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string kReport = MakeResponse(
    "HTTP/1.1 200 OK",
    R"({"incarnation":5,"memory_total_mb":100,"fence":1,"models":[],)"
    R"("running_orders":[],"finished_orders":[]})");

/// An engine that sends a fixed answer to reports and one to orders.
struct ChannelFixture {
  ChannelFixture(std::string report, std::string order)
      : peer_(io_,
              [this, report = std::move(report),
               order = std::move(order)](ScriptedPeer::Connection& connection) {
                const bool is_order = connection.received_.starts_with("POST");
                orders_ += is_order ? 1 : 0;
                connection.received_.clear();
                boost::asio::async_write(
                    connection.socket_,
                    boost::asio::buffer(is_order ? order : report),
                    [](boost::system::error_code, std::size_t) {});
              }),
        channel_(std::make_shared<EngineChannel>(io_, TargetId("e"),
                                                 peer_.endpoint())) {}

  auto Poll() -> std::optional<placement::ServerReport> {
    std::optional<placement::ServerReport> result;
    bool ended = false;
    channel_->Poll([&](std::optional<placement::ServerReport> report) {
      result = std::move(report);
      ended = true;
    });
    while (!ended) {
      io_.run_one();
    }
    return result;
  }

  auto Send(Incarnation engine = 5) -> OrderAnswer {
    placement::SendOrder order;
    order.engine_ = engine;
    std::optional<OrderAnswer> result;
    channel_->Send(order, [&](OrderAnswer answer) { result = answer; });
    while (!result) {
      io_.run_one();
    }
    return *result;
  }

  boost::asio::io_context io_;
  int orders_ = 0;
  ScriptedPeer peer_;
  std::shared_ptr<EngineChannel> channel_;
};

// Guards against a broken answer that counts as the engine's receipt or
// rejection of an order.
TEST_CASE("Only a sound answer to an order counts as its receipt", "[daemon]") {
  struct Case {
    std::string answer_;
    OrderAnswer result_;
  };
  const auto row = GENERATE(values<Case>({
      {MakeResponse("HTTP/1.1 200 OK", "{}"), OrderAnswer::kReceived},
      {MakeResponse("HTTP/1.1 202 Accepted", "{}"), OrderAnswer::kReceived},
      {MakeResponse("HTTP/1.1 409 Conflict", "{}"), OrderAnswer::kRejected},
      {"HTTP/1.1 100 Continue\r\n\r\n" +
           MakeResponse("HTTP/1.1 409 Conflict", "{}"),
       OrderAnswer::kRejected},
      {MakeResponse("HTTP/1.1 000 OK", "{}"), OrderAnswer::kLost},
      {MakeResponse("HTTP/1.1 200 OK", "{}", " X-Odd: 1\r\n"),
       OrderAnswer::kLost},
      {MakeResponse("HTTP/1.1 200 OK", "{}", "A: b\r\n X-Odd: 1\r\n"),
       OrderAnswer::kLost},
      {"HTTP/1.1 200 OK\r\nA: " + std::string(100'000, 'a'),
       OrderAnswer::kLost},
      {MakeResponse("HTTP/1.1 200 OK", std::string(6'000'000, 'x')),
       OrderAnswer::kLost},
  }));
  INFO(row.answer_.substr(0, 60));
  ChannelFixture fixture(kReport, row.answer_);
  REQUIRE(fixture.Poll());
  CHECK(fixture.Send() == row.result_);
  CHECK(fixture.orders_ == 1);
}

// Guards against the second copy of an answer that is taken for the answer to
// the next order.
TEST_CASE("Bytes after an answer do not answer the next order", "[daemon]") {
  const auto received = MakeResponse("HTTP/1.1 200 OK", "{}");
  const auto refused = MakeResponse("HTTP/1.1 409 Conflict", "{}");
  ChannelFixture fixture(kReport, received + refused);
  REQUIRE(fixture.Poll());
  CHECK(fixture.Send() == OrderAnswer::kReceived);
  CHECK(fixture.Send() == OrderAnswer::kLost);
  CHECK(fixture.orders_ == 1);
}

// Guards against an order to a process that has not identified itself on the
// connection: its record would not count the order.
TEST_CASE("An order leaves only to the process that reported", "[daemon]") {
  ChannelFixture fixture(kReport, MakeResponse("HTTP/1.1 200 OK", "{}"));
  CHECK(fixture.Send() == OrderAnswer::kLost);
  REQUIRE(fixture.Poll());
  CHECK(fixture.Send(6) == OrderAnswer::kLost);
  CHECK(fixture.orders_ == 0);
  CHECK(fixture.Send() == OrderAnswer::kReceived);
  fixture.peer_.connection(0).socket_.close();
  CHECK(fixture.Send() == OrderAnswer::kLost);
  CHECK(fixture.orders_ == 1);
  CHECK(fixture.peer_.accepted() == 1);
}

}  // namespace
}  // namespace baobab
