#include "baobab_routing/length_predictor.h"

#include <algorithm>

namespace baobab {
namespace {

// About the last 50 requests count; fewer follow bursts of odd lengths.
constexpr float kNewestWeight = 0.02F;
constexpr std::uint16_t kEnough = 8;
constexpr std::uint16_t kCounted = 50;
constexpr double kShortestSeconds = 0.0005;
constexpr double kLeastVariance = 0.01;

// A plain mean of the first observations, then an exponentially weighted one.
auto Blend(float& mean, double value, std::uint16_t count) -> void {
  const float weight =
      std::max(kNewestWeight, 1.0F / (static_cast<float>(count) + 1.0F));
  mean += weight * (static_cast<float>(value) - mean);
}

}  // namespace

auto LengthPredictor::At(ModelIndex model, WorkKind kind) -> Means& {
  if (models_.size() <= model) {
    models_.resize(model + 1);
  }
  return models_[model][static_cast<std::size_t>(kind)];
}

auto LengthPredictor::FirstTokenLine::Slope() const -> double {
  const double variance = xx_ - static_cast<double>(x_) * x_;
  const double covariance = xy_ - static_cast<double>(x_) * y_;
  // Prompts of one length give no slope.
  return variance > kLeastVariance * x_ * x_ + 1
             ? std::max(0.0, covariance / variance)
             : 0;
}

auto LengthPredictor::FirstTokenLine::At(double x) const -> double {
  return std::max(kShortestSeconds, y_ + Slope() * (x - x_));
}

auto LengthPredictor::Predict(ModelIndex model, WorkKind kind,
                              double prompt_tokens) const -> LengthPrediction {
  const auto& common = all_models_[static_cast<std::size_t>(kind)];
  const auto& own = model < models_.size()
                        ? models_[model][static_cast<std::size_t>(kind)]
                        : common;
  const auto& length = own.completions_ >= kEnough ? own : common;
  const auto& start = own.first_token_.count_ >= kEnough ? own.first_token_
                                                         : common.first_token_;
  LengthPrediction prediction;
  prediction.known_ = length.completions_ >= kEnough;
  prediction.tokens_ = std::max(1.0, static_cast<double>(length.tokens_));
  prediction.seconds_ = length.completions_ == 0
                            ? mean_seconds_
                            : static_cast<double>(length.seconds_);
  prediction.first_token_seconds_ =
      start.count_ == 0 ? mean_seconds_ : start.At(prompt_tokens);
  prediction.prompt_token_seconds_ = start.Slope();
  prediction.token_seconds_ = prediction.seconds_ / prediction.tokens_;
  return prediction;
}

auto LengthPredictor::OnFirstToken(ModelIndex model, WorkKind kind,
                                   double prompt_tokens, double seconds)
    -> void {
  for (auto* means :
       {&At(model, kind), &all_models_[static_cast<std::size_t>(kind)]}) {
    auto& line = means->first_token_;
    Blend(line.x_, prompt_tokens, line.count_);
    Blend(line.y_, seconds, line.count_);
    Blend(line.xx_, prompt_tokens * prompt_tokens, line.count_);
    Blend(line.xy_, prompt_tokens * seconds, line.count_);
    line.count_ = std::min<std::uint16_t>(line.count_ + 1, kCounted);
  }
}

auto LengthPredictor::OnComplete(ModelIndex model, WorkKind kind, double tokens,
                                 double seconds) -> void {
  for (auto* means :
       {&At(model, kind), &all_models_[static_cast<std::size_t>(kind)]}) {
    Blend(means->tokens_, tokens, means->completions_);
    Blend(means->seconds_, seconds, means->completions_);
    means->completions_ =
        std::min<std::uint16_t>(means->completions_ + 1, kCounted);
  }
  mean_seconds_ += kNewestWeight * (seconds - mean_seconds_);
}

}  // namespace baobab
