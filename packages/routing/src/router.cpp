#include "routing/router.h"

#include <algorithm>
#include <map>
#include <utility>

namespace chicorygap::routing {

class router::impl {
public:
    explicit impl(base::random_function random) : random_{std::move(random)} {}

    void handle(const event& e) {
        if (const auto* s = std::get_if<servers_changed>(&e)) {
            servers_ = s->servers;
        } else if (const auto* a = std::get_if<attempt_started>(&e)) {
            in_flight_[a->server]++;
        } else if (const auto* f = std::get_if<attempt_finished>(&e)) {
            in_flight_[f->server]--;
        }
    }

    std::optional<choice> choose(const route_request& r) {
        std::vector<const server_info*> fits;
        for (const auto& s : servers_) {
            const bool has_model = r.model.empty() || std::ranges::find(s.models, r.model) != s.models.end();
            const bool excluded = std::ranges::find(r.excluded, s.id) != r.excluded.end();
            if (has_model && !excluded && !s.leaving) {
                fits.push_back(&s);
            }
        }
        if (fits.empty()) {
            return std::nullopt;
        }
        const auto* s = fits[base::pick(random_, fits.size())];
        return choice{s->id, s->zone, false, in_flight_[s->id] < s->slots};
    }

    [[nodiscard]] int free_slots() const {
        int n = 0;
        for (const auto& s : servers_) {
            const auto it = in_flight_.find(s.id);
            n += s.leaving ? 0 : std::max(0, s.slots - (it == in_flight_.end() ? 0 : it->second));
        }
        return n;
    }

    [[nodiscard]] std::vector<server_in_flight> load_digest() const {
        std::vector<server_in_flight> out;
        for (const auto& [id, n] : in_flight_) {
            out.push_back({id, n});
        }
        return out;
    }

private:
    base::random_function random_;
    std::vector<server_info> servers_;
    std::map<base::backend_server_id, int> in_flight_;
};

router::router(options, base::random_function random) : impl_{std::make_unique<impl>(std::move(random))} {}
router::~router() = default;
router::router(router&&) noexcept = default;
router& router::operator=(router&&) noexcept = default;

void router::handle(const event& e, base::time_point) {
    impl_->handle(e);
}

std::optional<choice> router::choose(const route_request& r, base::time_point) {
    return impl_->choose(r);
}

int router::free_slots(base::time_point) const {
    return impl_->free_slots();
}

std::vector<server_in_flight> router::load_digest(std::size_t) const {
    return impl_->load_digest();
}

std::vector<server_status> router::snapshot(base::time_point) const {
    return {};
}

}  // namespace chicorygap::routing
