#include "fair_queue.h"

#include <algorithm>

namespace chicorygap::admission {

fair_queue::flow& fair_queue::flow_of(std::uint32_t workspace) {
    if (workspace >= flows_.size()) {
        flows_.resize(workspace + 1);
    }
    return flows_[workspace];
}

void fair_queue::detach(std::uint32_t workspace) {
    const flow& f = flows_[workspace];
    ready_.erase({f.start_tag, workspace});
    if (by_backlog_.erase({f.backlog_tag, workspace}) > 0) {
        active_weight_ -= f.weight;
    }
}

void fair_queue::attach(std::uint32_t workspace) {
    flow& f = flows_[workspace];
    if (f.head == no_request) {
        return;
    }
    f.start_tag = std::max(virtual_time_, f.finish);
    f.backlog_tag = f.start_tag + f.queued_tokens / f.weight;
    by_backlog_.emplace(f.backlog_tag, workspace);
    active_weight_ += f.weight;
    if (!f.blocked) {
        ready_.emplace(f.start_tag, workspace);
    }
}

void fair_queue::link(request_index i, double weight, bool front) {
    request& r = (*table_)[i];
    flow& f = flow_of(r.workspace);
    detach(r.workspace);
    f.weight = weight;
    r.previous = front ? no_request : f.tail;
    r.next = front ? f.head : no_request;
    (r.previous == no_request ? f.head : (*table_)[r.previous].next) = i;
    (r.next == no_request ? f.tail : (*table_)[r.next].previous) = i;
    f.queued_tokens += r.tokens;
    f.queued_seconds += r.seconds;
    seconds_ += r.seconds;
    ++size_;
    deadlines_.emplace(r.deadline, i);
    attach(r.workspace);
}

void fair_queue::unlink(request_index i) {
    request& r = (*table_)[i];
    flow& f = flows_[r.workspace];
    (r.previous == no_request ? f.head : (*table_)[r.previous].next) = r.next;
    (r.next == no_request ? f.tail : (*table_)[r.next].previous) = r.previous;
    r.previous = no_request;
    r.next = no_request;
    f.queued_tokens = f.head == no_request ? 0 : f.queued_tokens - r.tokens;
    f.queued_seconds = f.head == no_request ? 0 : f.queued_seconds - r.seconds;
    --size_;
    seconds_ = size_ == 0 ? 0 : seconds_ - r.seconds;
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
    detach(workspace);
    unlink(i);
    attach(workspace);
}

request_index fair_queue::best() const {
    return ready_.empty() ? no_request : flows_[ready_.begin()->second].head;
}

request_index fair_queue::worst() const {
    return by_backlog_.empty() ? no_request : flows_[by_backlog_.rbegin()->second].tail;
}

void fair_queue::take(request_index i) {
    const request& r = (*table_)[i];
    detach(r.workspace);
    unlink(i);
    flow& f = flows_[r.workspace];
    f.finish = std::max(virtual_time_, f.finish) + r.tokens / f.weight;
    virtual_time_ = std::max(virtual_time_, f.start_tag);
    attach(r.workspace);
}

void fair_queue::correct(std::uint32_t workspace, double tokens) {
    flow& f = flow_of(workspace);
    detach(workspace);
    f.finish += tokens / f.weight;
    attach(workspace);
}

void fair_queue::set_blocked(std::uint32_t workspace, bool blocked) {
    if (flow_of(workspace).blocked == blocked) {
        return;
    }
    detach(workspace);
    flows_[workspace].blocked = blocked;
    attach(workspace);
}

double fair_queue::seconds_until_served(std::uint32_t workspace) const {
    const flow& f = flows_[workspace];
    return std::min(seconds_, f.queued_seconds * active_weight_ / f.weight);
}

double fair_queue::flow_seconds(std::uint32_t workspace) const {
    return workspace < flows_.size() ? flows_[workspace].queued_seconds : 0;
}

std::pair<base::time_point, request_index> fair_queue::earliest_deadline() const {
    return deadlines_.empty() ? std::pair{base::time_point::max(), no_request} : *deadlines_.begin();
}

}  // namespace chicorygap::admission
