#include "server_check.h"

#include "http/client_connection.h"
#include "net/stream.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace chicorygap::proxy {

namespace {

using namespace std::chrono_literals;

/// A refusal takes one round trip.
constexpr base::duration connect_timeout = 300ms;
/// Time for which an accepted connection must stay open. A process that is ending may still accept one.
constexpr base::duration grace = 30ms;
constexpr int max_connects = 3;

}  // namespace

server_check::~server_check() {
    for (auto& [instance, p] : pending_) {
        p.connection->close();
    }
}

void server_check::start(const std::string& instance, const net::address& address,
                         const std::vector<std::shared_ptr<http::client_connection>>& witnesses,
                         std::function<void(const check_finding&)> done) {
    auto& p = pending_[instance];
    p.callbacks.push_back(std::move(done));
    for (const auto& c : witnesses) {
        if (std::find(p.witnesses.begin(), p.witnesses.end(), c) == p.witnesses.end()) {
            p.witnesses.push_back(c);
        }
    }
    if (p.callbacks.size() == 1) {
        p.address = address;
        connect(instance);
    }
}

void server_check::connect(const std::string& instance) {
    auto& p = pending_.at(instance);
    ++p.connects;
    // The stream must not be replaced from within its own hooks.
    const auto later = [this, instance, n = p.connects, alive = std::weak_ptr<int>{alive_}](
                           base::duration delay, std::function<void(pending&)> f) {
        loop_.after(delay, [this, instance, n, alive, f = std::move(f)] {
            const auto it = alive.expired() ? pending_.end() : pending_.find(instance);
            if (!alive.expired() && it != pending_.end() && it->second.connects == n) {
                f(it->second);
            }
        });
    };
    p.connection = net::stream::connect(
        loop_, p.address, connect_timeout,
        {.connected =
             [this, instance, later] {
                 later(grace, [this, instance](pending&) { finish(instance, connect_result::accepted); });
             },
         .received = nullptr,
         .drained = nullptr,
         .ended =
             [this, instance, later](net::stream_end how) {
                 later(0ms, [this, instance, how](pending& x) {
                     const bool accepted = how == net::stream_end::orderly || how == net::stream_end::reset;
                     if (accepted && x.connects < max_connects) {
                         connect(instance);
                     } else {
                         finish(instance, accepted                                 ? connect_result::accepted
                                          : how == net::stream_end::connect_failed ? connect_result::refused
                                                                                   : connect_result::silent);
                     }
                 });
             }});
}

void server_check::finish(const std::string& instance, connect_result r) {
    auto node = pending_.extract(instance);
    if (node.empty()) {
        return;
    }
    auto& p = node.mapped();
    p.connection->close();
    const check_finding f{
        .connect = r,
        .broken = p.callbacks.size(),
        .witnesses = p.witnesses.size(),
        .survivors = static_cast<std::size_t>(std::count_if(p.witnesses.begin(), p.witnesses.end(),
                                                            [](const auto& c) { return c->established(); }))};
    for (const auto& done : p.callbacks) {
        done(f);
    }
}

}  // namespace chicorygap::proxy
