/// @file
/// State of the fleet state machine.
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
    [[nodiscard]] std::size_t fleet_size() const { return members_.live_count() + 1 + remote_.daemons(); }
    [[nodiscard]] std::uint8_t lowest_admitted_tier(const base::service_id& service,
                                                    base::time_point now) const {
        return pressure_.lowest_admitted_tier(service, now);
    }

private:
    struct outstanding {
        std::uint64_t number = 0;
        std::string address{};
        base::time_point sent{};
        bool indirect = false;
    };
    struct relayed {
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
    void check_probes(base::time_point now);
    void probe_failed(const std::string& address, base::time_point now);
    void ask_others(outstanding& p, base::time_point now);
    void start_probes(base::time_point now);
    void probe_suspects(base::time_point now);
    void probe_other_zone(base::time_point now);
    void probe_reconnect(std::size_t n, base::time_point now);
    void probe(const std::string& address, base::time_point now);
    void check_zones(base::time_point now);

    void merge_content(const message& m, base::time_point now);
    void compare_lists(const message& m, base::time_point now);
    void merge_member(const member& m, base::time_point now);
    void refute(const member& m);
    void answered(std::uint64_t number, base::time_point now);
    void relay(const message& m, base::time_point now);

    void send_message(const std::string& to, message_kind kind, std::uint64_t number, base::time_point now,
                      const std::string& target = {});
    message build(const std::string& to, message_kind kind, std::uint64_t number, const std::string& target,
                  base::time_point now);
    [[nodiscard]] const member* known(const std::string& address) const;
    [[nodiscard]] base::duration zone_limit() const;
    [[nodiscard]] base::duration round_time(base::time_point now) const;

    membership_options options_;
    base::random_function random_;
    member_list members_;
    remote_zones remote_;
    pressure_table pressure_;
    std::vector<server_load> loads_;
    std::vector<seed> seeds_;
    std::vector<outstanding> outstanding_;
    std::vector<relayed> relayed_;
    std::vector<std::string> suspected_;  // members that this daemon itself suspects
    std::vector<action> actions_;
    std::string differing_;  // sender of the present message if its member list differs
    base::time_point difference_seen_{};
    std::set<std::string> reachable_;
    std::uint64_t next_number_;
    base::time_point started_;
    base::time_point last_tick_;
    base::time_point next_round_;
    std::uint64_t rounds_ = 0;
    std::size_t next_contact_ = 0;
};

}  // namespace chicorygap::membership
