/// @file
/// State of one replay.
#pragma once

#include "replay/baseline.h"
#include "replay/simulation.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicorygap::replay {

class simulation::world {
public:
    world(const trace& t, policy_kind k);
    std::vector<class_metrics> run();

private:
    struct daemon {
        std::string name;
        std::string zone;
        bool accepting = true;  // the load balancer sends new requests
        bool running = true;
        std::map<std::string, std::unique_ptr<daemon_policy>> services;
    };
    struct attempt {
        std::size_t request = 0;
        std::uint32_t number = 0;
        std::size_t daemon = 0;
        std::size_t server = 0;
        double started = 0;
        double last_token = 0;
        std::uint64_t delivered = 0;  // tokens passed on by this attempt
        bool stalled = false;         // the connection is silent
    };
    struct request {
        std::size_t daemon = 0;
        std::uint64_t delivered = 0;
        bool done = false;
        request_result result;
    };
    struct timed {
        double at = 0;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator>(const timed& o) const { return at != o.at ? at > o.at : order > o.order; }
    };
    struct load_sample {
        double at = 0;
        int running = 0;
        int queued = 0;
    };

    // world.cpp: requests and attempts
    void at(double time, std::function<void()> run);
    void arrive(std::size_t arrival);
    void send(std::size_t daemon, const std::string& service, const dispatch::event& e);
    void send_all(std::size_t daemon, const dispatch::event& e);
    void apply(std::size_t daemon, const dispatch::start_attempt& a);
    void apply(std::size_t daemon, const dispatch::cancel_attempt& a);
    void apply(std::size_t daemon, const dispatch::reject& a);
    void apply(std::size_t daemon, const dispatch::complete& a);
    void end_attempt(std::uint64_t key, base::result_code code, bool sent);
    void advance_engines();
    void pass_tokens(std::uint64_t key, attempt& a);
    void check_timeouts();
    void leave_impatient(std::size_t i);

    // world_fleet.cpp: what daemons learn, and faults
    void add_daemon(const std::string& zone);
    std::unique_ptr<daemon_policy> make_policy(const std::string& service, const daemon& d);
    void announce_fleet();
    void announce_servers(std::size_t daemon, double lag);
    void report_loads();
    void gossip();
    void apply(const trace_fault& f);
    void crash(std::size_t server, bool comes_back, double duration);
    void reclaim(const trace_fault& f);
    void leave_server(std::size_t server);
    void announce_leaving(std::size_t server);
    void replace_daemon(const trace_fault& f);
    [[nodiscard]] bool reachable(const std::string& a, const std::string& b) const;
    [[nodiscard]] std::size_t server_index(const std::string& name) const;
    [[nodiscard]] std::vector<routing::server_info> servers_of(const std::string& service) const;

    [[nodiscard]] const trace_class& class_of(std::size_t arrival) const {
        return trace_.classes[trace_.arrivals[arrival].service_class];
    }
    [[nodiscard]] base::time_point now() const;

    const trace& trace_;
    policy_kind kind_;
    double time_ = 0;
    std::uint64_t order_ = 0;
    std::priority_queue<timed, std::vector<timed>, std::greater<>> timeline_;
    std::mt19937_64 random_;
    std::mt19937_64 balancer_;
    std::vector<daemon> daemons_;
    std::vector<engine> engines_;
    std::vector<std::deque<load_sample>> samples_;
    std::vector<request> requests_;
    std::map<std::uint64_t, attempt> attempts_;  // in order of creation, so that runs are repeatable
    std::map<std::pair<std::size_t, std::uint32_t>, std::uint64_t> attempt_keys_;
    std::uint64_t next_attempt_ = 1;
    std::size_t open_ = 0;
    std::string partitioned_zone_;
    bool platform_down_ = false;
    bool reports_stale_ = false;
    double server_seconds_ = 0;
};

}  // namespace chicorygap::replay
