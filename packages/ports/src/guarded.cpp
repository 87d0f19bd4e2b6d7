#include "base/error.h"
#include "ports/billing_service.h"
#include "ports/order_service.h"

namespace chicorygap::ports {

namespace {

void check(const send_guard& may_send) {
    if (may_send && !may_send()) {
        throw base::error{base::result_code::lease_not_held, "not sent"};
    }
}

}  // namespace

order_reply order_service::submit_guarded(const order& o, const send_guard& may_send,
                                          base::duration timeout) {
    check(may_send);
    return submit(o, timeout);
}

usage_reply billing_service::report_guarded(const usage_report& r, const send_guard& may_send,
                                            base::duration timeout) {
    check(may_send);
    return report(r, timeout);
}

}  // namespace chicorygap::ports
