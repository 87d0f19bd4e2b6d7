/// @file
/// A small fleet for tests: daemons as processes, and stand-ins for store, servers and callers.
#pragma once

#include "base/time.h"
#include "net/loop.h"
#include "standin/caller.h"
#include "standin/cloud_api.h"
#include "standin/configuration.h"
#include "standin/daemon_process.h"
#include "standin/execution_log.h"
#include "standin/fault_injection_proxy.h"
#include "standin/object_store.h"
#include "standin/server.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unistd.h>
#include <vector>

namespace chicorygap::testing_fleet {

/// Three daemons in zones of their own, each with a link of its own to the store. Tests add the servers.
///
/// Usage: `add_server(id, service); start_daemons(); ... send(daemon, call)`.
class fleet : public testing::Test {
protected:
    static constexpr std::size_t daemon_count = 3;
    /// Drain time in the settings of `standin::daemon_process`.
    static constexpr base::duration drain_time = std::chrono::seconds{2};
    static constexpr const char* key = "key-north";

    struct daemon {
        std::unique_ptr<standin::fault_injection_proxy> to_store;
        std::unique_ptr<standin::daemon_process> process;
        std::shared_ptr<standin::caller> caller;
    };

    void SetUp() override {
        std::filesystem::create_directories(folder_);
        configuration.api_keys["north"] = {key};
        configuration.api_keys["south"] = {"key-south"};
        configure();
    }

    void TearDown() override {
        daemons.clear();
        if (!HasFailure()) {
            std::filesystem::remove_all(folder_);
        }
    }

    /// Writes the next version of the configuration.
    void configure() {
        ++configuration.version;
        store.put("config", "main", configuration.to_json());
    }

    standin::server& add_server(const std::string& id, const std::string& service,
                                const std::string& zone = "a") {
        standin::server_options o{.id = id, .service = service, .zone = zone};
        o.processing_time = processing_time;
        o.event_count = service == standin::assistant_service ? 4 : 0;
        servers.push_back(std::make_unique<standin::server>(loop, o, store, runs));
        servers.back()->register_self(servers.back()->address());
        return *servers.back();
    }

    /// Starts the daemons and waits until each serves requests.
    void start_daemons() {
        const net::address any{"127.0.0.1", 0};
        for (std::size_t i = 0; i < daemon_count; ++i) {
            daemon d;
            d.to_store = std::make_unique<standin::fault_injection_proxy>(loop, any, store.address());
            d.process = std::make_unique<standin::daemon_process>(
                standin::daemon_options{.program = CHICORYGAPD,
                                        .directory = folder_,
                                        .vm = "vm-" + std::to_string(i),
                                        .zone = std::string(1, static_cast<char>('a' + i)),
                                        .host = host(i),
                                        .store = d.to_store->address(),
                                        .cloud_api = duties.address(),
                                        .seeds = {{host(0), standin::daemon_process::operators_port}},
                                        .stop_timeout = stop_timeout,
                                        .evacuation_deadline = evacuation_deadline});
            d.process->start();
            d.caller = std::make_shared<standin::caller>(loop, d.process->caller_address());
            daemons.push_back(std::move(d));
        }
        for (std::size_t i = 0; i < daemon_count; ++i) {
            ASSERT_TRUE(run_until([&] { return send(i, probe_path()).status == 200; })) << "daemon " << i;
        }
        run_for(std::chrono::milliseconds{600});  // the daemons discover each other
    }

    /// @return path of a service that has servers.
    [[nodiscard]] const char* probe_path() const {
        return servers.front()->options().service == standin::order_service ? standin::read_path
                                                                            : standin::chat_path;
    }

    void run_for(base::duration d) {
        run_until([] { return false; }, d);
    }

    bool run_until(const std::function<bool()>& done, base::duration limit = std::chrono::seconds{10}) {
        const auto end = base::boot_clock::now() + limit;
        while (!done()) {
            if (base::boot_clock::now() >= end) {
                return false;
            }
            loop.run_once(std::chrono::milliseconds{10});
        }
        return true;
    }

    /// Sends one request to a daemon and waits for its outcome.
    standin::call_outcome send(std::size_t i, const std::string& path = standin::read_path,
                               const std::string& api_key = key) {
        return send_call(i, {.id = "request-" + std::to_string(++last_id_),
                             .host = standin::site_host,
                             .path = path,
                             .api_key = api_key});
    }

    standin::call_outcome send_call(std::size_t i, const standin::call_options& call) {
        standin::call_outcome out;
        bool ended = false;
        daemons.at(i).caller->send(call, [&](standin::call_outcome o) {
            out = std::move(o);
            ended = true;
        });
        EXPECT_TRUE(run_until([&] { return ended; }));
        return out;
    }

    /// @return servers that ran at least one of `n` requests to a daemon.
    std::set<std::string> servers_used_by(std::size_t i, int n) {
        std::set<std::string> out;
        for (int k = 0; k < n; ++k) {
            const auto o = send(i);
            for (const auto& run : runs.executions_of(o.id)) {
                out.insert(run.server);
            }
        }
        return out;
    }

    /// Closes the connections between a daemon and the store and refuses new ones.
    void disconnect_from_store(std::size_t i) {
        daemons.at(i).to_store->set_fault(standin::link_fault::refuse_connections);
        daemons.at(i).to_store->close_connections();
    }
    void reconnect_to_store(std::size_t i) { daemons.at(i).to_store->set_fault(standin::link_fault::none); }

    /// Time from SIGTERM until a daemon must have ended.
    base::duration stop_timeout = std::chrono::seconds{6};
    /// Time within which evacuated zones must get no more requests; absent if evacuations are not read.
    std::optional<base::duration> evacuation_deadline;
    /// Time until the response of the servers that are added.
    base::duration processing_time = std::chrono::milliseconds{10};
    net::loop loop;
    standin::execution_log runs;
    standin::object_store store{loop, {"127.0.0.1", 0}};
    standin::cloud_api duties{loop, {"127.0.0.1", 0}};
    standin::configuration configuration;
    std::vector<std::unique_ptr<standin::server>> servers;
    std::vector<daemon> daemons;

private:
    /// @return loopback address of a daemon. Two runs of the tests at the same time do not meet.
    [[nodiscard]] static std::string host(std::size_t i) {
        return "127.0." + std::to_string(128 + ::getpid() % 100) + '.' + std::to_string(i + 1);
    }

    std::string folder_ = testing::TempDir() + "chicorygap-fleet-" + std::to_string(::getpid());
    std::uint64_t last_id_ = 0;
};

}  // namespace chicorygap::testing_fleet
