#include "standin_platform/server.h"

#include "request_handler.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

namespace chicorygap::standin_platform {

namespace {

// Every pending watch occupies a thread.
constexpr int max_threads = 512;

class handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit handler_factory(platform_state& state) : state_{state} {}
    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override {
        return new request_handler{state_};
    }

private:
    platform_state& state_;
};

Poco::Net::HTTPServerParams::Ptr parameters() {
    Poco::Net::HTTPServerParams::Ptr p = new Poco::Net::HTTPServerParams;
    p->setMaxThreads(max_threads);
    p->setMaxQueued(max_threads);
    p->setKeepAlive(true);
    p->setMaxKeepAliveRequests(0);
    p->setKeepAliveTimeout(Poco::Timespan{60, 0});
    return p;
}

}  // namespace

struct server::implementation {
    explicit implementation(const options& o)
        : state{o},
          socket{Poco::Net::SocketAddress{o.host, o.port}},
          http{new handler_factory{state}, pool, socket, parameters()} {
        http.start();
    }

    ~implementation() {
        state.stop();
        http.stopAll(true);
        pool.joinAll();
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    platform_state state;
    Poco::ThreadPool pool{2, max_threads};
    Poco::Net::ServerSocket socket;
    Poco::Net::HTTPServer http;
};

server::server(const options& o) : implementation_{std::make_unique<implementation>(o)} {}

server::~server() = default;

std::uint16_t server::port() const {
    return implementation_->socket.address().port();
}

object_table& server::objects() {
    return implementation_->state.objects;
}

fleet_table& server::fleet() {
    return implementation_->state.fleet;
}

order_book& server::orders() {
    return implementation_->state.orders;
}

billing_book& server::billing() {
    return implementation_->state.billing;
}

fault_plan& server::faults() {
    return implementation_->state.faults;
}

std::map<std::string, std::uint64_t> server::calls() const {
    const std::lock_guard lock{implementation_->state.mutex};
    return implementation_->state.calls;
}

}  // namespace chicorygap::standin_platform
