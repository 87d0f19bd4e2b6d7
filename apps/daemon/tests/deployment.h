/// @file
/// Test fixture with daemons, backend servers and a platform, all in the test process and on loopback.
#pragma once

#include "base/time.h"
#include "daemon.h"
#include "settings/daemon_settings.h"
#include "standin_backend/server.h"
#include "standin_platform/server.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace chicorygap::daemon_app {

inline const std::string north_key = "demo-key-north";
inline const std::string south_key = "demo-key-south";
/// SHA-256 digests of the API keys, in hexadecimal.
inline const std::string north_key_digest =
    "88cf6ac6696b6e69892fc2174d894f44831251564176b17242f79c32e0692685";
inline const std::string south_key_digest =
    "ee295a8e36e0fb764948b0b8560838138be20af28f65aef4cb1af1a878918a21";

/// @return the document of the model service; only workspace `north` may use /reports.
/// @param south_keys `key` lines of workspace `south`.
inline std::string assistant_document(const std::string& south_keys = "key = " + south_key_digest + "\n") {
    return "[service]\nname = assistant\nkind = model\n"
           "[retry]\nshare = 0.5\noverload_share = 0.5\n"
           "[timeouts]\nconnect = 250ms\nfirst_byte = 5s\ntoken_gap = 2s\nidle = 30s\n"
           "[model standin]\ncontext_tokens = 65536\nmax_output_tokens = 8192\n"
           "[class question]\ntier = 1\nfirst_token_target = 430ms\ninter_token_target = 63ms\n"
           "attainment_target = 0.95\ndeadline = 5s\nqueue_length = 500\nfloor = 0.05\nfloor_wait = 2s\n"
           "[route default]\npath = /v1/chat/completions\nmethods = POST\nclass = question\n"
           "workspaces = all\n"
           "[route reports]\npath = /reports/v1/chat/completions\nbackend_path = /v1/chat/completions\n"
           "methods = POST\nclass = question\nworkspaces = north\n"
           "[workspace north]\nweight = 1\nkey = " +
           north_key_digest +
           "\nrequests_per_second = 100000\ntokens_per_second = 1000000\nconcurrency = 100\n"
           "[workspace south]\nweight = 1\n" +
           south_keys +
           "requests_per_second = 100000\ntokens_per_second = 1000000\nconcurrency = 100\n"
           "[server_kind standard]\nprice = 1\nslots = 8\nzone = a 1 4\n";
}

/// @return the document of the plain HTTP service, whose orders are not idempotent.
inline std::string dispatch_document() {
    return "[service]\nname = dispatch\nkind = plain\n"
           "[retry]\nshare = 0.5\noverload_share = 0.5\n"
           "[timeouts]\nconnect = 250ms\nfirst_byte = 5s\nidle = 30s\n"
           "[class order]\ntier = 0\nresponse_target = 200ms\nattainment_target = 0.995\ndeadline = 3s\n"
           "queue_length = 200\nfloor = 0.1\nfloor_wait = 500ms\n"
           "[route orders]\npath = /dispatch/orders\nmethods = POST\nclass = order\nworkspaces = all\n"
           "repeatable = no\nidempotency_key_required = yes\n"
           "[workspace north]\nweight = 1\nkey = " +
           north_key_digest +
           "\nrequests_per_second = 100000\nconcurrency = 100\n"
           "[server_kind standard]\nprice = 1\nslots = 8\nzone = a 1 4\n";
}

/// Polls the condition every 10 ms until it holds.
/// @return false if the condition did not hold within `timeout`.
inline bool wait_until(const std::function<bool()>& condition,
                       base::duration timeout = std::chrono::seconds{20}) {
    const auto end = base::boot_clock::now() + timeout;
    while (!condition()) {
        if (base::boot_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    return true;
}

struct http_response {
    int status = 0;
    std::string body;

    /// @return a member of the problem details in the body, as text; empty if there is none.
    [[nodiscard]] std::string problem_member(const std::string& member) const {
        try {
            Poco::JSON::Parser parser;
            const auto o = parser.parse(body).extract<Poco::JSON::Object::Ptr>();
            return o->has(member) ? o->get(member).toString() : std::string{};
        } catch (const std::exception&) {
            return {};
        }
    }
};

/// Sends one request on a new connection.
/// @return the response; its status is 0 if the connection failed.
inline http_response send_request(std::uint16_t port, const std::string& method, const std::string& path,
                                  const std::string& key = "", const std::string& body = "",
                                  const std::vector<std::pair<std::string, std::string>>& fields = {}) {
    http_response a;
    try {
        Poco::Net::HTTPClientSession session{"127.0.0.1", port};
        session.setTimeout(Poco::Timespan{20, 0});
        Poco::Net::HTTPRequest request{method, path, Poco::Net::HTTPMessage::HTTP_1_1};
        if (!key.empty()) {
            request.set("Authorization", "Bearer " + key);
        }
        for (const auto& [name, value] : fields) {
            request.set(name, value);
        }
        request.setContentType("application/json");
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        session.sendRequest(request) << body << std::flush;
        Poco::Net::HTTPResponse response;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), a.body);
        a.status = response.getStatus();
    } catch (const Poco::Exception& e) {
        a.body = e.displayText();
    }
    return a;
}

class deployment : public ::testing::Test {
protected:
    /// Starts the platform, `servers` backend servers of each service and `daemons` daemons, and waits until
    /// they are ready.
    void start(int daemon_count, int server_count, const standin_backend::options& o = {}) {
        platform = std::make_unique<standin_platform::server>(standin_platform::options{});
        store_document("assistant", assistant_document());
        store_document("dispatch", dispatch_document());
        for (int n = 0; n < server_count; n++) {
            add_server("assistant", o, assistant_servers);
            add_server("dispatch", o, dispatch_servers);
        }
        std::vector<std::uint16_t> peers;
        peers.reserve(static_cast<std::size_t>(daemon_count));
        peers.reserve(static_cast<std::size_t>(daemon_count));
        for (int n = 0; n < daemon_count; n++) {
            peers.push_back(free_port());
        }
        for (const auto port : peers) {
            daemons.push_back(std::make_unique<daemon>(make_settings(port, peers)));
            daemons.back()->start();
        }
        for (const auto& d : daemons) {
            ASSERT_TRUE(
                wait_until([&] { return send_request(d->operator_port(), "GET", "/readyz").status == 200; }));
            ASSERT_TRUE(wait_until([&] { return fetch_status(*d).find(last_server_) != std::string::npos; }));
        }
    }

    void TearDown() override {
        std::vector<std::future<void>> drain_results;
        for (const auto& d : daemons) {
            if (d) {
                drain_results.push_back(std::async(std::launch::async, [&d] { d->drain(); }));
            }
        }
        for (auto& f : drain_results) {
            f.get();
        }
    }

    static std::string fetch_status(const daemon& d) {
        return send_request(d.operator_port(), "GET", "/status").body;
    }

    /// Stores a new version of a document.
    void store_document(const std::string& service, const std::string& text) const {
        const auto key = "document/" + service;
        const auto current = platform->objects().get(key);
        ASSERT_TRUE(platform->objects().put(key, text, current ? current->version : 0).applied);
    }

    /// Sets the entry of a backend server in the platform's server list.
    void set_listed_server(const std::string& service, std::size_t number, std::uint16_t port,
                           ports::vm_state s) const {
        ports::backend_server b;
        b.id = base::backend_server_id{service + "-" + std::to_string(number)};
        b.zone = base::zone_id{"a"};
        b.service = base::service_id{service};
        b.kind = "standard";
        b.address = "127.0.0.1:" + std::to_string(port);
        b.slots = 8;
        b.state = s;
        platform->fleet().set(b);
    }

    /// @return number of callers' requests that the server received, without cancellations.
    static std::size_t received_request_count(const standin_backend::server& s) {
        std::size_t n = 0;
        for (const auto& r : s.received()) {
            n += r.method == "POST" && !r.target.starts_with("/cancel") ? 1U : 0U;
        }
        return n;
    }

    std::unique_ptr<standin_platform::server> platform;
    std::vector<std::unique_ptr<standin_backend::server>> assistant_servers;
    std::vector<std::unique_ptr<standin_backend::server>> dispatch_servers;
    std::vector<std::unique_ptr<daemon>> daemons;

private:
    void add_server(const std::string& service, const standin_backend::options& o,
                    std::vector<std::unique_ptr<standin_backend::server>>& out) {
        out.push_back(std::make_unique<standin_backend::server>(o));
        set_listed_server(service, out.size(), out.back()->port(), ports::vm_state::live);
        last_server_ = service + "-" + std::to_string(out.size());
    }

    /// @return a free port for a peer address. The port must be known in advance because the daemon announces
    /// it to its peers.
    static std::uint16_t free_port() {
        const Poco::Net::ServerSocket s{Poco::Net::SocketAddress{"127.0.0.1", 0}};
        return s.address().port();
    }

    [[nodiscard]] settings::daemon_settings make_settings(std::uint16_t port,
                                                          const std::vector<std::uint16_t>& peers) const {
        std::string seeds;
        for (const auto p : peers) {
            seeds += (seeds.empty() ? "" : ", ") + ("127.0.0.1:" + std::to_string(p));
        }
        const auto text = "[daemon]\nvm = vm-" + std::to_string(daemons.size() + 1) +
                          "\nzone = a\n[listen]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\n"
                          "peers = 127.0.0.1:" +
                          std::to_string(port) + "\n[peers]\nseeds = " + seeds +
                          "\n[platform]\naddress = 127.0.0.1:" + std::to_string(platform->port()) +
                          "\n[limits]\nconnections = 64\n[timeouts]\nplatform_watch = 200ms\n[drain]\ndelay "
                          "= 100ms\nlimit = 20s\n";
        const auto r = settings::parse(text, "test.ini");
        if (!r.settings) {
            throw std::runtime_error{document::to_string(r.faults)};
        }
        return *r.settings;
    }

    std::string last_server_;
};

}  // namespace chicorygap::daemon_app
