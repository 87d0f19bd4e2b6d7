#include "promises.h"

#include <sstream>

namespace chicorygap::soak {

namespace {

constexpr int status_ok = 200;
constexpr int status_busy = 429;
constexpr int status_unavailable = 503;

bool is_stream(request_kind k) {
    return k == request_kind::chat || k == request_kind::draft;
}

/// @return true if the request may run once at most.
bool runs_once(request_kind k) {
    return k == request_kind::order || k == request_kind::draft;
}

}  // namespace

void promises::note(const sent_request& r, const standin::call_outcome& o) {
    ++outcomes_[o.complete ? o.status : 0];
    const bool refused = o.complete && (o.status == status_unavailable || o.status == status_busy);
    ended_[o.id] = {r, refused};
    if (o.status == status_ok) {
        check_answer(r, o);
    }
    if (refused && !o.retry_after && !o.response_stamp) {
        broken_.push_back(o.id + ": refused without a time to return");
    }
    if (!o.response_started && r.undisturbed && !r.left) {
        broken_.push_back(o.id + ": no answer although nothing was disturbed");
    }
}

void promises::check_answer(const sent_request& r, const standin::call_outcome& o) {
    if (!o.response_stamp) {
        broken_.push_back(o.id + ": success without a server's signature");
        return;
    }
    if (is_stream(r.kind)) {
        check_stream(o);
        return;
    }
    // A plain answer is whole or visibly broken off.
    const auto expected = "answer to " + o.id + " of " + *o.response_stamp;
    if (o.complete ? o.body != expected : !expected.starts_with(o.body)) {
        broken_.push_back(o.id + ": wrong answer '" + o.body + "'");
    }
}

void promises::check_stream(const standin::call_outcome& o) {
    std::istringstream in{o.body};
    std::string line;
    std::size_t events = 0;
    bool ended = false;
    while (std::getline(in, line)) {
        if (!line.starts_with("data: ")) {
            continue;
        }
        ++events;
        const auto data = line.substr(6);
        const bool last = data == "end";
        if (ended || (!last && data != o.id + '/' + std::to_string(events))) {
            broken_.push_back(o.id + ": event " + std::to_string(events) + " is '" + data + "'");
            return;
        }
        ended = ended || last;
    }
    if (o.complete && !ended) {
        broken_.push_back(o.id + ": stream ends as complete after " + std::to_string(events) + " events");
    }
}

void promises::check_runs() {
    for (const auto& [id, e] : ended_) {
        const auto& runs = runs_.executions_of(id);
        if (runs_once(e.request.kind) && runs.size() > 1) {
            broken_.push_back(id + ": ran " + std::to_string(runs.size()) + " times");
        }
        if (runs_once(e.request.kind) && e.refused && !runs.empty()) {
            broken_.push_back(id + ": refused as not run, and ran on " + runs.front().server);
        }
        for (const auto& r : runs) {
            if (r.workspace != e.request.workspace) {
                broken_.push_back(id + ": ran for workspace '" + r.workspace + "'");
            }
        }
    }
}

}  // namespace chicorygap::soak
