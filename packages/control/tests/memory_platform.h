/// @file
/// Platform interfaces in memory, with injected faults.
#pragma once

#include "base/error.h"
#include "fakes/message_store.h"
#include "ports/billing_service.h"
#include "ports/object_store.h"
#include "ports/order_service.h"

#include <functional>
#include <map>
#include <set>

namespace chicorygap::control {

/// Object store over `fakes::message_store`; `before_call` may move the clock to stand for a slow store or a
/// pause.
class memory_store : public ports::object_store {
public:
    explicit memory_store(fakes::message_store& store) : store_{store} {}

    std::function<void()> before_call;
    bool reachable = true;

    std::optional<ports::object> get(const std::string& key, base::duration /*timeout*/) override {
        const auto r = call(base::store_get{1, key});
        return r.current ? std::optional{to_object(*r.current)} : std::nullopt;
    }
    ports::put_result put(const std::string& key, const std::string& value, std::uint64_t expected,
                          base::duration /*timeout*/) override {
        const auto r = call(base::store_put{1, key, value, expected});
        ports::put_result out{r.result == base::store_result::applied, r.version, std::nullopt};
        if (r.current) {
            out.current = to_object(*r.current);
        }
        return out;
    }
    ports::put_result remove(const std::string& /*key*/, std::uint64_t /*expected*/,
                             base::duration /*timeout*/) override {
        throw base::error{base::result_code::internal, "not used"};
    }
    std::vector<ports::object> list(const std::string& prefix, base::duration /*timeout*/) override {
        std::vector<ports::object> out;
        for (const auto& o : call(base::store_list{1, prefix}).objects) {
            out.push_back(to_object(o));
        }
        return out;
    }
    std::vector<ports::object> watch(const std::string& /*prefix*/, std::uint64_t /*after*/,
                                     base::duration /*timeout*/) override {
        return {};
    }

private:
    static ports::object to_object(const base::stored_object& o) { return {o.key, o.value, o.version}; }

    template <typename Call>
    base::store_reply call(const Call& c) {
        if (before_call) {
            before_call();
        }
        if (!reachable) {
            throw base::error{base::result_code::platform_unavailable, "partitioned"};
        }
        auto r = store_.call(c);
        if (r.result == base::store_result::lost) {
            throw base::error{base::result_code::platform_reply_lost, "reply lost"};
        }
        if (r.result == base::store_result::refused) {
            throw base::error{base::result_code::platform_unavailable, "refused"};
        }
        return r;
    }

    fakes::message_store& store_;
};

/// Orders by id; loses the replies of the next `lose_replies` calls.
class memory_orders : public ports::order_service {
public:
    std::map<std::string, int> received;
    int lose_replies = 0;
    /// Called between connecting and writing, for example to let time pass.
    std::function<void()> connected;

    ports::order_reply submit_guarded(const ports::order& o, const ports::send_guard& may_send,
                                      base::duration timeout) override {
        if (connected) {
            connected();
        }
        if (!may_send()) {
            throw base::error{base::result_code::lease_not_held, "guard refused"};
        }
        return submit(o, timeout);
    }

    ports::order_reply submit(const ports::order& o, base::duration /*timeout*/) override {
        ++received[o.id];
        if (lose_replies > 0) {
            --lose_replies;
            throw base::error{base::result_code::platform_reply_lost, "reply lost"};
        }
        return {true, received[o.id] > 1, o.fencing_token};
    }
};

/// Bills the first report of each window.
class memory_billing : public ports::billing_service {
public:
    std::map<base::wall_time, std::vector<ports::usage_line>> windows;
    int different = 0;
    int lose_replies = 0;
    /// Called between connecting and writing, for example to let time pass.
    std::function<void()> connected;

    ports::usage_reply report_guarded(const ports::usage_report& r, const ports::send_guard& may_send,
                                      base::duration timeout) override {
        if (connected) {
            connected();
        }
        if (!may_send()) {
            throw base::error{base::result_code::lease_not_held, "guard refused"};
        }
        return report(r, timeout);
    }

    ports::usage_reply report(const ports::usage_report& r, base::duration /*timeout*/) override {
        const auto [it, first] = windows.try_emplace(r.window_start, r.lines);
        const bool same = it->second == r.lines;
        different += same ? 0 : 1;
        if (lose_replies > 0) {
            --lose_replies;
            throw base::error{base::result_code::platform_reply_lost, "reply lost"};
        }
        return {same, !first};
    }
};

}  // namespace chicorygap::control
