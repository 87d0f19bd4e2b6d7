#include "distribution/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace chicorygap::distribution {

namespace {

std::uint64_t hash(const std::string& text, std::uint64_t seed) {
    return XXH64(text.data(), text.size(), seed);
}

}  // namespace

std::vector<base::vm_id> rendezvous_order(const std::string& topic, std::vector<base::vm_id> members) {
    const auto seed = hash(topic, 0);
    std::vector<std::pair<std::uint64_t, base::vm_id>> weighted;
    weighted.reserve(members.size());
    for (auto& m : members) {
        const auto weight = hash(m.str(), seed);
        weighted.emplace_back(weight, std::move(m));
    }
    std::sort(weighted.begin(), weighted.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : a.second.str() < b.second.str();
    });
    members.clear();
    for (auto& [weight, m] : weighted) {
        members.push_back(std::move(m));
    }
    return members;
}

std::size_t relay_rank(const base::vm_id& self, const std::vector<base::vm_id>& members) {
    const auto order = rendezvous_order("relay", members);
    return static_cast<std::size_t>(std::find(order.begin(), order.end(), self) - order.begin());
}

std::vector<base::vm_id> push_children(const base::vm_id& root, const base::vm_id& self,
                                       const std::vector<base::vm_id>& members) {
    auto order = rendezvous_order(root.str(), members);
    const auto at = std::find(order.begin(), order.end(), root);
    if (at == order.end()) {
        return {};
    }
    std::rotate(order.begin(), at, at + 1);
    const auto position =
        static_cast<std::size_t>(std::find(order.begin(), order.end(), self) - order.begin());
    std::vector<base::vm_id> out;
    for (std::size_t i = position * push_fan_out + 1; i <= (position + 1) * push_fan_out && i < order.size();
         ++i) {
        out.push_back(order[i]);
    }
    return out;
}

std::uint64_t key_hash(const std::string& key) {
    return hash(key, 0);
}

}  // namespace chicorygap::distribution
