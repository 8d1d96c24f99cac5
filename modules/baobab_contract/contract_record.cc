#include "baobab_contract/contract_record.h"

#include <openssl/evp.h>

#include <array>
#include <boost/json.hpp>
#include <cstdint>

#include "baobab_base/step_error.h"

namespace baobab::contract {
namespace {

namespace json = boost::json;

auto Text(const json::object& object, std::string_view key) -> std::string {
  return std::string(object.at(key).as_string());
}

auto EncodeChange(const RecentChange& change) -> json::object {
  return {{"change_id", change.change_id_},
          {"revision", change.revision_},
          {"author", change.author_},
          {"text_digest", change.text_digest_}};
}

auto DecodeChange(const json::object& object) -> RecentChange {
  return {Text(object, "change_id"),
          object.at("revision").to_number<Revision>(), Text(object, "author"),
          Text(object, "text_digest")};
}

auto DecodeObject(const json::object& object) -> ContractValue {
  ContractValue value;
  value.text_ = Text(object, "text");
  value.deleted_ = object.at("deleted").as_bool();
  value.change_id_ = Text(object, "change_id");
  value.author_ = Text(object, "author");
  value.written_at_ = WallTime(std::chrono::milliseconds(
      object.at("written_at_ms").to_number<std::int64_t>()));
  value.note_ = Text(object, "note");
  for (const auto& change : object.at("recent_changes").as_array()) {
    value.recent_changes_.push_back(DecodeChange(change.as_object()));
  }
  return value;
}

}  // namespace

auto ContractKey(const CustomerId& customer) -> std::string {
  return std::string(kContractPrefix) + customer.value();
}

auto CustomerOfKey(std::string_view key) -> std::optional<CustomerId> {
  if (!key.starts_with(kContractPrefix) ||
      key.size() == kContractPrefix.size()) {
    return std::nullopt;
  }
  return CustomerId(std::string(key.substr(kContractPrefix.size())));
}

auto EncodeContractValue(const ContractValue& value) -> std::string {
  json::array changes;
  for (const auto& change : value.recent_changes_) {
    changes.push_back(EncodeChange(change));
  }
  return json::serialize(json::object{
      {"text", value.text_},
      {"deleted", value.deleted_},
      {"change_id", value.change_id_},
      {"author", value.author_},
      {"written_at_ms", value.written_at_.time_since_epoch().count()},
      {"note", value.note_},
      {"recent_changes", std::move(changes)}});
}

auto DecodeContractValue(std::string_view text)
    -> std::optional<ContractValue> {
  try {
    return DecodeObject(json::parse(text).as_object());
  } catch (const std::exception&) {
    // Boost.JSON reports wrong types and missing keys by several exceptions.
    return std::nullopt;
  }
}

auto Sha256Hex(std::string_view text) -> std::string {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  if (EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(),
                 nullptr) != 1) {
    throw StepError("sha256", "openssl", "digest failed");
  }
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (unsigned int i = 0; i < size; ++i) {
    hex += kDigits[digest[i] >> 4U];
    hex += kDigits[digest[i] & 0xFU];
  }
  return hex;
}

auto SuccessorChanges(const ContractRecord& previous)
    -> std::vector<RecentChange> {
  std::vector<RecentChange> changes;
  changes.push_back({previous.value_.change_id_, previous.revision_,
                     previous.value_.author_,
                     Sha256Hex(previous.value_.text_)});
  for (const auto& change : previous.value_.recent_changes_) {
    if (changes.size() == kRecentChanges) {
      break;
    }
    changes.push_back(change);
  }
  return changes;
}

}  // namespace baobab::contract
