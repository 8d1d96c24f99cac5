#include "baobab_platform/base64.h"

#include <openssl/evp.h>

#include <cstddef>

namespace baobab::platform {
namespace {

auto Data(std::string& text) -> unsigned char* {
  return reinterpret_cast<unsigned char*>(text.data());
}

auto Data(std::string_view text) -> const unsigned char* {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

auto Base64Encode(std::string_view bytes) -> std::string {
  // EVP_EncodeBlock writes a terminating zero after the text.
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int length =
      EVP_EncodeBlock(Data(text), Data(bytes), static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

auto Base64Decode(std::string_view text) -> std::optional<std::string> {
  if (text.size() % 4 != 0) {
    return std::nullopt;
  }
  std::string bytes(text.size() / 4 * 3 + 1, '\0');
  const int length =
      EVP_DecodeBlock(Data(bytes), Data(text), static_cast<int>(text.size()));
  if (length < 0) {
    return std::nullopt;
  }
  // EVP_DecodeBlock counts each padding character as a zero byte.
  std::size_t padding = 0;
  while (padding < 2 && padding < text.size() &&
         text[text.size() - 1 - padding] == '=') {
    ++padding;
  }
  bytes.resize(static_cast<std::size_t>(length) - padding);
  return bytes;
}

}  // namespace baobab::platform
