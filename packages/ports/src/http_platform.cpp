#include "ports/http_platform.h"

#include "base/error.h"
#include "http_channel.h"
#include "ports/json.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>

#include <chrono>
#include <type_traits>
#include <utility>

namespace chicorygap::ports {

namespace {

using base::result_code;

constexpr int status_not_found = 404;
constexpr int status_precondition_failed = 412;
// The platform needs this long to answer after the longest wait of a watch.
constexpr base::duration watch_margin = std::chrono::seconds{1};

[[noreturn]] void fail_malformed(const std::string& reason, bool has_effect) {
    throw base::error{has_effect ? result_code::platform_reply_lost : result_code::platform_unavailable,
                      "malformed reply of the platform: " + reason};
}

/// Runs a call and converts its JSON reply. A reply that cannot be read counts as lost.
template <typename Convert>
auto exchange(http_channel& channel, const http_call& c, base::duration timeout, Convert convert) {
    const auto reply = channel.run(c, timeout);
    try {
        return convert(reply);
    } catch (const Poco::Exception& e) {
        fail_malformed(e.displayText(), c.has_effect);
    }
}

json_object body_of(const http_reply& r) {
    if (r.status < 200 || r.status >= 300) {
        throw Poco::DataFormatException("status " + std::to_string(r.status));
    }
    return parse_object(r.body);
}

template <typename Convert>
auto items_of(const http_reply& r, const std::string& member, Convert convert) {
    std::vector<std::invoke_result_t<Convert, const Poco::JSON::Object&>> out;
    const auto items = body_of(r)->getArray(member);
    for (std::size_t i = 0; items && i < items->size(); ++i) {
        out.push_back(convert(*items->getObject(static_cast<unsigned>(i))));
    }
    return out;
}

std::string path_of(const std::string& key) {
    return "/objects/" + encoded(key);
}

put_result put_result_of(const http_reply& r) {
    put_result out;
    if (r.status == status_precondition_failed) {
        const auto j = parse_object(r.body);
        if (j->has("current") && !j->isNull("current")) {
            out.current = object_from_json(*j->getObject("current"));
        }
        return out;
    }
    out.applied = true;
    out.version = body_of(r)->getValue<Poco::UInt64>("version");
    return out;
}

class http_object_store final : public object_store {
public:
    explicit http_object_store(http_channel& channel) : channel_{channel} {}

    std::optional<object> get(const std::string& key, base::duration timeout) override {
        const http_call c{call_kind::read, "GET", path_of(key), "", "", false, {}};
        return exchange(channel_, c, timeout, [](const http_reply& r) -> std::optional<object> {
            if (r.status == status_not_found) {
                return std::nullopt;
            }
            return object_from_json(*body_of(r));
        });
    }

    put_result put(const std::string& key, const std::string& value, std::uint64_t expected,
                   base::duration timeout) override {
        Poco::JSON::Object j;
        j.set("value", value);
        const http_call c{
            call_kind::write, "PUT", path_of(key), to_text(j), std::to_string(expected), true, {}};
        return exchange(channel_, c, timeout, put_result_of);
    }

    put_result remove(const std::string& key, std::uint64_t expected, base::duration timeout) override {
        const http_call c{call_kind::write, "DELETE", path_of(key), "", std::to_string(expected), true, {}};
        return exchange(channel_, c, timeout, put_result_of);
    }

    std::vector<object> list(const std::string& prefix, base::duration timeout) override {
        const http_call c{call_kind::list, "GET", "/objects?prefix=" + encoded(prefix), "", "", false, {}};
        return exchange(channel_, c, timeout, objects_of);
    }

    std::vector<object> watch(const std::string& prefix, std::uint64_t after,
                              base::duration timeout) override {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
        const auto target = "/objects?prefix=" + encoded(prefix) + "&after=" + std::to_string(after) +
                            "&wait_ms=" + std::to_string(wait.count());
        const http_call c{call_kind::watch, "GET", target, "", "", false, {}};
        return exchange(channel_, c, timeout + watch_margin, objects_of);
    }

private:
    static std::vector<object> objects_of(const http_reply& r) {
        return items_of(r, "objects", object_from_json);
    }

    http_channel& channel_;
};

class http_vm_list final : public vm_list {
public:
    explicit http_vm_list(http_channel& channel) : channel_{channel} {}

    std::vector<vm> vms(base::duration timeout) override {
        const http_call c{call_kind::vm_list, "GET", "/vms", "", "", false, {}};
        return exchange(channel_, c, timeout,
                        [](const http_reply& r) { return items_of(r, "vms", vm_from_json); });
    }

    std::vector<backend_server> servers(const base::zone_id& zone, base::duration timeout) override {
        const http_call c{
            call_kind::server_list, "GET", "/servers?zone=" + encoded(zone.str()), "", "", false, {}};
        return exchange(channel_, c, timeout,
                        [](const http_reply& r) { return items_of(r, "servers", server_from_json); });
    }

private:
    http_channel& channel_;
};

class http_order_service final : public order_service {
public:
    explicit http_order_service(http_channel& channel) : channel_{channel} {}

    order_reply submit(const order& o, base::duration timeout) override {
        return submit_guarded(o, {}, timeout);
    }

    order_reply submit_guarded(const order& o, const send_guard& may_send, base::duration timeout) override {
        const http_call c{call_kind::order, "POST", "/orders", to_text(*to_json(o)), "", true, may_send};
        return exchange(channel_, c, timeout,
                        [](const http_reply& r) { return order_reply_from_json(*body_of(r)); });
    }

private:
    http_channel& channel_;
};

class http_billing_service final : public billing_service {
public:
    explicit http_billing_service(http_channel& channel) : channel_{channel} {}

    usage_reply report(const usage_report& u, base::duration timeout) override {
        return report_guarded(u, {}, timeout);
    }

    usage_reply report_guarded(const usage_report& u, const send_guard& may_send,
                               base::duration timeout) override {
        const http_call c{call_kind::usage, "POST", "/usage", to_text(*to_json(u)), "", true, may_send};
        return exchange(channel_, c, timeout,
                        [](const http_reply& r) { return usage_reply_from_json(*body_of(r)); });
    }

private:
    http_channel& channel_;
};

}  // namespace

struct http_platform::implementation {
    explicit implementation(http_platform_options o) : channel{std::move(o), calls} {}

    call_counter calls;
    http_channel channel;
    http_object_store objects{channel};
    http_vm_list vms{channel};
    http_order_service orders{channel};
    http_billing_service billing{channel};
};

http_platform::http_platform(http_platform_options o)
    : implementation_{std::make_unique<implementation>(std::move(o))} {}

http_platform::~http_platform() = default;

object_store& http_platform::objects() {
    return implementation_->objects;
}

vm_list& http_platform::vms() {
    return implementation_->vms;
}

order_service& http_platform::orders() {
    return implementation_->orders;
}

billing_service& http_platform::billing() {
    return implementation_->billing;
}

const call_counter& http_platform::calls() const {
    return implementation_->calls;
}

}  // namespace chicorygap::ports
