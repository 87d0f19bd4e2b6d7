#include "server_check.h"

#include "net/stream.h"

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

std::string_view to_string(check_result r) noexcept {
    switch (r) {
        case check_result::refused:
            return "refused";
        case check_result::accepted:
            return "accepted";
        case check_result::silent:
            return "silent";
    }
    return "unknown";
}

server_check::~server_check() {
    for (auto& [instance, p] : pending_) {
        p.connection->close();
    }
}

void server_check::start(const std::string& instance, const net::address& address,
                         std::function<void(check_result)> done) {
    auto& p = pending_[instance];
    p.callbacks.push_back(std::move(done));
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
                 later(grace, [this, instance](pending&) { finish(instance, check_result::accepted); });
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
                         finish(instance, accepted                                 ? check_result::accepted
                                          : how == net::stream_end::connect_failed ? check_result::refused
                                                                                   : check_result::silent);
                     }
                 });
             }});
}

void server_check::finish(const std::string& instance, check_result r) {
    auto node = pending_.extract(instance);
    if (node.empty()) {
        return;
    }
    node.mapped().connection->close();
    for (const auto& done : node.mapped().callbacks) {
        done(r);
    }
}

}  // namespace chicorygap::proxy
