#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "baobab_base/work_kind.h"
#include "baobab_routing/target_table.h"

namespace baobab {

/// Predicted course of a request.
struct LengthPrediction {
  double tokens_ = 0;                ///< Tokens of the response.
  double seconds_ = 0;               ///< Slot time, from first token to end.
  double first_token_seconds_ = 0;   ///< From sending to the first token.
  double token_seconds_ = 0;         ///< Time per token after the first.
  bool known_ = false;               ///< Rests on several completed requests.
  double prompt_token_seconds_ = 0;  ///< Time per token of prompt.
};

/// Predicts response length and times per model and work kind from completed
/// requests, by exponentially weighted means. Until a model has enough
/// completions of a kind, the means of the kind over all models stand in.
class LengthPredictor {
 public:
  /// Predicts a request with `prompt_tokens` tokens of prompt that are not
  /// cached at the target. Never returns zero times.
  [[nodiscard]] auto Predict(ModelIndex model, WorkKind kind,
                             double prompt_tokens = 0) const
      -> LengthPrediction;

  /// Takes the time to the first token.
  auto OnFirstToken(ModelIndex model, WorkKind kind, double prompt_tokens,
                    double seconds) -> void;

  /// Takes a completed request: tokens, and seconds from the first token.
  auto OnComplete(ModelIndex model, WorkKind kind, double tokens,
                  double seconds) -> void;

  /// Mean slot time of a request over all models and kinds.
  [[nodiscard]] auto mean_seconds() const -> double { return mean_seconds_; }

 private:
  /// Time to the first token as a line over the prompt tokens that must be
  /// computed (least squares over exponentially weighted moments).
  struct FirstTokenLine {
    float x_ = 0;
    float y_ = 0;
    float xx_ = 0;
    float xy_ = 0;
    std::uint16_t count_ = 0;
    [[nodiscard]] auto Slope() const -> double;
    [[nodiscard]] auto At(double x) const -> double;
  };
  struct Means {
    float tokens_ = 0;
    float seconds_ = 0;
    std::uint16_t completions_ = 0;
    FirstTokenLine first_token_;
  };
  using PerKind = std::array<Means, kWorkKinds>;

  auto At(ModelIndex model, WorkKind kind) -> Means&;

  PerKind all_models_{};
  std::vector<PerKind> models_;
  double mean_seconds_ = 0.1;
};

}  // namespace baobab
