/// @file
/// Extracts a caller's key and drops it.
#pragma once

#include "base/id.h"
#include "front/refusal.h"

#include <Poco/Net/HTTPRequest.h>

#include <string>
#include <string_view>
#include <variant>

namespace chicorygap::front {

/// A caller's key. Kept only while its request is read, in order to find copies of it; erased on destruction.
class credential {
public:
    explicit credential(std::string key);
    ~credential();
    credential(credential&& other) noexcept;
    credential(const credential&) = delete;
    credential& operator=(const credential&) = delete;
    credential& operator=(credential&&) = delete;

    /// @return lower-case hex SHA-256 digest of the key.
    [[nodiscard]] const base::key_digest& digest() const { return digest_; }
    /// @return the key for the search for copies; empty for a key so short that texts contain it by chance.
    [[nodiscard]] std::string_view secret() const;
    /// @return true when the text contains the secret, also percent-encoded.
    [[nodiscard]] bool inside(const std::string& text) const;

private:
    std::string key_;
    base::key_digest digest_;
};

/// Takes the key out of `Authorization: Bearer` and removes the field.
/// @return the key, or a refusal with `key_missing`.
std::variant<credential, refusal> take_credential(Poco::Net::HTTPRequest& request);

}  // namespace chicorygap::front
