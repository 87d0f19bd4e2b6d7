/// @file
/// Faults of one soak run.
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "net/loop.h"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace chicorygap::soak {

class promises;
class site;
struct site_server;

/// Draws faults from a seed and applies them, in series that overlap.
///
/// Usage: `fault_plan f{loop, site, promises, random}; f.start(); ... f.stop();` after `stop` all faults have
/// ended and all daemons run.
class fault_plan {
public:
    fault_plan(net::loop& l, site& s, promises& p, base::random_function random,
               base::random_function signal_random, base::random_function restore_random,
               base::random_function end_random);
    ~fault_plan();
    fault_plan(const fault_plan&) = delete;
    fault_plan& operator=(const fault_plan&) = delete;

    void start();
    void stop();

    /// @return number of faults by name.
    [[nodiscard]] const std::map<std::string, std::size_t>& applied() const noexcept { return applied_; }

private:
    using fault = void (fault_plan::*)();

    void draw();
    void draw_signal();
    void draw_restore();
    void draw_process_end();
    /// @return nothing if the server has left.
    [[nodiscard]] site_server* find_server(const std::string& id);
    void check_processes();
    void note(const std::string& name, const std::string& where);
    [[nodiscard]] base::duration length(base::duration shortest, base::duration longest);
    [[nodiscard]] std::size_t pick(std::size_t n) { return random_() % n; }
    /// Calls `revert` after the time, or at the end of the run.
    void revert_after(base::duration d, std::function<void()> revert);
    void begin_daemon_fault(std::size_t daemon);
    void end_daemon_fault(std::size_t daemon);

    /// Kills a daemon and starts it again after the time.
    void kill_for(std::size_t daemon, base::duration d);

    void kill_daemon();
    void kill_all();
    void pause_daemon();
    void stop_daemon();
    void reload_daemon();
    void harm_store();
    void forget_history();
    /// The store goes away for a moment and returns from the copy that was taken last.
    void restore_store();
    void harm_store_link();
    void harm_caller_link();
    void harm_server();
    void harm_server_link();
    /// A server names a limit in its responses for some seconds; its arrivals are checked at the end.
    void limit_server(const std::string& id);
    /// A server refuses requests and names a time without requests.
    void announce_wait(const std::string& id);
    void crash_server();
    void replace_server();
    void change_configuration();
    void withdraw_key();
    void harm_duties();

    net::loop& loop_;
    site& site_;
    promises& promises_;
    base::random_function random_;
    base::random_function signal_random_;
    base::random_function restore_random_;
    base::random_function end_random_;
    std::set<std::string> limited_servers_;
    net::timer_id signal_timer_ = net::timer_id::none;
    net::timer_id restore_timer_ = net::timer_id::none;
    net::timer_id end_timer_ = net::timer_id::none;
    std::map<std::string, std::size_t> applied_;
    std::map<std::size_t, std::function<void()>> reverts_;
    std::map<std::size_t, net::timer_id> timers_;
    std::size_t next_revert_ = 0;
    net::timer_id draw_timer_ = net::timer_id::none;
    net::timer_id check_timer_ = net::timer_id::none;
    bool stopped_ = false;
};

}  // namespace chicorygap::soak
