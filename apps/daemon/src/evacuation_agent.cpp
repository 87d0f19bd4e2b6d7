#include "evacuation_agent.h"

#include "base/log.h"
#include "decision_log.h"
#include "platform/object_codec.h"

#include <algorithm>
#include <utility>

namespace chicorygap::daemon_app {

namespace {

using namespace std::chrono_literals;

/// Time after the last response of the store within which a mirror answers that nothing has changed: its
/// longest wait for the store, and a margin.
constexpr base::duration max_confirmation_age = 3800ms;

}  // namespace

evacuation_agent::evacuation_agent(net::loop& l, platform::store_client& store, bool enabled,
                                   base::random_function random, evacuation_hooks hooks)
    : loop_{l},
      enabled_{enabled},
      hooks_{std::move(hooks)},
      table_{[this](const catalog::evacuation_change& c) { log_change(c); }},
      cache_{l,
             store,
             platform::evacuation_kind,
             std::move(random),
             {.changed =
                  [this] {
                      on_entries_changed();
                      mirror_.notify_changed();
                  },
              .reachable = nullptr,
              .contact = nullptr,
              .removals_final = nullptr,
              .history_lost =
                  [this] {
                      if (hooks_.history_lost) {
                          hooks_.history_lost();
                      }
                  },
              .outlives = nullptr,
              .next_watch =
                  [this](int failures) {
                      return hooks_.next_watch ? hooks_.next_watch(failures) : platform::watch_options{};
                  }}},
      mirror_{l, cache_, max_confirmation_age} {}

void evacuation_agent::start() {
    if (enabled_) {
        cache_.start();
    }
}

void evacuation_agent::expire() {
    if (table_.known() && table_.expire(loop_.now())) {
        hooks_.changed(table_.state(loop_.now()));
    }
}

bool evacuation_agent::handle(http::server_session& s, const http::request& r) {
    return enabled_ && mirror_.handle(s, r);
}

void evacuation_agent::on_entries_changed() {
    const bool first = !table_.known();
    auto entries = platform::decode_evacuations(cache_.items());
    const bool changed = table_.observe(entries, cache_.position(), loop_.now());
    update_announced(std::move(entries));
    if (first) {
        base::log_line{base::log_level::info, "daemon", "Evacuations of zones known."}
            .field("count", static_cast<long long>(table_.evacuations().size()))
            .field("source", platform::to_string(cache_.source()))
            .field("era", static_cast<long long>(cache_.position().era))
            .field("revision", static_cast<long long>(cache_.position().revision));
    }
    if (first || changed) {
        hooks_.changed(table_.state(loop_.now()));
    }
}

// The position of the cache is newer than the last change that a first list holds. Announcing it would make
// all peers of a daemon that starts fetch a copy in which nothing is new to them.
void evacuation_agent::update_announced(std::vector<catalog::evacuation_entry> entries) {
    const auto position = cache_.position();
    if (announced_.revision == 0 || announced_.era != position.era) {
        announced_ = {position.era, 1};  // above 0: a daemon that has read nothing yet is behind
        for (const auto& e : entries) {
            announced_.revision = std::max(announced_.revision, e.revision);
        }
    } else if (entries != entries_) {
        announced_ = position;
    }
    entries_ = std::move(entries);
}

void evacuation_agent::log_change(const catalog::evacuation_change& c) const {
    base::log_line{base::log_level::warning, "daemon", "Evacuation of a zone changed."}
        .field("zone", c.subject.zone.str())
        .field("state", c.evacuated ? "evacuated" : "returned")
        .field("source", platform::to_string(cache_.source()))
        .field("age_ms", to_ms(loop_.now() - c.subject.since))
        .field("era", static_cast<long long>(cache_.position().era))
        .field("revision", static_cast<long long>(c.subject.revision));
}

void evacuation_agent::check_zones(const std::function<std::set<base::zone_id>()>& known_zones) {
    const auto in_force = table_.evacuations();
    std::set<base::zone_id> unknown;
    const auto known = in_force.empty() ? std::set<base::zone_id>{} : known_zones();
    for (const auto& e : in_force) {
        if (known.contains(e.zone)) {
            continue;
        }
        unknown.insert(e.zone);
        if (!unknown_zones_.contains(e.zone)) {
            base::log_line{base::log_level::warning, "daemon", "Evacuation names an unknown zone."}
                .field("zone", e.zone.str())
                .field("revision", static_cast<long long>(e.revision));
        }
    }
    unknown_zones_ = std::move(unknown);
}

}  // namespace chicorygap::daemon_app
