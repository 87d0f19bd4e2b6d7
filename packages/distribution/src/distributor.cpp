#include "distribution/distributor.h"

#include <algorithm>
#include <utility>

namespace chicorygap::distribution {

namespace {

// Daemons per zone that may watch the platform, including the relays. The others start when the relays cannot
// reach the platform.
constexpr std::size_t max_relay_candidates = 6;

}  // namespace

distributor::distributor(distributor_options o, base::time_point start)
    : options_{std::move(o)},
      contact_tracker_{start},
      readiness_{options_.readiness, start},
      zone_members_{options_.vm},
      next_watch_{start} {}

std::vector<action> distributor::handle(const event& e, base::time_point now) {
    actions out;
    std::visit([&](const auto& it) { on(it, now, out); }, e);
    update(now, out);
    return out;
}

void distributor::on(const members_changed& e, base::time_point now, actions&) {
    zone_members_ = {options_.vm};
    std::vector<base::vm_id> peers;
    for (const auto& m : e.members) {
        peers.push_back(m.vm);
        if (m.zone == options_.zone && m.vm != options_.vm) {
            zone_members_.push_back(m.vm);
        }
    }
    relay_rank_ = relay_rank(options_.vm, zone_members_);
    readiness_.set_members(peers, now);
}

void distributor::on(const platform_replied& e, base::time_point now, actions& out) {
    watch_outstanding_ = false;
    next_watch_ = now;
    contact_tracker_.record_platform_reply(now);
    readiness_.record_platform_reply();
    detect_stale_versions(e, out);
    for (const auto& i : e.objects) {
        last_platform_version_ = std::max(last_platform_version_, i.version);
        if (documents_.offer(i, out) == offer_result::accepted) {
            push_change(i.key, out);
        }
    }
}

void distributor::on(const platform_failed&, base::time_point now, actions&) {
    watch_outstanding_ = false;
    next_watch_ = now + options_.watch_retry_delay;
    // The platform may have other contents after an outage, so the next watch lists all objects.
    last_platform_version_ = 0;
}

void distributor::on(const message_received& e, base::time_point now, actions& out) {
    if (e.from.zone != options_.zone) {
        contact_tracker_.record_other_zone_message(now);
    }
    std::visit([&](const auto& m) { on_message(e.from, m, now, out); }, e.content);
}

// Sends the push to the children of the unreachable member; that member catches up by gossip.
void distributor::on(const send_failed& e, base::time_point, actions& out) {
    const auto* const p = std::get_if<push>(&e.content);
    if (p == nullptr || p->root.empty()) {
        return;
    }
    for (const auto& child : push_children(p->root, e.to, zone_members_)) {
        out.emplace_back(send{child, *p});
    }
}

void distributor::on(const tick&, base::time_point now, actions& out) {
    if (ready_) {
        return;
    }
    for (const auto& peer : readiness_.peers_to_query(now)) {
        out.emplace_back(send{peer, digest_request{}});
    }
    for (const auto& m : readiness_.missing_documents(documents_)) {
        fetch_from(m.peer, m.key_hashes, now, out);
    }
}

void distributor::on_message(const member& from, const push& m, base::time_point now, actions& out) {
    const bool same_zone = from.zone == options_.zone;
    if (same_zone && !m.root.empty()) {
        forward(m, out);
    }
    std::vector<std::uint64_t> missing_bases;
    for (const auto& i : m.versions) {
        const auto result = documents_.offer(i, out);
        if (result == offer_result::base_missing) {
            missing_bases.push_back(key_hash(i.key));
        } else if (result == offer_result::accepted && !same_zone) {
            push_change(i.key, out);
        }
    }
    fetch_from(from.vm, missing_bases, now, out);
}

void distributor::on_message(const member& from, const fetch& m, base::time_point, actions& out) {
    // One message per document, because a document may have several hundred kilobytes.
    for (const auto hash : m.key_hashes) {
        auto versions = documents_.full_versions(hash);
        if (!versions.empty()) {
            out.emplace_back(send{from.vm, push{{}, std::move(versions)}});
        }
    }
}

void distributor::on_message(const member& from, const digest& m, base::time_point now, actions& out) {
    if (from.zone == options_.zone) {
        contact_tracker_.merge_peer_ages(m, now);
    }
    if (m.complete) {
        readiness_.record_digest(from.vm, m);
    }
    fetch_from(from.vm, outdated_key_hashes(documents_, m.entries), now, out);
    // Also sending what the peer lacks halves the time in which gossip spreads a change that a push missed.
    for (const auto& entry : m.entries) {
        auto versions = documents_.update_for(entry);
        if (!versions.empty()) {
            out.emplace_back(send{from.vm, push{{}, std::move(versions)}});
        }
    }
}

void distributor::on_message(const member& from, const digest_request&, base::time_point now, actions& out) {
    digest d{true, documents_.entries(), {}, {}};
    contact_tracker_.write_ages(d, now);
    out.emplace_back(send{from.vm, std::move(d)});
}

// Forwards a version once per push tree, even if the version is already known: a member below a failed one in
// the tree of one relay still receives the version through the tree of the other relay.
void distributor::forward(const push& m, actions& out) {
    push forwarded_push{m.root, {}};
    for (const auto& i : m.versions) {
        auto& f = forwarded_[i.key];
        if (i.version < documents_.newest_version(i.key) || i.version < f.version) {
            continue;
        }
        if (i.version > f.version) {
            f = {i.version, {}};
        }
        if (f.roots.insert(m.root.str()).second) {
            forwarded_push.versions.push_back(i);
        }
    }
    send_push(forwarded_push, out);
}

void distributor::push_change(const std::string& key, actions& out) {
    push p{options_.vm, {documents_.latest_change(key)}};
    auto& f = forwarded_[key];
    const auto version = p.versions.front().version;
    if (version > f.version) {
        f = {version, {}};
    }
    if (f.roots.insert(options_.vm.str()).second) {
        send_push(p, out);
    }
}

void distributor::send_push(const push& p, actions& out) {
    if (p.versions.empty()) {
        return;
    }
    for (const auto& child : push_children(p.root, options_.vm, zone_members_)) {
        out.emplace_back(send{child, p});
    }
}

void distributor::fetch_from(const base::vm_id& peer, const std::vector<std::uint64_t>& hashes,
                             base::time_point now, actions& out) {
    fetch f;
    for (const auto hash : hashes) {
        const auto it = last_fetch_times_.find(hash);
        if (it == last_fetch_times_.end() || now - it->second >= options_.min_fetch_interval) {
            last_fetch_times_[hash] = now;
            f.key_hashes.push_back(hash);
        }
    }
    if (!f.key_hashes.empty()) {
        out.emplace_back(send{peer, std::move(f)});
    }
}

// A push of a newer version can arrive before a reply with the older one, so a single older version does not
// show that the platform is stale. A document is reported only if another reply still has an older version
// after a complete list had one.
void distributor::detect_stale_versions(const platform_replied& e, actions& out) {
    std::set<std::string> older;
    for (const auto& i : e.objects) {
        const auto known = documents_.newest_version(i.key);
        if (i.version >= known) {
            stale_candidates_.erase(i.key);
            continue;
        }
        if (stale_candidates_.contains(i.key)) {
            out.emplace_back(report_stale{i.key, i.version, known});
        } else if (e.after_version == 0) {
            older.insert(i.key);
        }
    }
    if (!older.empty()) {
        stale_candidates_.merge(older);
        list_requested_ = true;
    }
}

digest distributor::make_digest(std::size_t limit, base::time_point now) {
    digest d;
    const auto all = documents_.entries();
    d.complete = all.size() <= limit;
    for (std::size_t i = 0; i < std::min(limit, all.size()); ++i) {
        d.entries.push_back(all[(next_digest_entry_ + i) % all.size()]);
    }
    next_digest_entry_ = all.empty() ? 0 : (next_digest_entry_ + d.entries.size()) % all.size();
    contact_tracker_.write_ages(d, now);
    return d;
}

void distributor::update(base::time_point now, actions& out) {
    update_watch(now, out);
    update_readiness(now, out);
    update_keys(now, out);
}

bool distributor::should_watch(base::time_point now) const {
    if (!options_.has_platform || watch_outstanding_ || now < next_watch_) {
        return false;
    }
    return is_relay() || (relay_rank_ < max_relay_candidates &&
                          contact_tracker_.platform_contact_age(now) > options_.relay_failover_delay);
}

void distributor::update_watch(base::time_point now, actions& out) {
    if (!should_watch(now)) {
        return;
    }
    watch_outstanding_ = true;
    out.emplace_back(watch_platform{std::exchange(list_requested_, false) ? 0 : last_platform_version_,
                                    options_.max_watch_wait});
}

void distributor::update_readiness(base::time_point now, actions& out) {
    if (!ready_ && readiness_.ready(documents_, now)) {
        ready_ = true;
        out.emplace_back(became_ready{});
    }
}

bool distributor::usable(const document::service_document& d, base::time_point now) const {
    if (!options_.has_platform) {
        return true;
    }
    return contact_tracker_.external_contact_age(now) <=
           std::max(d.isolated_key_lifetime, options_.isolation_timeout);
}

bool distributor::keys_usable(const base::service_id& service, base::time_point now) const {
    for (const auto& d : documents_.active()) {
        if (d->document().name == service) {
            return usable(d->document(), now);
        }
    }
    return false;
}

void distributor::update_keys(base::time_point now, actions& out) {
    for (const auto& d : documents_.active()) {
        const auto& name = d->document().name;
        const bool is_usable = usable(d->document(), now);
        const bool was_usable = !services_with_unusable_keys_.contains(name.str());
        if (is_usable == was_usable) {
            continue;
        }
        if (is_usable) {
            services_with_unusable_keys_.erase(name.str());
        } else {
            services_with_unusable_keys_.insert(name.str());
        }
        out.emplace_back(keys_usable_changed{name, is_usable});
    }
}

}  // namespace chicorygap::distribution
