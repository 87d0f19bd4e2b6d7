/// @file
/// Incremental reader of HTTP/1.1 messages.
#pragma once

#include "http/message.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace chicorygap::http {

/// What a reader reports. A hook must not destroy the reader; the end of a message is the result of `read`.
struct reader_hooks {
    std::function<void(request_head&&)> request;    ///< readers of requests only
    std::function<void(response_head&&)> response;  ///< readers of responses only
    std::function<void(std::string_view)> body;     ///< decoded part of the body
};

enum class read_state {
    more,      ///< all bytes were taken and the message is not complete
    complete,  ///< one message is complete; the rest belongs to the next one
    invalid,   ///< the bytes are no message, or its framing is ambiguous
};

struct read_result {
    read_state state = read_state::more;
    std::size_t consumed = 0;
};

/// Reads one HTTP/1.1 message after the other, in pieces of any size.
///
/// Concept: a message with two lengths, or with a length and a transfer coding, is invalid, so that no byte
/// of one message is taken for the next. The reader stops behind each message.
///
/// Usage: `message_reader r{message_reader::kind::request, hooks, 16384}; auto x = r.read(bytes);`
class message_reader {
public:
    enum class kind { request, response };

    /// @param k which messages are read.
    /// @param h what is reported.
    /// @param head_limit longest head in bytes, as it is on the wire; a sixteenth more is read.
    message_reader(kind k, reader_hooks h, std::size_t head_limit);
    ~message_reader();
    message_reader(const message_reader&) = delete;
    message_reader& operator=(const message_reader&) = delete;

    /// Takes bytes up to the end of the message. After `complete` the next call begins the next message.
    read_result read(std::string_view bytes);

    /// The connection ended in an orderly way.
    /// @return `complete` if that ends the body, else `invalid`.
    read_state end_of_input();

    /// The next response answers a HEAD request and has no body.
    void expect_no_body(bool value);

    /// @return true after the first byte of a message and before its end.
    [[nodiscard]] bool in_message() const;

    /// @return true after a head and before the end of its message.
    [[nodiscard]] bool in_body() const;

    /// @return memory of the head that is being read, in bytes.
    [[nodiscard]] std::size_t memory_bytes() const;

    /// Gives up the memory. Further bytes are invalid.
    void stop();

    /// @return true if the last message was invalid because its head is too long.
    [[nodiscard]] bool head_too_long() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

}  // namespace chicorygap::http
