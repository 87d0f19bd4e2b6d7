#include "control/store_executor.h"

#include "base/error.h"

#include <utility>

namespace chicorygap::control {

namespace {

base::stored_object to_stored(ports::object o) {
    return {std::move(o.key), std::move(o.value), o.version};
}

template <typename Call>
base::store_reply guarded(std::uint64_t correlation, const Call& call) {
    base::store_reply r;
    r.correlation = correlation;
    try {
        call(r);
    } catch (const base::error& e) {
        const bool without_effect = e.code() == base::result_code::platform_unavailable;
        r.result = without_effect ? base::store_result::refused : base::store_result::lost;
    }
    return r;
}

}  // namespace

base::store_reply store_executor::run(const base::store_put& a) {
    return guarded(a.correlation, [&](base::store_reply& r) {
        auto p = store_.put(a.key, a.value, a.expected, timeout_);
        r.result = p.applied ? base::store_result::applied : base::store_result::conflict;
        r.version = p.version;
        if (p.current) {
            r.current = to_stored(std::move(*p.current));
        }
    });
}

base::store_reply store_executor::run(const base::store_get& a) {
    return guarded(a.correlation, [&](base::store_reply& r) {
        auto o = store_.get(a.key, timeout_);
        r.result = base::store_result::read;
        if (o) {
            r.current = to_stored(std::move(*o));
        }
    });
}

base::store_reply store_executor::run(const base::store_list& a) {
    return guarded(a.correlation, [&](base::store_reply& r) {
        for (auto& o : store_.list(a.prefix, timeout_)) {
            r.objects.push_back(to_stored(std::move(o)));
        }
        r.result = base::store_result::read;
    });
}

}  // namespace chicorygap::control
