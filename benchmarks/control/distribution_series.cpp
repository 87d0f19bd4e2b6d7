#include "distribution/distributor.h"
#include "distribution_encoding.h"
#include "document/key_digest.h"
#include "series.h"

#include <capnp/message.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <random>
#include <utility>

namespace chicorygap::control_benchmark {
namespace {

using namespace std::chrono_literals;
using namespace distribution;

constexpr int warm_up_seconds = 30;
constexpr int changes = 20;
// 16,000 changes a day are one in 5.4 s.
constexpr int seconds_per_change = 5;
constexpr int workspaces = 100;
constexpr std::size_t digest_entries = 32;
// As in membership::encoded_size: segment header, call or return, payload and capability table.
constexpr std::size_t envelope_bytes = 160;

/// @param mark distinguishes versions: the key of the first workspace changes with it.
std::string document_text(int mark) {
    std::string out =
        "[service]\nname = booking\nkind = plain\n"
        "[class c]\ntier = 0\nresponse_target = 1s\ndeadline = 2s\n"
        "[route r]\npath = /\nmethods = GET\nclass = c\nworkspaces = all\n";
    for (int i = 0; i < workspaces; ++i) {
        const auto key = std::to_string(i) + "-" + std::to_string(i == 0 ? mark : 0);
        out += "[workspace w" + std::to_string(i) + "]\nkey = " + document::hash_key(key).str() + "\n";
    }
    return out;
}

double encoded_bytes(const member& from, const message& m) {
    capnp::MallocMessageBuilder b;
    peer::encode(from, m, b.initRoot<peer::wire::Distribution>());
    return static_cast<double>(b.sizeInWords() * sizeof(capnp::word) + envelope_bytes);
}

struct node {
    member id;
    std::unique_ptr<distributor> daemon{};
    std::uint64_t active = 0;
    std::optional<watch_platform> pending{};
    base::time_point pending_until{};
};

/// Daemons of one zone; a message arrives in the step of 100 ms after the one in which it is sent, so that
/// the time until a change is in force shows the number of hops.
class network {
public:
    explicit network(int count) {
        for (int i = 0; i < count; ++i) {
            nodes_.push_back({{base::vm_id{"vm-" + std::to_string(i)}, base::zone_id{"zone-0"}}});
            distributor_options o;
            o.vm = nodes_.back().id.vm;
            o.zone = nodes_.back().id.zone;
            nodes_.back().daemon = std::make_unique<distributor>(o, now_);
        }
        for (auto& n : nodes_) {
            handle(n, members_changed{others(n)});
        }
    }

    void publish(const std::string& text) { store_ = {"document/booking", ++version_, false, text, {}}; }

    void run(base::duration d) { run_until(now_ + d); }
    void run_until(base::time_point end) {
        while (now_ < end) {
            step();
        }
    }
    [[nodiscard]] base::time_point now() const { return now_; }

    /// @return simulated seconds until all daemons have activated the latest version, at most `limit`.
    double run_until_active(base::duration limit) {
        const auto start = now_;
        while (now_ - start < limit && !all_active()) {
            step();
        }
        return std::chrono::duration<double>(now_ - start).count();
    }

    [[nodiscard]] bool all_active() const {
        return std::ranges::all_of(nodes_, [&](const auto& n) { return n.active == version_; });
    }

    void reset_counters() {
        messages_ = bytes_ = 0;
        encoding_time_ = 0;
    }
    [[nodiscard]] double messages() const { return messages_; }
    [[nodiscard]] double bytes() const { return bytes_; }
    /// @return processor time of the size computation, which is not part of the decision code.
    [[nodiscard]] double encoding_time() const { return encoding_time_; }

private:
    struct packet {
        std::size_t from = 0;
        base::vm_id to;
        message content;
    };

    [[nodiscard]] std::vector<member> others(const node& n) const {
        std::vector<member> out;
        for (const auto& o : nodes_) {
            if (&o != &n) {
                out.push_back(o.id);
            }
        }
        return out;
    }

    void step() {
        ++steps_;
        deliver();
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            answer_watch(nodes_[i]);
            if (steps_ % 5 == 0) {
                handle(nodes_[i], tick{});
            }
            if ((steps_ + i) % 10 == 0) {
                gossip(i);
            }
        }
        now_ += 100ms;
    }

    void gossip(std::size_t i) {
        const auto other = (i + 1 + random_() % (nodes_.size() - 1)) % nodes_.size();
        post(i, nodes_[other].id.vm, nodes_[i].daemon->make_digest(digest_entries, now_));
    }

    void answer_watch(node& n) {
        if (!n.pending) {
            return;
        }
        const auto after = n.pending->after_version;
        const bool changed = store_ && store_->version > after;
        if (changed || now_ >= n.pending_until) {
            n.pending.reset();
            handle(n, platform_replied{after, changed ? std::vector<document_version>{*store_}
                                                      : std::vector<document_version>{}});
        }
    }

    void deliver() {
        for (const auto& p : std::exchange(packets_, {})) {
            const auto to = std::ranges::find(nodes_, p.to, [](const auto& n) { return n.id.vm; });
            handle(*to, message_received{nodes_[p.from].id, p.content});
        }
    }

    void post(std::size_t from, const base::vm_id& to, message m) {
        {
            const processor_timer timer{encoding_time_};
            bytes_ += encoded_bytes(nodes_[from].id, m);
        }
        ++messages_;
        packets_.push_back({from, to, std::move(m)});
    }

    void handle(node& n, const event& e) {
        for (const auto& a : n.daemon->handle(e, now_)) {
            if (const auto* s = std::get_if<send>(&a)) {
                post(static_cast<std::size_t>(&n - nodes_.data()), s->to, s->content);
            } else if (const auto* w = std::get_if<watch_platform>(&a)) {
                n.pending = *w;
                n.pending_until = now_ + w->max_wait;
            } else if (const auto* c = std::get_if<activate>(&a)) {
                n.active = c->version;
            }
        }
    }

    std::mt19937_64 random_{1};
    base::time_point now_{1h};
    std::size_t steps_ = 0;
    std::vector<node> nodes_;
    std::vector<packet> packets_;
    std::optional<document_version> store_;
    std::uint64_t version_ = 100;
    double messages_ = 0;
    double bytes_ = 0;
    double encoding_time_ = 0;
};

struct cost {
    double messages = 0;
    double bytes = 0;
    double time = 0;
};

/// @return cost of `work` per daemon.
template <typename Work>
cost measure_cost(network& n, int count, Work work) {
    n.reset_counters();
    double time = 0;
    {
        const processor_timer timer{time};
        work();
    }
    return {n.messages() / count, n.bytes() / count, (time - n.encoding_time()) / count};
}

std::vector<double> publish_changes(network& n) {
    std::vector<double> seconds;
    for (int i = 1; i <= changes; ++i) {
        const auto start = n.now();
        n.publish(document_text(i));
        const double s = n.run_until_active(std::chrono::seconds{seconds_per_change});
        seconds.push_back(s);
        n.run_until(start + std::chrono::seconds{seconds_per_change});
    }
    return seconds;
}

figures measure(int count) {
    const double before = resident_bytes();
    network n{count};
    n.publish(document_text(0));
    n.run(std::chrono::seconds{warm_up_seconds});
    const int duration = changes * seconds_per_change;
    const auto idle = measure_cost(n, count, [&] { n.run(std::chrono::seconds{duration}); });
    std::vector<double> seconds;
    const auto busy = measure_cost(n, count, [&] { seconds = publish_changes(n); });
    const double memory = resident_bytes() - before;
    double sum = 0;
    for (const double s : seconds) {
        sum += s;
    }
    return {{"messages sent without changes", "1/daemon/s", idle.messages / duration},
            {"bytes sent without changes", "B/daemon/s", idle.bytes / duration},
            {"processor time without changes", "us/daemon/s", idle.time * 1e6 / duration},
            {"messages sent per change", "1/daemon/change", (busy.messages - idle.messages) / changes},
            {"bytes sent per change", "B/daemon/change", (busy.bytes - idle.bytes) / changes},
            {"processor time per change", "us/daemon/change", (busy.time - idle.time) * 1e6 / changes},
            {"mean time until in force, 0.1 s a hop", "s", sum / changes},
            {"longest time until in force, 0.1 s a hop", "s", *std::ranges::max_element(seconds)},
            {"document size", "B", static_cast<double>(document_text(0).size())},
            {"memory", "B/daemon", memory / count}};
}

}  // namespace

std::vector<series> distribution_series() {
    return {{"distribution, one zone, a change every 5 s", "members", {10, 30, 90}, measure}};
}

}  // namespace chicorygap::control_benchmark
