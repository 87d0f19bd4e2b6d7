#include "peer/gossip.h"

#include <algorithm>
#include <utility>

namespace chicorygap::peer {

gossip::gossip(membership::membership_options o, base::random_function random, base::now_function now,
               listener changed)
    : protocol_{std::move(o), std::move(random), now()}, now_{std::move(now)}, changed_{std::move(changed)} {}

void gossip::attach(node& n) {
    const std::lock_guard lock{mutex_};
    node_ = &n;
}

std::optional<membership::message> gossip::receive(const membership::message& m) {
    auto actions = apply(membership::received{m});
    // The answer to the sender travels as the result of its call.
    const auto answer = std::ranges::find_if(actions, [&m](const membership::action& a) {
        const auto* s = std::get_if<membership::send>(&a);
        return s != nullptr && s->address == m.sender.address;
    });
    std::optional<membership::message> out;
    if (answer != actions.end()) {
        out = std::move(std::get<membership::send>(*answer).content);
        actions.erase(answer);
    }
    perform(actions);
    return out;
}

void gossip::handle(const membership::event& e) {
    perform(apply(e));
}

void gossip::read(const std::function<void(const membership::membership_protocol&)>& f) const {
    const std::lock_guard lock{mutex_};
    f(protocol_);
}

std::vector<membership::action> gossip::apply(const membership::event& e) {
    const std::lock_guard lock{mutex_};
    return protocol_.handle(e, now_());
}

void gossip::perform(const std::vector<membership::action>& actions) {
    for (const auto& a : actions) {
        if (const auto* s = std::get_if<membership::send>(&a)) {
            send(*s);
        } else if (changed_) {
            changed_(a);
        }
    }
}

void gossip::send(const membership::send& s) {
    node* n = nullptr;
    {
        const std::lock_guard lock{mutex_};
        n = node_;
    }
    if (n == nullptr) {
        return;
    }
    const auto done = [this](outcome<std::optional<membership::message>> o) {
        if (o.value && *o.value) {
            handle(membership::received{std::move(**o.value)});
        }
    };
    if (s.content.kind == membership::message_kind::probe_indirect) {
        n->probe_indirect(s.address, s.content, done);
    } else {
        n->probe(s.address, s.content, done);
    }
}

}  // namespace chicorygap::peer
