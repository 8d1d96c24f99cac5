#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "baobab_routing/target_selector.h"
#include "baobab_targets/engine_messages.h"
#include "messages.h"

namespace baobab {

/// One try of a completion at one engine.
struct ChatAttempt {
  RouteAttemptId id_ = 0;
  TargetIndex target_ = 0;
  std::string request_id_;  ///< As sent to the engine; unique per attempt.
  std::uint64_t first_offset_ = 0;  ///< Tokens before this attempt.
  TimePoint sent_{};
  Duration hedge_after_{};  ///< Zero if it must not be hedged.
  bool watched_ = false;    ///< By the silence detector, after the first token.
  bool hedged_ = false;
};

/// A caller's completion request from admission to its end.
struct ChatWork {
  std::uint64_t id_ = 0;
  CallerRef caller_;
  CustomerId customer_;
  ChatSummary summary_;
  std::string body_;
  std::string name_;  ///< Identifier that the caller sees in event ids.
  WorkKind kind_ = WorkKind::kShort;
  RouteRequest route_;
  TimePoint arrived_;
  TimePoint deadline_;
  std::uint64_t offset_ = 0;        ///< Tokens that the caller has or was sent.
  std::uint64_t first_offset_ = 0;  ///< Offset at which the caller resumed.
  bool started_ = false;            ///< An attempt was made.
  bool answering_ = false;          ///< A token has arrived.
  bool streaming_ = false;          ///< The head of the stream was sent.
  bool whole_ = false;              ///< The last token has arrived.
  std::string content_;  ///< Collected if the caller wants no stream.
  std::vector<ChatAttempt> attempts_;  ///< More than one while hedged.
  std::vector<TargetIndex> tried_;
  int resumes_ = 0;
  bool caller_blocked_ = false;
};

}  // namespace baobab
