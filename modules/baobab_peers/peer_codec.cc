#include "baobab_peers/peer_codec.h"

#include <boost/describe.hpp>
#include <boost/json.hpp>
#include <boost/mp11.hpp>
#include <chrono>
#include <concepts>
#include <exception>
#include <map>
#include <stdexcept>
#include <type_traits>
#include <utility>

// Descriptions stand in the namespaces of the types, where Boost.Describe
// looks for them.
namespace baobab {
BOOST_DESCRIBE_STRUCT(ProcessId, (), (instance_, incarnation_))
BOOST_DESCRIBE_STRUCT(RosterMember, (), (process_, joined_epoch_))
BOOST_DESCRIBE_STRUCT(RosterEpoch, (), (epoch_, members_))
}  // namespace baobab

namespace baobab::contract {
BOOST_DESCRIBE_STRUCT(ContractPull, (), (known_))
BOOST_DESCRIBE_STRUCT(ContractPush, (), (records_))
}  // namespace baobab::contract

namespace baobab::limits {
BOOST_DESCRIBE_STRUCT(ShareKey, (), (customer_, kind_))
BOOST_DESCRIBE_STRUCT(LoanRequest, (),
                      (key_, sequence_, held_, wanted_, need_, base_,
                       from_broker_))
BOOST_DESCRIBE_STRUCT(LoanAnswer, (), (key_, sequence_, units_, term_, limit_))
}  // namespace baobab::limits

namespace baobab::membership {
BOOST_DESCRIBE_STRUCT(MemberInfo, (),
                      (process_, peer_address_, caller_address_, domain_,
                       region_, state_, applied_epoch_))
BOOST_DESCRIBE_STRUCT(DomainSummary::View, (),
                      (info_, sequence_, liveness_, load_))
BOOST_DESCRIBE_STRUCT(DomainSummary, (), (domain_, hash_, full_, members_))
}  // namespace baobab::membership

namespace baobab::peers {
BOOST_DESCRIBE_STRUCT(HeartbeatMessage, (),
                      (sequence_, info_, contract_highest_, contract_hash_,
                       contract_age_, roster_epoch_, load_, remote_hash_,
                       wants_info_, wants_remote_, wants_roster_))
BOOST_DESCRIBE_STRUCT(Leave, (), (loans_settled_))
BOOST_DESCRIBE_STRUCT(RosterRelay, (), (roster_))
BOOST_DESCRIBE_STRUCT(DomainSummaryMessage, (),
                      (summary_, receiver_hash_, contract_highest_,
                       contract_hash_, contract_age_))
BOOST_DESCRIBE_STRUCT(LoanRequests, (), (requests_))
BOOST_DESCRIBE_STRUCT(LoanAnswers, (), (answers_))
BOOST_DESCRIBE_STRUCT(LoanReturns, (), (requests_))
BOOST_DESCRIBE_STRUCT(OperationOutcomeMessage, (),
                      (customer_, key_, status_, content_type_, body_))
BOOST_DESCRIBE_STRUCT(TargetLeaving, (), (target_, age_))
BOOST_DESCRIBE_STRUCT(StragglerWeight, (), (target_, model_, weight_))
BOOST_DESCRIBE_STRUCT(StragglerWeights, (), (weights_))
BOOST_DESCRIBE_STRUCT(ModelDemand, (),
                      (model_, requests_per_second_, tokens_per_second_))
BOOST_DESCRIBE_STRUCT(DemandSummary, (), (models_))

namespace {

namespace json = boost::json;
namespace describe = boost::describe;

template <class T>
concept StringId = requires(const T& id) {
  { id.value() } -> std::same_as<const std::string&>;
};

template <class T>
using Members = describe::describe_members<T, describe::mod_public>;

// Number of values of an enumeration, to reject others.
template <class T>
constexpr auto EnumSize() -> std::uint64_t {
  if constexpr (std::is_same_v<T, limits::LimitKind>) {
    return limits::kLimitKinds;
  } else if constexpr (std::is_same_v<T, membership::MemberState>) {
    return 3;
  } else {
    static_assert(std::is_same_v<T, membership::Liveness>);
    return 4;
  }
}

// Field name without the trailing underscore.
auto KeyOf(const char* name) -> std::string_view {
  std::string_view key(name);
  key.remove_suffix(1);
  return key;
}

// Unset optional fields and false flags are left out of messages.
auto IsDefault(const json::value& value) -> bool {
  return value.is_null() || (value.is_bool() && !value.get_bool());
}

template <class T>
constexpr bool kMayBeLeftOut = std::is_same_v<T, bool>;
template <class T>
constexpr bool kMayBeLeftOut<std::optional<T>> = true;

template <class T>
auto ToJson(const T& value) -> json::value;

auto ToJson(const std::string& value) -> json::value {
  return json::value(value);
}

auto ToJson(const Duration& value) -> json::value {
  return json::value(value.count());
}

// The record's value is sent in its stored form, so that both readings of it
// stay one.
auto ToJson(const contract::ContractRecord& record) -> json::value {
  return json::object{{"customer", record.customer_.value()},
                      {"revision", record.revision_},
                      {"value", contract::EncodeContractValue(record.value_)}};
}

template <class T>
auto ToJson(const std::optional<T>& value) -> json::value {
  return value ? ToJson(*value) : json::value(nullptr);
}

template <class T>
auto ToJson(const std::vector<T>& values) -> json::value {
  json::array array;
  for (const auto& value : values) {
    array.push_back(ToJson(value));
  }
  return array;
}

auto ToJson(const std::map<CustomerId, Revision>& values) -> json::value {
  json::object object;
  for (const auto& [customer, revision] : values) {
    object[customer.value()] = revision;
  }
  return object;
}

template <class T>
auto ToJson(const T& value) -> json::value {
  if constexpr (StringId<T>) {
    return json::value(value.value());
  } else if constexpr (std::is_enum_v<T>) {
    json::value number(static_cast<std::uint64_t>(value));
    return number;
  } else if constexpr (std::is_arithmetic_v<T>) {
    return json::value(value);
  } else {
    json::object object;
    boost::mp11::mp_for_each<Members<T>>([&](auto member) {
      auto field = ToJson(value.*member.pointer);
      if (!IsDefault(field)) {
        object[KeyOf(member.name)] = std::move(field);
      }
    });
    return object;
  }
}

template <class T>
auto FromJson(const json::value& from, T& to) -> void;

auto FromJson(const json::value& from, std::string& to) -> void {
  to = from.as_string();
}

auto FromJson(const json::value& from, Duration& to) -> void {
  to = Duration(from.to_number<Duration::rep>());
}

auto FromJson(const json::value& from, contract::ContractRecord& to) -> void {
  const auto& object = from.as_object();
  to.customer_ = CustomerId(std::string(object.at("customer").as_string()));
  to.revision_ = object.at("revision").to_number<Revision>();
  auto value = contract::DecodeContractValue(object.at("value").as_string());
  if (!value) {
    throw std::invalid_argument("malformed contract value");
  }
  to.value_ = std::move(*value);
}

template <class T>
auto FromJson(const json::value& from, std::optional<T>& to) -> void {
  if (!from.is_null()) {
    FromJson(from, to.emplace());
  }
}

template <class T>
auto FromJson(const json::value& from, std::vector<T>& to) -> void {
  for (const auto& element : from.as_array()) {
    FromJson(element, to.emplace_back());
  }
}

auto FromJson(const json::value& from, std::map<CustomerId, Revision>& to)
    -> void {
  for (const auto& [customer, revision] : from.as_object()) {
    to[CustomerId(std::string(customer))] = revision.to_number<Revision>();
  }
}

template <class T>
auto FromJson(const json::value& from, T& to) -> void {
  if constexpr (StringId<T>) {
    to = T(std::string(from.as_string()));
  } else if constexpr (std::is_enum_v<T>) {
    const auto number = from.to_number<std::uint64_t>();
    if (number >= EnumSize<T>()) {
      throw std::out_of_range("unknown enumeration value");
    }
    to = static_cast<T>(number);
  } else if constexpr (std::is_same_v<T, bool>) {
    to = from.as_bool();
  } else if constexpr (std::is_arithmetic_v<T>) {
    to = from.to_number<T>();
  } else {
    const auto& object = from.as_object();
    boost::mp11::mp_for_each<Members<T>>([&](auto member) {
      auto& field = to.*member.pointer;
      const auto* found = object.if_contains(KeyOf(member.name));
      if (found != nullptr ||
          !kMayBeLeftOut<std::remove_cvref_t<decltype(field)>>) {
        FromJson(object.at(KeyOf(member.name)), field);
      }
    });
  }
}

// Decodes `from` as the alternative of PeerBody called `type`.
auto BodyFromJson(std::string_view type, const json::value& from) -> PeerBody {
  std::optional<PeerBody> body;
  boost::mp11::mp_for_each<
      boost::mp11::mp_rename<PeerBody, boost::mp11::mp_list>>(
      [&](auto alternative) {
        if (PeerTypeName(PeerBody(alternative)) == type) {
          FromJson(from, alternative);
          body = std::move(alternative);
        }
      });
  if (!body) {
    throw std::invalid_argument("unknown message type");
  }
  return std::move(*body);
}

}  // namespace

auto EncodePeerMessage(const PeerMessage& message) -> std::string {
  return json::serialize(json::object{
      {"v", kPeerVersion},
      {"from", message.from_.instance_.value()},
      {"incarnation", message.from_.incarnation_},
      {"seq", message.sequence_},
      {"type", PeerTypeName(message.body_)},
      {"body", std::visit([](const auto& body) { return ToJson(body); },
                          message.body_)}});
}

auto DecodePeerMessage(std::string_view text) -> std::optional<PeerMessage> {
  try {
    const auto value = json::parse(text);
    const auto& object = value.as_object();
    if (object.at("v").to_number<int>() != kPeerVersion) {
      return std::nullopt;
    }
    PeerMessage message;
    FromJson(object.at("from"), message.from_.instance_);
    FromJson(object.at("incarnation"), message.from_.incarnation_);
    FromJson(object.at("seq"), message.sequence_);
    message.body_ =
        BodyFromJson(object.at("type").as_string(), object.at("body"));
    return message;
  } catch (const std::exception&) {
    // Boost.JSON reports wrong types and missing keys by several exceptions.
    return std::nullopt;
  }
}

}  // namespace baobab::peers
