/// @file
/// 128-bit digests that identify requests and bodies.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace chicorygap::idempotency {

/// First 16 bytes of a SHA-256 digest. A cryptographic digest keeps a workspace from choosing a key whose
/// record collides with another workspace's.
struct digest {
    std::array<std::uint8_t, 16> bytes{};

    bool operator==(const digest&) const = default;
    bool operator<(const digest& o) const noexcept { return bytes < o.bytes; }

    /// @return 32 lower-case hex digits.
    [[nodiscard]] std::string hex() const;

    /// @return the digest, or nothing if `text` is not 32 lower-case hex digits.
    static std::optional<digest> from_hex(std::string_view text);
};

/// @return the digest of a request body or any other text.
digest make_digest(std::string_view text);

/// @param workspace workspace of the caller.
/// @param service service of the route.
/// @param key value of the `Idempotency-Key` header.
/// @return the id of the request's record. Differs whenever any of the three differs.
digest make_record_id(std::string_view workspace, std::string_view service, std::string_view key);

/// Number of shards over which records are spread (design 3.4).
inline constexpr std::uint32_t shard_count = 32;

/// @return the shard that owns the record, in [0, `shard_count`).
std::uint32_t shard_of(const digest& id) noexcept;

}  // namespace chicorygap::idempotency

template <>
struct std::hash<chicorygap::idempotency::digest> {
    std::size_t operator()(const chicorygap::idempotency::digest& d) const noexcept {
        std::size_t n = 0;
        std::memcpy(&n, d.bytes.data() + sizeof n, sizeof n);
        return n;
    }
};
