#include "workload.h"

#include <algorithm>
#include <cmath>

#include "server_model.h"

namespace baobab::bench {
namespace {

constexpr std::uint32_t kBlockTokens = 500;
constexpr double kLengthSigma = 0.6;  // a few run several times longer

auto DrawType(const Deployment& deployment, bool with_long, Random& random)
    -> const RequestType& {
  std::vector<double> parts;
  for (const auto& type : deployment.types_) {
    const bool left_out = !with_long && type.kind_ == WorkKind::kLong;
    parts.push_back(left_out ? 0 : type.part_);
  }
  std::discrete_distribution<std::size_t> draw(parts.begin(), parts.end());
  return deployment.types_[draw(random)];
}

// Popularity of models and shared prompts falls with their number.
auto DrawSkewed(std::size_t count, Random& random) -> std::size_t {
  const double u = std::uniform_real_distribution<double>(0, 1)(random);
  return std::min(
      count - 1,
      static_cast<std::size_t>(std::pow(u, 1.5) * static_cast<double>(count)));
}

}  // namespace

auto Ramcharan() -> Deployment {
  return {"ramcharan",
          12,
          2,
          20,
          6,
          6,
          {{WorkKind::kShort, 0.45, 200, 60, 0},
           {WorkKind::kLookup, 0.25, 100, 8, 0},
           {WorkKind::kShort, 0.20, 3000, 40, 20},
           {WorkKind::kLong, 0.10, 3000, 600, 20}}};
}

auto Cascade() -> Deployment {
  return {"cascade",
          18,
          3,
          30,
          9,
          6,
          {{WorkKind::kLookup, 0.45, 100, 8, 0},
           {WorkKind::kShort, 0.25, 200, 60, 0},
           {WorkKind::kShort, 0.20, 6000, 60, 12},
           {WorkKind::kLong, 0.10, 1000, 800, 0}}};
}

auto MeanServiceSeconds(const Deployment& deployment, bool with_long)
    -> double {
  const ServerParameters parameters;
  double seconds = 0;
  for (const auto& type : deployment.types_) {
    if (with_long || type.kind_ != WorkKind::kLong) {
      const double misses = type.shared_ > 0 ? 0.3 : 1;
      seconds += type.part_ *
                 (type.prompt_tokens_ * parameters.prefill_seconds_ * misses +
                  type.response_tokens_ * parameters.token_seconds_ *
                      (1 + 0.6 * parameters.batch_slowdown_));
    }
  }
  return seconds;
}

auto DrawItem(const Deployment& deployment, bool with_long, Random& random)
    -> WorkItem {
  const auto& type = DrawType(deployment, with_long, random);
  const auto model = DrawSkewed(deployment.models_, random);
  WorkItem item;
  item.route_.model_ = ModelId("model-" + std::to_string(model));
  item.route_.kind_ = type.kind_;
  item.prompt_tokens_ = type.prompt_tokens_;
  item.route_.prompt_tokens_ = type.prompt_tokens_;
  std::lognormal_distribution<double> length(
      std::log(type.response_tokens_) - kLengthSigma * kLengthSigma / 2,
      kLengthSigma);
  item.response_tokens_ =
      static_cast<std::uint32_t>(std::max(2.0, std::round(length(random))));
  if (type.shared_ > 0) {
    const auto prompt = std::to_string(type.prompt_tokens_) + "/" +
                        std::to_string(DrawSkewed(type.shared_, random));
    const std::string text(type.prompt_tokens_ / kBlockTokens, '.');
    item.route_.prefixes_ =
        HashPrefixes(item.route_.model_.value() + "/" + prompt, text, 1);
  }
  return item;
}

}  // namespace baobab::bench
