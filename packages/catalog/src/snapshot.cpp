#include "catalog/snapshot.h"

#include <numeric>
#include <utility>

namespace chicorygap::catalog {

void snapshot::add(route r) {
    auto& by_prefix = routes_[r.host];
    const auto prefix = r.path_prefix;
    route_count_ += by_prefix.insert_or_assign(prefix, std::move(r)).second ? 1 : 0;
}

void snapshot::add(service s) {
    const auto id = s.id;
    services_.insert_or_assign(id, std::move(s));
}

void snapshot::add_api_key(const std::string& api_key, workspace w) {
    workspaces_by_api_key_.insert_or_assign(api_key, std::move(w));
}

const route* snapshot::find_route(std::string_view host, std::string_view path) const {
    const auto colon = host.find(':');
    const auto it = routes_.find(std::string{host.substr(0, colon)});
    if (it == routes_.end()) {
        return nullptr;
    }
    path = path.substr(0, path.find_first_of("?#"));
    // Every prefix ends with a slash, so only path prefixes that end with a slash can match.
    for (auto end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/', end - 1)) {
        const auto found = it->second.find(std::string{path.substr(0, end + 1)});
        if (found != it->second.end()) {
            return &found->second;
        }
        if (end == 0) {
            break;
        }
    }
    return nullptr;
}

const service* snapshot::find_service(const base::service_id& id) const {
    const auto it = services_.find(id);
    return it == services_.end() ? nullptr : &it->second;
}

const workspace* snapshot::find_workspace(const std::string& api_key) const {
    const auto it = workspaces_by_api_key_.find(api_key);
    return it == workspaces_by_api_key_.end() ? nullptr : &it->second;
}

const base::service_id& select_service(const route& r, double sample) {
    const auto total_weight =
        std::accumulate(r.services.begin(), r.services.end(), 0.0,
                        [](double sum, const weighted_service& s) { return sum + s.weight; });
    double cumulative_weight = 0;
    for (const auto& s : r.services) {
        cumulative_weight += s.weight;
        if (sample * total_weight < cumulative_weight) {
            return s.service;
        }
    }
    return r.services.back().service;
}

}  // namespace chicorygap::catalog
