// Digests: SHA-256 for documents and keys, XXH64 for placement.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace rampgap {

// SHA-256 of `text` as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view text);

// A fast 64-bit hash, the same on every machine.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

} // namespace rampgap
