#include "standin_backend/server.h"

#include "backend/guarded_socket.h"
#include "base/error.h"
#include "handler.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

namespace chicorygap::standin_backend {

namespace {

constexpr int stack_bytes = 256 * 1024;
constexpr int accept_backlog = 1024;
constexpr int keep_alive_seconds = 60;

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit handler_factory(state& s) : state_{s} {}
    Poco::Net::HTTPRequestHandler* createRequestHandler(
        const Poco::Net::HTTPServerRequest& /*request*/) override {
        return new handler{state_};
    }

private:
    state& state_;
};

backend::guarded_listener listen(const options& o) {
    try {
        return backend::guarded_listener{Poco::Net::SocketAddress{o.host, o.port}, accept_backlog};
    } catch (const Poco::Exception& e) {
        throw base::error{base::result_code::settings_invalid, "cannot listen: " + e.displayText()};
    }
}

Poco::Net::HTTPServerParams::Ptr make_params(const options& o) {
    Poco::Net::HTTPServerParams::Ptr p{new Poco::Net::HTTPServerParams};
    p->setMaxThreads(o.threads);
    p->setMaxQueued(o.threads);
    p->setKeepAliveTimeout(Poco::Timespan{keep_alive_seconds, 0});
    return p;
}

}  // namespace

class server::impl {
public:
    explicit impl(options o)
        : state_{std::move(o)},
          listener_{listen(state_.settings)},
          pool_{2, state_.settings.threads, keep_alive_seconds, stack_bytes},
          server_{new handler_factory{state_}, pool_, listener_, make_params(state_.settings)} {
        server_.start();
    }
    ~impl() {
        state_.log.inject({fault_kind::restart, "/", 1, std::chrono::hours{1}, 0});
        state_.batch.close();
        server_.stopAll(true);
        pool_.joinAll();
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    [[nodiscard]] std::uint16_t port() const { return listener_.address().port(); }
    [[nodiscard]] state& data() { return state_; }

private:
    state state_;
    backend::guarded_listener listener_;
    Poco::ThreadPool pool_;
    Poco::Net::HTTPServer server_;
};

server::server(options o) : impl_{std::make_unique<impl>(std::move(o))} {}
server::~server() = default;

std::uint16_t server::port() const {
    return impl_->port();
}

void server::inject(const fault& f) {
    impl_->data().log.inject(f);
    if (f.kind == fault_kind::restart) {
        impl_->data().batch.stop_all();
    }
}

std::vector<received_request> server::received() const {
    return impl_->data().log.received();
}

std::uint64_t server::runs(const std::string& idempotency_key) const {
    const auto all = impl_->data().log.runs();
    const auto it = all.find(idempotency_key);
    return it == all.end() ? 0 : it->second;
}

std::vector<std::string> server::cancelled() const {
    return impl_->data().batch.cancelled();
}

bool server::wait_for_jobs(std::size_t n, base::duration limit) const {
    return impl_->data().batch.wait_for_jobs(n, limit);
}

bool server::wait_for_received(std::size_t n, base::duration limit) const {
    return impl_->data().log.wait_for_received(n, limit);
}

}  // namespace chicorygap::standin_backend
