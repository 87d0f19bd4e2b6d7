#include "daemon.h"

#include "backend/http_backend_client.h"
#include "base/error.h"
#include "base/log.h"
#include "burn_agent.h"
#include "claim_agent.h"
#include "configuration_agent.h"
#include "front/operator_server.h"
#include "front/server.h"
#include "gateway/registry.h"
#include "gateway/request_metrics.h"
#include "load_poller.h"
#include "membership_agent.h"
#include "periodic_thread.h"
#include "ports/http_platform.h"
#include "roles_agent.h"
#include "server_sync.h"
#include "shared_random.h"
#include "status_json.h"
#include "usage_agent.h"

#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <atomic>
#include <utility>

namespace chicorygap::daemon_app {

namespace {

constexpr base::duration tick_interval = std::chrono::milliseconds{50};
constexpr base::duration server_list_refresh_interval = std::chrono::seconds{1};
constexpr base::duration membership_tick_interval = std::chrono::milliseconds{100};
constexpr base::duration seed_refresh_interval = std::chrono::seconds{10};
constexpr base::duration usage_report_interval = std::chrono::seconds{1};
constexpr base::duration role_candidate_interval = std::chrono::milliseconds{500};
constexpr base::duration claim_tick_interval = std::chrono::milliseconds{100};
constexpr base::duration load_poll_interval = std::chrono::seconds{1};
constexpr base::duration configuration_tick_interval = std::chrono::milliseconds{250};
constexpr base::duration drain_poll_interval = std::chrono::milliseconds{20};

/// @return current time in microseconds since the epoch. It serves as the incarnation number, which
/// distinguishes this process from an earlier one at the same address.
std::uint64_t start_time_us() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
}

}  // namespace

class daemon::impl {
public:
    explicit impl(settings::daemon_settings s);

    void start();
    void drain();
    [[nodiscard]] std::uint16_t caller_port() const { return front_server_.port(); }
    [[nodiscard]] std::uint16_t operator_port() const { return operator_server_.port(); }

private:
    gateway::runtime_options make_runtime_options();
    front::hooks make_front_hooks();
    peer::handlers make_peer_handlers();
    void update_role_candidates();
    front::operator_hooks make_operator_hooks();
    front::server_options make_front_options() const;
    [[nodiscard]] bool ready() const;
    base::request_id next_id();
    void record(const gateway::request_record& r);
    void wait_for_running_requests();
    void report_final_usage();
    [[nodiscard]] std::vector<base::vm_id> live_daemons() const;

    settings::daemon_settings settings_;
    shared_random random_;
    prometheus::Registry metrics_;
    gateway::request_metrics request_metrics_{metrics_};
    backend::http_backend_client client_;
    std::unique_ptr<ports::http_platform> platform_;
    claim_agent claim_agent_;
    gateway::registry registry_;
    burn_agent burn_agent_{settings_.vm, registry_};
    configuration_agent configuration_agent_;
    server_sync server_sync_;
    load_poller load_poller_{registry_};
    const std::uint64_t incarnation_;
    std::unique_ptr<roles_agent> roles_agent_;
    std::unique_ptr<usage_agent> usage_agent_;
    membership_agent membership_agent_;
    std::atomic<bool> draining_{false};
    std::atomic<std::uint64_t> next_request_number_{1};
    front::server front_server_;
    front::operator_server operator_server_;
    std::vector<std::unique_ptr<periodic_thread>> periodic_threads_;
};

daemon::impl::impl(settings::daemon_settings s)
    : settings_{std::move(s)},
      platform_{settings_.platform ? std::make_unique<ports::http_platform>(ports::http_platform_options{
                                         settings_.platform->host, settings_.platform->port})
                                   : nullptr},
      claim_agent_{platform_ ? &platform_->objects() : nullptr},
      registry_{make_runtime_options()},
      configuration_agent_{registry_, settings_, platform_ ? &platform_->objects() : nullptr},
      server_sync_{registry_, settings_, platform_ ? &platform_->vms() : nullptr},
      incarnation_{start_time_us()},
      roles_agent_{platform_ ? std::make_unique<roles_agent>(
                                   settings_, *platform_, [this] { return random_(); }, incarnation_)
                             : nullptr},
      usage_agent_{platform_ ? std::make_unique<usage_agent>(settings_, platform_->objects(), incarnation_,
                                                             base::wall_clock_now)
                             : nullptr},
      membership_agent_{settings_,
                        registry_,
                        configuration_agent_,
                        platform_ ? &platform_->vms() : nullptr,
                        [this] { return random_(); },
                        incarnation_,
                        make_peer_handlers()},
      front_server_{make_front_options(), make_front_hooks()},
      operator_server_{settings_.operators.host, settings_.operators.port, make_operator_hooks()} {
    registry_.set_keys_usable(
        [this](const base::service_id& id) { return configuration_agent_.keys_usable(id); });
    configuration_agent_.load_files();
}

gateway::runtime_options daemon::impl::make_runtime_options() {
    gateway::runtime_options o;
    o.vm = settings_.vm;
    o.zone = settings_.zone;
    o.wall_now = base::wall_clock_now;
    o.random = [this] { return random_(); };
    o.client = &client_;
    o.permits = &claim_agent_;
    o.on_end = [this](const gateway::request_record& r) { record(r); };
    return o;
}

peer::handlers daemon::impl::make_peer_handlers() {
    peer::handlers h;
    if (roles_agent_) {
        h.claim = [this](const peer::claim_request& r, const std::function<void(peer::claim_reply)>& reply) {
            roles_agent_->claim(r, reply);
        };
        h.report_usage = [this](const usage::usage_report& r,
                                const std::function<void(peer::usage_reply)>& reply) {
            roles_agent_->report_usage(r, reply);
        };
        h.record_outcome = [this](const peer::outcome_report& r) { roles_agent_->record_outcome(r); };
    }
    return h;
}

void daemon::impl::update_role_candidates() {
    roles_agent_->update_candidates(membership_agent_.known_members());
}

front::hooks daemon::impl::make_front_hooks() {
    front::hooks h;
    h.check_key = [this](const base::key_digest& k) { return registry_.check_key(k); };
    h.authorize = [this](const front::access_query& q) { return registry_.authorize(q); };
    h.execute = [this](const front::call& c, front::responder& out, const front::caller_monitor& caller) {
        registry_.execute(c, out, caller);
    };
    h.next_id = [this] { return next_id(); };
    h.models = [this](const base::key_digest& k) { return registry_.models(k); };
    return h;
}

front::operator_hooks daemon::impl::make_operator_hooks() {
    front::operator_hooks h;
    h.ready = [this] { return ready(); };
    h.metrics_text = [this] { return prometheus::TextSerializer{}.Serialize(metrics_.Collect()); };
    h.burn_json = [this] { return burn_agent_.json(live_daemons(), base::wall_clock_now()); };
    h.burn_html = [this] { return burn_agent_.html(live_daemons(), base::wall_clock_now()); };
    h.status_json = [this] {
        return status_json(settings_, registry_, configuration_agent_, ready(), draining_);
    };
    return h;
}

front::server_options daemon::impl::make_front_options() const {
    front::server_options o;
    o.host = settings_.callers.host;
    o.port = settings_.callers.port;
    o.threads = static_cast<int>(settings_.limits.max_connections);
    o.stack_bytes = static_cast<int>(settings_.limits.thread_stack_bytes);
    o.header_bytes = settings_.limits.max_header_bytes;
    o.body_bytes = settings_.limits.max_body_bytes;
    o.head_limit = settings_.timeouts.caller_header;
    o.write_limit = settings_.timeouts.caller_write;
    o.keep_alive = settings_.timeouts.caller_idle;
    return o;
}

bool daemon::impl::ready() const {
    return !draining_ && configuration_agent_.ready() && server_sync_.ready();
}

base::request_id daemon::impl::next_id() {
    return base::request_id{settings_.vm.str() + "-" + std::to_string(incarnation_) + "-" +
                            std::to_string(next_request_number_++)};
}

void daemon::impl::record(const gateway::request_record& r) {
    request_metrics_.record(r);
    burn_agent_.record(r);
    if (usage_agent_) {
        usage_agent_->record(r);
    }
    if (r.code == base::result_code::ok) {
        return;
    }
    base::log_line{base::log_level::info, "gateway", "Request failed."}
        .field("request", r.id.str())
        .field("service", r.service.str())
        .field("class", r.service_class.str())
        .field("workspace", r.workspace.str())
        .field("server", r.server.str())
        .field("attempts", r.attempts)
        .field("state", to_string(r.state))
        .code(r.code);
}

std::vector<base::vm_id> daemon::impl::live_daemons() const {
    std::vector<base::vm_id> out;
    for (const auto& m : membership_agent_.known_members()) {
        out.push_back(m.id);
    }
    return out;
}

void daemon::impl::start() {
    periodic_threads_.push_back(
        std::make_unique<periodic_thread>("dispatch", tick_interval, [this] { registry_.tick(); }));
    periodic_threads_.push_back(std::make_unique<periodic_thread>("servers", server_list_refresh_interval,
                                                                  [this] { server_sync_.refresh(); }));
    periodic_threads_.push_back(
        std::make_unique<periodic_thread>("load", load_poll_interval, [this] { load_poller_.poll(); }));
    periodic_threads_.push_back(std::make_unique<periodic_thread>("membership", membership_tick_interval,
                                                                  [this] { membership_agent_.tick(); }));
    periodic_threads_.push_back(std::make_unique<periodic_thread>(
        "membership", seed_refresh_interval, [this] { membership_agent_.refresh_seeds(); }));
    if (platform_) {
        periodic_threads_.push_back(std::make_unique<periodic_thread>(
            "configuration", configuration_tick_interval, [this] { configuration_agent_.tick(); }));
        periodic_threads_.push_back(std::make_unique<periodic_thread>(
            "configuration", base::duration::zero(), [this] { configuration_agent_.run_pending_watch(); }));
    }
    if (roles_agent_) {
        roles_agent_->start();
        periodic_threads_.push_back(std::make_unique<periodic_thread>("roles", role_candidate_interval,
                                                                      [this] { update_role_candidates(); }));
        periodic_threads_.push_back(std::make_unique<periodic_thread>(
            "usage", usage_report_interval, [this] { usage_agent_->report(membership_agent_.node()); }));
    }
    claim_agent_.attach(membership_agent_.node());
    periodic_threads_.push_back(
        std::make_unique<periodic_thread>("claims", claim_tick_interval, [this] { claim_agent_.tick(); }));
    operator_server_.start();
    front_server_.start();
    base::log_line{base::log_level::info, "daemon", "Started."}
        .field("vm", settings_.vm.str())
        .field("zone", settings_.zone.str())
        .field("callers", front_server_.port())
        .field("operators", operator_server_.port());
}

void daemon::impl::drain() {
    draining_ = true;
    base::log_line{base::log_level::info, "daemon", "Draining before shutdown."}.field(
        "delay_ms", std::chrono::duration_cast<std::chrono::milliseconds>(settings_.drain_delay).count());
    // The load balancer still sends requests during this time.
    std::this_thread::sleep_for(settings_.drain_delay);
    front_server_.drain();
    wait_for_running_requests();
    periodic_threads_.clear();
    report_final_usage();
    if (roles_agent_) {
        roles_agent_->stop();
    }
    claim_agent_.detach();
    membership_agent_.leave();
    front_server_.stop();
    operator_server_.stop();
    base::log_line{base::log_level::info, "daemon", "Stopped."};
}

void daemon::impl::report_final_usage() {
    if (!usage_agent_) {
        return;
    }
    try {
        usage_agent_->report(membership_agent_.node());
    } catch (const base::error& e) {
        base::log_line{base::log_level::warning, "usage", "Reporting the final usage counts failed."}
            .field("reason", e.what())
            .code(e.code());
    }
}

void daemon::impl::wait_for_running_requests() {
    const auto end = base::boot_clock::now() + settings_.drain_timeout;
    while (front_server_.running() > 0 && base::boot_clock::now() < end) {
        std::this_thread::sleep_for(drain_poll_interval);
    }
    if (front_server_.running() == 0) {
        return;
    }
    base::log_line{base::log_level::warning, "daemon",
                   "Drain limit reached; aborting the remaining requests."}
        .field("requests", front_server_.running())
        .code(base::result_code::draining);
    for (const auto& s : registry_.all()) {
        s->stop_all(base::result_code::draining);
    }
}

daemon::daemon(settings::daemon_settings s) : impl_{std::make_unique<impl>(std::move(s))} {}
daemon::~daemon() = default;
void daemon::start() {
    impl_->start();
}
void daemon::drain() {
    impl_->drain();
}
std::uint16_t daemon::caller_port() const {
    return impl_->caller_port();
}
std::uint16_t daemon::operator_port() const {
    return impl_->operator_port();
}

}  // namespace chicorygap::daemon_app
