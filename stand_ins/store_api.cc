#include "stand_ins/store_api.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <utility>
#include <vector>

#include "baobab_platform/base64.h"
#include "stand_ins/json_fields.h"

namespace baobab::stand_in {

namespace json = boost::json;

namespace {

// gRPC status codes that the gateway reports.
constexpr int kInvalidArgument = 3;
constexpr int kNotFound = 5;
constexpr int kResourceExhausted = 8;
constexpr int kUnavailable = 14;

auto Error(unsigned status, int code, std::string_view message) -> ApiAnswer {
  json::object body{{"error", message}, {"code", code}, {"message", message}};
  return {status, json::serialize(body), false, {}};
}

auto Bytes(const json::object& object, std::string_view name) -> std::string {
  return platform::Base64Decode(TextField(object, name)).value_or("");
}

auto Header(const KeyValueStore& store) -> json::object {
  return {{"cluster_id", "1"},
          {"member_id", "1"},
          {"revision", std::to_string(store.revision())},
          {"raft_term", "1"}};
}

auto ToJson(const KeyValue& kv) -> json::object {
  json::object object{{"key", platform::Base64Encode(kv.key_)},
                      {"mod_revision", std::to_string(kv.mod_revision_)}};
  // The gateway omits members that hold the default value.
  if (kv.version_ != 0) {
    object["create_revision"] = std::to_string(kv.create_revision_);
    object["version"] = std::to_string(kv.version_);
  }
  if (!kv.value_.empty()) {
    object["value"] = platform::Base64Encode(kv.value_);
  }
  if (kv.lease_ != 0) {
    object["lease"] = std::to_string(kv.lease_);
  }
  return object;
}

auto ToJson(const OperationResult& result, const json::object& header)
    -> json::object {
  json::object object{{"header", header}};
  if (result.kind_ == StoreOperation::Kind::kDelete) {
    object["deleted"] = std::to_string(result.count_);
  } else if (result.kind_ == StoreOperation::Kind::kRange &&
             result.count_ != 0) {
    json::array kvs;
    for (const auto& kv : result.kvs_) {
      kvs.push_back(ToJson(kv));
    }
    object["kvs"] = std::move(kvs);
    object["count"] = std::to_string(result.count_);
    if (result.kvs_.size() < result.count_) {
      object["more"] = true;
    }
  }
  return object;
}

auto ToOperation(StoreOperation::Kind kind, const json::object& object)
    -> StoreOperation {
  StoreOperation operation;
  operation.kind_ = kind;
  operation.key_ = Bytes(object, "key");
  operation.range_end_ = Bytes(object, "range_end");
  operation.value_ = Bytes(object, "value");
  operation.lease_ = NumberField(object, "lease");
  operation.limit_ = static_cast<std::size_t>(NumberField(object, "limit"));
  return operation;
}

auto ToOperations(const json::object& request, std::string_view name)
    -> std::vector<StoreOperation> {
  using Kind = StoreOperation::Kind;
  constexpr std::pair<const char*, Kind> kNames[] = {
      {"request_range", Kind::kRange},
      {"request_put", Kind::kPut},
      {"request_delete_range", Kind::kDelete}};
  std::vector<StoreOperation> operations;
  const auto* list = request.if_contains(name);
  if (list == nullptr || !list->is_array()) {
    return operations;
  }
  for (const auto& entry : list->get_array()) {
    for (const auto& [field, kind] : kNames) {
      const auto* body =
          entry.is_object() ? entry.get_object().if_contains(field) : nullptr;
      if (body != nullptr && body->is_object()) {
        operations.push_back(ToOperation(kind, body->get_object()));
      }
    }
  }
  return operations;
}

auto ToCompare(const json::object& object) -> Compare {
  Compare compare;
  compare.key_ = Bytes(object, "key");
  const auto target = TextField(object, "target");
  const auto relation = TextField(object, "result");
  if (target == "MOD") {
    compare.target_ = Compare::Target::kMod;
    compare.number_ = NumberField(object, "mod_revision");
  } else if (target == "CREATE") {
    compare.target_ = Compare::Target::kCreate;
    compare.number_ = NumberField(object, "create_revision");
  } else if (target == "LEASE") {
    compare.target_ = Compare::Target::kLease;
    compare.number_ = NumberField(object, "lease");
  } else {
    compare.number_ = NumberField(object, "version");
  }
  compare.relation_ = relation == "GREATER"     ? Compare::Relation::kGreater
                      : relation == "LESS"      ? Compare::Relation::kLess
                      : relation == "NOT_EQUAL" ? Compare::Relation::kNotEqual
                                                : Compare::Relation::kEqual;
  return compare;
}

auto IsWrite(const std::string& path) -> bool {
  return path != "/v3/kv/range" && path != "/v3/watch";
}

auto Milliseconds(std::int64_t count) -> Duration {
  return std::chrono::milliseconds(count);
}

}  // namespace

auto CallBudget::Take(TimePoint now) -> bool {
  const std::chrono::duration<double> passed = now - last_;
  tokens_ = std::min(rate_, tokens_ + passed.count() * rate_);
  last_ = now;
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

StoreApi::StoreApi(StoreLimits limits)
    : limits_(limits),
      writes_(limits.writes_per_second_),
      reads_(limits.reads_per_second_) {}

auto StoreApi::Handle(const std::string& path, std::string_view body,
                      TimePoint now) -> ApiAnswer {
  ++calls_[path];
  store_.ExpireLeases(now);
  if (IsOut(now)) {
    return Error(503, kUnavailable, "etcdserver: no leader");
  }
  if (!(IsWrite(path) ? writes_ : reads_).Take(now)) {
    return Error(429, kResourceExhausted, "etcdserver: too many requests");
  }
  auto answer = Execute(path, body, now);
  if (now < slow_until_) {
    answer.delay_ = slow_;
  }
  if (IsWrite(path) && lost_answers_ > 0) {
    --lost_answers_;
    answer.lost_ = true;
  }
  return answer;
}

auto StoreApi::Execute(const std::string& path, std::string_view body,
                       TimePoint now) -> ApiAnswer {
  if (path == "/v3/kv/txn") {
    return Transaction(body);
  }
  if (path.rfind("/v3/kv/", 0) == 0) {
    return Keys(path, body);
  }
  if (path.rfind("/v3/lease/", 0) == 0) {
    return Leases(path, body, now);
  }
  return Error(404, kNotFound, "Not Found");
}

auto StoreApi::Keys(const std::string& path, std::string_view body)
    -> ApiAnswer {
  using Kind = StoreOperation::Kind;
  const bool put = path == "/v3/kv/put";
  const auto operation = ToOperation(
      put ? Kind::kPut
          : (path == "/v3/kv/deleterange" ? Kind::kDelete : Kind::kRange),
      ParseObject(body));
  if (operation.key_.empty()) {
    return Error(400, kInvalidArgument, "etcdserver: key is not provided");
  }
  if (operation.value_.size() > limits_.value_bytes_) {
    return Error(400, kInvalidArgument, "etcdserver: request is too large");
  }
  const auto result = store_.Txn({}, {operation}, {});
  if (!result) {
    return Error(404, kNotFound, "etcdserver: requested lease not found");
  }
  return {200,
          json::serialize(ToJson(result->results_.front(), Header(store_))),
          false,
          {}};
}

auto StoreApi::Transaction(std::string_view body) -> ApiAnswer {
  const auto request = ParseObject(body);
  std::vector<Compare> compares;
  if (const auto* list = request.if_contains("compare");
      list != nullptr && list->is_array()) {
    for (const auto& entry : list->get_array()) {
      compares.push_back(ToCompare(entry.as_object()));
    }
  }
  const auto success = ToOperations(request, "success");
  const auto failure = ToOperations(request, "failure");
  if (std::any_of(success.begin(), success.end(), [this](const auto& o) {
        return o.value_.size() > limits_.value_bytes_;
      })) {
    return Error(400, kInvalidArgument, "etcdserver: request is too large");
  }
  const auto result = store_.Txn(compares, success, failure);
  if (!result) {
    return Error(404, kNotFound, "etcdserver: requested lease not found");
  }
  json::array responses;
  const auto header = Header(store_);
  for (const auto& one : result->results_) {
    using Kind = StoreOperation::Kind;
    const char* name = one.kind_ == Kind::kRange ? "response_range"
                       : one.kind_ == Kind::kPut ? "response_put"
                                                 : "response_delete_range";
    responses.push_back(json::object{{name, ToJson(one, header)}});
  }
  json::object answer{{"header", header}, {"responses", std::move(responses)}};
  if (result->succeeded_) {
    answer["succeeded"] = true;
  }
  return {200, json::serialize(answer), false, {}};
}

auto StoreApi::Leases(const std::string& path, std::string_view body,
                      TimePoint now) -> ApiAnswer {
  const auto request = ParseObject(body);
  const auto id = NumberField(request, "ID");
  json::object answer{{"header", Header(store_)}, {"ID", std::to_string(id)}};
  if (path == "/v3/lease/grant") {
    const auto ttl = std::chrono::seconds(NumberField(request, "TTL", 1));
    answer["ID"] = std::to_string(store_.GrantLease(id, ttl, now));
    answer["TTL"] = std::to_string(ttl.count());
  } else if (path == "/v3/lease/keepalive") {
    // The gateway wraps messages of a streaming call, and omits the TTL of a
    // lease that does not exist.
    if (const auto ttl = store_.KeepAlive(id, now)) {
      const auto whole = std::chrono::duration_cast<std::chrono::seconds>(*ttl);
      answer["TTL"] = std::to_string(whole.count());
    }
    answer = json::object{{"result", std::move(answer)}};
  } else if (!store_.RevokeLease(id)) {
    return Error(404, kNotFound, "etcdserver: requested lease not found");
  }
  return {200, json::serialize(answer), false, {}};
}

auto StoreApi::BeginWatch(std::string_view body, TimePoint now)
    -> std::optional<Watch> {
  ++calls_["/v3/watch"];
  if (IsOut(now) || !reads_.Take(now)) {
    return std::nullopt;
  }
  const auto request = ParseObject(body);
  const auto* create = request.if_contains("create_request");
  if (create == nullptr || !create->is_object()) {
    return std::nullopt;
  }
  const auto& fields = create->get_object();
  Watch watch;
  watch.key_ = Bytes(fields, "key");
  watch.range_end_ = Bytes(fields, "range_end");
  const auto from = NumberField(fields, "start_revision");
  watch.next_ = from == 0 ? store_.revision() + 1 : from;
  return watch;
}

auto StoreApi::WatchCreated() const -> std::string {
  json::object result{{"header", Header(store_)}, {"created", true}};
  return json::serialize(json::object{{"result", std::move(result)}}) + "\n";
}

auto StoreApi::NextWatchMessage(Watch& watch) const -> std::string {
  const auto events =
      store_.EventsFrom(watch.next_, watch.key_, watch.range_end_);
  json::object result{{"header", Header(store_)}};
  if (!events) {
    watch.compacted_ = true;
    result["canceled"] = true;
    result["compact_revision"] = std::to_string(store_.compact_revision());
  } else if (events->empty()) {
    return "";
  } else {
    json::array list;
    for (const auto& event : *events) {
      json::object one{{"kv", ToJson(event.kv_)}};
      if (event.deleted_) {
        one["type"] = "DELETE";
      }
      list.push_back(std::move(one));
    }
    result["events"] = std::move(list);
    watch.next_ = store_.revision() + 1;
  }
  return json::serialize(json::object{{"result", std::move(result)}}) + "\n";
}

auto StoreApi::SetFault(std::string_view body, TimePoint now) -> void {
  const auto fault = ParseObject(body);
  if (fault.contains("outage_ms")) {
    outage_until_ = now + Milliseconds(NumberField(fault, "outage_ms"));
  }
  if (fault.contains("slow_ms")) {
    slow_ = Milliseconds(NumberField(fault, "slow_ms"));
    slow_until_ = now + Milliseconds(NumberField(fault, "slow_for_ms", 10000));
  }
  lost_answers_ = NumberField(fault, "lost_answers", lost_answers_);
}

auto StoreApi::Calls() const -> std::string {
  json::object counts;
  for (const auto& [path, count] : calls_) {
    counts[path] = count;
  }
  return json::serialize(counts);
}

}  // namespace baobab::stand_in
