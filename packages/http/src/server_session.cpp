#include "http/server_session.h"

#include "memory/account.h"

#include <Poco/NumberFormatter.h>

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

bool has_no_body(int status) {
    return status / 100 == 1 || status == 204 || status == 304;
}

}  // namespace

server_session::server_session(net::loop& l, session_limits limits, session_hooks hooks)
    : loop_{l},
      limits_{limits},
      hooks_{std::move(hooks)},
      reader_{message_reader::kind::request,
              {.request =
                   [this](request_head&& h) {
                       current_.head = std::move(h);
                       reserve_body();
                   },
               .response = nullptr,
               .body = [this](std::string_view part) { add_to_body(part); }},
              limits.head_bytes},
      input_charge_{limits.account, memory::owner::caller_input} {}

server_session::~server_session() {
    loop_.cancel(timer_);
}

std::shared_ptr<server_session> server_session::start(net::loop& l, const Poco::Net::StreamSocket& socket,
                                                      session_limits limits, session_hooks hooks) {
    std::shared_ptr<server_session> s{new server_session{l, limits, std::move(hooks)}};
    const std::weak_ptr<server_session> weak = s;
    const auto with_self = [weak](auto&& f) {
        if (const auto self = weak.lock()) {
            f(*self);
        }
    };
    s->stream_ = net::stream::adopt(
        l, socket,
        {.connected = nullptr,
         .received = [with_self](std::string_view b) { with_self([b](auto& self) { self.received(b); }); },
         .drained =
             [with_self] {
                 with_self([](auto& self) {
                     if (self.hooks_.drained) {
                         self.hooks_.drained(self);
                     }
                 });
             },
         .ended = [with_self](net::stream_end) { with_self([](auto& self) { self.ended(); }); }});
    s->stream_->set_account(limits.account, memory::owner::caller_output);
    s->set_timer(limits.idle_time);
    return s;
}

std::shared_ptr<const std::string> share_body(request&& r) {
    struct held_body {
        std::string text;
        memory::charge charge;
    };
    const auto held =
        std::make_shared<const held_body>(held_body{std::move(r.body), std::move(r.body_charge)});
    return {held, &held->text};
}

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
    if (body_too_large_ || no_memory_for_body_) {
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
    input_charge_.set(input_.capacity() + reader_.head_bytes());
}

void server_session::received(std::string_view bytes) {
    const auto self = shared_from_this();
    if (dropping_input_) {
        drop_input(bytes.size());
        return;
    }
    input_.append(bytes);
    process_input();
    if (busy_ && input_.size() > early_input_limit) {
        dropping_input_ = true;
        close_after_current_ = true;
        drop_input(std::exchange(input_, {}).size());
    }
    count_input();
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
        if (no_memory_for_body_) {
            refuse_body();
        } else if (body_too_large_) {
            refuse_input(413);
        } else if (r.state == read_state::invalid) {
            refuse_input(reader_.head_too_long() ? 431 : 400);
        } else if (r.state == read_state::complete) {
            request_complete();
        } else if (began) {
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
    loop_.cancel(timer_);
    busy_ = true;
    close_after_current_ = true;
    chunked_answer_ = current_.head.http_1_1;
    no_answer_body_ = false;
    const auto refused = std::exchange(current_, {});
    hooks_.body_refused(*this, refused.head);
}

void server_session::refuse_input(int status) {
    busy_ = true;
    close_after_current_ = true;
    chunked_answer_ = true;
    no_answer_body_ = false;
    respond({.status = status}, {});
}

void server_session::ended() {
    const auto self = shared_from_this();
    loop_.cancel(timer_);
    if (std::exchange(busy_, false) && hooks_.caller_gone) {
        hooks_.caller_gone(*this);
    }
    if (hooks_.closed) {
        hooks_.closed(*this);
    }
}

void server_session::set_timer(base::duration d) {
    loop_.cancel(timer_);
    timer_ = loop_.after(d, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_timer();
        }
    });
}

void server_session::on_timer() {
    timer_ = net::timer_id::none;
    if (busy_) {
        return;
    }
    if (!reader_.in_message()) {
        abort();
        return;
    }
    // The head is bounded by its own limit; a body gets the idle time on top.
    if (reader_.in_body() && !std::exchange(body_time_added_, true)) {
        set_timer(limits_.idle_time);
        return;
    }
    refuse_input(408);
}

void server_session::respond(response_head head, std::string_view body) {
    head.length = body.size();
    write_head(head);
    if (!no_answer_body_) {
        stream_->write(body);
    }
    answer_done();
}

void server_session::begin(response_head head) {
    write_head(head);
}

void server_session::write_head(response_head& head) {
    close_after_current_ = close_after_current_ || last_request_;
    if (head.length) {
        if (!has_no_body(head.status)) {
            head.headers.add("Content-Length", Poco::NumberFormatter::format(*head.length));
        }
        chunked_answer_ = false;
    } else if (chunked_answer_) {
        head.headers.add("Transfer-Encoding", "chunked");
    } else {
        close_after_current_ = true;
        ends_with_connection_ = true;
    }
    if (close_after_current_) {
        head.headers.add("Connection", "close");
    }
    stream_->write(serialize(head));
}

void server_session::send(std::string_view part) {
    if (part.empty() || no_answer_body_) {
        return;
    }
    if (!chunked_answer_) {
        stream_->write(part);
        return;
    }
    std::string framed = Poco::NumberFormatter::formatHex(static_cast<Poco::UInt64>(part.size()));
    framed.append("\r\n").append(part).append("\r\n");
    stream_->write(framed);
}

void server_session::finish() {
    if (chunked_answer_ && !no_answer_body_) {
        stream_->write("0\r\n\r\n");
    }
    answer_done();
}

void server_session::answer_done() {
    const auto self = shared_from_this();
    busy_ = false;
    if (close_after_current_ || !stream_->open()) {
        input_.clear();
        stream_->close_when_drained();  // reports its end to `ended`
        return;
    }
    set_timer(limits_.idle_time);
    // The owner is still inside its call for this answer: the next request is reported from the loop.
    if (!processing_ && !input_.empty()) {
        loop_.after({}, [weak = weak_from_this()] {
            if (const auto s = weak.lock()) {
                s->process_input();
            }
        });
    }
}

void server_session::close_visibly() {
    if (std::exchange(ends_with_connection_, false)) {
        stream_->reset();  // an orderly end would make the answer look complete
    } else {
        stream_->close();
    }
}

void server_session::abort() {
    const auto self = shared_from_this();
    loop_.cancel(timer_);
    busy_ = false;
    close_visibly();
    if (hooks_.closed) {
        hooks_.closed(*this);
    }
}

}  // namespace chicorygap::http
