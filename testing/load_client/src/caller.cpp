#include "caller.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <sstream>

namespace chicorygap::load_client {

namespace {

constexpr int max_tries = 4;
constexpr int answer_timeout_seconds = 60;

std::string expected_text(int tokens) {
    std::string out;
    for (int n = 0; n < tokens; n++) {
        out += "tok" + std::to_string(n) + ' ';
    }
    return out;
}

Poco::JSON::Object::Ptr parse(const std::string& text) {
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
}

outcome refused(const std::string& problem) {
    outcome o;
    o.result = verdict::refused;
    const auto j = parse(problem);
    o.code = j->getValue<int>("code");
    o.run_state = j->getValue<std::string>("run_state");
    return o;
}

outcome wrong(const std::string& detail) {
    outcome o;
    o.result = verdict::wrong;
    o.detail = detail;
    return o;
}

outcome answered() {
    outcome o;
    o.result = verdict::answered;
    o.run_state = "run";
    return o;
}

std::string delta_text(const std::string& event) {
    const auto choices = parse(event)->getArray("choices");
    if (choices.isNull() || choices->size() == 0) {
        return {};
    }
    const auto delta = choices->getObject(0)->getObject("delta");
    return delta.isNull() ? std::string{} : delta->optValue<std::string>("content", "");
}

outcome read_stream(std::istream& in, int tokens) {
    std::string text;
    bool error_event = false;
    for (std::string line; std::getline(in, line);) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (line == "event: error") {
            error_event = true;
        } else if (line.rfind("data: ", 0) != 0) {
            continue;
        } else if (error_event) {
            return refused(line.substr(6));
        } else if (line == "data: [DONE]") {
            return text == expected_text(tokens) ? answered()
                                                 : wrong("stream text differs: " + text.substr(0, 60));
        } else {
            text += delta_text(line.substr(6));
        }
    }
    return {};
}

outcome read_chat(const std::string& body, int tokens) {
    const auto message = parse(body)->getArray("choices")->getObject(0)->getObject("message");
    const auto text = message->getValue<std::string>("content");
    return text == expected_text(tokens) ? answered() : wrong("chat text differs: " + text.substr(0, 60));
}

}  // namespace

outcome caller::send(const planned_request& r) {
    outcome o;
    for (int n = 1; n <= max_tries; n++) {
        try {
            o = send_once(r, daemons_[next_ % daemons_.size()]);
        } catch (const Poco::Exception& e) {
            o = {};
            o.detail = e.displayText();
        }
        o.tries = n;
        if (o.result != verdict::cut) {
            return o;
        }
        next_++;
    }
    return o;
}

outcome caller::send_once(const planned_request& r, const std::string& daemon) {
    Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress{daemon}};
    session.setTimeout(Poco::Timespan{answer_timeout_seconds, 0});
    Poco::Net::HTTPRequest request{r.method, r.path, Poco::Net::HTTPMessage::HTTP_1_1};
    request.set("Authorization", "Bearer " + r.key);
    if (!r.idempotency_key.empty()) {
        request.set("Idempotency-Key", r.idempotency_key);
    }
    if (!r.body.empty()) {
        request.setContentType("application/json");
        request.setContentLength64(static_cast<Poco::Int64>(r.body.size()));
    }
    session.sendRequest(request) << r.body << std::flush;
    Poco::Net::HTTPResponse response;
    auto& in = session.receiveResponse(response);
    if (response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK && r.kind == request_kind::stream) {
        return read_stream(in, r.tokens);
    }
    std::string body;
    Poco::StreamCopier::copyToString(in, body);
    if (response.hasContentLength() &&
        body.size() != static_cast<std::size_t>(response.getContentLength64())) {
        return {};
    }
    if (response.getContentType() == "application/problem+json") {
        return refused(body);
    }
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
        return wrong("status " + std::to_string(response.getStatus()) + " without problem details");
    }
    return r.kind == request_kind::chat ? read_chat(body, r.tokens) : answered();
}

}  // namespace chicorygap::load_client
