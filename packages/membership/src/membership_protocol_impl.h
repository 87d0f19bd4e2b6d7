/// @file
/// Implementation of the membership protocol.
#pragma once

#include "base/random.h"
#include "member_list.h"
#include "membership/membership_protocol.h"
#include "pressure_table.h"
#include "remote_zones.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace chicorygap::membership {

class membership_protocol::impl {
public:
    impl(membership_options o, base::random_function random, base::time_point now);

    std::vector<action> handle(const event& e, base::time_point now);

    [[nodiscard]] const member& self() const noexcept { return options_.self; }
    [[nodiscard]] std::vector<member> live_members() const;
    [[nodiscard]] std::vector<member> contacts() const { return remote_.contacts(); }
    [[nodiscard]] std::vector<base::zone_id> reachable_zones(base::time_point now) const;
    [[nodiscard]] std::size_t fleet_size() const {
        return members_.live_count() + 1 + remote_.total_daemon_count();
    }
    [[nodiscard]] std::uint8_t lowest_admitted_tier(const base::service_id& service,
                                                    base::time_point now) const {
        return pressure_.lowest_admitted_tier(service, now);
    }

private:
    struct pending_probe {
        std::uint64_t number = 0;
        std::string address{};
        base::time_point sent{};
        bool indirect = false;
    };
    struct relayed_probe {
        std::uint64_t number = 0;
        std::string origin{};
        std::uint64_t origin_number = 0;
        base::time_point deadline{};
    };

    void on(const tick& e, base::time_point now);
    void on(const received& e, base::time_point now);
    void on(const seeds_changed& e, base::time_point now);
    void on(const local_state& e, base::time_point now);
    void on(const leave& e, base::time_point now);

    void resume_after_pause(base::duration pause);
    void check_probe_timeouts(base::time_point now);
    void probe_failed(const std::string& address, base::time_point now);
    void request_indirect_probes(pending_probe& p, base::time_point now);
    void start_probes(base::time_point now);
    void probe_suspects(base::time_point now);
    void probe_remote_zone(base::time_point now);
    void probe_reconnect(std::size_t n, base::time_point now);
    void probe(const std::string& address, base::time_point now);
    void update_zone_reachability(base::time_point now);

    void merge_payload(const message& m, base::time_point now);
    void compare_member_lists(const message& m, base::time_point now);
    void merge_member(const member& m, base::time_point now);
    void refute(const member& m);
    void handle_ack(std::uint64_t number, base::time_point now);
    void relay_probe(const message& m, base::time_point now);

    void send_message(const std::string& to, message_kind kind, std::uint64_t number, base::time_point now,
                      const std::string& target = {});
    message build_message(const std::string& to, message_kind kind, std::uint64_t number,
                          const std::string& target, base::time_point now);
    [[nodiscard]] const member* find_member(const std::string& address) const;
    [[nodiscard]] base::duration zone_timeout() const;
    [[nodiscard]] base::duration round_interval(base::time_point now) const;

    membership_options options_;
    base::random_function random_;
    member_list members_;
    remote_zones remote_;
    pressure_table pressure_;
    std::vector<server_load> loads_;
    std::vector<seed> seeds_;
    std::vector<pending_probe> pending_probes_;
    std::vector<relayed_probe> relayed_probes_;
    std::vector<std::string> own_suspicions_;  // members whose probes from this daemon failed
    std::vector<action> actions_;
    std::string differing_sender_;  // sender of the current message if its member list hash differs
    base::time_point last_difference_{};
    std::set<std::string> reachable_;
    std::uint64_t next_number_;
    base::time_point started_;
    base::time_point last_tick_;
    base::time_point next_round_;
    std::uint64_t rounds_ = 0;
    std::size_t next_contact_ = 0;
};

}  // namespace chicorygap::membership
