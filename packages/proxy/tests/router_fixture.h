/// @file
/// Router between test callers and scripted servers, over real sockets.
#pragma once

#include "http/server_session.h"
#include "memory/account.h"
#include "net/listener.h"
#include "net/loop.h"
#include "net/stream.h"
#include "proxy/request_router.h"
#include "scripted_server.h"
#include "test_event_check.h"
#include "test_header_codec.h"

#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace chicorygap::proxy {

using namespace std::chrono_literals;
using connection = scripted_server::connection;

inline std::string make_response(const std::string& id, const std::string& body, int status = 200,
                                 const std::string& extra = "") {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nId: " + id + "\r\n" + extra +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string stream_head(const std::string& id) {
    return "HTTP/1.1 200 OK\r\nId: " + id +
           "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

inline std::string chunk(const std::string& text) {
    std::ostringstream os;
    os << std::hex << text.size() << "\r\n" << text << "\r\n";
    return os.str();
}

inline std::string event(int id) {
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

inline bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

/// Caller that stores the bytes it receives.
struct test_caller {
    std::shared_ptr<net::stream> stream;
    std::string received;
    bool closed = false;
};

struct request_router_test : testing::Test {
    static constexpr std::size_t memory_limit_bytes = std::size_t{32} * 1024 * 1024;

    memory::account account{memory_limit_bytes};
    net::loop loop;
    test_header_codec codec;
    std::uint64_t random_state = 0;
    std::vector<request_record> records;
    std::vector<std::string> started_runs;
    std::uint32_t server_slots = 4;
    std::vector<std::string> server_services;
    request_router router{
        loop,
        codec,
        {.self = base::vm_id{"vm"},
         .zone = base::zone_id{"z"},
         .retries = {.ratio = 1, .extra_retries = 100, .window = 10s},
         .account = &account},
        [this] { return ++random_state << 40; },
        {.run_started = [this](const base::workspace_id& w) { started_runs.push_back(w.str()); },
         .request_ended = [this](const request_record& r) { records.push_back(r); },
         .signals_changed = nullptr,
         .signal_news = nullptr,
         .check_event = check_test_event}};
    std::set<std::shared_ptr<http::server_session>> sessions;
    net::listener listener{loop, {"127.0.0.1", 0}, [this](const Poco::Net::StreamSocket& s) { accept(s); }};
    std::vector<std::unique_ptr<scripted_server>> servers;
    std::vector<std::unique_ptr<scripted_server>> removed_servers;

    void accept(const Poco::Net::StreamSocket& socket) {
        sessions.insert(http::server_session::start(
            loop, socket, {.account = &account},
            {.received = [this](http::server_session& s,
                                http::request&& r) { router.handle(s, std::move(r)); },
             .body_refused = [this](http::server_session& s,
                                    const http::request_head& h) { router.refuse_body(s, h); },
             .caller_gone = [this](http::server_session& s) { router.caller_disconnected(s); },
             .drained = [this](http::server_session& s) { router.drained(s); },
             .closed = [this](http::server_session& s) { sessions.erase(s.shared_from_this()); }}));
    }

    static catalog::route make_route(const std::string& prefix, catalog::request_kind kind,
                                     std::uint32_t attempts) {
        catalog::route r;
        r.name = prefix;
        r.host = "h";
        r.path_prefix = prefix;
        r.kind = kind;
        r.timeout = 2s;
        r.target_latency = 100ms;
        r.target_gap = 100ms;
        r.services = {{base::service_id{"s"}, 1}};
        r.max_attempts = attempts;
        return r;
    }

    void load_catalog() {
        auto c = std::make_shared<catalog::snapshot>();
        c->version = 1;
        c->api_keys_required = true;
        c->add_api_key("k", {base::workspace_id{"north"}, {}});
        c->add(make_route("/read/", catalog::request_kind::idempotent, 2));
        c->add(make_route("/order/", catalog::request_kind::non_idempotent, 1));
        auto draft = make_route("/draft/", catalog::request_kind::streaming, 1);
        c->add(draft);
        auto resumable = make_route("/talk/", catalog::request_kind::streaming, 2);
        resumable.resumable = true;
        c->add(resumable);
        auto other = make_route("/other/", catalog::request_kind::non_idempotent, 1);
        other.services = {{base::service_id{"other"}, 1}};
        c->add(other);
        c->add(catalog::service{.id = base::service_id{"s"}});
        c->add(catalog::service{.id = base::service_id{"other"}});
        router.set_catalog(c);
    }

    /// @param service its route is "/other/" if it is "other".
    void add_server(scripted_server::script s, const std::string& service = "s") {
        servers.push_back(std::make_unique<scripted_server>(loop, std::move(s)));
        server_services.push_back(service);
        std::vector<catalog::backend_server> list;
        for (std::size_t i = 0; i < servers.size(); ++i) {
            catalog::backend_server b;
            b.id = base::backend_server_id{"server" + std::to_string(i)};
            b.service = base::service_id{server_services[i]};
            b.address = servers[i]->address();
            b.zone = base::zone_id{"z"};
            b.slots = server_slots;
            list.push_back(b);
        }
        router.set_servers(list);
    }

    /// Ends all servers and forgets them. They live on, since the loop may still serve their connections.
    void remove_servers() {
        router.set_servers({});
        for (auto& s : servers) {
            s->end_process();
            removed_servers.push_back(std::move(s));
        }
        servers.clear();
        server_services.clear();
    }

    std::shared_ptr<test_caller> send_request(const std::string& path, const std::string& id,
                                              const std::string& key = "k", const std::string& body = "",
                                              const std::string& prompt_parts = "") {
        auto c = std::make_shared<test_caller>();
        c->stream = net::stream::connect(loop, listener.local(), 1s,
                                         {.connected = nullptr,
                                          .received = [c](std::string_view b) { c->received.append(b); },
                                          .drained = nullptr,
                                          .ended = [c](net::stream_end) { c->closed = true; }});
        c->stream->write("POST " + path + " HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nKey: " + key +
                         (prompt_parts.empty() ? "" : "\r\nParts: " + prompt_parts) +
                         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        return c;
    }

    /// Runs the loop until `done` returns true.
    /// @param limit longest time.
    /// @return result of `done`.
    bool run_until(const std::function<bool()>& done, base::duration limit = 2500ms) {
        const auto end = base::boot_clock::now() + limit;
        while (!done() && base::boot_clock::now() < end) {
            loop.run_once(20ms);
        }
        return done();
    }

    bool wait_for_records(std::size_t n = 1) {
        const bool result = run_until([&] { return records.size() >= n; });
        for (int i = 0; i < 5; ++i) {
            loop.run_once(5ms);  // delivers the last bytes to the caller
        }
        return result;
    }
};

}  // namespace chicorygap::proxy
