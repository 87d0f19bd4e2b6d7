#include "service.h"

#include "base/error.h"
#include "distribution_encoding.h"
#include "text_field.h"

#include <utility>

namespace chicorygap::peer {

namespace {

template <typename Handler>
void require(const Handler& h) {
    if (!h) {
        throw base::error{base::result_code::backend_refused, "call is not supported by this daemon"};
    }
}

}  // namespace

template <typename Context>
void service::answer_gossip(Context& c, const decltype(handlers::probe)& handler) {
    require(handler);
    const auto in = c.getParams().getMessage();
    if (in.totalSize().wordCount * sizeof(capnp::word) > options_.gossip_bytes) {
        throw base::error{base::result_code::body_too_large, "gossip message exceeds the limit"};
    }
    const auto reply = handler(decode(in));
    c.releaseParams();
    auto out = c.getResults();
    out.setHasReply(reply.has_value());
    if (reply) {
        encode(*reply, out.initReply());
    }
}

kj::Promise<void> service::probe(ProbeContext c) {
    answer_gossip(c, handlers_.probe);
    return kj::READY_NOW;
}

kj::Promise<void> service::probeIndirect(ProbeIndirectContext c) {
    answer_gossip(c, handlers_.probe_indirect);
    return kj::READY_NOW;
}

kj::Promise<void> service::reportUsage(ReportUsageContext c) {
    require(handlers_.report_usage);
    const auto report = decode(c.getParams().getReport());
    std::function<void(usage_reply)> reply;
    auto promise = boards_.usage->open(reply);
    handlers_.report_usage(report, reply);
    return promise.then([c](usage_reply r) mutable {
        auto out = c.getResults();
        out.setAccepted(r.accepted);
        out.setTerm(r.term);
    });
}

kj::Promise<void> service::claim(ClaimContext c) {
    require(handlers_.claim);
    const auto request = decode(c.getParams().getClaim());
    std::function<void(claim_reply)> reply;
    auto promise = boards_.claims->open(reply);
    handlers_.claim(request, reply);
    return promise.then([c](const claim_reply& r) mutable { encode(r, c.getResults().initReply()); });
}

kj::Promise<void> service::status(StatusContext c) {
    require(handlers_.status);
    c.getResults().setJson(to_field(handlers_.status()));
    return kj::READY_NOW;
}

kj::Promise<void> service::distribute(DistributeContext c) {
    require(handlers_.distribute);
    const auto in = c.getParams().getMessage();
    handlers_.distribute(decode_sender(in), decode(in));
    return kj::READY_NOW;
}

kj::Promise<void> service::recordOutcome(RecordOutcomeContext c) {
    require(handlers_.record_outcome);
    handlers_.record_outcome(decode(c.getParams().getOutcome()));
    return kj::READY_NOW;
}

}  // namespace chicorygap::peer
