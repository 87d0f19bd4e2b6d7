#include "caller_connection.h"

#include "base/error.h"
#include "base/log.h"
#include "request_reader.h"
#include "socket_monitor.h"

#include <Poco/Net/NetException.h>

#include <optional>

namespace chicorygap::front {

using base::result_code;
using base::run_state;

namespace {

/// POCO reads the head in pieces of this size, so a request may exceed the limit by one piece that is already
/// body.
constexpr std::size_t read_ahead_bytes = 4096;

constexpr std::string_view log_part = "front";

}  // namespace

caller_connection::caller_connection(const Poco::Net::StreamSocket& socket,
                                     std::shared_ptr<server_context> context)
    : TCPServerConnection{socket}, context_{std::move(context)}, guard_{backend::guard_of(socket)} {
    ++context_->serving;
}

caller_connection::~caller_connection() {
    --context_->serving;
    --context_->open;
}

void caller_connection::run() {
    try {
        Poco::Net::HTTPServerSession session{socket(), context_->params};
        const registration entry{context_->connections, socket()};
        serve(session);
    } catch (const std::exception& e) {
        base::log_line{base::log_level::debug, log_part, "Caller connection ended."}.field("reason",
                                                                                           e.what());
    }
}

void caller_connection::serve(Poco::Net::HTTPServerSession& session) {
    while (session.hasMoreRequests()) {
        ended_ = context_->connections.begin_request(socket());
        const auto n = serve_request(session);
        if (n == next::close) {
            return;
        }
        // Asked after the connection was marked as waiting: a connection that was accepted before that did
        // not find this one and needs its thread.
        const bool keep = n == next::keep && context_->connections.end_request(socket()) && !crowded();
        if (!keep) {
            // The session closes its socket when it is destroyed.
            context_->closing.add(session.detachSocket());
            return;
        }
        session.setKeepAlive(true);
    }
}

caller_connection::next caller_connection::serve_request(Poco::Net::HTTPServerSession& session) {
    limit_head();
    Poco::Net::HTTPServerResponseImpl response{session};
    std::optional<Poco::Net::HTTPServerRequestImpl> request;
    std::string failure;
    try {
        request.emplace(response, session, context_->params.get());
    } catch (const Poco::Exception& e) {
        failure = e.displayText();
    } catch (const base::error& e) {
        failure = e.what();
    }
    if (request) {
        return answer(*request, response);
    }
    if (guard_->ended()) {
        return next::close;
    }
    return refuse_head(response, failure);
}

caller_connection::next caller_connection::refuse_head(Poco::Net::HTTPServerResponseImpl& response,
                                                       const std::string& what) {
    const auto reason = head_refusal(*guard_, what, guard_->received() - head_start_);
    limit_answer();
    response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    response.setKeepAlive(false);
    http_responder out{response, *guard_, {}, false};
    refuse(reason, out);
    return next::linger;
}

caller_connection::next caller_connection::answer(Poco::Net::HTTPServerRequestImpl& request,
                                                  Poco::Net::HTTPServerResponseImpl& response) {
    reservation memory{context_->bodies};
    guard_->set_receive_limit(0, result_code::internal);
    guard_->set_deadline(std::nullopt, result_code::internal);
    response.setVersion(request.getVersion());
    const auto id = context_->callbacks.next_id();
    request_reader reader{context_->options, context_->callbacks, request, response, *guard_, memory};
    std::variant<call, local_answer, refusal> checked;
    if (ended_) {
        checked = refusal{*ended_, run_state::not_run, "the connection is being closed", std::nullopt};
    } else {
        checked = reader.read(id);
    }
    limit_answer();
    const bool keep = reader.consumed() && may_keep(request);
    response.setKeepAlive(keep);
    http_responder out{response, *guard_, id, request.getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD};
    if (request.has("Idempotency-Key")) {
        out.set_idempotency_key_present();
    }
    if (auto* r = std::get_if<refusal>(&checked)) {
        refuse(*r, out);
    } else if (auto* l = std::get_if<local_answer>(&checked)) {
        out.json(Poco::Net::HTTPResponse::HTTP_OK, l->json);
    } else {
        execute(std::get<call>(checked), out);
    }
    if (guard_->stopped() || guard_->ended()) {
        return next::close;
    }
    return keep && response.getKeepAlive() ? next::keep : next::linger;
}

void caller_connection::execute(call& c, http_responder& out) {
    if (c.chat) {
        out.set_chat(*c.chat, c.estimated_prompt_tokens, context_->options.wall_now());
    }
    const socket_monitor monitor{guard_->sockfd()};
    refusal failure{result_code::internal, run_state::unknown, "the request ended without an answer",
                    std::nullopt};
    ++context_->running;
    try {
        context_->callbacks.execute(c, out, monitor);
    } catch (const base::error& e) {
        failure.code = e.code();
        base::log_line{base::log_level::info, log_part, "Request failed."}
            .field("request", c.id.str())
            .code(e.code());
    } catch (const std::exception& e) {
        base::log_line{base::log_level::error, log_part, "Request failed."}
            .field("request", c.id.str())
            .field("reason", e.what());
    }
    --context_->running;
    if (!out.finished() && !guard_->stopped()) {
        out.fail(failure);
    }
}

void caller_connection::refuse(const refusal& r, http_responder& out) {
    if (context_->callbacks.refused) {
        context_->callbacks.refused(r.code);
    }
    // A stopped guard would refuse the answer too; only the reading side of the connection has failed.
    guard_->resume();
    if (r.code == result_code::caller_gone) {
        guard_->stop(r.code);
        return;
    }
    out.fail(r);
}

void caller_connection::limit_head() {
    const auto& o = context_->options;
    guard_->set_idle({}, result_code::internal);
    guard_->set_deadline(base::boot_clock::now() + o.head_limit, result_code::caller_too_slow);
    head_start_ = guard_->received();
    guard_->set_receive_limit(head_start_ + o.header_bytes + read_ahead_bytes, result_code::header_too_large);
}

void caller_connection::limit_answer() {
    guard_->set_receive_limit(0, result_code::internal);
    guard_->set_deadline(std::nullopt, result_code::internal);
    guard_->set_idle(context_->options.write_limit, result_code::caller_too_slow);
}

bool caller_connection::crowded() const {
    return context_->open > context_->options.threads;
}

bool caller_connection::may_keep(const Poco::Net::HTTPServerRequestImpl& request) const {
    return request.getKeepAlive() && !crowded() && !context_->connections.draining();
}

}  // namespace chicorygap::front
