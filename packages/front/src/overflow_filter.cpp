#include "overflow_filter.h"

#include <sys/socket.h>

namespace chicorygap::front {

namespace {

std::string refusal_answer() {
    const auto body =
        problem_json({base::result_code::connections_exhausted, base::run_state::unknown,
                      "all connections of this VM are in use; the request was not read, and an earlier "
                      "try of it may have run",
                      std::nullopt});
    return "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/problem+json\r\nRetry-After: 1\r\n"
           "Connection: close\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

overflow_filter::overflow_filter(std::shared_ptr<server_context> context)
    : context_{std::move(context)}, answer_{refusal_answer()} {}

bool overflow_filter::accept(const Poco::Net::StreamSocket& socket) {
    const auto& o = context_->options;
    if (context_->open < o.threads + o.queue) {
        if (++context_->open > o.threads) {
            context_->connections.end_longest_waiting();
        }
        return true;
    }
    ++context_->refused;
    if (context_->callbacks.refused) {
        context_->callbacks.refused(base::result_code::connections_exhausted);
    }
    // The send buffer of a new connection always has room for the answer.
    ::send(socket.impl()->sockfd(), answer_.data(), answer_.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    context_->closing.add(socket);
    return false;
}

}  // namespace chicorygap::front
