#include "burn_agent.h"

#include "burn/render.h"

#include <sstream>
#include <utility>

namespace chicorygap::daemon_app {

namespace {

// Result codes 1000 to 1999 are caused by the caller, for example by a disconnect or an invalid request. They
// do not affect the service's objectives.
bool counts_toward_objectives(base::result_code code) {
    const auto n = static_cast<int>(code);
    return n < 1000 || n >= 2000;
}

base::zone_id server_zone(const gateway::service_runtime& service, const base::backend_server_id& id) {
    for (const auto& s : service.servers()) {
        if (s.info.id == id) {
            return s.info.zone;
        }
    }
    return {};
}

}  // namespace

burn_agent::burn_agent(base::vm_id vm, const gateway::registry& r) : registry_{r}, recorder_{std::move(vm)} {}

void burn_agent::record(const gateway::request_record& r) {
    if (!counts_toward_objectives(r.code)) {
        return;
    }
    burn::outcome o{.service = r.service,
                    .service_class = r.service_class,
                    .workspace = r.workspace,
                    .attained = r.on_target,
                    .code = r.code,
                    .zone = {},
                    .server = r.server};
    if (!o.attained && !r.server.empty()) {
        if (const auto service = registry_.find(r.service)) {
            o.zone = server_zone(*service, r.server);
        }
    }
    const std::lock_guard lock{mutex_};
    recorder_.record(o, base::boot_clock::now());
}

std::string burn_agent::json(const std::vector<base::vm_id>& live_daemons, base::wall_time at) const {
    std::ostringstream out;
    burn::write_json(out, make_report(live_daemons), at);
    return out.str();
}

std::string burn_agent::html(const std::vector<base::vm_id>& live_daemons, base::wall_time at) const {
    std::ostringstream out;
    burn::write_html(out, make_report(live_daemons), at);
    return out.str();
}

burn::report burn_agent::make_report(const std::vector<base::vm_id>& live_daemons) const {
    std::vector<burn::digest> digests;
    {
        const std::lock_guard lock{mutex_};
        digests.push_back(recorder_.snapshot(base::boot_clock::now()));
    }
    return burn::make_report(objectives(), digests, live_daemons);
}

std::vector<burn::objective> burn_agent::objectives() const {
    std::vector<burn::objective> out;
    for (const auto& s : registry_.all()) {
        const auto index = s->current_document();
        const auto& d = index->document();
        for (const auto& c : d.classes) {
            out.push_back({d.name, c.id, c.tier, c.attainment_target});
        }
    }
    return out;
}

}  // namespace chicorygap::daemon_app
