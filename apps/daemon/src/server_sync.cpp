#include "server_sync.h"

#include "base/log.h"

#include <map>
#include <utility>

namespace chicorygap::daemon_app {

namespace {

using server_map = std::map<base::service_id, std::vector<gateway::server_entry>>;

double relative_price(const document::service_document& d, const std::string& kind) {
    for (const auto& k : d.server_kinds) {
        if (k.name == kind && k.price > 0) {
            return k.price;
        }
    }
    return 1;
}

std::vector<std::string> model_names(const document::service_document& d) {
    std::vector<std::string> out;
    for (const auto& m : d.models) {
        out.push_back(m.name);
    }
    return out;
}

gateway::server_entry make_entry(const ports::backend_server& s, const net::address& a) {
    gateway::server_entry e;
    e.info.id = s.id;
    e.info.zone = s.zone;
    e.info.slots = static_cast<int>(s.slots);
    e.info.reclaimable = s.reclaimable;
    e.info.draining = s.state == ports::vm_state::leaving;
    e.address = {a.host, a.port};
    return e;
}

gateway::server_entry make_entry(const settings::static_server& s, const base::zone_id& own_zone) {
    gateway::server_entry e;
    e.info.id = s.id;
    e.info.zone = s.zone.empty() ? own_zone : s.zone;
    e.info.slots = static_cast<int>(s.slots);
    e.info.reclaimable = s.reclaimable;
    e.address = {s.address.host, s.address.port};
    return e;
}

}  // namespace

server_sync::server_sync(gateway::registry& r, const settings::daemon_settings& s, ports::vm_list* vms)
    : registry_{r}, settings_{s}, vms_{vms}, ready_{vms == nullptr} {}

void server_sync::refresh() {
    std::vector<ports::backend_server> listed;
    if (vms_ != nullptr) {
        listed = vms_->servers({}, settings_.timeouts.platform);
    }
    update_services(listed);
    ready_ = true;
}

void server_sync::update_services(const std::vector<ports::backend_server>& listed) {
    server_map servers_by_service;
    std::map<base::backend_server_id, std::string> kinds;
    for (const auto& s : listed) {
        const auto a = net::parse_address(s.address);
        if (!a) {
            base::log_line{base::log_level::warning, "servers",
                           "Ignored a backend server with an invalid address."}
                .field("server", s.id.str());
            continue;
        }
        servers_by_service[s.service].push_back(make_entry(s, *a));
        kinds[s.id] = s.kind;
    }
    for (const auto& s : settings_.servers) {
        servers_by_service[s.service].push_back(make_entry(s, settings_.zone));
        kinds[s.id] = s.kind;
    }
    for (const auto& runtime : registry_.all()) {
        const auto& d = runtime->current_document()->document();
        auto list = std::move(servers_by_service[d.name]);
        for (auto& e : list) {
            e.info.cost = relative_price(d, kinds[e.info.id]);
            e.info.models = model_names(d);
        }
        runtime->set_servers(list);
    }
}

}  // namespace chicorygap::daemon_app
