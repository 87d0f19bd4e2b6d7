#include "credential.h"

#include <Poco/Exception.h>
#include <Poco/String.h>
#include <Poco/URI.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <array>

namespace chicorygap::front {

namespace {

constexpr std::size_t digest_bytes = 32;
constexpr std::size_t shortest_secret = 8;

std::string sha256_hex(std::string_view text) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, digest_bytes> sum{};
    EVP_Digest(text.data(), text.size(), sum.data(), nullptr, EVP_sha256(), nullptr);
    std::string hex;
    for (const auto b : sum) {
        hex += digits[b >> 4U];
        hex += digits[b & 0xfU];
    }
    return hex;
}

refusal missing(std::string detail) {
    return {base::result_code::key_missing, base::run_state::not_run, std::move(detail), std::nullopt};
}

}  // namespace

credential::credential(std::string key) : key_{std::move(key)}, digest_{sha256_hex(key_)} {}

credential::credential(credential&& other) noexcept : digest_{std::move(other.digest_)} {
    key_.swap(other.key_);
}

credential::~credential() {
    OPENSSL_cleanse(key_.data(), key_.size());
}

std::string_view credential::secret() const {
    return key_.size() < shortest_secret ? std::string_view{} : std::string_view{key_};
}

bool credential::inside(const std::string& text) const {
    if (secret().empty()) {
        return false;
    }
    if (text.find(key_) != std::string::npos) {
        return true;
    }
    if (text.find('%') == std::string::npos) {
        return false;
    }
    try {
        std::string decoded;
        Poco::URI::decode(text, decoded, true);
        return decoded.find(key_) != std::string::npos;
    } catch (const Poco::Exception&) {
        return false;  // not percent-encoded text
    }
}

std::variant<credential, refusal> take_credential(Poco::Net::HTTPRequest& request) {
    constexpr std::string_view scheme = "bearer ";
    auto it = request.find("Authorization");
    if (it == request.end()) {
        return missing("send the key as Authorization: Bearer <key>");
    }
    std::string value = it->second;
    request.erase("Authorization");
    const bool bearer = Poco::toLower(value.substr(0, scheme.size())) == scheme;
    auto key = bearer ? Poco::trim(value.substr(scheme.size())) : std::string{};
    OPENSSL_cleanse(value.data(), value.size());
    if (key.empty() || key.find(' ') != std::string::npos || key.find(',') != std::string::npos) {
        return missing("Authorization must hold exactly one bearer key");
    }
    return credential{std::move(key)};
}

}  // namespace chicorygap::front
