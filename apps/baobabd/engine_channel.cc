#include "engine_channel.h"

#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <utility>

namespace baobab {
namespace {

namespace json = boost::json;

/// Time limit of one call.
constexpr auto kTimeout = std::chrono::seconds(2);
/// Engines are polled every 2 s; their connections usually stay open for a
/// minute or more.
constexpr auto kIdleTime = std::chrono::seconds(30);
/// Bound on an answer: a report of an engine with thousands of adapters has
/// some hundred kilobytes.
constexpr std::size_t kMaxAnswerBytes = std::size_t{4} << 20;
constexpr unsigned kStaleFence = 409;

auto Text(const json::object& object, const char* name) -> std::string {
  return std::string(object.at(name).as_string());
}

auto ReadReport(const TargetId& target, const json::object& body)
    -> placement::ServerReport {
  placement::ServerReport report;
  report.target_ = target;
  report.engine_ = body.at("incarnation").to_number<std::uint64_t>();
  report.capacity_mb_ = body.at("memory_total_mb").to_number<std::int64_t>();
  report.fence_ = body.at("fence").to_number<std::uint64_t>();
  for (const auto& entry : body.at("models").as_array()) {
    const auto& model = entry.as_object();
    report.contents_[{ModelId(Text(model, "name")), Text(model, "version")}] =
        model.at("memory_mb").to_number<std::int64_t>();
  }
  for (const auto& order : body.at("running_orders").as_array()) {
    report.running_.emplace(std::string(order.as_string()));
  }
  for (const auto& order : body.at("finished_orders").as_array()) {
    report.finished_.emplace(Text(order.as_object(), "order_id"));
  }
  return report;
}

}  // namespace

auto ParseServerReport(const TargetId& target, const std::string& body)
    -> std::optional<placement::ServerReport> {
  try {
    return ReadReport(target, json::parse(body).as_object());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

EngineChannel::EngineChannel(boost::asio::io_context& io, TargetId target,
                             TargetEndpoint endpoint)
    : io_(io),
      target_(std::move(target)),
      endpoint_(std::move(endpoint)),
      pool_(std::make_shared<ConnectionPool>(io, 1, kIdleTime)) {}

auto EngineChannel::Poll(OnReport on_report) -> void {
  Call call;
  call.request_.path_ = "/admin/report";
  call.on_answer_ =
      [this, on_report = std::move(on_report)](const TargetResponse* response) {
        auto report = response == nullptr
                          ? std::nullopt
                          : ParseServerReport(target_, response->body_);
        identified_ = report ? report->engine_ : 0;
        on_report(std::move(report));
      };
  Add(std::move(call));
}

auto EngineChannel::Send(const placement::SendOrder& order, OnAnswer on_answer)
    -> void {
  Call call;
  call.engine_ = order.engine_;
  call.request_.method_ = "POST";
  call.request_.path_ = "/admin/orders";
  call.request_.headers_ = {{"Content-Type", "application/json"}};
  call.request_.open_connection_only_ = true;
  call.request_.body_ = json::serialize(
      json::object{{"order_id", order.order_.id_.value()},
                   {"fence", order.order_.fence_},
                   {"kind", placement::ToString(order.order_.kind_)},
                   {"model", order.copy_.model_.value()},
                   {"value", order.copy_.version_},
                   {"memory_mb", order.memory_mb_}});
  call.on_answer_ = [on_answer =
                         std::move(on_answer)](const TargetResponse* response) {
    on_answer(response == nullptr ? placement::OrderAnswer::kLost
              : response->head_.status_ == kStaleFence
                  ? placement::OrderAnswer::kRejected
                  : placement::OrderAnswer::kReceived);
  };
  Add(std::move(call));
}

auto EngineChannel::Add(Call call) -> void {
  call.request_.endpoint_ = endpoint_;
  call.request_.timeouts_ = {kTimeout, kTimeout, kTimeout, kTimeout, kTimeout};
  calls_.push_back(std::move(call));
  if (calls_.size() == 1) {
    StartNext();
  }
}

auto EngineChannel::StartNext() -> void {
  if (calls_.empty()) {
    return;
  }
  auto& call = calls_.front();
  const auto self = shared_from_this();
  if (call.engine_ != 0 && call.engine_ != identified_) {
    boost::asio::post(io_, [self] { self->Finish(nullptr); });
    return;
  }
  StartWholeExchange(
      pool_, std::move(call.request_), kMaxAnswerBytes,
      {[self](const TargetResponse& response) { self->Finish(&response); },
       [self](const AttemptFailure& /*failure*/) { self->Finish(nullptr); }});
}

auto EngineChannel::Finish(const TargetResponse* response) -> void {
  const auto call = std::move(calls_.front());
  calls_.pop_front();
  call.on_answer_(response);
  if (pool_->size() == 0) {
    identified_ = 0;  // the connection is closed
  }
  StartNext();
}

}  // namespace baobab
