#include "fair_queue.h"

#include <algorithm>

namespace chicorygap::admission {

fair_queue::flow& fair_queue::flow_of(std::uint32_t workspace) {
    if (workspace >= flows_.size()) {
        flows_.resize(workspace + 1);
    }
    return flows_[workspace];
}

void fair_queue::remove_flow_tags(std::uint32_t workspace) {
    const flow& f = flows_[workspace];
    eligible_flows_.erase({f.start_tag, workspace});
    if (flows_by_backlog_.erase({f.backlog_tag, workspace}) > 0) {
        backlogged_weight_ -= f.weight;
    }
}

void fair_queue::insert_flow_tags(std::uint32_t workspace) {
    flow& f = flows_[workspace];
    if (f.head == no_request) {
        return;
    }
    f.start_tag = std::max(virtual_time_, f.finish_tag);
    f.backlog_tag = f.start_tag + f.queued_tokens / f.weight;
    flows_by_backlog_.emplace(f.backlog_tag, workspace);
    backlogged_weight_ += f.weight;
    if (!f.blocked) {
        eligible_flows_.emplace(f.start_tag, workspace);
    }
}

void fair_queue::link(request_index i, double weight, bool front) {
    request& r = (*table_)[i];
    flow& f = flow_of(r.workspace);
    remove_flow_tags(r.workspace);
    f.weight = weight;
    r.previous = front ? no_request : f.tail;
    r.next = front ? f.head : no_request;
    (r.previous == no_request ? f.head : (*table_)[r.previous].next) = i;
    (r.next == no_request ? f.tail : (*table_)[r.next].previous) = i;
    f.queued_tokens += r.estimated_tokens;
    f.queued_slot_seconds += r.estimated_slot_seconds;
    queued_slot_seconds_ += r.estimated_slot_seconds;
    ++size_;
    deadlines_.emplace(r.deadline, i);
    insert_flow_tags(r.workspace);
}

void fair_queue::unlink(request_index i) {
    request& r = (*table_)[i];
    flow& f = flows_[r.workspace];
    (r.previous == no_request ? f.head : (*table_)[r.previous].next) = r.next;
    (r.next == no_request ? f.tail : (*table_)[r.next].previous) = r.previous;
    r.previous = no_request;
    r.next = no_request;
    f.queued_tokens = f.head == no_request ? 0 : f.queued_tokens - r.estimated_tokens;
    f.queued_slot_seconds = f.head == no_request ? 0 : f.queued_slot_seconds - r.estimated_slot_seconds;
    --size_;
    queued_slot_seconds_ = size_ == 0 ? 0 : queued_slot_seconds_ - r.estimated_slot_seconds;
    deadlines_.erase({r.deadline, i});
}

void fair_queue::push_back(request_index i, double weight) {
    link(i, weight, false);
}

void fair_queue::push_front(request_index i, double weight) {
    link(i, weight, true);
}

void fair_queue::remove(request_index i) {
    const auto workspace = (*table_)[i].workspace;
    remove_flow_tags(workspace);
    unlink(i);
    insert_flow_tags(workspace);
}

request_index fair_queue::next_request() const {
    return eligible_flows_.empty() ? no_request : flows_[eligible_flows_.begin()->second].head;
}

request_index fair_queue::shedding_candidate() const {
    return flows_by_backlog_.empty() ? no_request : flows_[flows_by_backlog_.rbegin()->second].tail;
}

void fair_queue::dequeue(request_index i) {
    const request& r = (*table_)[i];
    remove_flow_tags(r.workspace);
    unlink(i);
    flow& f = flows_[r.workspace];
    f.finish_tag = std::max(virtual_time_, f.finish_tag) + r.estimated_tokens / f.weight;
    virtual_time_ = std::max(virtual_time_, f.start_tag);
    insert_flow_tags(r.workspace);
}

void fair_queue::adjust_charge(std::uint32_t workspace, double tokens) {
    flow& f = flow_of(workspace);
    remove_flow_tags(workspace);
    f.finish_tag += tokens / f.weight;
    insert_flow_tags(workspace);
}

void fair_queue::set_blocked(std::uint32_t workspace, bool blocked) {
    if (flow_of(workspace).blocked == blocked) {
        return;
    }
    remove_flow_tags(workspace);
    flows_[workspace].blocked = blocked;
    insert_flow_tags(workspace);
}

double fair_queue::slot_seconds_until_served(std::uint32_t workspace) const {
    const flow& f = flows_[workspace];
    return std::min(queued_slot_seconds_, f.queued_slot_seconds * backlogged_weight_ / f.weight);
}

double fair_queue::workspace_slot_seconds(std::uint32_t workspace) const {
    return workspace < flows_.size() ? flows_[workspace].queued_slot_seconds : 0;
}

std::pair<base::time_point, request_index> fair_queue::earliest_deadline() const {
    return deadlines_.empty() ? std::pair{base::time_point::max(), no_request} : *deadlines_.begin();
}

}  // namespace chicorygap::admission
