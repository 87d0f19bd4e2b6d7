#include "connection_pool.h"

namespace chicorygap::backend {

std::unique_ptr<connection> connection_pool::take(const endpoint& server) {
    for (;;) {
        std::unique_ptr<connection> c;
        {
            const std::scoped_lock lock{mutex_};
            const auto it = idle_.find(server);
            if (it == idle_.end() || it->second.empty()) {
                return nullptr;
            }
            c = std::move(it->second.back());
            it->second.pop_back();
        }
        const bool fresh = options_.now() - c->idle_since < options_.idle_connection_limit;
        if (fresh && c->usable()) {
            return c;
        }
    }
}

void connection_pool::put(const endpoint& server, std::unique_ptr<connection> c) {
    idle_list expired;  // closed after the lock is released
    const auto now = options_.now();
    c->guard().release();
    c->idle_since = now;
    const std::scoped_lock lock{mutex_};
    collect_expired(now, expired);
    auto& list = idle_[server];
    if (list.size() < options_.idle_connections_per_server) {
        list.push_back(std::move(c));
    }
}

void connection_pool::forget(const endpoint& server) {
    idle_list closing;
    const std::scoped_lock lock{mutex_};
    const auto it = idle_.find(server);
    if (it != idle_.end()) {
        closing.swap(it->second);
        idle_.erase(it);
    }
}

std::size_t connection_pool::size() const {
    const std::scoped_lock lock{mutex_};
    std::size_t n = 0;
    for (const auto& [server, list] : idle_) {
        n += list.size();
    }
    return n;
}

void connection_pool::collect_expired(base::time_point now, idle_list& expired) {
    if (now < next_collection_) {
        return;
    }
    next_collection_ = now + options_.idle_connection_limit;
    for (auto it = idle_.begin(); it != idle_.end();) {
        auto& list = it->second;
        while (!list.empty() && now - list.front()->idle_since >= options_.idle_connection_limit) {
            expired.push_back(std::move(list.front()));
            list.pop_front();
        }
        it = list.empty() ? idle_.erase(it) : std::next(it);
    }
}

}  // namespace chicorygap::backend
