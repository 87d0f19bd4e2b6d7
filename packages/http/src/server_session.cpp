#include "http/server_session.h"

#include "memory/account.h"

#include <Poco/NumberFormatter.h>

#include <utility>

namespace chicorygap::http {

namespace {

/// Objects of one connection: session, reader, stream, their hooks and the entry of the loop.
constexpr std::size_t connection_bytes = std::size_t{3} * 1024;

bool has_no_body(int status) {
    return status / 100 == 1 || status == 204 || status == 304;
}

}  // namespace

server_session::server_session(net::loop& l, session_limits limits, session_hooks hooks)
    : loop_{l},
      limits_{limits},
      hooks_{std::move(hooks)},
      reader_{message_reader::kind::request,
              {.request = [this](request_head&& h) { take_head(std::move(h)); },
               .response = nullptr,
               .body = [this](std::string_view part) { add_to_body(part); }},
              limits.head_bytes},
      budget_{limits.account},
      connection_charge_{limits.account, memory::owner::connection},
      input_charge_{limits.account, memory::owner::caller_input},
      head_charge_{limits.account, memory::owner::request_head},
      last_input_{l.now()} {
    connection_charge_.set(connection_bytes);
}

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
        ending_ = true;
        input_.clear();
        stream_->close_when_drained();  // reports its end to `ended`
        return;
    }
    set_timer(limits_.idle_time);
    // The owner is still inside its call for this answer: the next request is reported from the loop.
    if (!processing_ && !input_.empty()) {
        continue_later();
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
