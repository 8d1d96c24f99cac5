#include "admin_client.h"

#include <boost/asio/io_context.hpp>
#include <memory>

#include "baobab_base/step_error.h"
#include "baobab_platform/instance_list_client.h"
#include "baobab_targets/connection_pool.h"
#include "baobab_targets/whole_exchange.h"

namespace baobab::ctl {
namespace {

constexpr std::size_t kLargestAnswer = std::size_t{64} << 20;

auto ToRequest(const TargetEndpoint& endpoint, const DaemonCall& call)
    -> TargetRequest {
  TargetRequest request;
  request.endpoint_ = endpoint;
  request.method_ = call.method_;
  request.path_ = call.path_;
  request.headers_ = call.headers_;
  request.new_connection_ = true;
  request.timeouts_.head_ = std::chrono::seconds(3);
  request.timeouts_.body_ = std::chrono::seconds(3);
  return request;
}

auto Start(const std::shared_ptr<ConnectionPool>& pool, const DaemonCall& call,
           DaemonAnswer& answer) -> void {
  const auto endpoint = ParseEndpoint(answer.address_);
  if (!endpoint) {
    throw StepError("daemon.address", answer.address_,
                    "not an IP address and port");
  }
  WholeEvents events;
  events.on_response_ = [&answer](TargetResponse response) {
    answer.status_ = response.head_.status_;
    answer.body_ = std::move(response.body_);
  };
  events.on_failure_ = [&answer](const AttemptFailure& failure) {
    answer.failure_ = failure.step_ + ": " + failure.reason_;
  };
  StartWholeExchange(pool, ToRequest(*endpoint, call), kLargestAnswer,
                     std::move(events));
}

}  // namespace

auto CallDaemons(const std::vector<std::string>& addresses,
                 const DaemonCall& call) -> std::vector<DaemonAnswer> {
  boost::asio::io_context context;
  const auto pool =
      std::make_shared<ConnectionPool>(context, 0, std::chrono::seconds(1));
  std::vector<DaemonAnswer> answers(addresses.size());
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    answers[i].address_ = addresses[i];
    Start(pool, call, answers[i]);
  }
  context.run();
  return answers;
}

auto FindDaemons(const CommandLine& line) -> std::vector<std::string> {
  auto addresses = line.AdminAddresses();
  if (!addresses.empty()) {
    return addresses;
  }
  const auto list_address = line.InstanceListAddress();
  if (list_address.empty()) {
    throw StepError("daemons", "command line",
                    "--admin or --instances is required");
  }
  boost::asio::io_context context;
  platform::InstanceListResult result;
  {
    platform::InstanceListClient client(context, list_address);
    client.Fetch([&result](platform::InstanceListResult read) {
      result = std::move(read);
    });
    context.run();
  }
  if (result.failure_) {
    throw StepError("instances." + result.failure_->step_, list_address,
                    result.failure_->reason_);
  }
  for (const auto& instance : result.instances_) {
    if (instance.kind_ == platform::InstanceKind::kDaemon &&
        instance.state_ != platform::InstanceState::kEnded &&
        !instance.admin_address_.empty()) {
      addresses.push_back(instance.admin_address_);
    }
  }
  if (addresses.empty()) {
    throw StepError("instances", list_address,
                    "no daemon with an admin_address is listed");
  }
  return addresses;
}

}  // namespace baobab::ctl
