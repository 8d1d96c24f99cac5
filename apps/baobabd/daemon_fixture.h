#pragma once

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "baobab_contract/contract_record.h"
#include "baobab_platform/base64.h"
#include "daemon.h"
#include "duty_thread.h"
#include "stand_ins/answer_text.h"
#include "stand_ins/engine_server.h"
#include "stand_ins/simple_servers.h"
#include "stand_ins/store_server.h"
#include "stand_ins/weight_store.h"

namespace baobab {

/// A response as a caller sees it.
struct TestResponse {
  unsigned status_ = 0;
  std::string content_type_;
  std::string body_;
  bool whole_ = false;  ///< The connection did not end inside the response.
};

/// Makes one call on a connection of its own.
inline auto Call(std::uint16_t port, const std::string& method,
                 const std::string& path, const std::string& body = "",
                 const std::map<std::string, std::string>& headers = {})
    -> TestResponse {
  namespace http = boost::beast::http;
  using Tcp = boost::asio::ip::tcp;
  boost::asio::io_context io;
  Tcp::socket socket(io);
  socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
  http::request<http::string_body> request;
  request.method_string(method);
  request.target(path);
  request.set(http::field::host, "test");
  request.set(http::field::authorization, "Bearer secret");
  for (const auto& [name, value] : headers) {
    request.set(name, value);
  }
  request.body() = body;
  request.prepare_payload();
  http::write(socket, request);
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  boost::system::error_code error;
  http::read(socket, buffer, parser, error);
  const auto& response = parser.get();
  return {response.result_int(),
          std::string(response[http::field::content_type]), response.body(),
          !error};
}

/// Calls until `done` accepts the response; a fault ends in the test's time
/// limit.
template <class Done>
auto CallUntil(std::uint16_t port, const std::string& path, Done&& done)
    -> TestResponse {
  for (;;) {
    auto response = Call(port, "GET", path);
    if (done(response)) {
      return response;
    }
    std::this_thread::yield();
  }
}

/// Stand-in engines and one stand-in service on a thread of their own.
class TestTargets {
 public:
  explicit TestTargets(int engines) : thread_("targets") {
    for (int i = 0; i < engines; ++i) {
      stand_in::EngineSettings settings;
      settings.name_ = "e" + std::to_string(i);
      settings.seed_ = static_cast<std::uint64_t>(i) + 1;
      settings.batch_.token_time_ = std::chrono::milliseconds(1);
      settings.report_interval_ = std::chrono::milliseconds(20);
      settings.report_lag_ = std::chrono::milliseconds(20);
      engines_.push_back(std::make_unique<stand_in::EngineServer>(
          thread_.io(), "127.0.0.1", 0, settings, weights_,
          std::map<std::string, std::int64_t>{{"m", 1000}}));
    }
    service_ = stand_in::MakeServiceServer(thread_.io(), "127.0.0.1", 0,
                                           std::chrono::milliseconds(1));
    thread_.Start();
  }
  ~TestTargets() {
    thread_.Stop();
    engines_.clear();
    service_.reset();
  }
  TestTargets(const TestTargets&) = delete;
  auto operator=(const TestTargets&) -> TestTargets& = delete;

  auto AddTo(Settings& settings) const -> void {
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      TargetSettings target;
      target.id_ = TargetId("e" + std::to_string(i));
      target.endpoint_ = {"127.0.0.1", engines_[i]->port()};
      target.slots_ = 16;
      settings.targets_.push_back(target);
    }
    for (const auto* name : {"slots", "board"}) {
      TargetSettings target;
      target.id_ = TargetId(name);
      target.endpoint_ = {"127.0.0.1", service_->port()};
      target.engine_ = false;
      target.service_ = name;
      settings.targets_.push_back(target);
    }
  }

  auto FaultEngine(std::size_t index, const std::string& fault) -> void {
    Call(engines_[index]->port(), "POST", "/fault", fault);
  }
  [[nodiscard]] auto service_port() const -> std::uint16_t {
    return service_->port();
  }
  [[nodiscard]] auto engine_port(std::size_t index) const -> std::uint16_t {
    return engines_[index]->port();
  }

 private:
  stand_in::WeightStore weights_{stand_in::WeightRates{}};
  DutyThread thread_;
  std::vector<std::unique_ptr<stand_in::EngineServer>> engines_;
  std::unique_ptr<stand_in::HttpShell> service_;
};

/// A stand-in configuration service on a thread of its own.
class TestStore {
 public:
  TestStore()
      : thread_("store"),
        server_(std::make_unique<stand_in::StoreServer>(
            thread_.io(), "127.0.0.1", 0, stand_in::StoreLimits{})) {
    thread_.Start();
  }
  ~TestStore() {
    thread_.Stop();
    server_.reset();
  }
  TestStore(const TestStore&) = delete;
  auto operator=(const TestStore&) -> TestStore& = delete;

  [[nodiscard]] auto endpoint() const -> TargetEndpoint {
    return {"127.0.0.1", server_->port()};
  }

  auto Put(const std::string& key, const std::string& value) -> void {
    Call(server_->port(), "POST", "/v3/kv/put",
         R"({"key":")" + platform::Base64Encode(key) + R"(","value":")" +
             platform::Base64Encode(value) + R"("})");
  }

  /// Stores a contract for customer "c" with the key "secret".
  auto PutContract(int requests_per_second = 1'000'000) -> void {
    contract::ContractValue value;
    value.author_ = "test";
    value.text_ =
        "customer = \"c\"\nweight = 1\n[keys]\nsha256 = [\"" +
        contract::Sha256Hex("secret") +
        "\"]\n[limits]\nrequests_per_second = " +
        std::to_string(requests_per_second) +
        "\nconcurrent_requests = 100\ntokens_per_second = 1000000000\n"
        "concurrent_bookings = 20\nmax_duration_ms = 60000\n"
        "[[models]]\nname = \"m\"\nadapters = []\nmemory_mb = 1000\n"
        "[[services]]\nname = \"slots\"\nidempotent = false\n"
        "[[services]]\nname = \"board\"\nidempotent = true\n";
    Put(contract::ContractKey(CustomerId("c")),
        contract::EncodeContractValue(value));
  }

  auto Fault(const std::string& body) -> void {
    Call(server_->port(), "POST", "/fault", body);
  }

 private:
  DutyThread thread_;
  std::unique_ptr<stand_in::StoreServer> server_;
};

/// A daemon in this process with its targets.
struct DaemonFixture {
  explicit DaemonFixture(int engines = 2) : targets_(engines) {
    settings_.instance_ = InstanceId("tt-1");
    settings_.caller_address_ = {"127.0.0.1", 0};
    settings_.admin_address_ = {"127.0.0.1", 0};
    settings_.store_ = {store_.endpoint()};
    store_.PutContract();
    settings_.report_interval_ = std::chrono::milliseconds(50);
    settings_.entry_max_age_ = std::chrono::milliseconds(100);
    targets_.AddTo(settings_);
  }

  /// Starts the daemon and waits until it knows where the model is.
  auto Start() -> void {
    daemon_ = std::make_unique<Daemon>(settings_, "");
    daemon_->Start();
    CallUntil(daemon_->caller_port(), "/readyz",
              [](const TestResponse& r) { return r.status_ == 200; });
    CallUntil(
        daemon_->caller_port(), "/v1/models", [](const TestResponse& response) {
          return response.body_.find("\"loaded\":true") != std::string::npos;
        });
  }

  /// The body of a completion request with a prompt of its own.
  static auto ChatBody(const std::string& text, bool stream,
                       int max_tokens = 40) -> std::string {
    return R"({"model":"m","max_tokens":)" + std::to_string(max_tokens) +
           R"(,"stream":)" + (stream ? "true" : "false") +
           R"(,"messages":[{"role":"user","content":")" + text + R"("}]})";
  }

  /// The answer that the stand-in engines give to ChatBody(text).
  static auto Expected(const std::string& text, int max_tokens = 40)
      -> std::string {
    return stand_in::AnswerText("user:" + text + "\n",
                                static_cast<std::size_t>(max_tokens));
  }

  auto Chat(const std::string& text, bool stream,
            const std::map<std::string, std::string>& headers = {})
      -> TestResponse {
    return Call(daemon_->caller_port(), "POST", "/v1/chat/completions",
                ChatBody(text, stream), headers);
  }

  TestStore store_;
  TestTargets targets_;
  Settings settings_;
  std::unique_ptr<Daemon> daemon_;
};

}  // namespace baobab
