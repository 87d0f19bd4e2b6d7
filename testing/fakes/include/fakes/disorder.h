/// @file
/// Random delivery of messages: late, out of order or not at all.
#pragma once

#include "base/store_message.h"
#include "fakes/message_store.h"

#include <cstdint>
#include <functional>
#include <random>
#include <utility>
#include <vector>

namespace chicorygap::fakes {

/// Seeded generator for one history.
class dice {
public:
    explicit dice(std::uint64_t seed) : engine_{seed} {}

    /// @return a number in [0, n).
    std::size_t below(std::size_t n) { return engine_() % n; }

    /// @return true with a probability of `percent` in 100.
    bool chance(unsigned percent) { return engine_() % 100 < percent; }

private:
    std::mt19937_64 engine_;
};

/// Messages under way between machines and the store.
///
/// Usage: `send` and `call_store` queue messages, `step` delivers or loses a random one.
class disorder {
public:
    using delivery = std::function<void()>;
    using reply_sink = std::function<void(base::store_reply)>;

    disorder(message_store& store, dice& random) : store_{store}, random_{random} {}

    /// Queues a message that arrives late, or not at all.
    void send(delivery arrive, delivery lost) { queue_.push_back({std::move(arrive), std::move(lost)}); }

    /// Queues a store call. An update may take effect without a reply, also long after the call was given up.
    template <typename Call>
    void call_store(const Call& call, const reply_sink& reply) {
        const auto lost = [=] { reply({call.correlation, base::store_result::lost, 0, {}, {}}); };
        const auto arrive = [=, this] {
            const auto r = store_.call(call);
            send([=] { reply(r); }, lost);
        };
        const auto given_up = [=, this] {
            lost();
            if (random_.chance(50)) {
                send([=, this] { store_.call(call); }, [] {});
            }
        };
        send(arrive, given_up);
    }

    /// Delivers a random message, or loses it with a probability of `loss_percent` in 100.
    void step(unsigned loss_percent) {
        if (queue_.empty()) {
            return;
        }
        const auto n = random_.below(queue_.size());
        auto m = std::move(queue_[n]);
        queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(n));
        random_.chance(loss_percent) ? m.lost() : m.arrive();
    }

    [[nodiscard]] bool empty() const { return queue_.empty(); }

private:
    struct message {
        delivery arrive;
        delivery lost;
    };

    message_store& store_;
    dice& random_;
    std::vector<message> queue_;
};

}  // namespace chicorygap::fakes
