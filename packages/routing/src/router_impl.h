/// @file
/// Implementation of the router.
#pragma once

#include "base/random.h"
#include "prefix_index.h"
#include "routing/router.h"
#include "server_selector.h"
#include "server_table.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace chicorygap::routing {

/// Hash function of attempt identifiers.
struct attempt_hash {
    std::size_t operator()(const attempt_id& a) const noexcept {
        return std::hash<base::request_id>{}(a.request) * 31 + a.attempt;
    }
};

class router::impl {
public:
    impl(options o, base::random_function random);

    void on(const servers_changed& e, base::time_point now);
    void on(const server_draining& e, base::time_point now);
    void on(const load_reported& e, base::time_point now);
    void on(const cache_event& e, base::time_point now);
    void on(const peer_load_reported& e, base::time_point now);
    void on(const attempt_started& e, base::time_point now);
    void on(const attempt_output_received& e, base::time_point now);
    void on(const attempt_finished& e, base::time_point now);
    void on(const peers_changed& e, base::time_point now);

    [[nodiscard]] std::optional<selected_server> select_server(const route_request& r, base::time_point now);
    [[nodiscard]] int free_slots(base::time_point now) const;
    [[nodiscard]] std::vector<server_in_flight> load_digest(std::size_t limit) const;
    [[nodiscard]] std::vector<server_status> snapshot(base::time_point now) const;

private:
    struct running_attempt {
        server_index server = 0;
        base::time_point started;
        bool output_received = false;
    };
    struct peer_state {
        peer_number number = 0;
        std::vector<base::backend_server_id> listed_servers;  // servers in its last digest
    };

    std::optional<selected_server> select_with_filter(candidate_filter filter, const route_request& r,
                                                      base::time_point now);
    void remove_server(server_index s);
    void record_latency(server_index s, base::duration latency, base::time_point now);
    void check_latency(server_index s, base::time_point now);

    options options_;
    base::random_function random_;
    server_table table_;
    prefix_index prefixes_;
    server_selector selector_;
    std::unordered_map<attempt_id, running_attempt, attempt_hash> attempts_;
    std::unordered_map<base::vm_id, peer_state> peers_;
    peer_number next_peer_number_ = 0;
};

}  // namespace chicorygap::routing
