#include "http/message_reader.h"

#include "head_buffer.h"

#include <algorithm>
#include <http_parser.h>
#include <limits>
#include <string>
#include <utility>

namespace chicorygap::http {

namespace {

/// Interim responses (1xx) before a final one, all together. A short one has 25 bytes, so that a server may
/// send one each second for ten minutes.
constexpr std::size_t max_interim_bytes = std::size_t{16} * 1024;
/// Line with the size of a chunk and its extensions, with the end of the chunk before it.
constexpr std::size_t max_chunk_line_bytes = 1024;
/// Fields behind a chunked body of a response. Those of a request may be as long as its head.
constexpr std::size_t max_trailer_bytes = std::size_t{8} * 1024;
/// Part of the head limit that a head may have in addition. Callers may count their head without its first
/// line, or without the blank after each colon.
constexpr std::size_t head_allowance_divisor = 16;
/// Bytes around the chunks of a body, per byte of the body. A chunk of one byte needs five.
constexpr std::size_t max_framing_per_body_byte = 8;
/// Such bytes in addition to these, for small bodies.
constexpr std::size_t extra_framing_bytes = std::size_t{16} * 1024;

}  // namespace

class message_reader::impl {
public:
    impl(kind k, reader_hooks h, std::size_t head_limit)
        : kind_{k}, hooks_{std::move(h)}, head_limit_{head_limit} {
        http_parser_settings_init(&settings_);
        settings_.on_message_begin = [](http_parser* p) { return self(p).on_begin(); };
        settings_.on_url = [](http_parser* p, const char* at, std::size_t n) {
            self(p).target_.append(at, n);
            return self(p).count_head(n);
        };
        settings_.on_status = [](http_parser* p, const char*, std::size_t n) {
            return self(p).count_head(n);
        };
        settings_.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
            return self(p).on_name({at, n});
        };
        settings_.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
            return self(p).on_value({at, n});
        };
        settings_.on_headers_complete = [](http_parser* p) { return self(p).on_head(); };
        settings_.on_body = [](http_parser* p, const char* at, std::size_t n) {
            return self(p).on_body({at, n});
        };
        settings_.on_message_complete = [](http_parser* p) { return self(p).on_complete(); };
        restart();
    }

    read_result read(std::string_view bytes) {
        if (failed_) {
            return {read_state::invalid, 0};
        }
        std::size_t consumed = 0;
        while (consumed < bytes.size()) {
            done_ = false;
            const auto rest = bytes.substr(consumed, in_body_ ? std::string_view::npos : head_room());
            if (rest.empty()) {
                head_too_long_ = true;
                fail();
                return {read_state::invalid, consumed};
            }
            const bool counted = chunked_;
            uncounted_ = rest.data();
            const auto n = http_parser_execute(&parser_, &settings_, rest.data(), rest.size());
            consumed += n;
            message_bytes_ += n;
            const auto ec = HTTP_PARSER_ERRNO(&parser_);
            if (counted && (ec == HPE_OK || ec == HPE_PAUSED) && !count_framing(rest.data() + n)) {
                fail();
                return {read_state::invalid, consumed};
            }
            if (ec == HPE_PAUSED && !done_) {
                http_parser_pause(&parser_, 0);  // behind a head, from where the framing is counted
                continue;
            }
            if (ec == HPE_PAUSED && done_) {
                http_parser_pause(&parser_, 0);
                interim_bytes_ = interim_ ? interim_bytes_ + message_bytes_ : 0;
                restart();
                if (interim_bytes_ > max_interim_bytes) {
                    fail();
                    return {read_state::invalid, consumed};
                }
                if (std::exchange(interim_, false)) {
                    continue;
                }
                return {read_state::complete, consumed};
            }
            if (ec != HPE_OK || (parser_.upgrade != 0 && kind_ == kind::response)) {
                fail();
                return {read_state::invalid, consumed};
            }
        }
        return {read_state::more, consumed};
    }

    read_state end_of_input() {
        if (failed_ || !in_body_) {
            return read_state::invalid;
        }
        done_ = false;
        http_parser_execute(&parser_, &settings_, nullptr, 0);
        const bool complete = done_;
        restart();
        return complete ? read_state::complete : read_state::invalid;
    }

    [[nodiscard]] std::size_t memory_bytes() const { return heap_bytes(target_) + head_.memory_bytes(); }

    /// No message can be read any more, so that nothing of the last one is kept.
    void fail() {
        failed_ = true;
        std::string{}.swap(target_);
        head_.clear();
    }

    bool no_body_ = false;
    bool in_message_ = false;
    bool in_body_ = false;
    bool head_too_long_ = false;

private:
    static impl& self(http_parser* p) { return *static_cast<impl*>(p->data); }

    /// Each message gets a fresh parser, so that nothing of one reaches the next.
    void restart() {
        http_parser_init(&parser_, kind_ == kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
        parser_.data = this;
        in_message_ = false;
        in_body_ = false;
        chunked_ = false;
        in_trailer_ = false;
        message_bytes_ = 0;
        chunk_line_bytes_ = 0;
        framing_bytes_ = 0;
        trailer_bytes_ = 0;
        body_bytes_ = 0;
    }

    int on_begin() {
        in_message_ = true;
        head_bytes_ = 0;
        std::string{}.swap(target_);
        head_.clear();
        return 0;
    }

    /// @return bytes that the head may still have on the wire, the blank lines before it among them.
    [[nodiscard]] std::size_t head_room() const {
        const auto limit = head_limit_ + head_limit_ / head_allowance_divisor;
        return limit - std::min(limit, message_bytes_);
    }

    /// Bounds the memory of a response's head, in which a field takes more than its text. That of a request's
    /// head is bounded by its account.
    int count_head(std::size_t n) {
        head_bytes_ += n;
        if (kind_ == kind::response && head_bytes_ > head_limit_) {
            head_too_long_ = true;
            return 1;
        }
        return 0;
    }

    /// Counts the bytes around the chunks of a body and those of its trailer.
    /// @param end end of the bytes in the input that are none of the content.
    /// @return false if they exceed a limit.
    bool count_framing(const char* end) {
        const auto n = static_cast<std::size_t>(end - std::exchange(uncounted_, end));
        if (in_trailer_) {
            trailer_bytes_ += n;
            return trailer_bytes_ <=
                   (kind_ == kind::request ? std::max(max_trailer_bytes, head_limit_) : max_trailer_bytes);
        }
        chunk_line_bytes_ += n;
        framing_bytes_ += n;
        return chunk_line_bytes_ <= max_chunk_line_bytes &&
               framing_bytes_ <= extra_framing_bytes + max_framing_per_body_byte * body_bytes_;
    }

    int on_name(std::string_view part) {
        if (chunked_ && !in_trailer_) {
            if (!count_framing(part.data())) {
                return -1;
            }
            in_trailer_ = true;
        }
        if (in_trailer_) {
            return 0;  // counted by `count_framing`, and passed on to nobody
        }
        const auto overhead = head_.in_value() ? sizeof(header_field) : 0;
        head_.append_name(part);
        return count_head(part.size() + overhead);
    }

    int on_value(std::string_view part) {
        if (in_trailer_) {
            return 0;
        }
        head_.append_value(part);
        return count_head(part.size());
    }

    int on_head() {
        const int result = report_head();
        chunked_ = result == 0 && !interim_ && (parser_.flags & F_CHUNKED) != 0;
        if (chunked_) {
            http_parser_pause(&parser_, 1);
        }
        return result;
    }

    int report_head() {
        if (!head_.names_are_valid()) {
            return -1;
        }
        in_body_ = true;
        const bool keep_alive = http_should_keep_alive(&parser_) != 0;
        if (kind_ == kind::request) {
            if (parser_.method == HTTP_CONNECT) {
                return -1;  // a tunnel would carry bytes that nobody checks
            }
            request_head h;
            h.method = http_method_str(static_cast<http_method>(parser_.method));
            h.target = std::move(target_);
            h.headers = head_.take_fields();
            h.keep_alive = keep_alive;
            h.http_1_1 = parser_.http_major > 1 || (parser_.http_major == 1 && parser_.http_minor >= 1);
            if (hooks_.request) {
                hooks_.request(std::move(h));
            }
            return 0;
        }
        interim_ = parser_.status_code / 100 == 1;
        if (interim_) {
            return 0;
        }
        response_head h;
        h.status = static_cast<int>(parser_.status_code);
        h.headers = head_.take_fields();
        h.keep_alive = keep_alive;
        const bool chunked = (parser_.flags & F_CHUNKED) != 0;
        if (!chunked && parser_.content_length != std::numeric_limits<std::uint64_t>::max()) {
            h.length = parser_.content_length;
        }
        if (hooks_.response) {
            hooks_.response(std::move(h));
        }
        return no_body_ ? 1 : 0;
    }

    int on_body(std::string_view part) {
        if (chunked_) {
            if (!count_framing(part.data())) {
                return -1;
            }
            chunk_line_bytes_ = 0;
            body_bytes_ += part.size();
            uncounted_ = part.data() + part.size();
        }
        if (hooks_.body && !interim_) {
            hooks_.body(part);
        }
        return 0;
    }

    int on_complete() {
        done_ = true;
        http_parser_pause(&parser_, 1);
        return 0;
    }

    kind kind_;
    reader_hooks hooks_;
    std::size_t head_limit_;
    http_parser parser_{};
    http_parser_settings settings_{};
    std::string target_;
    head_buffer head_;
    std::size_t head_bytes_ = 0;  ///< texts of the head, and what the fields of a response take beside them
    bool done_ = false;
    bool interim_ = false;
    std::size_t interim_bytes_ = 0;  ///< since the last final response
    std::size_t message_bytes_ = 0;
    bool chunked_ = false;  ///< behind the head of a message with a chunked body
    bool in_trailer_ = false;
    const char* uncounted_ = nullptr;  ///< start of the input that `count_framing` has not counted
    std::size_t chunk_line_bytes_ = 0;
    std::size_t framing_bytes_ = 0;
    std::size_t trailer_bytes_ = 0;
    std::size_t body_bytes_ = 0;  ///< content of a chunked body
    bool failed_ = false;
};

message_reader::message_reader(kind k, reader_hooks h, std::size_t head_limit)
    : impl_{std::make_unique<impl>(k, std::move(h), head_limit)} {}
message_reader::~message_reader() = default;

read_result message_reader::read(std::string_view bytes) {
    return impl_->read(bytes);
}
read_state message_reader::end_of_input() {
    return impl_->end_of_input();
}
void message_reader::expect_no_body(bool value) {
    impl_->no_body_ = value;
}
bool message_reader::in_message() const {
    return impl_->in_message_;
}
bool message_reader::in_body() const {
    return impl_->in_body_;
}
std::size_t message_reader::memory_bytes() const {
    return impl_->memory_bytes();
}
void message_reader::stop() {
    impl_->fail();
}
bool message_reader::head_too_long() const {
    return impl_->head_too_long_;
}

}  // namespace chicorygap::http
