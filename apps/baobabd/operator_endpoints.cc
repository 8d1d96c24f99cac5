#include "operator_endpoints.h"

#include <boost/json.hpp>
#include <chrono>
#include <utility>

#include "baobab_burn/burn_report.h"

namespace baobab {
namespace {

namespace json = boost::json;

auto WallNow() -> WallTime {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

auto DescribeCounts(const burn::BurnTracker& tracker) -> std::string {
  json::array objectives;
  for (const auto& [key, objective] : tracker.objectives()) {
    json::array minutes;
    for (const auto& count : tracker.CountsOf(key)) {
      minutes.push_back(json::array{count.minute_, count.good_, count.bad_});
    }
    objectives.push_back(
        json::object{{"customer", key.customer_.value()},
                     {"kind", std::string(ToString(key.kind_))},
                     {"latency_ms", objective.latency_.count() / 1000},
                     {"target", objective.target_},
                     {"minutes", std::move(minutes)}});
  }
  return json::serialize(json::object{{"objectives", std::move(objectives)}});
}

}  // namespace

OperatorEndpoints::OperatorEndpoints(ControlContext& context,
                                     TargetDirectory& targets,
                                     AdmissionControl& admission,
                                     MembershipController& members,
                                     LimitController& limits,
                                     std::function<void()> begin_drain)
    : context_(context),
      targets_(targets),
      admission_(admission),
      members_(members),
      limits_(limits),
      begin_drain_(std::move(begin_drain)),
      started_(context.Now()) {}

auto OperatorEndpoints::Handle(const RequestArrived& arrived) -> bool {
  return HandleHealth(arrived) ||
         (arrived.caller_.admin_ && HandleAdmin(arrived));
}

auto OperatorEndpoints::HandleHealth(const RequestArrived& arrived) -> bool {
  const auto& path = arrived.request_.path_;
  if (arrived.request_.method_ != "GET") {
    return false;
  }
  if (path == "/healthz") {
    context_.ReplyJson(arrived.caller_, R"({"status":"alive"})");
  } else if (path == "/readyz") {
    ReplyReady(arrived.caller_);
  } else if (path == "/metrics") {
    HttpResponse response;
    response.content_type_ = "text/plain; version=0.0.4";
    response.body_ = context_.metrics_.Render();
    context_.Reply(arrived.caller_, std::move(response));
  } else {
    return false;
  }
  return true;
}

auto OperatorEndpoints::HandleAdmin(const RequestArrived& arrived) -> bool {
  const auto& [method, path] =
      std::tie(arrived.request_.method_, arrived.request_.path_);
  if (method == "GET" && path == "/admin/status") {
    ReplyStatus(arrived.caller_);
  } else if (method == "GET" && path == "/admin/targets") {
    context_.ReplyJson(arrived.caller_, targets_.Describe());
  } else if (method == "GET" && path == "/admin/burn") {
    context_.ReplyJson(arrived.caller_,
                       arrived.request_.query_ == "format=report"
                           ? burn::BurnReport(burn_, WallNow()).ToJson()
                           : DescribeCounts(burn_));
  } else if (method == "POST" && path == "/admin/drain") {
    begin_drain_();
    HttpResponse response;
    response.status_ = 202;
    response.body_ = R"({"state":"draining"})";
    context_.Reply(arrived.caller_, std::move(response));
  } else {
    return false;
  }
  return true;
}

auto OperatorEndpoints::ReplyReady(const CallerRef& caller) -> void {
  const bool ready = members_.IsReady() && !context_.draining_;
  HttpResponse response;
  response.status_ = ready ? 200 : 503;
  response.body_ = json::serialize(json::object{
      {"state", context_.draining_ ? "draining"
                : ready            ? "ready"
                                   : "starting"},
      {"contracts_stale", context_.contracts_.IsStale(context_.Now())}});
  context_.Reply(caller, std::move(response));
}

auto OperatorEndpoints::DescribeContracts() const -> std::string {
  json::array list;
  for (const auto& [customer, revision] : context_.contracts_.Revisions()) {
    const auto* record = context_.contracts_.ActiveRecord(customer);
    json::object entry{{"customer", customer.value()},
                       {"newest_revision", revision}};
    if (record != nullptr) {
      const auto& value = record->value_;
      entry["active_revision"] = record->revision_;
      entry["deleted"] = value.deleted_;
      entry["change_id"] = value.change_id_;
      entry["author"] = value.author_;
      entry["written_at_ms"] = value.written_at_.time_since_epoch().count();
      entry["note"] = value.note_;
    }
    const auto faults = context_.contracts_.Faults(customer);
    if (!faults.empty()) {
      entry["faults"] = contract::FormatFaults(faults);
    }
    list.push_back(std::move(entry));
  }
  return json::serialize(list);
}

auto OperatorEndpoints::ReplyStatus(const CallerRef& caller) -> void {
  const auto now = context_.Now();
  const auto& digest = context_.contracts_.digest();
  json::object body{
      {"instance", context_.self_.instance_.value()},
      {"incarnation", std::to_string(context_.self_.incarnation_)},
      {"region", context_.settings_.region_.value()},
      {"failure_domain", context_.settings_.failure_domain_.value()},
      {"version", BAOBAB_VERSION},
      {"state", context_.draining_   ? "draining"
                : members_.IsReady() ? "ready"
                                     : "starting"},
      {"uptime_ms",
       std::chrono::duration_cast<std::chrono::milliseconds>(now - started_)
           .count()},
      {"waiting_requests", admission_.waiting()},
      {"running_requests", admission_.running()},
      {"contracts_stale", context_.contracts_.IsStale(now)},
      {"contracts_highest_revision", digest.highest_},
      {"membership", json::parse(members_.Describe())},
      {"limits", json::parse(limits_.Describe())},
      {"contracts", json::parse(DescribeContracts())}};
  if (const auto age = context_.contracts_.Age(now)) {
    body["contracts_age_ms"] = age->count() / 1000;
  }
  context_.ReplyJson(caller, json::serialize(body));
}

}  // namespace baobab
