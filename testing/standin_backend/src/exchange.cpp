#include "exchange.h"

#include "backend/guarded_socket.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/StreamCopier.h>
#include <Poco/String.h>

#include <charconv>
#include <chrono>

namespace chicorygap::standin_backend {

namespace {

backend::guarded_socket* guard(Poco::Net::HTTPServerRequest& request) {
    return backend::guard_of(dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket());
}

}  // namespace

std::string received_request::field(const std::string& name) const {
    for (const auto& [n, v] : fields) {
        if (Poco::icompare(n, name) == 0) {
            return v;
        }
    }
    return {};
}

std::string received_request::text() const {
    std::string out = method + " " + target + "\n";
    for (const auto& [n, v] : fields) {
        out.append(n).append(": ").append(v).append("\n");
    }
    return out + "\n" + body;
}

exchange::exchange(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
    : request_{request}, response_{response}, received_{request.getMethod(), request.getURI(), {}, {}} {
    for (const auto& [name, value] : request) {
        received_.fields.emplace_back(name, value);
    }
    if (request.hasContentLength() || request.getChunkedTransferEncoding()) {
        Poco::StreamCopier::copyToString(request.stream(), received_.body);
    }
    if (request.has("X-Request-Id")) {
        response_.set("X-Request-Id", request.get("X-Request-Id"));
    }
}

std::string exchange::path() const {
    return received_.target.substr(0, received_.target.find('?'));
}

std::optional<std::uint64_t> exchange::number(const std::string& parameter) const {
    const auto at = received_.target.find(parameter + "=");
    if (at == std::string::npos) {
        return std::nullopt;
    }
    const auto text = received_.target.substr(at + parameter.size() + 1);
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    return ec == std::errc{} ? std::optional{n} : std::nullopt;
}

void exchange::echo_wrong_id() {
    response_.set("X-Request-Id", request_.get("X-Request-Id", "") + "-other");
}

void exchange::json(int status, const std::string& text) {
    response_.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response_.setContentType("application/json");
    response_.sendBuffer(text.data(), text.size());
}

void exchange::begin(const std::string& type) {
    response_.setContentType(type);
    response_.setChunkedTransferEncoding(true);
    out_ = &response_.send();
}

bool exchange::write(const std::string& bytes) {
    out_->write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    out_->flush();
    return static_cast<bool>(*out_) && !guard(request_)->ended();
}

void exchange::reset() {
    guard(request_)->setLinger(true, 0);
    cut();
}

void exchange::cut() {
    response_.setKeepAlive(false);
    guard(request_)->stop(base::result_code::backend_failed);
}

void exchange::set(const std::string& name, const std::string& value) {
    response_.set(name, value);
}

}  // namespace chicorygap::standin_backend
