#include "distribution_encoding.h"

#include "base/error.h"
#include "text_field.h"

#include <chrono>
#include <string>

namespace chicorygap::peer {

namespace {

std::int64_t age_ms(const std::optional<base::duration>& age) {
    return age ? std::chrono::duration_cast<std::chrono::milliseconds>(*age).count() : -1;
}

std::optional<base::duration> age_of(std::int64_t ms) {
    return base::stored_duration(ms);
}

void encode(const distribution::document_version& i, wire::DocumentItem::Builder out) {
    out.setKey(to_field(i.key));
    out.setVersion(i.version);
    out.setDeleted(i.deleted);
    if (!i.delta) {
        out.setText(to_field(i.text));
        return;
    }
    auto d = out.initDelta();
    d.setBaseVersion(i.delta->base_version);
    d.setPrefix(i.delta->prefix_size);
    d.setSuffix(i.delta->suffix_size);
    d.setMiddle(to_field(i.delta->replacement));
    d.setChecksum(i.delta->checksum);
}

distribution::document_version decode(wire::DocumentItem::Reader in) {
    distribution::document_version i{text(in.getKey()), in.getVersion(), in.getDeleted(), text(in.getText()),
                                     std::nullopt};
    if (in.hasDelta()) {
        const auto d = in.getDelta();
        i.delta = distribution::text_delta{d.getBaseVersion(), d.getPrefix(), d.getSuffix(),
                                           text(d.getMiddle()), d.getChecksum()};
    }
    return i;
}

void encode(const distribution::push& m, wire::DocumentPush::Builder out) {
    out.setRoot(to_field(m.root.str()));
    auto list = out.initItems(static_cast<unsigned>(m.versions.size()));
    for (unsigned i = 0; i < list.size(); i++) {
        encode(m.versions[i], list[i]);
    }
}

distribution::push decode(wire::DocumentPush::Reader in) {
    distribution::push m{base::vm_id{text(in.getRoot())}, {}};
    for (const auto i : in.getItems()) {
        m.versions.push_back(decode(i));
    }
    return m;
}

void encode(const distribution::digest& m, wire::DocumentDigest::Builder out) {
    out.setComplete(m.complete);
    out.setPlatformAgeMs(age_ms(m.platform_contact_age));
    out.setOutsideAgeMs(age_ms(m.external_contact_age));
    auto list = out.initEntries(static_cast<unsigned>(m.entries.size()));
    for (unsigned i = 0; i < list.size(); i++) {
        list[i].setKeyHash(m.entries[i].key_hash);
        list[i].setNewest(m.entries[i].newest_version);
        list[i].setActive(m.entries[i].active_version);
    }
}

distribution::digest decode(wire::DocumentDigest::Reader in) {
    distribution::digest m;
    m.complete = in.getComplete();
    m.platform_contact_age = age_of(in.getPlatformAgeMs());
    m.external_contact_age = age_of(in.getOutsideAgeMs());
    for (const auto e : in.getEntries()) {
        m.entries.push_back({e.getKeyHash(), e.getNewest(), e.getActive()});
    }
    return m;
}

void encode(const distribution::fetch& m, wire::Distribution::Builder out) {
    auto list = out.initFetch(static_cast<unsigned>(m.key_hashes.size()));
    for (unsigned i = 0; i < list.size(); i++) {
        list.set(i, m.key_hashes[i]);
    }
}

distribution::fetch decode(capnp::List<std::uint64_t>::Reader in) {
    distribution::fetch m;
    for (const auto h : in) {
        m.key_hashes.push_back(h);
    }
    return m;
}

}  // namespace

void encode(const distribution::member& from, const distribution::message& m,
            wire::Distribution::Builder out) {
    out.setSenderVm(to_field(from.vm.str()));
    out.setSenderZone(to_field(from.zone.str()));
    if (const auto* p = std::get_if<distribution::push>(&m)) {
        encode(*p, out.initPush());
    } else if (const auto* f = std::get_if<distribution::fetch>(&m)) {
        encode(*f, out);
    } else if (const auto* d = std::get_if<distribution::digest>(&m)) {
        encode(*d, out.initDigest());
    } else {
        out.setDigestRequest();
    }
}

distribution::message decode(wire::Distribution::Reader in) {
    switch (in.which()) {
        case wire::Distribution::PUSH:
            return decode(in.getPush());
        case wire::Distribution::FETCH:
            return decode(in.getFetch());
        case wire::Distribution::DIGEST:
            return decode(in.getDigest());
        case wire::Distribution::DIGEST_REQUEST:
            return distribution::digest_request{};
    }
    throw base::error{base::result_code::body_malformed, "unknown distribution message"};
}

distribution::member decode_sender(wire::Distribution::Reader in) {
    return {base::vm_id{text(in.getSenderVm())}, base::zone_id{text(in.getSenderZone())}};
}

}  // namespace chicorygap::peer
