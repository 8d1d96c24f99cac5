#include "baobab_targets/target_exchange.h"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "baobab_targets/exchange_fixture.h"
#include "baobab_targets/service_client.h"

namespace baobab {
namespace {

namespace asio = boost::asio;
using Fixture = ExchangeFixture;

constexpr std::size_t kSize = std::size_t{8} * 1024 * 1024;

TEST_CASE("Connections are reused unless the request asks for a new one",
          "[targets]") {
  auto [fresh, connections] =
      GENERATE(table<bool, std::size_t>({{false, 1}, {true, 2}}));
  Fixture fixture([](ScriptedPeer::Connection& connection) {
    Reply(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  for (int i = 0; i < 2; ++i) {
    auto request = fixture.Request();
    request.new_connection_ = fresh;
    fixture.Run(std::move(request));
    CHECK(fixture.ended_);
    CHECK(fixture.body_ == "ok");
  }
  CHECK(fixture.peer_.accepted() == connections);
}

// Guards against a request reported as not run whose bytes reached the target,
// and against one reported as unknown although nothing left.
TEST_CASE("A failure states whether bytes of the request left", "[targets]") {
  struct Case {
    std::string name_;
    std::string reply_;
    bool listen_;
    bool close_;
    Outcome outcome_;
    std::string step_;
  };
  const auto row = GENERATE(values<Case>({
      {"refused", "", false, false, Outcome::kNotRun, "connect"},
      {"closed without reply", "", true, true, Outcome::kUnknown, "receive"},
      {"no reply in time", "", true, false, Outcome::kUnknown, "receive"},
      {"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", true,
       true, Outcome::kUnknown, "receive"},
      {"not HTTP", "nonsense\r\n\r\n", true, false, Outcome::kUnknown,
       "receive"},
  }));
  INFO(row.name_);
  Fixture fixture([&row](ScriptedPeer::Connection& connection) {
    Reply(connection, row.reply_);
    if (row.close_) {
      connection.socket_.close();
    }
  });
  auto request = fixture.Request();
  request.timeouts_.head_ = std::chrono::milliseconds(30);
  if (!row.listen_) {
    fixture.peer_.Close();
  }
  fixture.Run(std::move(request));
  REQUIRE(fixture.failure_);
  CHECK(fixture.failure_->outcome_ == row.outcome_);
  CHECK(fixture.failure_->step_ == row.step_);
  CHECK(fixture.failure_->peer_.starts_with("127.0.0.1:"));
}

// Guards against an unknown outcome for a connection the target had closed
// before the request, which can be seen before anything is sent.
TEST_CASE("Pooled connections that the target closed are not used",
          "[targets]") {
  Fixture fixture([](ScriptedPeer::Connection& connection) {
    Reply(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  fixture.Run(fixture.Request());
  CHECK(fixture.pool_->size() == 1);
  fixture.peer_.connection(0).socket_.close();
  fixture.Run(fixture.Request());
  CHECK(fixture.ended_);
  CHECK(fixture.peer_.accepted() == 2);
}

// Guards against a late second copy of a response that is taken for the
// response to the next request on the connection, which may not have an id
// itself, and against one without end that is skipped for ever.
TEST_CASE("Responses to earlier requests are skipped", "[targets]") {
  struct Case {
    const char* what_;
    std::string sent_id_;
    std::string first_;  // the late copy
    std::string body_;   // empty: the exchange fails
  };
  const std::string copy =
      "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 5\r\n\r\nstale";
  const auto test = GENERATE_COPY(values<Case>({
      {"request with an id", "new", copy, "ok"},
      {"request without an id", "", copy, "ok"},
      {"two copies", "new", copy + copy, "ok"},
      {"a copy without end", "new",
       "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 9000000\r\n\r\n" +
           std::string(2'000'000, 'x'),
       ""},
  }));
  INFO(test.what_);
  Fixture fixture([&test](ScriptedPeer::Connection& connection) {
    auto text = std::make_shared<std::string>(
        test.first_ + "HTTP/1.1 200 OK\r\n" +
        (test.sent_id_.empty() ? "" : "Id: " + test.sent_id_ + "\r\n") +
        "Content-Length: 2\r\n\r\nok");
    asio::async_write(connection.socket_, asio::buffer(*text),
                      [text](boost::system::error_code, std::size_t) {});
  });
  auto request = fixture.Request();
  request.echo_header_ = "Id";
  request.echo_value_ = test.sent_id_;
  fixture.Run(std::move(request));
  CHECK(fixture.ended_ == !test.body_.empty());
  CHECK(fixture.body_ == test.body_);
}

// Guards against an exchange that never ends because its target sends a byte
// now and then: the engine would get no further orders.
TEST_CASE("A target that sends a byte now and then is given up", "[targets]") {
  Fixture fixture([](ScriptedPeer::Connection& connection) {
    Reply(connection, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
  });
  auto request = fixture.Request();
  request.timeouts_.body_ = std::chrono::seconds(5);
  request.timeouts_.total_ = std::chrono::milliseconds(200);
  asio::steady_timer trickle(fixture.io_);
  std::function<void()> send_byte = [&] {
    trickle.expires_after(std::chrono::milliseconds(10));
    trickle.async_wait([&](boost::system::error_code error) {
      if (!error && fixture.peer_.accepted() > 0) {
        boost::system::error_code ignored;
        asio::write(fixture.peer_.connection(0).socket_, asio::buffer("x", 1),
                    ignored);
      }
      send_byte();
    });
  };
  send_byte();
  fixture.Run(std::move(request));
  REQUIRE(fixture.failure_);
  CHECK(fixture.failure_->timed_out_);
}

// Guards against memory that grows with a head that never ends.
TEST_CASE("A head without end is a failure", "[targets]") {
  const auto* line = GENERATE("A: b\r\n", "HTTP/1.1 100 Continue\r\nA: b\r\n");
  Fixture fixture([line](ScriptedPeer::Connection& connection) {
    auto text = std::make_shared<std::string>("HTTP/1.1 200 OK\r\n");
    for (int i = 0; i < 20'000; ++i) {
      *text += line;
    }
    asio::async_write(connection.socket_, asio::buffer(*text),
                      [text](boost::system::error_code, std::size_t) {});
  });
  fixture.Run(fixture.Request());
  CHECK(fixture.failure_);
}

TEST_CASE("A paused exchange reads nothing until it is resumed", "[targets]") {
  Fixture fixture([](ScriptedPeer::Connection& connection) {
    Reply(connection, "HTTP/1.1 200 OK\r\nContent-Length: " +
                          std::to_string(kSize) + "\r\n\r\n");
    connection.socket_.non_blocking(true);
    auto body = std::make_shared<std::string>(kSize, 'a');
    asio::async_write(connection.socket_, asio::buffer(*body),
                      [body](boost::system::error_code, std::size_t) {});
  });
  std::size_t received = 0;
  bool ended = false;
  std::shared_ptr<TargetExchange> exchange;
  ExchangeEvents events;
  events.on_data_ = [&](std::string_view piece) {
    if (received == 0) {
      exchange->Pause(true);
    }
    received += piece.size();
  };
  events.on_end_ = [&] { ended = true; };
  events.on_failure_ = [](const AttemptFailure& f) { FAIL(f.reason_); };
  exchange = TargetExchange::Start(fixture.pool_, fixture.Request(),
                                   std::move(events));
  while (received == 0) {
    fixture.io_.run_one();
  }
  const auto before = received;
  fixture.io_.poll();
  CHECK(received == before);
  exchange->Pause(false);
  while (!ended) {
    fixture.io_.run_one();
  }
  CHECK(received == kSize);
}

TEST_CASE("Cancelling tells whether bytes may have left", "[targets]") {
  const bool sent = GENERATE(false, true);
  Fixture fixture([](ScriptedPeer::Connection&) {});
  ExchangeEvents events;
  events.on_failure_ = [](const AttemptFailure& f) { FAIL(f.reason_); };
  const auto exchange =
      TargetExchange::Start(fixture.pool_, fixture.Request(), events);
  while (sent && (fixture.peer_.accepted() == 0 ||
                  fixture.peer_.connection(0).received_.empty())) {
    fixture.io_.run_one();
  }
  CHECK(exchange->Cancel() == sent);
  fixture.io_.poll();
}

// Guards against memory that grows with what a service sends.
TEST_CASE("A response above the bound is a failure", "[targets]") {
  Fixture fixture([](ScriptedPeer::Connection& connection) {
    Reply(connection,
          "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n01234567890");
  });
  ServiceClient client(fixture.pool_, {}, 10);
  std::optional<AttemptFailure> failure;
  client.Start({fixture.peer_.endpoint(), "POST", "/book", {}, "{}", false},
               {[](const TargetResponse&) { FAIL("no failure"); },
                [&](const AttemptFailure& f) { failure = f; }});
  while (!failure) {
    fixture.io_.run_one();
  }
  CHECK(failure->outcome_ == Outcome::kUnknown);
}

TEST_CASE("Only explicit rejections count as not run", "[targets]") {
  auto [status, outcome] =
      GENERATE(table<unsigned, Outcome>({{200, Outcome::kCompleted},
                                         {409, Outcome::kCompleted},
                                         {500, Outcome::kCompleted},
                                         {429, Outcome::kNotRun},
                                         {421, Outcome::kNotRun},
                                         {503, Outcome::kUnknown},
                                         {504, Outcome::kUnknown}}));
  CHECK(OutcomeOfStatus(status) == outcome);
}

// Guards against responses whose end a caller could find in another place, and
// against interim responses taken for the response or sent without end.
TEST_CASE("The framing of a response is read in one way or refused",
          "[targets]") {
  struct Case {
    const char* what_;
    std::string method_;
    std::string reply_;
    std::optional<std::string> body_;  // nullopt: a failure
  };
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string length = "Content-Length: 2\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string chunks = "\r\n2\r\nok\r\n0\r\n\r\n";
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
  const auto row = GENERATE_COPY(values<Case>({
      {"length", "POST", ok + length + "\r\nok", "ok"},
      {"chunked", "POST", ok + chunked + chunks, "ok"},
      {"identity", "POST", ok + "Transfer-Encoding: identity\r\n\r\nok", {}},
      {"gzip, chunked",
       "POST",
       ok + "Transfer-Encoding: gzip, chunked\r\n" + chunks,
       {}},
      {"chunked twice", "POST", ok + chunked + chunked + chunks, {}},
      {"length and encoding", "POST", ok + length + chunked + chunks, {}},
      {"two lengths", "POST", ok + length + length + "\r\nok", {}},
      {"HEAD", "HEAD", ok + length + "\r\n", ""},
      {"204", "POST", "HTTP/1.1 204 No Content\r\n\r\n", ""},
      {"304", "POST", "HTTP/1.1 304 Not Modified\r\n" + length + "\r\n", ""},
      {"interim", "POST",
       "HTTP/1.1 100 Continue\r\n\r\n" + interim + ok + length + "\r\nok",
       "ok"},
      {"interim responses without end",
       "POST",
       interim + interim + interim + interim + interim + interim + interim +
           interim + interim + ok + length + "\r\nok",
       {}},
      {"other protocol",
       "POST",
       "HTTP/1.1 101 Switching Protocols\r\n\r\n" + ok + length + "\r\nok",
       {}},
  }));
  INFO(row.what_);
  Fixture fixture([reply = row.reply_](ScriptedPeer::Connection& connection) {
    Reply(connection, reply);
  });
  auto request = fixture.Request();
  request.method_ = row.method_;
  fixture.Run(std::move(request));
  CHECK(fixture.ended_ == row.body_.has_value());
  CHECK((!row.body_ || fixture.body_ == *row.body_));
}

constexpr std::size_t kLongUpload = std::size_t{32} * 1024 * 1024;

// Guards against part of a response that looks complete: the failed write of
// the request takes the error of the connection, so that the read which
// follows sees an end in order.
TEST_CASE("A response to a request that was cut off needs an end of its own",
          "[targets]") {
  struct Case {
    const char* what_;
    std::string fields_and_body_;
    bool resets_;  // else the target reads on and closes in order
    bool whole_;
  };
  const auto row = GENERATE(values<Case>({
      {"no length, reset", "\r\npart", true, false},
      {"no length, empty, reset", "\r\n", true, false},
      {"no length, closed in order", "\r\nwhole", false, true},
      {"length, reset", "Content-Length: 5\r\n\r\nwhole", true, true},
      {"length, cut, reset", "Content-Length: 9\r\n\r\npart", true, false},
      {"chunked, reset",
       "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", true, true},
      {"chunked, cut, reset", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
       true, false},
  }));
  INFO(row.what_);
  std::size_t received = 0;
  ExchangeFixture fixture([&](ScriptedPeer::Connection& connection) {
    if (std::exchange(received, received + connection.received_.size()) == 0) {
      Reply(connection, "HTTP/1.1 200 OK\r\n" + row.fields_and_body_);
      if (row.resets_) {
        connection.socket_.set_option(asio::socket_base::linger(true, 0));
        connection.socket_.close();
      } else {
        connection.socket_.shutdown(ScriptedPeer::Tcp::socket::shutdown_send);
      }
    }
    connection.received_.clear();
  });
  auto request = fixture.Request();
  request.method_ = "POST";
  request.body_ = std::string(kLongUpload, 'u');
  fixture.Run(std::move(request));
  CHECK(fixture.ended_ == row.whole_);
  CHECK(fixture.failure_.has_value() != row.whole_);
  if (fixture.failure_) {
    CHECK(fixture.failure_->outcome_ == Outcome::kUnknown);
  }
}

// Guards against a request that a target takes for the rest of the one before:
// the target has answered and still reads a body that was not sent whole.
TEST_CASE("A connection with a request that was cut off is not used again",
          "[targets]") {
  std::vector<std::string> starts;
  ExchangeFixture fixture([&](ScriptedPeer::Connection& connection) {
    starts.push_back(connection.received_.substr(0, 4));
    connection.received_.clear();
    connection.reads_ = false;
    Reply(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  for (int i = 0; i < 2; ++i) {
    auto request = fixture.Request();
    request.method_ = "POST";
    request.body_ = std::string(kLongUpload, 'u');
    request.timeouts_.send_ = std::chrono::milliseconds(100);
    fixture.Run(std::move(request));
    CHECK(fixture.ended_);
    CHECK(fixture.pool_->size() == 0);
  }
  CHECK(starts == std::vector<std::string>{"POST", "POST"});
}

// Guards against a shared body that is cut or sent after the wrong head.
TEST_CASE("A shared body is sent whole", "[targets]") {
  const auto size = GENERATE(std::size_t{0}, std::size_t{1}, kSize);
  std::size_t received = 0;
  Fixture fixture([&](ScriptedPeer::Connection& connection) {
    const auto end = connection.received_.find("\r\n\r\n");
    if (end != std::string::npos &&
        connection.received_.size() == end + 4 + size) {
      received = connection.received_.size() - end - 4;
      Reply(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }
  });
  auto request = fixture.Request();
  request.method_ = "POST";
  request.shared_body_ = std::make_shared<const std::string>(size, 'b');
  fixture.Run(std::move(request));
  CHECK(fixture.ended_);
  CHECK(received == size);
}

}  // namespace
}  // namespace baobab
