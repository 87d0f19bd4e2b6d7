#include "rendezvous_subset.h"

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace chicorygap::routing {

std::uint64_t rendezvous_weight(const base::vm_id& daemon, const base::backend_server_id& server) {
    const auto seed = XXH64(daemon.str().data(), daemon.str().size(), 0);
    return XXH64(server.str().data(), server.str().size(), seed);
}

std::vector<std::size_t> rendezvous_subset(const base::vm_id& daemon,
                                           const std::vector<base::backend_server_id>& servers,
                                           std::size_t n) {
    std::vector<std::uint64_t> weights;
    weights.reserve(servers.size());
    for (const auto& s : servers) {
        weights.push_back(rendezvous_weight(daemon, s));
    }
    std::vector<std::size_t> order(servers.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const auto count = std::min(n, order.size());
    const auto middle = order.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::partial_sort(order, middle,
                              [&weights](std::size_t a, std::size_t b) { return weights[a] > weights[b]; });
    order.resize(count);
    std::ranges::sort(order);
    return order;
}

}  // namespace chicorygap::routing
