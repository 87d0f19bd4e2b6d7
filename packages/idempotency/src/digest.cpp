#include "idempotency/digest.h"

#include <openssl/sha.h>

#include <algorithm>

namespace chicorygap::idempotency {

namespace {

constexpr std::string_view hex_digits = "0123456789abcdef";

}  // namespace

std::string digest::hex() const {
    std::string out;
    out.reserve(2 * bytes.size());
    for (const auto b : bytes) {
        out += hex_digits[b >> 4U];
        out += hex_digits[b & 0xfU];
    }
    return out;
}

std::optional<digest> digest::from_hex(std::string_view text) {
    digest d;
    if (text.size() != 2 * d.bytes.size()) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < d.bytes.size(); ++i) {
        const auto high = hex_digits.find(text[2 * i]);
        const auto low = hex_digits.find(text[2 * i + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return std::nullopt;
        }
        d.bytes[i] = static_cast<std::uint8_t>(high << 4U | low);
    }
    return d;
}

digest make_digest(std::string_view text) {
    std::array<unsigned char, SHA256_DIGEST_LENGTH> full{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), full.data());
    digest d;
    std::copy_n(full.begin(), d.bytes.size(), d.bytes.begin());
    return d;
}

digest make_record_id(std::string_view workspace, std::string_view service, std::string_view key) {
    // The lengths keep ("ab", "c") apart from ("a", "bc").
    std::string text = std::to_string(workspace.size()) + ':' + std::to_string(service.size()) + ':';
    text.append(workspace).append(service).append(key);
    return make_digest(text);
}

std::uint32_t shard_of(const digest& id) noexcept {
    return id.bytes[0] % shard_count;
}

}  // namespace chicorygap::idempotency
