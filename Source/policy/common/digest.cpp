#include "policy/common/digest.h"

#include <array>
#include <openssl/evp.h>
#include <xxhash.h>

namespace rampgap {

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes {};
    unsigned int length = 0;
    EVP_Digest(text.data(), text.size(), bytes.data(), &length, EVP_sha256(), nullptr);

    static constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(2 * length);
    for (unsigned int i = 0; i < length; ++i) {
        hex.push_back(digits[bytes[i] >> 4]);
        hex.push_back(digits[bytes[i] & 0xF]);
    }
    return hex;
}

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

} // namespace rampgap
