#include "promises.h"

#include <algorithm>
#include <chrono>
#include <sstream>

namespace chicorygap::soak {

namespace {

constexpr int status_ok = 200;
constexpr int status_busy = 429;
constexpr int status_unavailable = 503;

/// Requests that a server with a limit may get in a window: a factor of what the limit allows, and some more.
constexpr base::duration limit_window = std::chrono::seconds{4};
constexpr double limit_factor = 1.5;
constexpr double limit_slack = 5;
/// Time from the first response with a limit until the fleet must keep to it.
constexpr base::duration limit_reaction_time = std::chrono::seconds{3};

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

void promises::check_limit(const std::string& server, const std::vector<base::time_point>& arrivals,
                           base::time_point named_at, double limit_per_s) {
    const auto allowed =
        limit_slack + limit_factor * limit_per_s * std::chrono::duration<double>{limit_window}.count();
    const auto begin = std::lower_bound(arrivals.begin(), arrivals.end(), named_at + limit_reaction_time);
    for (auto first = begin; first != arrivals.end(); ++first) {
        const auto n = std::lower_bound(first, arrivals.end(), *first + limit_window) - first;
        if (static_cast<double>(n) > allowed) {
            broken_.push_back(server + ": " + std::to_string(n) + " requests in a window at a limit of " +
                              std::to_string(limit_per_s) + " a second");
            return;
        }
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
