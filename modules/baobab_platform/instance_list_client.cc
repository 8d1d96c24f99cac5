#include "baobab_platform/instance_list_client.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <utility>

#include "baobab_base/step_error.h"
#include "baobab_targets/connection_pool.h"
#include "baobab_targets/whole_exchange.h"

namespace baobab::platform {
namespace {

namespace json = boost::json;

constexpr std::size_t kLargestList = std::size_t{16} << 20;
constexpr unsigned kOk = 200;

auto Text(const json::object& object, json::string_view name) -> std::string {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

auto ToKind(const std::string& name) -> std::optional<InstanceKind> {
  if (name == "daemon") {
    return InstanceKind::kDaemon;
  }
  if (name == "engine") {
    return InstanceKind::kEngine;
  }
  return name == "service" ? std::optional(InstanceKind::kService)
                           : std::nullopt;
}

auto ToState(const std::string& name) -> std::optional<InstanceState> {
  if (name == "live") {
    return InstanceState::kLive;
  }
  if (name == "leaving") {
    return InstanceState::kLeaving;
  }
  return name == "ended" ? std::optional(InstanceState::kEnded) : std::nullopt;
}

auto ToInstance(const json::object& object) -> std::optional<ListedInstance> {
  const auto kind = ToKind(Text(object, "kind"));
  const auto state = ToState(Text(object, "state"));
  ListedInstance instance;
  instance.id_ = InstanceId(Text(object, "id"));
  if (!kind || !state || instance.id_.empty()) {
    return std::nullopt;
  }
  instance.kind_ = *kind;
  instance.state_ = *state;
  instance.address_ = Text(object, "address");
  instance.admin_address_ = Text(object, "admin_address");
  instance.peer_address_ = Text(object, "peer_address");
  instance.region_ = Region(Text(object, "region"));
  instance.failure_domain_ = FailureDomain(Text(object, "failure_domain"));
  return instance;
}

}  // namespace

auto ParseInstanceList(std::string_view body)
    -> std::optional<std::vector<ListedInstance>> {
  boost::system::error_code error;
  const auto value = json::parse({body.data(), body.size()}, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  const auto* list = value.get_object().if_contains("instances");
  if (list == nullptr || !list->is_array()) {
    return std::nullopt;
  }
  std::vector<ListedInstance> instances;
  for (const auto& entry : list->get_array()) {
    if (const auto* object = entry.if_object()) {
      if (auto instance = ToInstance(*object)) {
        instances.push_back(std::move(*instance));
      }
    }
  }
  return instances;
}

/// Keeps itself alive while a call or the timer is pending.
class InstanceListClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  using OnList = std::function<void(InstanceListResult)>;

  Impl(boost::asio::io_context& context, TargetEndpoint endpoint)
      : pool_(std::make_shared<ConnectionPool>(context, 1,
                                               std::chrono::seconds(30))),
        endpoint_(std::move(endpoint)),
        timer_(context) {}

  auto Fetch(const OnList& on_list) -> void {
    TargetRequest request;
    request.endpoint_ = endpoint_;
    request.path_ = "/v1/instances";
    request.timeouts_.head_ = std::chrono::seconds(2);
    request.timeouts_.body_ = std::chrono::seconds(2);
    WholeEvents events;
    events.on_response_ = [self = shared_from_this(),
                           on_list](const TargetResponse& response) {
      on_list(self->ToResult(response));
    };
    events.on_failure_ = [on_list](const AttemptFailure& failure) {
      on_list(
          {StoreFailure{failure.step_, failure.peer_, failure.reason_}, {}});
    };
    StartWholeExchange(pool_, std::move(request), kLargestList,
                       std::move(events));
  }

  auto Poll(Duration interval, const OnList& on_list) -> void {
    if (stopped_) {
      return;
    }
    Fetch([weak = weak_from_this(), on_list](InstanceListResult result) {
      const auto self = weak.lock();
      if (self && !self->stopped_) {
        on_list(std::move(result));
      }
    });
    timer_.expires_after(interval);
    timer_.async_wait([self = shared_from_this(), interval,
                       on_list](const boost::system::error_code& error) {
      if (!error) {
        self->Poll(interval, on_list);
      }
    });
  }

  auto Stop() -> void {
    stopped_ = true;
    timer_.cancel();
  }

 private:
  auto ToResult(const TargetResponse& response) const -> InstanceListResult {
    const auto status = response.head_.status_;
    auto instances =
        status == kOk ? ParseInstanceList(response.body_) : std::nullopt;
    if (instances) {
      return {std::nullopt, std::move(*instances)};
    }
    return {StoreFailure{"decode", endpoint_.ToString(),
                         "no list, status " + std::to_string(status)},
            {}};
  }

  std::shared_ptr<ConnectionPool> pool_;
  TargetEndpoint endpoint_;
  boost::asio::steady_timer timer_;
  bool stopped_ = false;
};

InstanceListClient::InstanceListClient(boost::asio::io_context& context,
                                       const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    throw StepError("instances.address", address, "not an IP address and port");
  }
  impl_ = std::make_shared<Impl>(context, *endpoint);
}

InstanceListClient::~InstanceListClient() { impl_->Stop(); }

auto InstanceListClient::Fetch(
    const std::function<void(InstanceListResult)>& on_list) -> void {
  impl_->Fetch(on_list);
}

auto InstanceListClient::Poll(
    Duration interval, const std::function<void(InstanceListResult)>& on_list)
    -> void {
  impl_->Poll(interval, on_list);
}

}  // namespace baobab::platform
