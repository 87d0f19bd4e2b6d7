#include "configuration_agent.h"

#include "base/error.h"
#include "base/log.h"
#include "document/parser.h"

#include <algorithm>
#include <fstream>
#include <memory>
#include <sstream>
#include <utility>

namespace chicorygap::daemon_app {

namespace {

constexpr const char* document_key_prefix = "document/";
constexpr const char* log_component = "configuration";
// Bounds the memory that messages of peers can occupy; a document has at most 1 MB.
constexpr std::size_t max_queued_events = 64;
constexpr base::duration wait_timeout = std::chrono::milliseconds{200};

std::string read_file(const std::string& path) {
    std::ifstream in{path};
    if (!in) {
        throw base::error{base::result_code::settings_invalid, "cannot read document file " + path};
    }
    std::ostringstream buf;
    buf << in.rdbuf();
    return buf.str();
}

distribution::distributor_options make_options(const settings::daemon_settings& s) {
    distribution::distributor_options o;
    o.vm = s.vm;
    o.zone = s.zone;
    o.has_platform = s.platform.has_value();
    o.max_watch_wait = s.timeouts.platform_watch;
    return o;
}

distribution::platform_replied make_reply(std::uint64_t after, const std::vector<ports::object>& objects) {
    distribution::platform_replied out{after, {}};
    for (const auto& o : objects) {
        out.objects.push_back({o.key, o.version, o.deleted, o.value, std::nullopt});
    }
    return out;
}

}  // namespace

configuration_agent::configuration_agent(gateway::registry& r, const settings::daemon_settings& s,
                                         ports::object_store* store)
    : registry_{r},
      settings_{s},
      store_{store},
      distributor_{make_options(s), base::boot_clock::now()},
      ready_{store == nullptr} {}

void configuration_agent::load_files() {
    for (const auto& path : settings_.document_files) {
        auto d = document::parse_or_throw(read_file(path), path);
        registry_.apply(std::make_shared<const document::lookup>(
            std::make_shared<const document::service_document>(std::move(d))));
    }
}

void configuration_agent::set_send_function(send_function s) {
    const std::lock_guard lock{mutex_};
    send_function_ = std::move(s);
}

void configuration_agent::handle(const distribution::event& e) {
    const std::lock_guard lock{mutex_};
    for (const auto& a : distributor_.handle(e, base::boot_clock::now())) {
        std::visit([this](const auto& v) { execute(v); }, a);
    }
}

void configuration_agent::post(distribution::event e) {
    {
        const std::lock_guard lock{queue_mutex_};
        if (queued_events_.size() >= max_queued_events) {
            return;  // periodic digests make the peers send the content again
        }
        queued_events_.push_back(std::move(e));
    }
    event_queued_.notify_one();
}

void configuration_agent::handle_queued_events() {
    std::deque<distribution::event> events;
    {
        std::unique_lock lock{queue_mutex_};
        event_queued_.wait_for(lock, wait_timeout, [this] { return !queued_events_.empty(); });
        events.swap(queued_events_);
    }
    for (const auto& e : events) {
        handle(e);
    }
}

void configuration_agent::run_pending_watch() {
    const auto w = take_pending_watch();
    if (!w) {
        return;
    }
    try {
        const auto objects = store_->watch(document_key_prefix, w->after_version, w->max_wait);
        handle(make_reply(w->after_version, objects));
    } catch (const base::error& e) {
        base::log_line{base::log_level::warning, log_component, "Watching documents on the platform failed."}
            .field("reason", e.what())
            .code(e.code());
        handle(distribution::platform_failed{});
    }
}

std::optional<distribution::watch_platform> configuration_agent::take_pending_watch() {
    std::unique_lock lock{mutex_};
    watch_requested_.wait_for(lock, wait_timeout, [this] { return pending_watch_.has_value(); });
    return std::exchange(pending_watch_, std::nullopt);
}

distribution::digest configuration_agent::digest(std::size_t max_entries) {
    const std::lock_guard lock{mutex_};
    return distributor_.make_digest(max_entries, base::boot_clock::now());
}

bool configuration_agent::ready() const {
    const std::lock_guard lock{mutex_};
    return ready_;
}

bool configuration_agent::keys_usable(const base::service_id& service) const {
    const std::lock_guard lock{mutex_};
    return services_with_unusable_keys_.count(service) == 0;
}

std::vector<configuration_agent::document_state> configuration_agent::document_states() const {
    const std::lock_guard lock{mutex_};
    std::vector<document_state> out;
    for (const auto& [key, d] : document_states_) {
        out.push_back(d);
    }
    return out;
}

void configuration_agent::execute(const distribution::send& a) {
    if (send_function_) {
        send_function_(a.to, a.content, [this, a] { post(distribution::send_failed{a.to, a.content}); });
    }
}

void configuration_agent::execute(const distribution::watch_platform& a) {
    pending_watch_ = a;
    watch_requested_.notify_one();
}

void configuration_agent::execute(const distribution::activate& a) {
    const auto key = document_key_prefix + a.document->document().name.str();
    document_states_[key] = {key, a.version, {}};
    registry_.apply(a.document);
    base::log_line{base::log_level::info, log_component, "Document activated."}
        .field("object", key)
        .field("version", static_cast<long long>(a.version))
        .field("withdrawn_keys", static_cast<long long>(a.removed_keys.size()));
}

void configuration_agent::execute(const distribution::deactivate& a) {
    document_states_.erase(document_key_prefix + a.service.str());
    registry_.remove(a.service);
    base::log_line{base::log_level::info, log_component, "Document deleted; the service was removed."}.field(
        "service", a.service.str());
}

void configuration_agent::execute(const distribution::report_invalid& a) {
    auto& d = document_states_[a.key];
    d.key = a.key;
    d.fault = "version " + std::to_string(a.version) + ": " + a.faults;
    base::log_line{base::log_level::warning, log_component,
                   "Document rejected; the last valid version stays active."}
        .field("object", a.key)
        .field("version", static_cast<long long>(a.version))
        .field("fault", a.faults)
        .code(base::result_code::document_invalid);
}

void configuration_agent::execute(const distribution::report_stale& a) {
    base::log_line{base::log_level::warning, log_component,
                   "The platform stores an older version of a document; the known version stays active."}
        .field("object", a.key)
        .field("stored", static_cast<long long>(a.stored_version))
        .field("known", static_cast<long long>(a.known_version))
        .code(base::result_code::document_stale);
}

void configuration_agent::execute(const distribution::became_ready&) {
    ready_ = true;
    base::log_line{base::log_level::info, log_component, "All documents are up to date."};
}

void configuration_agent::execute(const distribution::keys_usable_changed& a) {
    if (a.usable) {
        services_with_unusable_keys_.erase(a.service);
    } else {
        services_with_unusable_keys_.insert(a.service);
    }
    base::log_line{base::log_level::warning, log_component,
                   a.usable ? "API keys of the service are accepted again."
                            : "API keys of the service are rejected after prolonged isolation."}
        .field("service", a.service.str())
        .code(a.usable ? base::result_code::ok : base::result_code::isolated_key_expired);
}

}  // namespace chicorygap::daemon_app
