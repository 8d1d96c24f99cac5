#include "baobab_burn/burn_report.h"

#include <algorithm>
#include <boost/json.hpp>
#include <iomanip>
#include <sstream>

namespace baobab::burn {
namespace {

constexpr double kPageRate = 14.4;
constexpr double kTicketRate = 6;
constexpr std::int64_t kPlotMinutes = 60;

// Positions in kBurnWindows.
constexpr std::size_t kFiveMinutes = 0;
constexpr std::size_t kThirtyMinutes = 1;
constexpr std::size_t kOneHour = 2;
constexpr std::size_t kSixHours = 3;

// Sizes of the plot in SVG user units.
constexpr int kPanelWidth = 640;
constexpr int kPanelHeight = 120;
constexpr int kMargin = 24;

auto BurnOf(const std::vector<MinuteCount>& counts, const Objective& objective,
            std::chrono::minutes window, std::int64_t current_minute)
    -> WindowBurn {
  WindowBurn burn{.window_ = window};
  for (auto count = counts.rbegin(); count != counts.rend(); ++count) {
    if (count->minute_ <= current_minute - window.count()) {
      break;
    }
    if (count->minute_ <= current_minute) {
      burn.good_ += count->good_;
      burn.bad_ += count->bad_;
    }
  }
  const auto total = burn.good_ + burn.bad_;
  if (total > 0) {
    const double bad_share =
        static_cast<double>(burn.bad_) / static_cast<double>(total);
    burn.rate_ = bad_share / (1 - objective.target_);
  }
  return burn;
}

auto AlertOf(const ObjectiveBurn& burn) -> AlertLevel {
  const auto exceeds = [&burn](std::size_t longer, std::size_t shorter,
                               double rate) {
    return burn.windows_[longer].rate_ > rate &&
           burn.windows_[shorter].rate_ > rate;
  };
  if (exceeds(kOneHour, kFiveMinutes, kPageRate)) {
    return AlertLevel::kPage;
  }
  if (exceeds(kSixHours, kThirtyMinutes, kTicketRate)) {
    return AlertLevel::kTicket;
  }
  return AlertLevel::kNone;
}

auto WindowName(std::chrono::minutes window) -> std::string {
  if (window >= std::chrono::days(1)) {
    return std::to_string(
               std::chrono::floor<std::chrono::days>(window).count()) +
           "d";
  }
  if (window >= std::chrono::hours(1)) {
    return std::to_string(
               std::chrono::floor<std::chrono::hours>(window).count()) +
           "h";
  }
  return std::to_string(window.count()) + "m";
}

auto ToMilliseconds(Duration duration) -> double {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Customer names come from contracts, but the SVG must stay well-formed
// whatever they hold.
auto EscapeXml(const std::string& text) -> std::string {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

auto Title(const ObjectiveBurn& burn) -> std::string {
  std::ostringstream out;
  out << burn.key_.customer_ << ' ' << ToString(burn.key_.kind_) << ": "
      << burn.objective_.target_ * 100 << "% within "
      << ToMilliseconds(burn.objective_.latency_) << " ms, alert "
      << ToString(burn.alert_);
  return out.str();
}

auto RenderPanel(std::ostringstream& out, const ObjectiveBurn& burn, int top,
                 std::int64_t current_minute) -> void {
  const int bottom = top + kPanelHeight - kMargin;
  const int height = kPanelHeight - 2 * kMargin;
  const double bar =
      static_cast<double>(kPanelWidth - 2 * kMargin) / kPlotMinutes;
  out << "<text x=\"" << kMargin << "\" y=\"" << top + kMargin - 8 << "\">"
      << EscapeXml(Title(burn)) << "</text>\n";
  out << "<line x1=\"" << kMargin << "\" y1=\"" << bottom << "\" x2=\""
      << kPanelWidth - kMargin << "\" y2=\"" << bottom
      << "\" stroke=\"#888\"/>\n";
  out << "<text x=\"" << kMargin << "\" y=\"" << bottom + 14
      << "\" class=\"axis\">-60 min</text>"
      << "<text x=\"" << kPanelWidth - kMargin << "\" y=\"" << bottom + 14
      << "\" class=\"axis\" text-anchor=\"end\">now</text>\n";
  for (const auto& count : burn.minutes_) {
    const auto total = count.good_ + count.bad_;
    const auto position = kPlotMinutes - 1 - (current_minute - count.minute_);
    if (total == 0 || position < 0 || position >= kPlotMinutes) {
      continue;
    }
    const double bad_share =
        static_cast<double>(count.bad_) / static_cast<double>(total);
    const double bad_height = bad_share * height;
    out << "<rect x=\"" << kMargin + static_cast<double>(position) * bar
        << "\" y=\"" << bottom - height << "\" width=\"" << bar * 0.9
        << "\" height=\"" << height << "\" fill=\"#cfe3cf\"/>"
        << "<rect x=\"" << kMargin + static_cast<double>(position) * bar
        << "\" y=\"" << bottom - bad_height << "\" width=\"" << bar * 0.9
        << "\" height=\"" << bad_height << "\" fill=\"#b03030\"/>\n";
  }
}

auto CurrentMinute(WallTime now) -> std::int64_t {
  return std::chrono::floor<std::chrono::minutes>(now.time_since_epoch())
      .count();
}

}  // namespace

auto ToString(AlertLevel level) -> std::string_view {
  switch (level) {
    case AlertLevel::kPage:
      return "page";
    case AlertLevel::kTicket:
      return "ticket";
    case AlertLevel::kNone:
      break;
  }
  return "none";
}

BurnReport::BurnReport(const BurnTracker& tracker, WallTime now) : now_(now) {
  const auto current_minute = CurrentMinute(now);
  for (const auto& [key, objective] : tracker.objectives()) {
    ObjectiveBurn burn{.key_ = key, .objective_ = objective};
    const auto counts = tracker.CountsOf(key);
    for (std::size_t i = 0; i < kBurnWindows.size(); ++i) {
      burn.windows_[i] =
          BurnOf(counts, objective, kBurnWindows[i], current_minute);
    }
    burn.alert_ = AlertOf(burn);
    std::copy_if(counts.begin(), counts.end(),
                 std::back_inserter(burn.minutes_),
                 [current_minute](const MinuteCount& count) {
                   return count.minute_ > current_minute - kPlotMinutes;
                 });
    objectives_.push_back(std::move(burn));
  }
}

auto BurnReport::ToText() const -> std::string {
  std::ostringstream out;
  out << std::left << std::setw(18) << "customer" << std::setw(9) << "kind"
      << std::setw(10) << "target" << std::setw(12) << "latency";
  for (const auto window : kBurnWindows) {
    out << std::setw(9) << ("burn " + WindowName(window));
  }
  out << "alert\n" << std::fixed;
  for (const auto& burn : objectives_) {
    std::ostringstream target;
    target << burn.objective_.target_ * 100 << '%';
    std::ostringstream latency;
    latency << ToMilliseconds(burn.objective_.latency_) << " ms";
    out << std::setw(18) << burn.key_.customer_.value() << std::setw(9)
        << ToString(burn.key_.kind_) << std::setw(10) << target.str()
        << std::setw(12) << latency.str();
    for (const auto& window : burn.windows_) {
      out << std::setw(9) << std::setprecision(2) << window.rate_;
    }
    out << ToString(burn.alert_) << '\n';
  }
  return out.str();
}

auto BurnReport::ToJson() const -> std::string {
  boost::json::array objectives;
  for (const auto& burn : objectives_) {
    boost::json::array windows;
    for (const auto& window : burn.windows_) {
      windows.push_back({{"window", WindowName(window.window_)},
                         {"good", window.good_},
                         {"bad", window.bad_},
                         {"burn_rate", window.rate_}});
    }
    objectives.push_back(
        {{"customer", burn.key_.customer_.value()},
         {"kind", ToString(burn.key_.kind_)},
         {"target", burn.objective_.target_},
         {"latency_ms", ToMilliseconds(burn.objective_.latency_)},
         {"alert", ToString(burn.alert_)},
         {"windows", std::move(windows)}});
  }
  return boost::json::serialize(
      boost::json::object{{"time_ms", now_.time_since_epoch().count()},
                          {"objectives", std::move(objectives)}});
}

auto BurnReport::ToSvg() const -> std::string {
  const auto height =
      std::max<std::size_t>(objectives_.size(), 1) * kPanelHeight;
  std::ostringstream out;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kPanelWidth
      << "\" height=\"" << height
      << "\" font-family=\"sans-serif\" font-size=\"13\">\n"
      << "<style>.axis{font-size:10px;fill:#555}</style>\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  int top = 0;
  for (const auto& burn : objectives_) {
    RenderPanel(out, burn, top, CurrentMinute(now_));
    top += kPanelHeight;
  }
  out << "</svg>\n";
  return out.str();
}

}  // namespace baobab::burn
