/// @file
/// Start-time fair queueing of the requests of one class.
#pragma once

#include "request_table.h"

#include <set>
#include <utility>
#include <vector>

namespace chicorygap::admission {

/// Queue of one class that serves workspaces in proportion to their weights.
///
/// Each workspace is a flow with a first-in-first-out queue and a finish tag: the tokens charged to it,
/// divided by its weight. The backlogged flow with the smallest start tag is served first. A start tag is
/// never less than the virtual time of the class, so an idle workspace does not accumulate credit.
class fair_queue {
public:
    explicit fair_queue(request_table& table) : table_{&table} {}

    void push_back(request_index i, double weight);
    /// Queues an interrupted request ahead of the other requests of its workspace.
    void push_front(request_index i, double weight);
    void remove(request_index i);

    /// @return the request to serve next, or `no_request` if no workspace is eligible.
    [[nodiscard]] request_index next_request() const;
    /// @return the request to shed first: the last one of the workspace whose backlog exceeds its share most,
    /// or `no_request`.
    [[nodiscard]] request_index shedding_candidate() const;

    /// Removes a request that starts and charges its estimated tokens to its workspace.
    void dequeue(request_index i);
    /// Corrects the charge of a workspace.
    /// @param tokens used tokens minus charged tokens.
    void adjust_charge(std::uint32_t workspace, double tokens);
    /// Excludes a workspace from `next_request`, or includes it again. Its requests stay queued.
    void set_blocked(std::uint32_t workspace, bool blocked);

    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] double queued_slot_seconds() const { return queued_slot_seconds_; }
    /// @return slot time that is served up to and including the last queued request of the workspace.
    [[nodiscard]] double slot_seconds_until_served(std::uint32_t workspace) const;
    /// @return slot time of all queued requests of the workspace.
    [[nodiscard]] double workspace_slot_seconds(std::uint32_t workspace) const;
    /// @return earliest deadline of all queued requests and its request, or `no_request` if the queue is
    /// empty.
    [[nodiscard]] std::pair<base::time_point, request_index> earliest_deadline() const;

private:
    struct flow {
        request_index head = no_request;
        request_index tail = no_request;
        double weight = 1;
        double finish_tag = 0;   // virtual finish time of the charged tokens
        double start_tag = 0;    // key in `eligible_flows_`
        double backlog_tag = 0;  // key in `flows_by_backlog_`
        double queued_tokens = 0;
        double queued_slot_seconds = 0;
        bool blocked = false;
    };
    using tag_set = std::set<std::pair<double, std::uint32_t>>;

    flow& flow_of(std::uint32_t workspace);
    void link(request_index i, double weight, bool front);
    void unlink(request_index i);
    void remove_flow_tags(std::uint32_t workspace);  // from `eligible_flows_` and `flows_by_backlog_`
    void insert_flow_tags(std::uint32_t workspace);  // with newly computed tags

    request_table* table_;
    std::vector<flow> flows_;  // by workspace index
    tag_set eligible_flows_;
    tag_set flows_by_backlog_;
    std::set<std::pair<base::time_point, request_index>> deadlines_;
    double virtual_time_ = 0;
    double backlogged_weight_ = 0;
    double queued_slot_seconds_ = 0;
    std::size_t size_ = 0;
};

}  // namespace chicorygap::admission
