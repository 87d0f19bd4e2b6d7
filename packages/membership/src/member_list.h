/// @file
/// Members of the own zone.
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "membership/message.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicorygap::membership {

/// @return whether `a` supersedes `b` about the same address.
bool supersedes(const member& a, const member& b);

/// @return whether the member takes part: alive or suspected.
bool is_live(const member& m);

/// Complete list of the own zone without this daemon, with suspicion deadlines and the updates still to be
/// spread.
class member_list {
public:
    /// Applies an update.
    /// @param suspicion_timeout time until a suspected member is declared dead.
    /// @return true if it was news.
    bool merge(const member& m, base::time_point now, base::duration suspicion_timeout);

    /// Suspects a live member that did not answer.
    /// @return the member if its state changed.
    std::optional<member> suspect(const std::string& address, base::time_point now,
                                  base::duration suspicion_timeout);

    /// Declares members dead whose suspicion was not refuted, and forgets old dead ones.
    /// @return the members declared dead.
    std::vector<member> expire(base::time_point now);

    /// Postpones all suspicions after this daemon was paused and could not receive refutations.
    void postpone(base::duration pause);

    /// @return the next member to probe; each live one once per round, in random order.
    std::optional<std::string> next_probe(const base::random_function& random);

    /// @return up to `n` updates that are still to be spread, those sent least first. Counts them as sent.
    std::vector<member> take_fresh(std::size_t n);

    /// @param position place in the list, as a fraction of 2^64.
    /// @return up to `n` members from there on, which bring newcomers the list and repair lost updates.
    [[nodiscard]] std::vector<member> window(std::size_t n, std::uint64_t position) const;

    /// @return whether there was news about the member in the last seconds, so that it may need the whole
    /// list.
    [[nodiscard]] bool is_recent(const std::string& address, base::time_point now) const;

    [[nodiscard]] const member* find(const std::string& address) const;
    [[nodiscard]] std::vector<member> live() const;
    [[nodiscard]] std::vector<std::string> dead() const;
    [[nodiscard]] std::size_t live_count() const;
    /// @return hash of the live members and this daemon, independent of their order.
    [[nodiscard]] std::uint64_t live_hash(const std::string& self) const;

private:
    struct entry {
        member info{};
        base::time_point changed{};
        base::time_point deadline{};
        int sends_left = 0;
    };

    void store(entry& e, const member& m, base::time_point now, base::duration suspicion_timeout);
    [[nodiscard]] int spread_count() const;

    std::map<std::string, entry> entries_;
    std::vector<std::string> round_;
};

}  // namespace chicorygap::membership
