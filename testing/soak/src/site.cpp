#include "site.h"

#include "standin/configuration.h"

#include <utility>

namespace chicorygap::soak {

namespace {

using namespace std::chrono_literals;

const char* const zones[] = {"a", "b", "c"};
/// Time after which an entry that its server does not renew expires.
constexpr base::duration expiry_time = 3600ms;

std::string loopback(std::uint8_t subnet, std::size_t host) {
    return "127.0." + std::to_string(subnet) + '.' + std::to_string(host);
}

}  // namespace

site::site(net::loop& l, site_options o)
    : loop_{l}, options_{std::move(o)}, store_{l, {"127.0.0.1", 0}}, duties_{l, {"127.0.0.1", 0}} {
    configure();
    for (std::size_t i = 0; i < options_.servers; ++i) {
        add_server(i % 2 == 0 ? standin::assistant_service : standin::order_service);
    }
    std::vector<net::address> seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, options_.daemons); ++i) {
        seeds.push_back({loopback(options_.subnet, i + 1), standin::daemon_process::operators_port});
    }
    const net::address any{"127.0.0.1", 0};
    for (std::size_t i = 0; i < options_.daemons; ++i) {
        site_daemon d;
        d.to_store = std::make_unique<standin::fault_injection_proxy>(loop_, any, store_.address());
        d.to_duties = std::make_unique<standin::fault_injection_proxy>(loop_, any, duties_.address());
        d.process = std::make_unique<standin::daemon_process>(
            standin::daemon_options{.program = options_.program,
                                    .directory = options_.folder,
                                    .vm = "vm-" + std::to_string(i + 1),
                                    .zone = zones[i % std::size(zones)],
                                    .host = loopback(options_.subnet, i + 1),
                                    .store = d.to_store->address(),
                                    .cloud_api = d.to_duties->address(),
                                    .seeds = seeds});
        d.from_callers =
            std::make_unique<standin::fault_injection_proxy>(loop_, any, d.process->caller_address());
        d.process->start();
        daemons_.push_back(std::move(d));
    }
}

void site::configure() {
    ++version_;
    write_configuration();
}

void site::write_configuration() {
    standin::configuration c{.version = version_};
    for (const auto* workspace : {"north", "south", "west"}) {
        if (key_granted(workspace)) {
            c.api_keys[workspace] = {key_of(workspace)};
        } else {
            c.api_keys[workspace] = {};
        }
    }
    store_.put("config", "main", c.to_json());
}

void site::set_key(const std::string& workspace, bool granted) {
    if (granted) {
        withdrawn_.erase(workspace);
    } else {
        withdrawn_.insert(workspace);
    }
}

void site::add_server(const std::string& service) {
    const auto number = next_server_++;
    const bool streams = service == standin::assistant_service;
    site_server s;
    s.server = std::make_unique<standin::server>(
        loop_,
        standin::server_options{.id = "server-" + std::to_string(number),
                                .service = service,
                                .zone = zones[number / 2 % std::size(zones)],
                                .processing_time = streams ? 30ms : 10ms,
                                .event_count = streams ? 12U : 0U},
        store_, runs_);
    s.link = std::make_unique<standin::fault_injection_proxy>(loop_, net::address{"127.0.0.1", 0},
                                                              s.server->address());
    s.server->register_self(s.link->address());
    s.server->set_restarted([server = s.server.get(), link = s.link.get()](const net::address& a) {
        link->set_target(a);
        server->register_self(link->address());
    });
    servers_.push_back(std::move(s));
}

void site::write_again() {
    write_configuration();
    for (const auto& s : servers_) {
        if (s.drained) {
            s.server->drain();
        } else {
            s.server->register_self(s.link->address());
        }
    }
    loop_.cancel(expiry_timer_);
    expiry_timer_ = loop_.after(expiry_time, [this] {
        for (const auto& id : departed_) {
            store_.remove("servers", id);
        }
    });
}

void site::remove_server(std::size_t index) {
    departed_.push_back(servers_.at(index).server->options().id);
    servers_.erase(servers_.begin() + static_cast<std::ptrdiff_t>(index));
}

}  // namespace chicorygap::soak
