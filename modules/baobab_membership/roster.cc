#include "baobab_membership/roster.h"

#include <algorithm>
#include <boost/json.hpp>
#include <exception>
#include <utility>

namespace baobab::membership {
namespace {

namespace json = boost::json;

auto DecodeMember(const json::object& object) -> RosterMember {
  return {{InstanceId(std::string(object.at("instance").as_string())),
           object.at("incarnation").to_number<Incarnation>()},
          object.at("joined_epoch").to_number<std::uint64_t>()};
}

}  // namespace

auto EncodeRoster(const RosterEpoch& roster) -> std::string {
  json::array members;
  for (const auto& member : roster.members_) {
    members.push_back(
        json::object{{"instance", member.process_.instance_.value()},
                     {"incarnation", member.process_.incarnation_},
                     {"joined_epoch", member.joined_epoch_}});
  }
  return json::serialize(
      json::object{{"epoch", roster.epoch_}, {"members", std::move(members)}});
}

auto DecodeRoster(std::string_view text) -> std::optional<RosterEpoch> {
  try {
    const auto value = json::parse(text);
    const auto& object = value.as_object();
    RosterEpoch roster{object.at("epoch").to_number<std::uint64_t>(), {}};
    for (const auto& member : object.at("members").as_array()) {
      roster.members_.push_back(DecodeMember(member.as_object()));
    }
    return roster;
  } catch (const std::exception&) {
    // Boost.JSON reports wrong types and missing keys by several exceptions.
    return std::nullopt;
  }
}

auto Roster::Learn(const RosterEpoch& roster) -> bool {
  if (roster.epoch_ <= current_.epoch_) {
    return false;
  }
  current_ = roster;
  std::erase_if(joining_,
                [&](const auto& process) { return Contains(process); });
  const auto gone = [&](const ProcessId& process) {
    return !Contains(process);
  };
  std::erase_if(left_, gone);
  std::erase_if(ended_, [&](const auto& item) { return gone(item.first); });
  return true;
}

auto Roster::RequestJoin(const ProcessId& process) -> void {
  if (!Contains(process)) {
    joining_.insert(process);
  }
}

auto Roster::OnLeft(const ProcessId& process) -> void {
  joining_.erase(process);
  if (Contains(process)) {
    left_.insert(process);
  }
}

auto Roster::OnEnded(const ProcessId& process, TimePoint now) -> void {
  joining_.erase(process);
  if (Contains(process)) {
    ended_.try_emplace(process, now);
  }
}

auto Roster::Propose(TimePoint now) const -> std::optional<RosterEpoch> {
  RosterEpoch next{current_.epoch_ + 1, {}};
  for (const auto& member : current_.members_) {
    if (!IsRemovable(member.process_, now)) {
      next.members_.push_back(member);
    }
  }
  const auto removed = next.members_.size() < current_.members_.size();
  for (const auto& process : joining_) {
    next.members_.push_back({process, next.epoch_});
  }
  if (!removed && joining_.empty()) {
    return std::nullopt;
  }
  return next;
}

auto Roster::IsRemovable(const ProcessId& process, TimePoint now) const
    -> bool {
  if (left_.contains(process)) {
    return true;
  }
  const auto ended = ended_.find(process);
  return ended != ended_.end() && now - ended->second >= loan_horizon_;
}

auto Roster::Contains(const ProcessId& process) const -> bool {
  return std::ranges::any_of(current_.members_, [&](const auto& member) {
    return member.process_ == process;
  });
}

}  // namespace baobab::membership
