#include "baobab_gateway/stream_origins.h"

#include <algorithm>
#include <utility>

#include "baobab_base/rendezvous_hash.h"
#include "baobab_base/step_error.h"
#include "baobab_gateway/byte_codec.h"

namespace baobab::gateway {
namespace {

/// First field of an update. Its last character is the version of the encoding.
constexpr std::string_view kMagic = "bbs1";
/// The same for a query.
constexpr std::string_view kQueryMagic = "bbq1";

}  // namespace

auto EncodeStreamOriginQuery(const StreamOriginQuery& query) -> std::string {
  ByteWriter writer;
  writer.WriteString(kQueryMagic);
  writer.WriteString(query.instance_);
  writer.WriteString(query.address_);
  writer.WriteUnsigned(query.ids_.size());
  for (const auto id : query.ids_) {
    writer.WriteUnsigned(id);
  }
  return writer.Take();
}

auto DecodeStreamOriginQuery(std::string_view bytes)
    -> std::optional<StreamOriginQuery> {
  try {
    ByteReader reader(bytes);
    if (reader.ReadString() != kQueryMagic) {
      return std::nullopt;
    }
    StreamOriginQuery query;
    query.instance_ = reader.ReadString();
    query.address_ = reader.ReadString();
    for (auto remaining = reader.ReadCount(); remaining > 0; --remaining) {
      query.ids_.push_back(reader.ReadUnsigned());
    }
    return query;
  } catch (const StepError&) {
    return std::nullopt;  // PeerLink logs and counts it.
  }
}

auto EncodeStreamOrigins(const StreamOriginUpdate& update) -> std::string {
  ByteWriter writer;
  writer.WriteString(kMagic);
  writer.WriteString(update.instance_);
  writer.WriteUnsigned(update.origins_.size());
  for (const auto& origin : update.origins_) {
    writer.WriteString(origin.service_);
    writer.WriteString(origin.version_);
  }
  writer.WriteUnsigned(update.streams_.size());
  for (const auto& stream : update.streams_) {
    writer.WriteUnsigned(stream.id_);
    writer.WriteUnsigned(stream.origin_);
    writer.WriteUnsigned(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(stream.age_)
            .count()));
  }
  return writer.Take();
}

auto DecodeStreamOrigins(std::string_view bytes)
    -> std::optional<StreamOriginUpdate> {
  try {
    ByteReader reader(bytes);
    if (reader.ReadString() != kMagic) {
      return std::nullopt;
    }
    StreamOriginUpdate update;
    update.instance_ = reader.ReadString();
    for (auto remaining = reader.ReadCount(); remaining > 0; --remaining) {
      auto service = reader.ReadString();
      update.origins_.push_back({std::move(service), reader.ReadString()});
    }
    for (auto remaining = reader.ReadCount(); remaining > 0; --remaining) {
      StreamOriginUpdate::Stream stream;
      stream.id_ = reader.ReadUnsigned();
      stream.origin_ = reader.ReadUint32();
      stream.age_ = std::chrono::milliseconds(reader.ReadUint32());
      if (stream.origin_ >= update.origins_.size()) {
        return std::nullopt;
      }
      update.streams_.push_back(stream);
    }
    return update;
  } catch (const StepError&) {
    return std::nullopt;  // PeerLink logs and counts it.
  }
}

auto StreamOrigins::IdOf(std::string_view stream) -> std::uint64_t {
  return HashKey(stream);
}

auto StreamOrigins::Record(const std::string& stream,
                           const SoftwareVersion& origin, TimePoint now)
    -> void {
  Insert(IdOf(stream), origin, now, /*is_own=*/true, now);
}

auto StreamOrigins::Learn(const StreamOriginUpdate& update, TimePoint now)
    -> void {
  for (const auto& stream : update.streams_) {
    if (stream.age_ <= kMaxAge) {
      Insert(stream.id_, update.origins_[stream.origin_], now - stream.age_,
             /*is_own=*/false, now);
    }
  }
}

auto StreamOrigins::Find(const std::string& stream, TimePoint now) const
    -> const SoftwareVersion* {
  const auto found = streams_.find(IdOf(stream));
  return found == streams_.end() || now - found->second.began_at_ > kMaxAge
             ? nullptr
             : found->second.origin_.get();
}

auto StreamOrigins::Lookup(const std::vector<std::uint64_t>& ids,
                           TimePoint now) const -> StreamOriginUpdate {
  StreamOriginUpdate update;
  std::map<const SoftwareVersion*, std::size_t> indexes;
  for (const auto id : ids) {
    const auto found = streams_.find(id);
    if (found != streams_.end() && now - found->second.began_at_ <= kMaxAge &&
        update.streams_.size() < kMaxStreamsInUpdate) {
      Append(update, indexes, id, found->second, now);
    }
  }
  return update;
}

auto StreamOrigins::TakeKeeperUpdate(const std::set<std::string>& mixed,
                                     TimePoint now) -> StreamOriginUpdate {
  Expire(now);
  StreamOriginUpdate update;
  std::map<const SoftwareVersion*, std::size_t> indexes;
  std::deque<std::uint64_t> remaining;
  for (const auto id : keeper_pending_) {
    const auto found = streams_.find(id);
    if (found == streams_.end() ||
        mixed.count(found->second.origin_->service_) > 0) {
      continue;
    }
    if (update.streams_.size() >= kMaxStreamsInUpdate) {
      remaining.push_back(id);
      continue;
    }
    Append(update, indexes, id, found->second, now);
    if (++found->second.keeper_repetitions_ < kKeeperRepetitions) {
      remaining.push_back(id);
    }
  }
  keeper_pending_ = std::move(remaining);
  return update;
}

auto StreamOrigins::TakeUpdate(const std::set<std::string>& mixed,
                               TimePoint now) -> StreamOriginUpdate {
  Expire(now);
  StreamOriginUpdate update;
  std::map<const SoftwareVersion*, std::size_t> indexes;
  std::deque<std::uint64_t> remaining;
  for (const auto id : pending_) {
    const auto found = streams_.find(id);
    if (found == streams_.end()) {
      continue;
    }
    auto& entry = found->second;
    if (mixed.count(entry.origin_->service_) == 0 ||
        update.streams_.size() >= kMaxStreamsInUpdate) {
      remaining.push_back(id);
      continue;
    }
    Append(update, indexes, id, entry, now);
    if (++entry.repetitions_ < kRepetitions) {
      remaining.push_back(id);
    }
  }
  pending_ = std::move(remaining);
  return update;
}

auto StreamOrigins::Append(
    StreamOriginUpdate& update,
    std::map<const SoftwareVersion*, std::size_t>& indexes, std::uint64_t id,
    const Entry& entry, TimePoint now) -> void {
  const auto [index, is_new] =
      indexes.emplace(entry.origin_.get(), update.origins_.size());
  if (is_new) {
    update.origins_.push_back(*entry.origin_);
  }
  update.streams_.push_back({id, index->second, now - entry.began_at_});
}

auto StreamOrigins::OwnSince(TimePoint since,
                             const std::set<std::string>& mixed,
                             TimePoint now) const -> StreamOriginUpdate {
  StreamOriginUpdate update;
  std::map<const SoftwareVersion*, std::size_t> indexes;
  for (auto entry = order_.rbegin();
       entry != order_.rend() && entry->first >= since &&
       update.streams_.size() < kMaxStreamsInUpdate;
       ++entry) {
    const auto found = streams_.find(entry->second);
    if (found != streams_.end() && found->second.is_own_ &&
        mixed.count(found->second.origin_->service_) > 0) {
      Append(update, indexes, entry->second, found->second, now);
    }
  }
  return update;
}

auto StreamOrigins::RepeatAll(TimePoint now) -> void {
  Expire(now);
  pending_.clear();
  for (const auto& [at, id] : order_) {
    const auto found = streams_.find(id);
    if (found != streams_.end() && found->second.is_own_) {
      found->second.repetitions_ = 0;
      pending_.push_back(id);
    }
  }
}

auto StreamOrigins::Insert(std::uint64_t id, const SoftwareVersion& origin,
                           TimePoint began_at, bool is_own, TimePoint now)
    -> void {
  Expire(now);
  if (streams_.count(id) > 0) {
    return;
  }
  if (streams_.size() >= kMaxStreams) {
    streams_.erase(order_.front().second);
    order_.pop_front();
  }
  streams_[id] = {Intern(origin), began_at, is_own, 0, 0};
  order_.emplace_back(now, id);
  if (is_own) {
    pending_.push_back(id);
    keeper_pending_.push_back(id);
    last_own_ = now;
  }
}

auto StreamOrigins::Intern(const SoftwareVersion& origin)
    -> std::shared_ptr<const SoftwareVersion> {
  auto& known = interned_[origin];
  auto shared = known.lock();
  if (!shared) {
    shared = std::make_shared<const SoftwareVersion>(origin);
    known = shared;
  }
  return shared;
}

auto StreamOrigins::Expire(TimePoint now) -> void {
  bool expired = false;
  while (!order_.empty() && now - order_.front().first > kMaxAge) {
    streams_.erase(order_.front().second);
    order_.pop_front();
    expired = true;
  }
  while (!pending_.empty() && streams_.count(pending_.front()) == 0) {
    pending_.pop_front();
  }
  if (expired) {
    std::erase_if(interned_,
                  [](const auto& known) { return known.second.expired(); });
  }
}

}  // namespace baobab::gateway
