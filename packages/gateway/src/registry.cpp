#include "gateway/registry.h"

#include <utility>

namespace chicorygap::gateway {

using base::result_code;

namespace {

front::refusal refuse(result_code code, std::string detail) {
    return {code, base::run_state::not_run, std::move(detail), std::nullopt};
}

bool offers(const document::service_document& d, const std::string& model) {
    for (const auto& m : d.models) {
        if (m.name == model) {
            return true;
        }
    }
    return false;
}

// Refusals that say more about what the caller did are preferred when several services refuse.
int rank(result_code code) {
    switch (code) {
        case result_code::key_unknown:
            return 0;
        case result_code::key_withdrawn:
            return 1;
        case result_code::isolated_key_expired:
            return 2;
        case result_code::route_unknown:
            return 3;
        case result_code::model_unknown:
            return 4;
        case result_code::method_not_allowed:
            return 5;
        default:
            return 6;
    }
}

}  // namespace

registry::registry(runtime_options o) : options_{std::move(o)} {}

void registry::apply(std::shared_ptr<const document::lookup> d) {
    std::shared_ptr<service_runtime> existing;
    {
        const std::lock_guard lock{mutex_};
        auto& slot = services_[d->document().name];
        if (!slot) {
            slot = std::make_shared<service_runtime>(options_, std::move(d));
            return;
        }
        existing = slot;
    }
    existing->apply_document(std::move(d));
}

void registry::remove(const base::service_id& id) {
    const std::lock_guard lock{mutex_};
    services_.erase(id);
}

std::shared_ptr<service_runtime> registry::find(const base::service_id& id) const {
    const std::lock_guard lock{mutex_};
    const auto it = services_.find(id);
    return it == services_.end() ? nullptr : it->second;
}

std::vector<std::shared_ptr<service_runtime>> registry::all() const {
    const std::lock_guard lock{mutex_};
    std::vector<std::shared_ptr<service_runtime>> out;
    for (const auto& [id, s] : services_) {
        out.push_back(s);
    }
    return out;
}

bool registry::isolation_expired(const base::service_id& id) const {
    return keys_usable_ && !keys_usable_(id);
}

front::access_decision registry::authorize(const front::access_query& q) const {
    auto best = refuse(result_code::key_unknown, "the key is not known");
    const auto consider = [&best](result_code code, const char* detail) {
        if (rank(code) >= rank(best.code)) {
            best = refuse(code, detail);
        }
    };
    for (const auto& s : all()) {
        const auto d = s->current_document();
        const auto key = d->find_key(q.key, options_.wall_now());
        if (key.code != result_code::ok) {
            consider(key.code, "the key is not accepted");
            continue;
        }
        if (isolation_expired(d->document().name)) {
            consider(result_code::isolated_key_expired,
                     "the zone has been isolated for too long to trust known keys");
            continue;
        }
        const auto route = d->find_route(q.method, q.path);
        if (route.code != result_code::ok) {
            consider(route.code, "no route for this method and path");
            continue;
        }
        if (!document::admits(*route.match, key.owner->id)) {
            consider(result_code::route_not_open, "the route is not open to this workspace");
            continue;
        }
        if (!q.model.empty() && !offers(d->document(), q.model)) {
            consider(result_code::model_unknown, "no service offers this model");
            continue;
        }
        const auto* c = document::find_class(d->document(), route.match->class_id);
        return front::grant{key.owner->id, d->document().name, c->id, c->tier, nullptr};
    }
    return best;
}

std::optional<front::refusal> registry::check_key(const base::key_digest& key) const {
    auto code = result_code::key_unknown;
    for (const auto& s : all()) {
        const auto match = s->current_document()->find_key(key, options_.wall_now());
        if (match.code == result_code::ok) {
            return std::nullopt;
        }
        if (match.code == result_code::key_withdrawn) {
            code = match.code;
        }
    }
    return refuse(code, "the key is not accepted");
}

std::vector<std::string> registry::models(const base::key_digest& key) const {
    std::vector<std::string> out;
    for (const auto& s : all()) {
        const auto d = s->current_document();
        if (d->find_key(key, options_.wall_now()).code != result_code::ok) {
            continue;
        }
        for (const auto& m : d->document().models) {
            out.push_back(m.name);
        }
    }
    return out;
}

void registry::execute(const front::call& c, front::responder& out,
                       const front::caller_monitor& caller) const {
    const auto s = find(c.permission.service);
    if (!s) {
        out.fail(refuse(result_code::route_unknown, "the service was removed"));
        return;
    }
    s->execute(c, out, caller);
}

void registry::tick() const {
    for (const auto& s : all()) {
        s->handle(dispatch::tick{});
    }
}

std::size_t registry::open_requests() const {
    std::size_t n = 0;
    for (const auto& s : all()) {
        n += s->open_requests();
    }
    return n;
}

}  // namespace chicorygap::gateway
