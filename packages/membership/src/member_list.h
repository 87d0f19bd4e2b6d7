/// @file
/// List of the members of the local zone.
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

/// @return whether the member is alive or suspected.
bool is_live(const member& m);

/// Complete list of the local zone without this daemon, with suspicion deadlines and the updates that are
/// still to be disseminated.
class member_list {
public:
    /// Applies an update.
    /// @param suspicion_timeout time until a suspected member is declared dead.
    /// @return whether the update changed the list.
    bool merge(const member& m, base::time_point now, base::duration suspicion_timeout);

    /// Marks an alive member as suspected after its probe failed.
    /// @return the member if its state changed.
    std::optional<member> suspect(const std::string& address, base::time_point now,
                                  base::duration suspicion_timeout);

    /// Declares members dead whose suspicion was not refuted, and removes dead and left members after their
    /// retention time.
    /// @return the members declared dead.
    std::vector<member> expire(base::time_point now);

    /// Extends the deadlines of all suspicions by the time in which this daemon was paused and could not
    /// receive refutations.
    void extend_suspicions(base::duration pause);

    /// @return the next member to probe; each live one once per round, in random order.
    std::optional<std::string> next_probe(const base::random_function& random);

    /// @return up to `n` updates that are still to be disseminated, those with the most remaining sends
    /// first. Counts them as sent.
    std::vector<member> take_updates(std::size_t n);

    /// @param position start in the list, as a fraction of 2^64.
    /// @return up to `n` consecutive members from there, which transfer the list to joining members and
    /// repair lost updates.
    [[nodiscard]] std::vector<member> members_from(std::size_t n, std::uint64_t position) const;

    /// @return whether the member changed within the last 10 s, so that it may need the whole list.
    [[nodiscard]] bool changed_recently(const std::string& address, base::time_point now) const;

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
        int remaining_sends = 0;
    };

    void store(entry& e, const member& m, base::time_point now, base::duration suspicion_timeout);
    [[nodiscard]] int sends_per_update() const;

    std::map<std::string, entry> entries_;
    std::vector<std::string> probe_order_;
};

}  // namespace chicorygap::membership
