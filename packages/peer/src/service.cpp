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

kj::Promise<claim_reply> claim_board::open(std::function<void(claim_reply)>& reply) {
    auto pair = kj::newPromiseAndFulfiller<claim_reply>();
    const auto id = next_++;
    waiting_.emplace(id, kj::mv(pair.fulfiller));
    reply = [self = shared_from_this(), id](claim_reply r) { self->answer(id, std::move(r)); };
    return kj::mv(pair.promise);
}

void claim_board::close() {
    const std::lock_guard lock{mutex_};
    loop_ = nullptr;
    waiting_.clear();
}

void claim_board::answer(std::uint64_t id, claim_reply r) {
    const std::lock_guard lock{mutex_};
    if (loop_ == nullptr) {
        return;
    }
    loop_->post([self = shared_from_this(), id, r = std::move(r)](kj::AsyncIoContext&) {
        const auto it = self->waiting_.find(id);
        if (it != self->waiting_.end()) {
            it->second->fulfill(claim_reply{r});
            self->waiting_.erase(it);
        }
    });
}

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

kj::Promise<void> service::push(PushContext c) {
    require(handlers_.push);
    handlers_.push(decode(c.getParams().getDocument()));
    return kj::READY_NOW;
}

kj::Promise<void> service::fetch(FetchContext c) {
    require(handlers_.fetch);
    const auto in = c.getParams();
    const auto name = in.getService();
    const auto found = handlers_.fetch(base::service_id{{name.cStr(), name.size()}}, in.getNewerThan());
    auto out = c.getResults();
    out.setFound(found.has_value());
    if (found) {
        encode(*found, out.initDocument());
    }
    return kj::READY_NOW;
}

kj::Promise<void> service::reportUsage(ReportUsageContext c) {
    require(handlers_.report_usage);
    const auto reply = handlers_.report_usage(decode(c.getParams().getReport()));
    auto out = c.getResults();
    out.setAccepted(reply.accepted);
    out.setTerm(reply.term);
    return kj::READY_NOW;
}

kj::Promise<void> service::claim(ClaimContext c) {
    require(handlers_.claim);
    const auto request = decode(c.getParams().getClaim());
    std::function<void(claim_reply)> reply;
    auto promise = claims_->open(reply);
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
