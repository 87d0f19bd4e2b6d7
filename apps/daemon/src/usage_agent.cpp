#include "usage_agent.h"

#include "lease_lookup.h"

#include <utility>

namespace chicorygap::daemon_app {

usage_agent::usage_agent(const settings::daemon_settings& s, ports::object_store& store,
                         std::uint64_t incarnation, base::wall_now_function wall_now)
    : settings_{s},
      store_{store},
      wall_now_{std::move(wall_now)},
      counters_{{net::to_string(s.peers), incarnation}} {}

void usage_agent::record(const gateway::request_record& r) {
    // A request that was not executed is not billed. A request with an unknown outcome is billed for the
    // tokens that were delivered.
    if (r.state == base::run_state::not_run) {
        return;
    }
    const std::lock_guard lock{mutex_};
    counters_.add({r.service, r.workspace, r.service_class}, {1, r.prompt_tokens, r.output_tokens},
                  current_window());
}

void usage_agent::report(peer::node& n) {
    look_up_holder();
    usage::usage_report report;
    std::string holder;
    {
        const std::lock_guard lock{mutex_};
        if (holder_.empty()) {
            return;
        }
        holder = holder_;
        report = counters_.make_report(current_window());
    }
    n.report_usage(holder, report,
                   [this, sequence = report.sequence](const peer::outcome<peer::usage_reply>& o) {
                       on_reply(sequence, o);
                   });
}

usage::window_number usage_agent::current_window() const {
    return wall_now_().time_since_epoch() / window_length;
}

void usage_agent::look_up_holder() {
    const auto now = base::boot_clock::now();
    {
        const std::lock_guard lock{mutex_};
        if (!holder_.empty() && now < looked_up_at_ + holder_cache_lifetime) {
            return;
        }
    }
    const auto record = read_lease(store_, "zone-control-" + settings_.zone.str());
    const std::lock_guard lock{mutex_};
    looked_up_at_ = now;
    holder_ = holder_address(record);
    if (record && record->term != term_) {
        term_ = record->term;
        counters_.set_holder(term_);
    }
}

void usage_agent::on_reply(std::uint64_t sequence, const peer::outcome<peer::usage_reply>& o) {
    const std::lock_guard lock{mutex_};
    if (!o.value || !o.value->accepted) {
        holder_.clear();
        return;
    }
    if (o.value->term != term_) {  // the same daemon holds the role again, under a new term
        term_ = o.value->term;
        counters_.set_holder(term_);
        return;
    }
    counters_.acknowledge(term_, sequence);
}

}  // namespace chicorygap::daemon_app
