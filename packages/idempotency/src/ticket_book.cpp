#include "idempotency/ticket_book.h"

#include <charconv>
#include <utility>

namespace chicorygap::idempotency {

namespace {

// Removes the last field of `text`, which has to be a number.
std::optional<std::uint64_t> take_number(std::string_view& text) {
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const auto field = text.substr(dot + 1);
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(field.data(), field.data() + field.size(), n);
    if (ec != std::errc{} || field.empty() || end != field.data() + field.size()) {
        return std::nullopt;
    }
    text = text.substr(0, dot);
    return n;
}

}  // namespace

std::string ticket::str() const {
    return daemon + '.' + std::to_string(incarnation) + '.' + std::to_string(serial) + '.' +
           std::to_string(nonce);
}

std::optional<ticket> ticket::parse(std::string_view text) {
    const auto nonce = take_number(text);
    const auto serial = take_number(text);
    const auto incarnation = take_number(text);
    if (!nonce || !serial || !incarnation || text.empty()) {
        return std::nullopt;
    }
    return ticket{std::string{text}, *incarnation, *serial, *nonce};
}

ticket_book::ticket_book(ticket_options o, base::random_function random)
    : options_{std::move(o)}, random_{std::move(random)} {}

std::optional<ticket> ticket_book::issue(const base::workspace_id& workspace, base::time_point now) {
    expire(now);
    if (issued_.size() >= options_.max_tickets) {
        return std::nullopt;
    }
    const ticket t{options_.daemon, options_.incarnation, next_serial_++, random_()};
    issued_.emplace(t.serial, entry{workspace, t.nonce, now + options_.lifetime, std::nullopt, std::nullopt});
    return t;
}

decision ticket_book::redeem(const ticket& t, const base::workspace_id& workspace, const digest& body,
                             base::time_point now) {
    expire(now);
    auto* e = find(t);
    if (e == nullptr) {
        return {0, verdict::unknown, std::nullopt};
    }
    if (e->workspace != workspace) {
        return {0, verdict::refused, std::nullopt};
    }
    if (!e->body) {
        e->body = body;
        return {0, verdict::granted, std::nullopt};
    }
    if (*e->body != body) {
        return {0, verdict::reused, std::nullopt};
    }
    return {0, e->result ? verdict::known : verdict::unknown, e->result};
}

void ticket_book::finish(const ticket& t, outcome result) {
    auto* e = find(t);
    if (e == nullptr || !e->body || e->result) {
        return;
    }
    if (result.body.size() > options_.max_outcome_bytes) {
        result.body.clear();
        result.whole = false;
    }
    e->result = std::move(result);
}

void ticket_book::expire(base::time_point now) {
    while (!issued_.empty() && now >= issued_.begin()->second.expires) {
        issued_.erase(issued_.begin());
    }
}

ticket_book::entry* ticket_book::find(const ticket& t) {
    if (t.daemon != options_.daemon || t.incarnation != options_.incarnation) {
        return nullptr;
    }
    const auto it = issued_.find(t.serial);
    return it == issued_.end() || it->second.nonce != t.nonce ? nullptr : &it->second;
}

}  // namespace chicorygap::idempotency
