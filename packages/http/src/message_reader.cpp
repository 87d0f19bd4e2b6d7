#include "http/message_reader.h"

#include <http_parser.h>
#include <limits>
#include <string>
#include <utility>

namespace chicorygap::http {

namespace {

/// Interim responses (1xx) before a final one; more of them are no progress.
constexpr int max_interim_responses = 8;

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
        settings_.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
            return self(p).on_field(at, n);
        };
        settings_.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
            self(p).in_value_ = true;
            self(p).value_.append(at, n);
            return self(p).count_head(n);
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
            const auto rest = bytes.substr(consumed);
            consumed += http_parser_execute(&parser_, &settings_, rest.data(), rest.size());
            const auto ec = HTTP_PARSER_ERRNO(&parser_);
            if (ec == HPE_PAUSED && done_) {
                http_parser_pause(&parser_, 0);
                if (std::exchange(interim_, false)) {
                    if (++interim_responses_ > max_interim_responses) {
                        failed_ = true;
                        return {read_state::invalid, consumed};
                    }
                    restart();
                    continue;
                }
                interim_responses_ = 0;
                restart();
                return {read_state::complete, consumed};
            }
            if (ec != HPE_OK || (parser_.upgrade != 0 && kind_ == kind::response)) {
                failed_ = true;
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

    bool no_body_ = false;
    bool in_message_ = false;
    bool in_body_ = false;
    bool head_too_long_ = false;
    std::size_t head_bytes_ = 0;

private:
    static impl& self(http_parser* p) { return *static_cast<impl*>(p->data); }

    /// Each message gets a fresh parser, so that nothing of one reaches the next.
    void restart() {
        http_parser_init(&parser_, kind_ == kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
        parser_.data = this;
        in_message_ = false;
        in_body_ = false;
    }

    int on_begin() {
        in_message_ = true;
        head_bytes_ = 0;
        target_.clear();
        headers_ = {};
        field_.clear();
        value_.clear();
        in_value_ = false;
        return 0;
    }

    /// A field takes more memory than its text. The limit on requests is that of the text, as callers are
    /// told.
    int count_field() { return count_head(kind_ == kind::response ? sizeof(header_field) : 0); }

    int count_head(std::size_t n) {
        head_bytes_ += n;
        if (head_bytes_ > head_limit_) {
            head_too_long_ = true;
            return 1;
        }
        return 0;
    }

    int on_field(const char* at, std::size_t n) {
        if (in_value_) {
            finish_field();
            if (count_field() != 0) {
                return 1;
            }
        }
        field_.append(at, n);
        return count_head(n);
    }

    void finish_field() {
        if (field_.find_first_of(" \t") != std::string::npos) {
            bad_field_ = true;  // other readers take "Length : 5" for a length
        }
        if (!field_.empty()) {
            headers_.add(field_, value_);
        }
        field_.clear();
        value_.clear();
        in_value_ = false;
    }

    int on_head() {
        finish_field();
        if (bad_field_) {
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
            h.headers = std::move(headers_);
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
        h.headers = std::move(headers_);
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
    header_list headers_;
    std::string field_;
    std::string value_;
    bool in_value_ = false;
    bool done_ = false;
    bool interim_ = false;
    int interim_responses_ = 0;  ///< since the last final response
    bool failed_ = false;
    bool bad_field_ = false;
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
std::size_t message_reader::head_bytes() const {
    return impl_->in_message_ && !impl_->in_body_ ? impl_->head_bytes_ : 0;
}
bool message_reader::head_too_long() const {
    return impl_->head_too_long_;
}

}  // namespace chicorygap::http
