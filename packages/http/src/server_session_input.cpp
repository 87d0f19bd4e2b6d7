// What a session does with the bytes of its caller.
#include "heap_bytes.h"
#include "http/server_session.h"
#include "memory/account.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace chicorygap::http {

namespace {

/// Input of later requests that is kept while one is answered. With more, these requests are not served and
/// the connection is closed after the answer.
constexpr std::size_t early_input_limit = std::size_t{64} * 1024;

/// Bodies up to this size are refused only while the memory limit is exceeded.
constexpr std::size_t small_body_bytes = std::size_t{32} * 1024;
/// Bodies up to this size, like those of orders, are never refused.
constexpr std::size_t always_taken_body_bytes = std::size_t{2} * 1024;
/// Capacity of an empty input buffer that is kept for the next request.
constexpr std::size_t kept_input_bytes = std::size_t{4} * 1024;

/// @return length that the head declares, or nothing.
std::optional<std::size_t> declared_length(const request_head& head) {
    const auto* value = head.headers.find("Content-Length");
    std::size_t length = 0;
    if (value == nullptr ||
        std::from_chars(value->data(), value->data() + value->size(), length).ec != std::errc{}) {
        return std::nullopt;
    }
    return length;
}

}  // namespace

bool server_session::charge_body(std::size_t bytes) {
    auto& charge = current_.body_charge;
    if (bytes > small_body_bytes) {
        return charge.try_set(bytes);
    }
    if (bytes > always_taken_body_bytes && limits_.account != nullptr &&
        limits_.account->level() == memory::pressure::exceeded) {
        return false;
    }
    charge.set(bytes);
    return true;
}

void server_session::reserve_body() {
    current_.body_charge = memory::charge{limits_.account, memory::owner::request_body};
    const auto length = declared_length(current_.head).value_or(0);
    if (length == 0) {
        return;
    }
    if (length > limits_.body_bytes) {
        body_too_large_ = true;
    } else if (charge_body(length)) {
        current_.body.reserve(length);
    } else {
        no_memory_for_body_ = true;
    }
}

void server_session::add_to_body(std::string_view part) {
    auto& body = current_.body;
    const auto size = body.size() + part.size();
    if (size > limits_.body_bytes) {
        body_too_large_ = true;
    }
    if (body_too_large_ || no_memory_for_body_ || no_memory_for_head_) {
        return;
    }
    if (size > body.capacity()) {
        const auto capacity = std::min(std::max(size, 2 * body.capacity()), limits_.body_bytes);
        if (!charge_body(capacity)) {
            no_memory_for_body_ = true;
            return;
        }
        body.reserve(capacity);
    }
    body.append(part);
}

void server_session::count_input() {
    if (input_.empty() && input_.capacity() > kept_input_bytes) {
        input_.shrink_to_fit();
    }
    input_charge_.set(input_.capacity());
}

bool server_session::count_head() {
    const auto needed = reader_.memory_bytes();
    if (!budget_.may_hold_head(head_charge_.bytes(), needed)) {
        return false;
    }
    head_charge_.set(needed);
    return true;
}

void server_session::take_head(request_head&& h) {
    const auto needed = h.headers.memory_bytes() + heap_bytes(h.target);
    no_memory_for_head_ = !budget_.may_hold_head(head_charge_.bytes(), needed);
    current_.head = std::move(h);
    head_charge_.set(0);
    if (no_memory_for_head_) {
        return;  // refused, and with it the memory given up, when the reader returns
    }
    current_.head_charge = memory::charge{limits_.account, memory::owner::request_head};
    current_.head_charge.set(needed);
    reserve_body();
}

void server_session::received(std::string_view bytes) {
    const auto self = shared_from_this();
    if (dropping_input_) {
        drop_input(bytes.size());
        return;
    }
    last_input_ = loop_.now();
    input_.append(bytes);
    process_input();
    if (input_.size() > early_input_limit || !budget_.may_hold_input(input_charge_.bytes(), input_.size())) {
        stop_reading();
    }
    count_input();
}

// Input is left only behind a request: a head or a body that is being read takes all of it.
void server_session::stop_reading() {
    dropping_input_ = true;
    close_after_current_ = true;
    drop_input(std::exchange(input_, {}).size());
    if (!busy_ && stream_->open()) {
        ending_ = true;
        stream_->close_when_drained();
    }
}

void server_session::continue_later() {
    loop_.after({}, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->process_input();
        }
    });
}

// The connection is read on, because an end of it behind unread input would not be seen.
void server_session::drop_input(std::size_t n) {
    dropped_bytes_ += n;
    if (dropped_bytes_ > limits_.head_bytes + limits_.body_bytes && stream_->open()) {
        close_visibly();
        ended();
    }
}

void server_session::process_input() {
    if (std::exchange(processing_, true)) {
        return;  // called from an answer that was given inside the loop below
    }
    while (!busy_ && !input_.empty() && stream_->open()) {
        const bool began = !reader_.in_message();
        const auto r = reader_.read(input_);
        input_.erase(0, r.consumed);
        if (no_memory_for_head_ || (in_unfinished_head() && !count_head())) {
            refuse_head();
        } else if (no_memory_for_body_) {
            refuse_body();
        } else if (body_too_large_) {
            refuse_input(413);
        } else if (r.state == read_state::invalid) {
            if (reader_.head_too_long() && hooks_.head_too_long) {
                hooks_.head_too_long();
            }
            refuse_input(reader_.head_too_long() ? 431 : 400);
        } else if (r.state == read_state::complete) {
            request_complete();
            if (!busy_ && !input_.empty()) {
                continue_later();  // other connections get their turn
                break;
            }
        } else if (began && reader_.in_message()) {  // blank lines alone extend no time
            set_timer(limits_.head_time);
        }
    }
    processing_ = false;
}

void server_session::request_complete() {
    loop_.cancel(timer_);
    busy_ = true;
    body_time_added_ = false;
    close_after_current_ = !current_.head.keep_alive;
    chunked_answer_ = current_.head.http_1_1;
    no_answer_body_ = current_.head.method == "HEAD";
    auto r = std::exchange(current_, {});
    hooks_.received(*this, std::move(r));
}

void server_session::refuse_body() {
    if (!hooks_.body_refused) {
        refuse_input(503);
        return;
    }
    const auto refused = std::exchange(current_, {});
    begin_refusal();
    chunked_answer_ = refused.head.http_1_1;
    hooks_.body_refused(*this, refused.head);
}

void server_session::refuse_head() {
    const bool whole = std::exchange(no_memory_for_head_, false);
    const auto refused = std::exchange(current_, {});
    begin_refusal();
    if (hooks_.head_refused) {
        hooks_.head_refused(*this, whole ? &refused.head : nullptr);
    } else {
        respond({.status = 503}, {});
    }
}

void server_session::refuse_input(int status) {
    begin_refusal();
    respond({.status = status}, {});
}

// Nothing more is read from the connection, so that nothing is kept for it.
void server_session::begin_refusal() {
    loop_.cancel(timer_);
    reader_.stop();
    head_charge_.set(0);
    current_ = {};
    std::string{}.swap(input_);
    input_charge_.set(0);
    busy_ = true;
    close_after_current_ = true;
    chunked_answer_ = true;
    no_answer_body_ = false;
}

void server_session::give_up() {
    const auto self = shared_from_this();
    if (busy_ || processing_ || ending_ || !stream_->open()) {
        return;
    }
    if (in_unfinished_head()) {
        refuse_head();
    } else if (!reader_.in_message()) {
        abort();
    }
}

held_connection server_session::holding() const {
    const auto use = busy_ || ending_ || reader_.in_body() ? connection_use::request
                     : reader_.in_message()                ? connection_use::unfinished_head
                                                           : connection_use::idle;
    return {.use = use,
            .bytes = connection_charge_.bytes() + input_charge_.bytes() + head_charge_.bytes(),
            .last_input = last_input_};
}

}  // namespace chicorygap::http
