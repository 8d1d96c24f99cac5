#include "request_fields.h"

#include <algorithm>
#include <charconv>

namespace baobab {

auto DeadlineOf(const RequestArrived& arrived,
                std::chrono::milliseconds longest, Duration fallback)
    -> TimePoint {
  Duration limit = fallback;
  const auto header = arrived.request_.Header("X-Deadline-Ms");
  std::uint32_t milliseconds = 0;
  const auto* end = header.data() + header.size();
  const auto parsed = std::from_chars(header.data(), end, milliseconds);
  if (!header.empty() && parsed.ec == std::errc() && parsed.ptr == end) {
    limit = std::chrono::milliseconds(milliseconds);
  }
  if (longest.count() > 0) {
    limit = std::min<Duration>(limit, longest);
  }
  return arrived.arrived_ + limit;
}

}  // namespace baobab
