#include "idempotency/shard_owner.h"
#include "series.h"

#include <chrono>
#include <deque>
#include <map>
#include <stdexcept>
#include <string>

namespace chicorygap::control_benchmark {
namespace {

using namespace std::chrono_literals;
using namespace idempotency;

constexpr int batch = 100;
constexpr auto batch_interval = 320ms;
constexpr std::size_t outcome_body_bytes = 64;

/// Owner of one shard. Its store accepts every write and keeps only the sizes, so that the memory measured is
/// the owner's.
class shard {
public:
    explicit shard(std::size_t body_bytes) : owner_{make_options()}, body_(body_bytes, 'x') {
        send(role_acquired{1});
    }

    void run_batch() {
        std::vector<digest> ids;
        for (int i = 0; i < batch; ++i, ++next_) {
            ids.push_back(make_record_id("north", "booking", std::to_string(next_)));
        }
        for (const auto& id : ids) {
            send(claim{++number_, id, id});
        }
        advance();
        for (const auto& id : ids) {
            send(outcome_reported{id, {200, body_, true}});
        }
        advance();
    }

    [[nodiscard]] double granted() const { return granted_; }
    [[nodiscard]] double refused() const { return refused_; }
    [[nodiscard]] double records() const { return static_cast<double>(owner_.records()); }
    [[nodiscard]] double written_bytes() const { return written_bytes_; }
    [[nodiscard]] double stored_bytes() const {
        double n = 0;
        for (const auto& [key, size] : sizes_) {
            n += size;
        }
        return n;
    }

private:
    static shard_options make_options() {
        shard_options o;
        o.owner = "daemon-0";
        o.incarnation = 1;
        o.batch_interval = batch_interval;
        return o;
    }

    void advance() {
        now_ += batch_interval;
        send(tick{});
    }

    void send(const shard_event& e) {
        std::deque<shard_event> events{e};
        while (!events.empty()) {
            const auto actions = owner_.handle(events.front(), now_);
            events.pop_front();
            for (const auto& a : actions) {
                call(a, events);
            }
        }
    }

    void call(const shard_action& a, std::deque<shard_event>& events) {
        if (const auto* p = std::get_if<base::store_put>(&a)) {
            sizes_[p->key] = static_cast<double>(p->value.size());
            written_bytes_ += static_cast<double>(p->value.size());
            events.emplace_back(
                base::store_reply{p->correlation, base::store_result::applied, ++version_, {}, {}});
        } else if (const auto* l = std::get_if<base::store_list>(&a)) {
            events.emplace_back(base::store_reply{l->correlation, base::store_result::read, 0, {}, {}});
        } else if (std::get<decision>(a).result == verdict::granted) {
            ++granted_;
        } else {
            ++refused_;
        }
    }

    shard_owner owner_;
    std::string body_;
    base::time_point now_{1h};
    std::map<std::string, double> sizes_;
    std::uint64_t version_ = 0;
    std::uint64_t number_ = 0;
    std::int64_t next_ = 0;
    double granted_ = 0;
    double refused_ = 0;
    double written_bytes_ = 0;
};

figures measure(int records) {
    const double before = resident_bytes();
    shard s{outcome_body_bytes};
    double time = 0;
    {
        const processor_timer timer{time};
        while (s.granted() < records) {
            s.run_batch();
            if (s.refused() > 0) {
                throw std::runtime_error{"shard is full at " + std::to_string(s.records()) + " records"};
            }
        }
    }
    const double memory = resident_bytes() - before;
    return {{"processor time per claim with outcome", "us", time * 1e6 / s.granted()},
            {"memory of the owner", "B", memory},
            {"stored bytes per record", "B", s.stored_bytes() / s.records()},
            {"written bytes per record", "B", s.written_bytes() / s.records()}};
}

/// @param body_bytes size of the recorded answers.
figures measure_capacity(int body_bytes) {
    shard s{static_cast<std::size_t>(body_bytes)};
    while (s.refused() == 0) {
        s.run_batch();
    }
    return {{"records held at the first refusal", "1", s.records()},
            {"stored bytes at the first refusal", "B", s.stored_bytes()}};
}

}  // namespace

std::vector<series> idempotency_series() {
    return {{"idempotency, one shard, batches of 100", "records", {1000, 5000, 15'000, 30'000}, measure},
            {"idempotency, capacity of one shard", "bytes per answer", {0, 64, 256, 1024}, measure_capacity}};
}

}  // namespace chicorygap::control_benchmark
