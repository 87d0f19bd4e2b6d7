#include "backend/header.h"

#include <Poco/Exception.h>
#include <Poco/String.h>
#include <Poco/URI.h>

#include <algorithm>
#include <array>

namespace chicorygap::backend {

namespace {

constexpr std::array<std::string_view, 13> request_fields{
    "accept",           "accept-language",     "content-encoding",
    "content-language", "content-type",        "idempotency-key",
    "if-match",         "if-modified-since",   "if-none-match",
    "if-range",         "if-unmodified-since", "range",
    "traceparent",
};

constexpr std::array<std::string_view, 15> answer_fields{
    "accept-ranges",
    "allow",
    "cache-control",
    "content-disposition",
    "content-encoding",
    "content-language",
    "content-range",
    "content-type",
    "etag",
    "expires",
    "last-modified",
    "link",
    "location",
    "retry-after",
    "vary",
};

/// Names without '-', '_' and '.', in lower case.
constexpr std::array<std::string_view, 9> credential_parameters{
    "accesskey",    "accesstoken",        "apikey",  "authorization", "authtoken", "bearer",
    "clientsecret", "proxyauthorization", "xapikey",
};

template <typename Names>
bool listed(const Names& names, const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::string decoded(const std::string& text) {
    std::string out;
    try {
        Poco::URI::decode(text, out, true);
    } catch (const Poco::Exception&) {
        return text;
    }
    return out;
}

std::string parameter_name(const std::string& raw) {
    auto name = Poco::toLower(decoded(raw));
    std::erase_if(name, [](char c) { return c == '-' || c == '_' || c == '.'; });
    return name;
}

bool carries_credential(const std::string& parameter, std::string_view secret) {
    if (!secret.empty() && decoded(parameter).find(secret) != std::string::npos) {
        return true;
    }
    return listed(credential_parameters, parameter_name(parameter.substr(0, parameter.find('='))));
}

}  // namespace

bool request_header_allowed(std::string_view name) {
    return listed(request_fields, Poco::toLower(std::string{name}));
}

bool answer_header_allowed(std::string_view name) {
    return listed(answer_fields, Poco::toLower(std::string{name}));
}

std::string without_credentials(std::string_view target, std::string_view secret) {
    const auto mark = target.find('?');
    if (mark == std::string_view::npos) {
        return std::string{target};
    }
    std::string out{target.substr(0, mark)};
    char separator = '?';
    auto rest = target.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const std::string parameter{rest.substr(0, end)};
        rest.remove_prefix(std::min(end + 1, rest.size()));
        if (!carries_credential(parameter, secret)) {
            out += separator;
            out += parameter;
            separator = '&';
        }
    }
    return out;
}

}  // namespace chicorygap::backend
