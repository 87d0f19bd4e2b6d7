#include "front/operator_server.h"

#include "base/error.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>

namespace chicorygap::front {

namespace {

using Poco::Net::HTTPResponse;

constexpr int operator_threads = 8;
constexpr int operator_queue = 16;
constexpr int operator_stack_bytes = 256 * 1024;
constexpr int operator_timeout_seconds = 5;

struct page {
    HTTPResponse::HTTPStatus status = HTTPResponse::HTTP_OK;
    std::string type = "text/plain";
    std::string text;
};

page not_found() {
    return {HTTPResponse::HTTP_NOT_FOUND, "text/plain", "not found\n"};
}

page make_page(const operator_hooks& h, const std::string& path) {
    if (path == "/healthz") {
        return {HTTPResponse::HTTP_OK, "text/plain", "ok\n"};
    }
    if (path == "/readyz") {
        const bool ready = h.ready && h.ready();
        return {ready ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "text/plain",
                ready ? "ready\n" : "not ready\n"};
    }
    if (path == "/metrics" && h.metrics_text) {
        return {HTTPResponse::HTTP_OK, "text/plain; version=0.0.4", h.metrics_text()};
    }
    if (path == "/status" && h.status_json) {
        return {HTTPResponse::HTTP_OK, "application/json", h.status_json()};
    }
    if (path == "/burn" && h.burn_json) {
        return {HTTPResponse::HTTP_OK, "application/json", h.burn_json()};
    }
    if (path == "/burn.html" && h.burn_html) {
        return {HTTPResponse::HTTP_OK, "text/html; charset=utf-8", h.burn_html()};
    }
    return not_found();
}

class page_handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit page_handler(const operator_hooks& h) : hooks_{h} {}

    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override {
        const auto& uri = request.getURI();
        page p;
        try {
            p = make_page(hooks_, uri.substr(0, uri.find('?')));
        } catch (const std::exception&) {
            p = {HTTPResponse::HTTP_INTERNAL_SERVER_ERROR, "text/plain", "internal error\n"};
        }
        response.setStatusAndReason(p.status);
        response.setContentType(p.type);
        response.sendBuffer(p.text.data(), p.text.size());
    }

private:
    const operator_hooks& hooks_;
};

class page_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit page_factory(operator_hooks h) : hooks_{std::move(h)} {}
    Poco::Net::HTTPRequestHandler* createRequestHandler(
        const Poco::Net::HTTPServerRequest& /*request*/) override {
        return new page_handler{hooks_};
    }

private:
    operator_hooks hooks_;
};

Poco::Net::ServerSocket listen(const std::string& host, std::uint16_t port) {
    try {
        return Poco::Net::ServerSocket{Poco::Net::SocketAddress{host, port}};
    } catch (const Poco::Exception& e) {
        throw base::error{base::result_code::settings_invalid,
                          "cannot listen on the operator port: " + e.displayText()};
    }
}

Poco::Net::HTTPServerParams::Ptr make_params() {
    Poco::Net::HTTPServerParams::Ptr p{new Poco::Net::HTTPServerParams};
    p->setMaxThreads(operator_threads);
    p->setMaxQueued(operator_queue);
    p->setTimeout(Poco::Timespan{operator_timeout_seconds, 0});
    p->setKeepAliveTimeout(Poco::Timespan{operator_timeout_seconds, 0});
    return p;
}

}  // namespace

class operator_server::impl {
public:
    impl(const std::string& host, std::uint16_t port, operator_hooks h)
        : socket_{listen(host, port)},
          pool_{1, operator_threads, 60, operator_stack_bytes},
          server_{new page_factory{std::move(h)}, pool_, socket_, make_params()} {}
    ~impl() { stop(); }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void start() { server_.start(); }
    void stop() {
        server_.stopAll(true);
        pool_.joinAll();
    }
    [[nodiscard]] std::uint16_t port() const { return socket_.address().port(); }

private:
    Poco::Net::ServerSocket socket_;
    Poco::ThreadPool pool_;
    Poco::Net::HTTPServer server_;
};

operator_server::operator_server(const std::string& host, std::uint16_t port, operator_hooks h)
    : impl_{std::make_unique<impl>(host, port, std::move(h))} {}
operator_server::~operator_server() = default;

void operator_server::start() {
    impl_->start();
}
void operator_server::stop() {
    impl_->stop();
}
std::uint16_t operator_server::port() const {
    return impl_->port();
}

}  // namespace chicorygap::front
