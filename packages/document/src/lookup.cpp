#include "document/lookup.h"

#include <algorithm>
#include <utility>

namespace chicorygap::document {

namespace {

bool covers(std::string_view prefix, std::string_view path) {
    if (!path.starts_with(prefix)) {
        return false;
    }
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

bool allows(const route& r, std::string_view method) {
    return std::find(r.methods.begin(), r.methods.end(), method) != r.methods.end();
}

}  // namespace

lookup::lookup(std::shared_ptr<const service_document> d) : document_{std::move(d)} {
    for (const auto& w : document_->workspaces) {
        for (const auto& k : w.keys) {
            keys_[k.digest] = {&w, k.expires, false};
        }
        for (const auto& digest : w.revoked_keys) {
            keys_[digest] = {&w, std::nullopt, true};
        }
    }
    for (const auto& r : document_->routes) {
        routes_.push_back(&r);
    }
    std::stable_sort(routes_.begin(), routes_.end(), [](const route* a, const route* b) {
        return a->path_prefix.size() > b->path_prefix.size();
    });
}

key_match lookup::find_key(const base::key_digest& digest, base::wall_time now) const {
    const auto it = keys_.find(digest);
    if (it == keys_.end()) {
        return {};
    }
    const auto& k = it->second;
    if (k.revoked || (k.expires && now >= *k.expires)) {
        return {base::result_code::key_withdrawn, nullptr};
    }
    return {base::result_code::ok, k.owner};
}

route_match lookup::find_route(std::string_view method, std::string_view path) const {
    route_match result;
    for (const auto* const r : routes_) {
        if (!covers(r->path_prefix, path)) {
            continue;
        }
        if (allows(*r, method)) {
            return {base::result_code::ok, r};
        }
        result.code = base::result_code::method_not_allowed;
    }
    return result;
}

bool admits(const route& r, const base::workspace_id& w) {
    return r.open_to_all || std::find(r.workspaces.begin(), r.workspaces.end(), w) != r.workspaces.end();
}

std::string forwarded_path(const route& r, std::string_view path) {
    if (r.backend_path.empty() || !path.starts_with(r.path_prefix)) {
        return std::string{path};
    }
    path.remove_prefix(r.path_prefix.size());
    std::string out = r.backend_path;
    if (out.ends_with('/') && path.starts_with('/')) {
        out.pop_back();
    }
    return out.append(path);
}

const service_class* find_class(const service_document& d, const base::class_id& id) {
    const auto it =
        std::find_if(d.classes.begin(), d.classes.end(), [&](const auto& c) { return c.id == id; });
    return it == d.classes.end() ? nullptr : &*it;
}

const workspace* find_workspace(const service_document& d, const base::workspace_id& id) {
    const auto it =
        std::find_if(d.workspaces.begin(), d.workspaces.end(), [&](const auto& w) { return w.id == id; });
    return it == d.workspaces.end() ? nullptr : &*it;
}

}  // namespace chicorygap::document
