#include "document/key_digest.h"

#include "base/error.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <string>

namespace chicorygap::document {

namespace {

constexpr std::size_t digest_digits = 64;
constexpr std::string_view digits = "0123456789abcdef";

}  // namespace

base::key_digest hash_key(std::string_view key) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
    unsigned int size = 0;
    if (EVP_Digest(key.data(), key.size(), buf.data(), &size, EVP_sha256(), nullptr) != 1) {
        throw base::error{base::result_code::internal, "SHA-256 is not available"};
    }
    std::string out;
    out.reserve(digest_digits);
    for (unsigned int i = 0; i < size; ++i) {
        out += digits[buf[i] >> 4U];
        out += digits[buf[i] & 0x0FU];
    }
    return base::key_digest{out};
}

bool is_key_digest(std::string_view text) {
    return text.size() == digest_digits && std::all_of(text.begin(), text.end(), [](char c) {
               return digits.find(c) != std::string_view::npos;
           });
}

}  // namespace chicorygap::document
