#include "traffic.h"

#include "site.h"
#include "standin/configuration.h"

#include <array>
#include <chrono>
#include <utility>

namespace chicorygap::soak {

namespace {

using namespace std::chrono_literals;

/// Pause of a caller between two requests, and its random part.
constexpr base::duration shortest_pause = 5ms;
constexpr std::uint64_t pause_spread_ms = 40;
constexpr base::duration deadline = 2s;
/// One in so many requests is left by its caller.
constexpr std::uint64_t leaves_one_in = 60;
/// One in so many callers goes to another daemon afterwards.
constexpr std::uint64_t moves_one_in = 20;
/// Connections that a fault broke, and servers that a daemon leaves out after it, are back after this time.
constexpr base::duration settle_time = 4s;

struct kind_terms {
    request_kind kind;
    const char* path;
    const char* method;
    bool generates;
};

constexpr std::array kinds{kind_terms{request_kind::order, standin::order_path, "POST", false},
                           kind_terms{request_kind::read, standin::read_path, "GET", false},
                           kind_terms{request_kind::chat, standin::chat_path, "POST", true},
                           kind_terms{request_kind::draft, standin::draft_path, "POST", true}};

constexpr std::array workspaces{"north", "south", "west"};

}  // namespace

traffic::traffic(net::loop& l, site& s, promises& p, base::random_function random, std::size_t callers)
    : loop_{l}, site_{s}, promises_{p}, random_{std::move(random)}, slots_(callers) {}

traffic::~traffic() {
    for (auto& s : slots_) {
        loop_.cancel(s.timer);
    }
}

void traffic::start() {
    for (std::size_t i = 0; i < slots_.size(); ++i) {
        slots_[i].daemon = i % site_.daemons().size();
        slots_[i].caller = std::make_shared<standin::caller>(
            loop_, site_.daemons()[slots_[i].daemon].from_callers->address());
        next(i);
    }
}

bool traffic::idle() const {
    for (const auto& s : slots_) {
        if (s.caller->busy()) {
            return false;
        }
    }
    return true;
}

traffic::share traffic::take_share() {
    return std::exchange(share_, {});
}

bool traffic::undisturbed(std::size_t daemon, base::time_point since) const {
    const auto& d = site_.daemons()[daemon];
    return d.faults == 0 && !d.stopping && d.calm_since + settle_time < since && site_.store_faults == 0 &&
           site_.store_calm_since + settle_time < since;
}

void traffic::next(std::size_t index) {
    if (stopped_) {
        return;
    }
    auto& s = slots_[index];
    const auto& k = kinds[random_() % kinds.size()];
    const std::string workspace = workspaces[random_() % workspaces.size()];
    sent_request r{.kind = k.kind, .workspace = workspace, .at = loop_.now()};
    r.undisturbed = undisturbed(s.daemon, r.at) && site_.key_granted(workspace);
    standin::call_options o{.id = "q" + std::to_string(++next_id_),
                            .method = k.method,
                            .host = standin::site_host,
                            .path = std::string{k.path} + "x",
                            .api_key = site::key_of(workspace),
                            .deadline = deadline};
    if (k.generates) {
        o.prompt_tokens = 200;
        o.prompt_prefix = 1 + random_() % 20;
    }
    ++share_.sent;
    s.left = false;
    s.caller->send(o, [this, index, r](const standin::call_outcome& outcome) { ended(index, r, outcome); });
    if (chance(leaves_one_in)) {
        s.timer = loop_.after(std::chrono::milliseconds{random_() % 100}, [this, index] {
            slots_[index].left = true;
            if (slots_[index].caller->busy()) {
                slots_[index].caller->disconnect();
            }
        });
    }
}

void traffic::ended(std::size_t index, const sent_request& r, const standin::call_outcome& o) {
    auto& s = slots_[index];
    loop_.cancel(s.timer);
    auto request = r;
    request.left = s.left;
    request.undisturbed = r.undisturbed && undisturbed(s.daemon, r.at);
    promises_.note(request, o);
    share_.served += o.complete && o.status == 200 ? 1 : 0;
    if (chance(moves_one_in) || !o.response_started) {
        s.daemon = random_() % site_.daemons().size();
        s.caller->set_daemon(site_.daemons()[s.daemon].from_callers->address());
    }
    const auto pause = shortest_pause + std::chrono::milliseconds{random_() % pause_spread_ms};
    s.timer = loop_.after(pause, [this, index] { next(index); });
}

}  // namespace chicorygap::soak
