#include "usage_agent.h"

#include "lease/lease_record.h"

#include <utility>

namespace chicorygap::daemon_app {

namespace {

constexpr base::duration lookup_timeout = std::chrono::milliseconds{500};

}  // namespace

usage_agent::usage_agent(const settings::daemon_settings& s, platform::object_store& store,
                         std::uint64_t incarnation, base::wall_now_function wall_now)
    : settings_{s},
      store_{store},
      wall_now_{std::move(wall_now)},
      counters_{{settings::to_string(s.peers), incarnation}} {}

void usage_agent::record(const gateway::request_record& r) {
    // A request that was not run is not billed; one of unknown outcome is billed for the tokens delivered.
    if (r.state == base::run_state::not_run) {
        return;
    }
    const std::lock_guard lock{mutex_};
    counters_.add({r.service, r.workspace, r.service_class}, {1, r.prompt_tokens, r.output_tokens}, window());
}

void usage_agent::report(peer::node& n) {
    find_holder();
    usage::usage_report report;
    std::string holder;
    {
        const std::lock_guard lock{mutex_};
        if (holder_.empty()) {
            return;
        }
        holder = holder_;
        report = counters_.make_report(window());
    }
    n.report_usage(holder, report,
                   [this, sequence = report.sequence](const peer::outcome<peer::usage_reply>& o) {
                       replied(sequence, o);
                   });
}

usage::window_number usage_agent::window() const {
    return wall_now_().time_since_epoch() / window_length;
}

void usage_agent::find_holder() {
    const auto now = base::boot_clock::now();
    {
        const std::lock_guard lock{mutex_};
        if (!holder_.empty() && now < looked_up_ + holder_lifetime) {
            return;
        }
    }
    const auto object = store_.get("lease/zone-control-" + settings_.zone.str(), lookup_timeout);
    const auto record = object ? lease::decode_lease(object->value) : std::nullopt;
    const std::lock_guard lock{mutex_};
    looked_up_ = now;
    holder_ = record && !record->free ? record->holder : std::string{};
    if (record && record->term != term_) {
        term_ = record->term;
        counters_.set_holder(term_);
    }
}

void usage_agent::replied(std::uint64_t sequence, const peer::outcome<peer::usage_reply>& o) {
    const std::lock_guard lock{mutex_};
    if (!o.value || !o.value->accepted) {
        holder_.clear();
        return;
    }
    if (o.value->term != term_) {  // the holder was replaced by itself under a new term
        term_ = o.value->term;
        counters_.set_holder(term_);
        return;
    }
    counters_.acknowledge(term_, sequence);
}

}  // namespace chicorygap::daemon_app
