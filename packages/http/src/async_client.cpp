#include "http/async_client.h"

#include <utility>

namespace chicorygap::http {

namespace {

using namespace std::chrono_literals;

/// Idle connections to a called service are used again within this time.
constexpr base::duration longest_idle = 3s;
/// Largest response. A page of the store has about 1 MB, the list of a peer a few of them.
constexpr std::size_t max_response_bytes = std::size_t{16} * 1024 * 1024;

}  // namespace

async_client::async_client(net::loop& l) : loop_{l}, pool_{l} {
    expiry_timer_ = loop_.every(1s, [this] { pool_.expire(); });
}

async_client::~async_client() {
    loop_.cancel(expiry_timer_);
    for (auto& [number, p] : pending_) {
        loop_.cancel(p->timer);
        p->connection->abort();
    }
}

void async_client::send(call c, done_function done) {
    const auto number = ++last_number_;
    auto p = std::make_shared<pending>();
    pending_[number] = p;
    p->done = std::move(done);
    p->key = net::to_string(c.to);
    p->connection = pool_.take(p->key, c.to, longest_idle);
    const auto with_pending = [this, number, alive = std::weak_ptr<int>{alive_}](auto&& f) {
        const auto it = alive.expired() ? pending_.end() : pending_.find(number);
        if (!alive.expired() && it != pending_.end()) {
            const auto keep = it->second;
            f(*keep);
        }
    };
    p->timer = loop_.after(c.timeout, [with_pending, this, number] {
        with_pending([&](pending& x) {
            const bool sent = x.connection->sent();
            x.connection->abort();
            finish(number, call_failure{exchange_failure::silent, sent});
        });
    });
    c.head.headers.add("Host", p->key);
    if (!c.body.empty() || c.head.method != "GET") {
        c.head.headers.add("Content-Length", std::to_string(c.body.size()));
    }
    p->connection->start(
        serialize(c.head) + c.body, false, nullptr,
        {.head = [with_pending](
                     response_head&& h) { with_pending([&](pending& x) { x.answer.head = std::move(h); }); },
         .body =
             [with_pending, this, number](std::string_view part) {
                 with_pending([&](pending& x) {
                     if (x.answer.body.size() + part.size() > max_response_bytes) {
                         x.connection->abort();
                         finish(number, call_failure{exchange_failure::malformed, true});
                         return;
                     }
                     x.answer.body.append(part);
                 });
             },
         .complete = [with_pending, this,
                      number] { with_pending([&](pending& x) { finish(number, std::move(x.answer)); }); },
         .failed =
             [with_pending, this, number](exchange_failure f) {
                 with_pending([&](pending&) {
                     finish(number, call_failure{f, f != exchange_failure::connect_failed});
                 });
             }});
}

void async_client::finish(std::uint64_t number, call_result r) {
    const auto node = pending_.extract(number);
    if (node.empty()) {
        return;
    }
    auto& p = *node.mapped();
    loop_.cancel(p.timer);
    pool_.give_back(p.key, p.connection);
    p.done(std::move(r));
}

}  // namespace chicorygap::http
