#include "http/message.h"

#include "heap_bytes.h"

#include <Poco/Net/HTTPResponse.h>

#include <algorithm>
#include <array>
#include <utility>

namespace chicorygap::http {

namespace {

constexpr std::array connection_fields{"Connection",
                                       "Keep-Alive",
                                       "TE",
                                       "Trailer",
                                       "Transfer-Encoding",
                                       "Upgrade",
                                       "Proxy-Authenticate",
                                       "Proxy-Authorization",
                                       "Proxy-Connection",
                                       "Expect",
                                       "Content-Length"};

char lower(char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view trimmed(std::string_view s) {
    const auto first = s.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return s.substr(first, s.find_last_not_of(" \t") - first + 1);
}

/// @return names of the fields that concern one connection only, in lower case and in order.
std::vector<std::string> connection_names(const header_list& fields) {
    std::vector<std::string> out;
    const auto add = [&out](std::string_view name) {
        std::string text{name};
        std::transform(text.begin(), text.end(), text.begin(), lower);
        out.push_back(std::move(text));
    };
    for (const auto* name : connection_fields) {
        add(name);
    }
    for (const auto& f : fields.fields()) {
        for (std::string_view rest = equal_names(f.name, "Connection") ? f.value : std::string_view{};
             !rest.empty();) {
            const auto comma = rest.find(',');
            add(trimmed(rest.substr(0, comma)));
            rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

void append_fields(std::string& out, const header_list& headers) {
    for (const auto& f : headers.fields()) {
        out.append(f.name).append(": ").append(f.value).append("\r\n");
    }
    out.append("\r\n");
}

}  // namespace

void header_list::add(std::string_view name, std::string_view value) {
    fields_.push_back({std::string{name}, std::string{value}});
}

void header_list::remove(std::string_view name) {
    std::erase_if(fields_, [&](const header_field& f) { return equal_names(f.name, name); });
}

const std::string* header_list::find(std::string_view name) const {
    const auto it = std::find_if(fields_.begin(), fields_.end(),
                                 [&](const header_field& f) { return equal_names(f.name, name); });
    return it == fields_.end() ? nullptr : &it->value;
}

std::size_t header_list::memory_bytes() const noexcept {
    std::size_t out = fields_.capacity() * sizeof(header_field);
    for (const auto& f : fields_) {
        out += heap_bytes(f.name) + heap_bytes(f.value);
    }
    return out;
}

std::size_t header_list::count(std::string_view name) const {
    return static_cast<std::size_t>(std::count_if(
        fields_.begin(), fields_.end(), [&](const header_field& f) { return equal_names(f.name, name); }));
}

bool equal_names(std::string_view a, std::string_view b) {
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

bool has_token(std::string_view value, std::string_view token) {
    while (!value.empty()) {
        const auto comma = value.find(',');
        if (equal_names(trimmed(value.substr(0, comma)), token)) {
            return true;
        }
        value = comma == std::string_view::npos ? std::string_view{} : value.substr(comma + 1);
    }
    return false;
}

std::string_view to_string(body_framing f) noexcept {
    switch (f) {
        case body_framing::none:
            return "none";
        case body_framing::length:
            return "length";
        case body_framing::chunked:
            return "chunked";
        case body_framing::connection_end:
            return "connection_end";
    }
    return "unknown";
}

body_framing framing_of(const response_head& head) {
    if (head.length) {
        return body_framing::length;
    }
    const auto* coding = head.headers.find("Transfer-Encoding");
    return coding != nullptr && has_token(*coding, "chunked") ? body_framing::chunked
                                                              : body_framing::connection_end;
}

// A comparison of each field with all others would take tens of milliseconds for a head of short lines.
header_list end_to_end(const header_list& fields) {
    const auto dropped = connection_names(fields);
    header_list out;
    out.reserve(fields.fields().size());
    std::string name;
    for (const auto& f : fields.fields()) {
        name.resize(f.name.size());
        std::transform(f.name.begin(), f.name.end(), name.begin(), lower);
        if (!std::binary_search(dropped.begin(), dropped.end(), name)) {
            out.add(f.name, f.value);
        }
    }
    return out;
}

std::string_view reason_phrase(int status) {
    return Poco::Net::HTTPResponse::getReasonForStatus(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
}

std::string serialize(const request_head& head) {
    std::string out;
    out.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
    append_fields(out, head.headers);
    return out;
}

std::string serialize(const response_head& head) {
    std::string out = "HTTP/1.1 " + std::to_string(head.status) + ' ';
    out.append(reason_phrase(head.status)).append("\r\n");
    append_fields(out, head.headers);
    return out;
}

}  // namespace chicorygap::http
