/// @file
/// Heads of HTTP/1.1 messages.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicorygap::http {

struct header_field {
    std::string name;
    std::string value;

    bool operator==(const header_field&) const = default;
};

/// Header fields in the order of the message. Names compare without regard to case.
class header_list {
public:
    void add(std::string_view name, std::string_view value);

    /// Allocates room for this number of fields.
    void reserve(std::size_t n) { fields_.reserve(n); }

    /// Removes every field with that name.
    void remove(std::string_view name);

    /// @return the value of the first field with that name, or null.
    [[nodiscard]] const std::string* find(std::string_view name) const;

    /// @return the number of fields with that name.
    [[nodiscard]] std::size_t count(std::string_view name) const;

    [[nodiscard]] const std::vector<header_field>& fields() const noexcept { return fields_; }

    /// @return memory of the fields in bytes.
    [[nodiscard]] std::size_t memory_bytes() const noexcept;

    bool operator==(const header_list&) const = default;

private:
    std::vector<header_field> fields_;
};

/// @return true if both texts are equal but for the case of ASCII letters.
bool equal_names(std::string_view a, std::string_view b);

/// @return true if the comma-separated list `value` holds `token`, without regard to case.
bool has_token(std::string_view value, std::string_view token);

struct request_head {
    std::string method;
    /// Path and query as the caller sent them.
    std::string target;
    header_list headers;
    /// The connection may carry another request afterwards.
    bool keep_alive = true;
    /// The caller understands chunked answers.
    bool http_1_1 = true;
};

struct response_head {
    int status = 0;
    header_list headers;
    bool keep_alive = true;
    /// Length of the body; absent if it is chunked or ends with the connection.
    std::optional<std::uint64_t> length;
};

/// How the end of a response's body is marked.
enum class body_framing : std::uint8_t {
    none,  ///< no response head was received
    length,
    chunked,
    connection_end,
};

/// @return name for log lines.
std::string_view to_string(body_framing f) noexcept;

/// @return the framing that the head of a response announces.
body_framing framing_of(const response_head& head);

/// @return a copy without the fields that concern one connection only: Connection and the fields that it
/// names, Keep-Alive, TE, Trailer, Transfer-Encoding, Upgrade, Proxy-*, Expect and Content-Length. The sender
/// frames the message anew.
header_list end_to_end(const header_list& fields);

/// @return the standard reason phrase.
std::string_view reason_phrase(int status);

/// @return head of a request, with the empty line. `headers` must hold its framing.
std::string serialize(const request_head& head);

/// @return head of a response, with the empty line. `headers` must hold its framing.
std::string serialize(const response_head& head);

}  // namespace chicorygap::http
