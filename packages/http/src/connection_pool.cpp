#include "http/connection_pool.h"

#include "http/client_connection.h"
#include "net/loop.h"

#include <algorithm>
#include <utility>

namespace chicorygap::http {

namespace {

using namespace std::chrono_literals;

/// Time to establish a connection. Within a region the answer takes a few milliseconds; a lost opening packet
/// is sent again after a second, which is too late for most callers.
constexpr base::duration connect_timeout = 250ms;
/// Idle connections per server; more are needed only in a burst.
constexpr std::size_t idle_limit = 64;
/// Idle time when the server names none.
constexpr base::duration default_idle_time = 4s;
/// A connection is not used this long before the server would close it: the request could cross the close.
constexpr base::duration idle_margin = 500ms;

}  // namespace

std::shared_ptr<client_connection> connection_pool::take(const std::string& key, const net::address& to,
                                                         base::duration longest_idle,
                                                         std::string_view request_id) {
    auto c = take_idle(key, longest_idle, request_id);
    if (!c) {
        ++opened_;
        c = client_connection::connect(loop_, to, connect_timeout, account_);
    }
    if (!request_id.empty()) {
        c->set_request_id(request_id);
    }
    c->set_idle_ended(nullptr);
    auto& used = taken_[key];
    std::erase_if(used, [](const auto& x) { return x.expired(); });
    used.push_back(c);
    return c;
}

std::vector<std::shared_ptr<client_connection>> connection_pool::connections_open_since(
    const std::string& key, base::time_point t) const {
    std::vector<std::shared_ptr<client_connection>> out;
    const auto add = [&](const std::shared_ptr<client_connection>& c) {
        if (c && c->open_since(t) && std::find(out.begin(), out.end(), c) == out.end()) {
            out.push_back(c);
        }
    };
    if (const auto it = idle_.find(key); it != idle_.end()) {
        std::for_each(it->second.begin(), it->second.end(), add);
    }
    if (const auto it = taken_.find(key); it != taken_.end()) {
        for (const auto& c : it->second) {
            add(c.lock());
        }
    }
    return out;
}

std::vector<std::shared_ptr<client_connection>> connection_pool::withdraw(const std::string& key) {
    auto node = idle_.extract(key);
    if (node.empty()) {
        return {};
    }
    for (const auto& c : node.mapped()) {
        c->set_idle_ended(nullptr);
    }
    return std::move(node.mapped());
}

std::shared_ptr<client_connection> connection_pool::take_idle(const std::string& key,
                                                              base::duration longest_idle,
                                                              std::string_view request_id) {
    const auto it = idle_.find(key);
    if (it == idle_.end()) {
        return nullptr;
    }
    auto& list = it->second;
    // The last one was used most recently and is the least likely to have been closed.
    for (auto i = list.size(); i-- > 0;) {
        auto c = list[i];
        const bool can_use = usable(*c, longest_idle);
        if (can_use && !request_id.empty() && c->has_carried(request_id)) {
            continue;
        }
        list.erase(list.begin() + static_cast<std::ptrdiff_t>(i));
        if (can_use) {
            return c;
        }
        c->abort();
    }
    return nullptr;
}

void connection_pool::give_back(const std::string& key, std::shared_ptr<client_connection> c) {
    auto& idle = idle_[key];
    if (c->reusable() && idle.size() < idle_limit) {
        c->set_idle_ended([this, key] {
            if (idle_ended_) {
                idle_ended_(key);
            }
        });
        idle.push_back(std::move(c));
    } else if (c->reusable()) {
        c->abort();
    }
}

void connection_pool::drop(const std::string& key) {
    const auto it = idle_.find(key);
    if (it == idle_.end()) {
        return;
    }
    for (const auto& c : it->second) {
        c->abort();
    }
    idle_.erase(it);
}

void connection_pool::expire() {
    for (auto& [key, idle] : idle_) {
        std::erase_if(idle, [&](const auto& c) {
            const bool old = !usable(*c, default_idle_time);
            if (old) {
                c->abort();
            }
            return old;
        });
    }
    std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
    for (auto& [key, used] : taken_) {
        std::erase_if(used, [](const auto& c) { return c.expired(); });
    }
    std::erase_if(taken_, [](const auto& entry) { return entry.second.empty(); });
}

bool connection_pool::usable(const client_connection& c, base::duration longest_idle) const {
    const auto idle = loop_.now() - c.idle_since();
    const auto allowed = c.idle_time().value_or(default_idle_time) - idle_margin;
    return c.reusable() && idle < std::min(allowed, longest_idle);
}

}  // namespace chicorygap::http
