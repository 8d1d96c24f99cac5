#include "baobab_targets/response_head_rules.h"

#include <algorithm>
#include <array>
#include <cstdint>

#include "baobab_base/http_syntax.h"

namespace baobab {

/// What the rules need to know of a head.
struct ResponseHeadFacts {
  bool has_sound_line_ends_ = false;
  bool has_status_line_ = false;
  bool is_version_1_0_ = false;
  unsigned status_ = 0;
  bool has_folded_line_ = false;
  bool has_invalid_name_ = false;
  bool has_invalid_value_ = false;
  int encodings_ = 0;
  bool is_chunked_ = false;  ///< The last Transfer-Encoding is `chunked`.
  int lengths_ = 0;
  std::optional<std::uint64_t> length_;  ///< Of the last Content-Length.
};

namespace {

/// Returns true for the characters of a token (RFC 9110, section 5.6.2).
auto IsTokenCharacter(char c) -> bool {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

/// Returns true for control characters other than tab.
auto IsControlCharacter(char c) -> bool {
  const auto code = static_cast<unsigned char>(c);
  return (code < ' ' && c != '\t') || code == 0x7f;
}

auto HasControlCharacter(std::string_view text) -> bool {
  return std::any_of(text.begin(), text.end(), IsControlCharacter);
}

/// Reads `HTTP/1.0` or `HTTP/1.1`, a space, three digits, a space and a reason
/// phrase, which may be empty.
auto ReadStatusLine(std::string_view line, ResponseHeadFacts& facts) -> void {
  constexpr std::size_t kVersionBytes = 8;
  constexpr std::size_t kStatusBytes = 3;
  constexpr std::size_t kReasonAt = kVersionBytes + 1 + kStatusBytes;
  const auto version = line.substr(0, kVersionBytes);
  facts.is_version_1_0_ = version == "HTTP/1.0";
  if ((!facts.is_version_1_0_ && version != "HTTP/1.1") ||
      line.size() <= kReasonAt || line[kVersionBytes] != ' ' ||
      line[kReasonAt] != ' ' || HasControlCharacter(line)) {
    return;
  }
  const auto status =
      ParseDecimal(line.substr(kVersionBytes + 1, kStatusBytes));
  facts.has_status_line_ = status.has_value();
  facts.status_ = static_cast<unsigned>(status.value_or(0));
}

auto ReadFieldLine(std::string_view line, ResponseHeadFacts& facts) -> void {
  if (line.front() == ' ' || line.front() == '\t') {
    facts.has_folded_line_ = true;
    return;
  }
  const auto name = line.substr(0, line.find(':'));
  if (name.empty() || name.size() == line.size() ||
      !std::all_of(name.begin(), name.end(), IsTokenCharacter)) {
    facts.has_invalid_name_ = true;
    return;
  }
  const auto value = TrimBlanks(line.substr(name.size() + 1));
  facts.has_invalid_value_ |= HasControlCharacter(value);
  if (EqualsIgnoringCase(name, "Transfer-Encoding")) {
    ++facts.encodings_;
    facts.is_chunked_ = EqualsIgnoringCase(value, "chunked");
  } else if (EqualsIgnoringCase(name, "Content-Length")) {
    ++facts.lengths_;
    facts.length_ = ParseDecimal(value);
  }
}

auto ReadFacts(std::string_view head) -> ResponseHeadFacts {
  ResponseHeadFacts facts;
  facts.has_sound_line_ends_ = HasSoundLineEnds(head);
  if (!facts.has_sound_line_ends_) {
    return facts;
  }
  constexpr std::string_view kLineEnd = "\r\n";
  auto line_end = head.find(kLineEnd);
  ReadStatusLine(head.substr(0, line_end), facts);
  while (line_end != std::string_view::npos) {
    head.remove_prefix(line_end + kLineEnd.size());
    line_end = head.find(kLineEnd);
    const auto line = head.substr(0, line_end);
    if (line.empty()) {
      break;
    }
    ReadFieldLine(line, facts);
  }
  return facts;
}

using Facts = ResponseHeadFacts;

constexpr std::array kRules = {
    ResponseHeadRule{
        "a line does not end with CR LF", "RFC 9112, section 2.2",
        [](const Facts& facts) { return !facts.has_sound_line_ends_; }},
    ResponseHeadRule{
        "the status line is malformed", "RFC 9112, section 4",
        [](const Facts& facts) { return !facts.has_status_line_; }},
    ResponseHeadRule{"the status code is not in 100 to 599",
                     "RFC 9110, section 15",
                     [](const Facts& facts) {
                       return facts.status_ < 100 || facts.status_ > 599;
                     }},
    ResponseHeadRule{"the status switches to a protocol that was not asked for",
                     "RFC 9110, section 15.2.2",
                     [](const Facts& facts) { return facts.status_ == 101; }},
    ResponseHeadRule{"a field line is folded or begins with a blank",
                     "RFC 9112, sections 2.2 and 5.2",
                     [](const Facts& facts) { return facts.has_folded_line_; }},
    ResponseHeadRule{
        "a field has no valid name",
        "RFC 9110, section 5.1, and RFC 9112, section 5.1",
        [](const Facts& facts) { return facts.has_invalid_name_; }},
    ResponseHeadRule{
        "a field value holds a control character", "RFC 9110, section 5.5",
        [](const Facts& facts) { return facts.has_invalid_value_; }},
    ResponseHeadRule{"Transfer-Encoding is not one `chunked`",
                     "RFC 9112, section 6.1",
                     [](const Facts& facts) {
                       return facts.encodings_ > 1 ||
                              (facts.encodings_ == 1 && !facts.is_chunked_);
                     }},
    ResponseHeadRule{"Transfer-Encoding needs HTTP/1.1",
                     "RFC 9112, section 6.1",
                     [](const Facts& facts) {
                       return facts.encodings_ > 0 && facts.is_version_1_0_;
                     }},
    ResponseHeadRule{"Transfer-Encoding and Content-Length are both present",
                     "RFC 9112, section 6.1",
                     [](const Facts& facts) {
                       return facts.encodings_ > 0 && facts.lengths_ > 0;
                     }},
    ResponseHeadRule{
        "Content-Length is not one number", "RFC 9112, section 6.3",
        [](const Facts& facts) {
          return facts.lengths_ > 1 || (facts.lengths_ == 1 && !facts.length_);
        }},
    ResponseHeadRule{"a response without a body announces one",
                     "RFC 9110, section 8.6, and RFC 9112, section 6.1",
                     [](const Facts& facts) {
                       return (facts.status_ < 200 || facts.status_ == 204) &&
                              (facts.encodings_ > 0 ||
                               facts.length_.value_or(0) > 0);
                     }},
};

}  // namespace

auto ResponseHeadRules() -> std::span<const ResponseHeadRule> { return kRules; }

auto FindBrokenRule(std::string_view head) -> const ResponseHeadRule* {
  const auto facts = ReadFacts(head);
  const auto* found =
      std::find_if(kRules.begin(), kRules.end(),
                   [&](const auto& rule) { return rule.is_broken_(facts); });
  return found == kRules.end() ? nullptr : found;
}

auto FindHeadEnd(std::string_view bytes) -> std::optional<std::size_t> {
  for (auto lf = bytes.find('\n'); lf != std::string_view::npos;
       lf = bytes.find('\n', lf + 1)) {
    const auto rest = bytes.substr(lf + 1);
    if (rest.starts_with('\n')) {
      return lf + 2;
    }
    if (rest.starts_with("\r\n")) {
      return lf + 3;
    }
  }
  return std::nullopt;
}

}  // namespace baobab
