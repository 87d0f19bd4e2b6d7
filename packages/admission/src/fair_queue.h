/// @file
/// Start-time fair queueing of one class.
#pragma once

#include "request_table.h"

#include <set>
#include <utility>
#include <vector>

namespace chicorygap::admission {

/// Queue of one class in which workspaces share service in proportion to their weights.
///
/// Each workspace has a first-in-first-out queue and a virtual finish time: the tokens charged to it,
/// divided by its weight. The backlogged workspace with the smallest start tag is served first. A tag never
/// falls behind the class's virtual time, so that an idle workspace gathers no credit.
class fair_queue {
public:
    explicit fair_queue(request_table& table) : table_{&table} {}

    void push_back(request_index i, double weight);
    /// Puts a request that has already been served in part before the others of its workspace.
    void push_front(request_index i, double weight);
    void remove(request_index i);

    /// @return the request to serve next, or `no_request`.
    [[nodiscard]] request_index best() const;
    /// @return the last request of the workspace whose backlog exceeds its share most, or `no_request`.
    [[nodiscard]] request_index worst() const;

    /// Removes a request from the queue and charges its workspace with its estimated tokens.
    void take(request_index i);
    /// Adds the difference between used and charged tokens to a workspace's account.
    void correct(std::uint32_t workspace, double tokens);
    /// A blocked workspace keeps its queue but is not offered by `best`.
    void set_blocked(std::uint32_t workspace, bool blocked);

    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] double queued_seconds() const { return seconds_; }
    /// @return slot time queued ahead of a request of the workspace that is at the end of its queue,
    /// including the request itself.
    [[nodiscard]] double seconds_until_served(std::uint32_t workspace) const;
    [[nodiscard]] double flow_seconds(std::uint32_t workspace) const;
    /// @return earliest deadline of all queued requests, with its request; `no_request` when empty.
    [[nodiscard]] std::pair<base::time_point, request_index> earliest_deadline() const;

private:
    struct flow {
        request_index head = no_request;
        request_index tail = no_request;
        double weight = 1;
        double finish = 0;       // virtual finish time of what has been charged
        double start_tag = 0;    // key in `ready_`
        double backlog_tag = 0;  // key in `by_backlog_`
        double queued_tokens = 0;
        double queued_seconds = 0;
        bool blocked = false;
    };
    using tag_set = std::set<std::pair<double, std::uint32_t>>;

    flow& flow_of(std::uint32_t workspace);
    void link(request_index i, double weight, bool front);
    void unlink(request_index i);
    void detach(std::uint32_t workspace);  // removes the flow from both sets
    void attach(std::uint32_t workspace);  // inserts it again under current tags

    request_table* table_;
    std::vector<flow> flows_;  // by workspace index
    tag_set ready_;
    tag_set by_backlog_;
    std::set<std::pair<base::time_point, request_index>> deadlines_;
    double virtual_time_ = 0;
    double active_weight_ = 0;
    double seconds_ = 0;
    std::size_t size_ = 0;
};

}  // namespace chicorygap::admission
