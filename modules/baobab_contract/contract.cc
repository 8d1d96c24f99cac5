#include "baobab_contract/contract.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <map>
#include <string_view>

namespace baobab::contract {
namespace {

auto Quoted(std::string_view text) -> std::string {
  std::string quoted = "\"";
  for (const char character : text) {
    const auto code = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      quoted += '\\';
      quoted += character;
    } else if (code < 0x20 || code == 0x7f) {
      std::array<char, 8> escape{};
      std::snprintf(escape.data(), escape.size(), "\\u%04X", code);
      quoted += escape.data();
    } else {
      quoted += character;
    }
  }
  return quoted + '"';
}

// Shortest text that parses to the same number and is a TOML float.
auto FloatText(double value) -> std::string {
  std::array<char, 32> buffer{};
  const auto end =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
  std::string text(buffer.data(), end.ptr);
  return text.find_first_of(".e") == std::string::npos ? text + ".0" : text;
}

template <class Names, class Text>
auto QuotedList(const Names& names, Text text) -> std::string {
  std::string list = "[";
  for (const auto& name : names) {
    list += (list.size() > 1 ? ", " : "") + Quoted(text(name));
  }
  return list + "]";
}

auto AdapterList(const ContractModel& model) -> std::string {
  return QuotedList(model.adapters_,
                    [](const AdapterId& id) { return id.value(); });
}

auto KeyList(const Contract& contract) -> std::string {
  return QuotedList(contract.key_digests_,
                    [](const std::string& digest) { return digest; });
}

auto LimitFields(const ContractLimits& limits)
    -> std::vector<std::pair<std::string, std::string>> {
  return {
      {"requests_per_second", std::to_string(limits.requests_per_second_)},
      {"concurrent_requests", std::to_string(limits.concurrent_requests_)},
      {"tokens_per_second", std::to_string(limits.tokens_per_second_)},
      {"concurrent_bookings", std::to_string(limits.concurrent_bookings_)},
      {"max_duration_ms", std::to_string(limits.max_duration_.count())},
  };
}

// Every field of a contract by its path, as it appears in a difference.
auto Fields(const Contract& contract) -> std::map<std::string, std::string> {
  std::map<std::string, std::string> fields;
  fields["customer"] = Quoted(contract.customer_.value());
  fields["note"] = Quoted(contract.note_);
  fields["weight"] = std::to_string(contract.weight_);
  fields["keys.sha256"] = KeyList(contract);
  for (const auto& [name, value] : LimitFields(contract.limits_)) {
    fields["limits." + name] = value;
  }
  for (const auto& model : contract.models_) {
    const auto path = "models." + model.name_.value();
    fields[path + ".adapters"] = AdapterList(model);
    fields[path + ".memory_mb"] = std::to_string(model.memory_mb_);
  }
  for (const auto& service : contract.services_) {
    fields["services." + service.name_ + ".idempotent"] =
        service.idempotent_ ? "true" : "false";
  }
  for (const auto& objective : contract.objectives_) {
    const auto path = "objectives." + std::string(ToString(objective.kind_));
    fields[path + ".latency_ms"] = std::to_string(objective.latency_.count());
    fields[path + ".target"] = FloatText(objective.target_);
  }
  return fields;
}

auto HeadText(const Contract& contract) -> std::string {
  std::string text = "customer = " + Quoted(contract.customer_.value()) + "\n";
  text += "note = " + Quoted(contract.note_) + "\n";
  text += "weight = " + std::to_string(contract.weight_) + "\n";
  text += "\n[keys]\nsha256 = " + KeyList(contract) + "\n\n[limits]\n";
  for (const auto& [name, value] : LimitFields(contract.limits_)) {
    text.append(name).append(" = ").append(value).append("\n");
  }
  return text;
}

}  // namespace

auto CanonicalText(const Contract& contract) -> std::string {
  auto text = HeadText(contract);
  for (const auto& model : contract.models_) {
    text += "\n[[models]]\nname = " + Quoted(model.name_.value());
    text += "\nadapters = " + AdapterList(model);
    text += "\nmemory_mb = " + std::to_string(model.memory_mb_) + "\n";
  }
  for (const auto& service : contract.services_) {
    text += "\n[[services]]\nname = " + Quoted(service.name_);
    text += "\nidempotent = ";
    text += service.idempotent_ ? "true\n" : "false\n";
  }
  for (const auto& objective : contract.objectives_) {
    text += "\n[[objectives]]\nkind = ";
    text += Quoted(ToString(objective.kind_));
    text += "\nlatency_ms = " + std::to_string(objective.latency_.count());
    text += "\ntarget = " + FloatText(objective.target_) + "\n";
  }
  return text;
}

auto DiffContracts(const Contract& before, const Contract& after)
    -> std::vector<ContractDifference> {
  const auto old_fields = Fields(before);
  const auto new_fields = Fields(after);
  std::vector<ContractDifference> differences;
  for (const auto& [field, value] : old_fields) {
    const auto found = new_fields.find(field);
    if (found == new_fields.end()) {
      differences.push_back({field, value, ""});
    } else if (found->second != value) {
      differences.push_back({field, value, found->second});
    }
  }
  for (const auto& [field, value] : new_fields) {
    if (!old_fields.contains(field)) {
      differences.push_back({field, "", value});
    }
  }
  std::ranges::sort(differences, {}, &ContractDifference::field_);
  return differences;
}

}  // namespace baobab::contract
