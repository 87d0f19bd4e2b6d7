#include "policy.h"

namespace chicorygap::gateway {

admission::policy make_policy(const document::service_document& d) {
    admission::policy p;
    p.queue_limit = 0;
    for (const auto& c : d.classes) {
        p.classes.push_back({.id = c.id, .tier = c.tier, .floor_wait = c.floor_wait, .floor_share = c.floor});
        p.queue_limit += c.queue_length;
    }
    for (const auto& w : d.workspaces) {
        admission::workspace_policy wp{.id = w.id, .weight = w.weight};
        wp.limits.requests_per_s = w.limits.requests_per_second;
        wp.limits.tokens_per_s = w.limits.tokens_per_second;
        if (w.limits.concurrency) {
            wp.limits.concurrency = static_cast<int>(*w.limits.concurrency);
        }
        p.workspaces.push_back(wp);
    }
    return p;
}

dispatch::options make_core_options(const document::service_document& d, const base::vm_id& vm,
                                    const base::zone_id& zone) {
    dispatch::options o;
    o.routing.self = vm;
    o.routing.zone = zone;
    o.policy = make_policy(d);
    o.budget.ratio = d.retry_budget.share;
    o.budget.overload_ratio = d.retry_budget.overload_share;
    return o;
}

}  // namespace chicorygap::gateway
