#include "baobab_targets/response_head_rules.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "baobab_targets/exchange_fixture.h"

namespace baobab {
namespace {

/// A response and the start of the fault that an exchange reports for it.
struct Row {
  std::string head_;   // without the empty line
  std::string fault_;  // empty: the response is sound
};

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kLength = "Content-Length: 2\r\n";
const std::string kChunked = "Transfer-Encoding: chunked\r\n";

auto Rows() -> std::vector<Row> {
  const std::string status = "the status code is not in 100 to 599";
  const std::string status_line = "the status line is malformed";
  const std::string folded = "a field line is folded or begins with a blank";
  const std::string name = "a field has no valid name";
  const std::string line = "a line does not end with CR LF";
  const std::string encoding = "Transfer-Encoding is not one `chunked`";
  const std::string length = "Content-Length is not one number";
  return {
      {"HTTP/1.1 200 \r\n" + kLength, ""},
      {"HTTP/1.0 599 Odd but sound\r\n" + kLength, ""},
      {kOk + "x-!#$%&'*+.^_`|~9:\t \x80 a\tb \r\n" + kLength, ""},
      {kOk + "Empty:\r\n" + kLength, ""},
      {"HTTP/1.1 000 OK\r\n" + kLength, status},
      {"HTTP/1.1 099 OK\r\n" + kLength, status},
      {"HTTP/1.1 600 OK\r\n" + kLength, status},
      {"HTTP/1.1 999 OK\r\n" + kLength, status},
      {"HTTP/1.1 20 OK\r\n" + kLength, status_line},
      {"HTTP/1.1 2000 OK\r\n" + kLength, status_line},
      {"HTTP/1.1 -20 OK\r\n" + kLength, status_line},
      {"HTTP/1.1 2x0 OK\r\n" + kLength, status_line},
      {"HTTP/1.1  200 OK\r\n" + kLength, status_line},
      {"HTTP/1.1 200 O\x01K\r\n" + kLength, status_line},
      {"HTTP/1.2 200 OK\r\n" + kLength, status_line},
      {"HTTP/2 200 OK\r\n" + kLength, status_line},
      {"http/1.1 200 OK\r\n" + kLength, status_line},
      {" HTTP/1.1 200 OK\r\n" + kLength, status_line},
      {"oops\r\n" + kLength, status_line},
      {"\r\n" + kOk + kLength, status_line},
      {"HTTP/1.1 101 Switching Protocols\r\n", "the status switches"},
      {kOk + kLength + " X-Odd: 1\r\n", folded},
      {kOk + kLength + "\tX-Odd: 1\r\n", folded},
      {kOk + " X-Odd: 1\r\n" + kLength, folded},
      {kOk + "A: b\r\n " + kLength, folded},
      {kOk + kLength + " \r\n", folded},
      {kOk + "X Odd: 1\r\n" + kLength, name},
      {kOk + "X-Odd : 1\r\n" + kLength, name},
      {kOk + "X\x01Odd: 1\r\n" + kLength, name},
      {kOk + "\x01X-Odd: 1\r\n" + kLength, name},
      {kOk + "X-Odd\x7f: 1\r\n" + kLength, name},
      {kOk + "X-Odd\x80: 1\r\n" + kLength, name},
      {kOk + "X(Odd): 1\r\n" + kLength, name},
      {kOk + ": 1\r\n" + kLength, name},
      {kOk + "X-Odd\r\n" + kLength, name},
      {kOk + "Content-Length : 2\r\n", name},
      {kOk + "X-Odd: a\x01\r\n" + kLength, "a field value"},
      {kOk + "X-Odd: a\x7f b\r\n" + kLength, "a field value"},
      {kOk + "X\rOdd: 1\r\n" + kLength, line},
      {kOk + "X-Odd: 1\n" + kLength, line},
      {kOk + "X-Odd: 1\r" + kLength, line},
      {kOk + std::string("X-Odd: \0\r\n", 10) + kLength, line},
      {"HTTP/1.1 200 OK\n" + kLength, line},
      {"HTTP/1.1 200 OK\nContent-Length: 2\n\nok", line},
      {kOk + kChunked + kChunked, encoding},
      {kOk + "Transfer-Encoding: identity\r\n", encoding},
      {kOk + "Transfer-Encoding: gzip, chunked\r\n", encoding},
      {kOk + "Transfer-Encoding:\r\n", encoding},
      {"HTTP/1.0 200 OK\r\n" + kChunked, "Transfer-Encoding needs HTTP/1.1"},
      {kOk + kChunked + kLength, "Transfer-Encoding and Content-Length"},
      {kOk + kLength + kLength, length},
      {kOk + "Content-Length: 2, 2\r\n", length},
      {kOk + "Content-Length: +2\r\n", length},
      {kOk + "Content-Length: -2\r\n", length},
      {kOk + "Content-Length: 0x2\r\n", length},
      {kOk + "Content-Length: 18446744073709551616\r\n", length},
      {kOk + "Content-Length:\r\n", length},
      {"HTTP/1.1 204 No Content\r\n" + kLength, "a response without a body"},
      {"HTTP/1.1 204 No Content\r\n" + kChunked, "a response without a body"},
      {"HTTP/1.1 103 Early Hints\r\n" + kLength, "a response without a body"},
  };
}

// Guards against a broken response that an exchange passes on, and against a
// sound one that it refuses.
TEST_CASE("The head of a response meets the rules or is refused", "[targets]") {
  const auto row = GENERATE(from_range(Rows()));
  INFO(row.head_);
  ExchangeFixture fixture([&row](ScriptedPeer::Connection& connection) {
    Reply(connection, row.head_ + "\r\nok");
  });
  auto request = fixture.Request();
  request.method_ = "POST";
  fixture.Run(std::move(request));
  if (row.fault_.empty()) {
    CHECK(fixture.ended_);
    CHECK(fixture.body_ == "ok");
    return;
  }
  REQUIRE(fixture.failure_);
  CHECK(fixture.failure_->reason_.starts_with(row.fault_));
  CHECK(fixture.failure_->outcome_ == Outcome::kUnknown);
  CHECK(fixture.pool_->size() == 0);
}

// Guards against a rule without a row in the test above.
TEST_CASE("Each rule for the head of a response has a row", "[targets]") {
  const auto rows = Rows();
  for (const auto& rule : ResponseHeadRules()) {
    INFO(rule.fault_);
    CHECK(std::any_of(rows.begin(), rows.end(), [&](const Row& row) {
      return !row.fault_.empty() && rule.fault_.starts_with(row.fault_);
    }));
    CHECK(rule.source_.starts_with("RFC 91"));
  }
}

}  // namespace
}  // namespace baobab
