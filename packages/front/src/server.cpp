#include "front/server.h"

#include "backend/guarded_socket.h"
#include "base/error.h"
#include "caller_connection.h"
#include "overflow_filter.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>

#include <algorithm>

namespace chicorygap::front {

namespace {

/// Threads kept without work.
constexpr int idle_threads = 2;
constexpr int idle_thread_seconds = 60;
/// Connections the kernel holds before they are accepted; bursts arrive faster than threads start.
constexpr int accept_backlog = 1024;

Poco::Timespan to_timespan(base::duration d) {
    return Poco::Timespan{std::chrono::duration_cast<std::chrono::microseconds>(d).count()};
}

Poco::Net::HTTPServerParams::Ptr make_params(const server_options& o) {
    Poco::Net::HTTPServerParams::Ptr p{new Poco::Net::HTTPServerParams};
    p->setMaxThreads(o.threads);
    p->setMaxQueued(o.threads + o.queue);  // the filter applies the real limit
    p->setTimeout(to_timespan(o.head_limit));
    p->setKeepAlive(true);
    p->setKeepAliveTimeout(to_timespan(o.keep_alive));
    return p;
}

class connection_factory : public Poco::Net::TCPServerConnectionFactory {
public:
    explicit connection_factory(std::shared_ptr<server_context> context) : context_{std::move(context)} {}
    Poco::Net::TCPServerConnection* createConnection(const Poco::Net::StreamSocket& socket) override {
        return new caller_connection{socket, context_};
    }

private:
    std::shared_ptr<server_context> context_;
};

backend::guarded_listener listen(const server_options& o) {
    try {
        return backend::guarded_listener{Poco::Net::SocketAddress{o.host, o.port}, accept_backlog};
    } catch (const Poco::Exception& e) {
        throw base::error{
            base::result_code::settings_invalid,
            "cannot listen on " + o.host + ":" + std::to_string(o.port) + ": " + e.displayText()};
    }
}

}  // namespace

class server::impl {
public:
    impl(server_options options, hooks h)
        : context_{std::make_shared<server_context>(std::move(options), std::move(h))},
          listener_{listen(context_->options)},
          pool_{std::min(idle_threads, context_->options.threads), context_->options.threads,
                idle_thread_seconds, context_->options.stack_bytes} {
        context_->params = make_params(context_->options);
        server_ = std::make_unique<Poco::Net::TCPServer>(new connection_factory{context_}, pool_, listener_,
                                                         context_->params);
        server_->setConnectionFilter(new overflow_filter{context_});
    }

    ~impl() { stop(); }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void start() { server_->start(); }
    void drain() {
        server_->stop();
        context_->connections.drain();
    }
    void stop() {
        server_->stop();
        context_->connections.shutdown();
        pool_.joinAll();
    }
    [[nodiscard]] std::uint16_t port() const { return listener_.address().port(); }
    [[nodiscard]] const server_context& context() const { return *context_; }

private:
    std::shared_ptr<server_context> context_;
    backend::guarded_listener listener_;
    Poco::ThreadPool pool_;
    std::unique_ptr<Poco::Net::TCPServer> server_;
};

server::server(server_options options, hooks h)
    : impl_{std::make_unique<impl>(std::move(options), std::move(h))} {}
server::~server() = default;

void server::start() {
    impl_->start();
}
void server::drain() {
    impl_->drain();
}
void server::stop() {
    impl_->stop();
}
std::uint16_t server::port() const {
    return impl_->port();
}
int server::connections() const {
    return impl_->context().serving;
}
int server::running() const {
    return impl_->context().running;
}
std::uint64_t server::refused_connections() const {
    return impl_->context().refused;
}

}  // namespace chicorygap::front
