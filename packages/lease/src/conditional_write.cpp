#include "lease/conditional_write.h"

#include <utility>

namespace chicorygap::lease {

base::store_put conditional_write::begin(std::uint64_t correlation, std::string key, std::string value,
                                         std::uint64_t expected, base::time_point now) {
    put_ = {correlation, std::move(key), std::move(value), expected};
    first_sent_ = now;
    last_sent_ = now;
    pending_ = true;
    in_flight_ = true;
    return put_;
}

std::optional<write_result> conditional_write::handle(const base::store_reply& reply, base::time_point now) {
    if (!pending_ || !in_flight_ || reply.correlation != put_.correlation) {
        return std::nullopt;
    }
    in_flight_ = false;
    if (reply.result == base::store_result::applied) {
        pending_ = false;
        return write_result{true, last_sent_, reply.version, std::nullopt};
    }
    if (reply.result == base::store_result::conflict) {
        return resolve_conflict(reply);
    }
    retry_at_ = now + retry_delay_;
    return std::nullopt;
}

std::optional<write_result> conditional_write::resolve_conflict(const base::store_reply& reply) {
    pending_ = false;
    if (reply.current && reply.current->value == put_.value) {
        return write_result{true, first_sent_, reply.current->version, std::nullopt};
    }
    return write_result{false, first_sent_, 0, reply.current};
}

std::optional<base::store_put> conditional_write::retry(std::uint64_t correlation, base::time_point now) {
    if (!pending_ || in_flight_ || now < retry_at_) {
        return std::nullopt;
    }
    put_.correlation = correlation;
    last_sent_ = now;
    in_flight_ = true;
    return put_;
}

}  // namespace chicorygap::lease
