#include "http/connection_shedding.h"

#include "memory/account.h"

#include <algorithm>

namespace chicorygap::http {

namespace {

/// Bytes of a connection whose unfinished head is left alone at the level `critical`.
constexpr std::size_t min_shed_head_bytes = std::size_t{4} * 1024;

/// Takes indices in their order until the bytes are reached.
class selection {
public:
    explicit selection(std::size_t bytes) : missing_{bytes} {}

    void add(const std::vector<std::size_t>& ordered, const std::vector<held_connection>& connections) {
        for (const auto i : ordered) {
            if (missing_ == 0) {
                return;
            }
            chosen_.push_back(i);
            missing_ -= std::min(missing_, connections[i].bytes);
        }
    }

    [[nodiscard]] const std::vector<std::size_t>& chosen() const noexcept { return chosen_; }

private:
    std::size_t missing_;
    std::vector<std::size_t> chosen_;
};

template <typename F>
std::vector<std::size_t> indices_where(const std::vector<held_connection>& connections, F f) {
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < connections.size(); ++i) {
        if (f(connections[i])) {
            out.push_back(i);
        }
    }
    return out;
}

}  // namespace

std::vector<std::size_t> connections_to_close(const std::vector<held_connection>& connections,
                                              const memory::account& a) {
    const bool exceeded = a.level() == memory::pressure::exceeded;
    selection out{a.excess(memory::pressure::critical)};
    auto heads = indices_where(connections, [&](const held_connection& c) {
        return c.use == connection_use::unfinished_head && (exceeded || c.bytes >= min_shed_head_bytes);
    });
    std::sort(heads.begin(), heads.end(),
              [&](std::size_t x, std::size_t y) { return connections[x].bytes > connections[y].bytes; });
    out.add(heads, connections);
    if (exceeded) {
        auto idle = indices_where(connections,
                                  [](const held_connection& c) { return c.use == connection_use::idle; });
        std::sort(idle.begin(), idle.end(), [&](std::size_t x, std::size_t y) {
            return connections[x].last_input < connections[y].last_input;
        });
        out.add(idle, connections);
    }
    return out.chosen();
}

}  // namespace chicorygap::http
