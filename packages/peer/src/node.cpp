#include "peer/node.h"

#include "base/log.h"
#include "client.h"
#include "distribution_encoding.h"
#include "encoding.h"
#include "event_loop.h"
#include "server.h"
#include "service.h"
#include "text_field.h"

#include <capnp/message.h>

#include <future>
#include <optional>
#include <utility>

namespace chicorygap::peer {

namespace {

constexpr auto sweep_interval = 5 * kj::SECONDS;
// Bytes of an RPC call around its parameters.
constexpr std::size_t envelope_bytes = 160;

// Logs failures of background tasks, such as a listening socket that is closed.
// The interface has no virtual destructor in KJ; objects are only owned by their exact type.
// NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor)
class task_log final : public kj::TaskSet::ErrorHandler {
public:
    void taskFailed(kj::Exception&& e) override {  // NOLINT(readability-identifier-naming)
        base::log_line{base::log_level::warning, "peer", "Background task failed."}.field(
            "reason", e.getDescription().cStr());
    }
};

/// Message encoded on the calling thread, so that the loop only copies it.
template <typename Wire>
using encoded = std::shared_ptr<capnp::MallocMessageBuilder>;

template <typename Wire, typename Value>
encoded<Wire> encode_message(const Value& v) {
    auto b = std::make_shared<capnp::MallocMessageBuilder>();
    encode(v, b->initRoot<Wire>());
    return b;
}

template <typename Wire>
typename Wire::Reader read(const encoded<Wire>& m) {
    return m->template getRoot<Wire>().asReader();
}

}  // namespace

class node::impl {
public:
    impl(node_options o, handlers h) : options_{std::move(o)}, handlers_{std::move(h)} {
        // The reason is passed as text, because a kj::Exception must be destroyed on the thread that threw
        // it.
        std::promise<std::string> failure;
        loop_.post([this, &failure](kj::AsyncIoContext& io) {
            std::string reason;
            try {
                open(io);
            } catch (const kj::Exception& e) {
                reason = std::string{"cannot listen: "} + e.getDescription().cStr();
            }
            failure.set_value(reason);
        });
        if (const auto reason = failure.get_future().get(); !reason.empty()) {
            close();
            throw base::error{base::result_code::connect_failed, reason};
        }
    }

    ~impl() { close(); }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    impl(impl&&) = delete;
    impl& operator=(impl&&) = delete;

    [[nodiscard]] std::uint16_t port() const { return port_; }
    [[nodiscard]] const node_options& options() const { return options_; }

    [[nodiscard]] traffic statistics() const {
        return {counters_.bytes_sent, counters_.bytes_received, counters_.messages_sent,
                counters_.messages_received};
    }

    /// Hands a call to the loop, unless its message is too large.
    template <typename T>
    void call(const std::string& address, base::duration timeout, std::size_t size, std::size_t limit,
              completion<T> done, std::function<kj::Promise<T>(wire::Peer::Client&)> start) {
        auto guard = std::make_shared<once<T>>(std::move(done));
        if (size > limit) {
            guard->finish({std::nullopt, base::result_code::body_too_large, "message exceeds the limit"});
            return;
        }
        loop_.post([this, address, timeout, guard, start = std::move(start)](kj::AsyncIoContext&) {
            client_->call<T>(address, timeout, start, guard);
        });
    }

private:
    void open(kj::AsyncIoContext& io) {
        tasks_ = kj::heap<kj::TaskSet>(log_);
        boards_.emplace(loop_);
        wire::Peer::Client peer = kj::heap<service>(handlers_, options_, *boards_);
        server_ = std::make_unique<server>(io, options_, counters_, peer, *tasks_);
        client_ = std::make_unique<client>(io, options_, counters_, *tasks_);
        port_ = server_->port();
        tasks_->add(sweep(io.provider->getTimer()));
    }

    kj::Promise<void> sweep(kj::Timer& timer) {
        return timer.afterDelay(sweep_interval).then([this, &timer] {
            server_->close_idle();
            client_->close_idle();
            return sweep(timer);
        });
    }

    void close() {
        loop_.stop([this](kj::AsyncIoContext&) {
            if (boards_) {
                boards_->close();
            }
            tasks_ = nullptr;
            client_ = nullptr;
            server_ = nullptr;
        });
    }

    node_options options_;
    handlers handlers_;
    traffic_counters counters_;
    task_log log_;
    kj::Own<kj::TaskSet> tasks_;
    std::optional<reply_boards> boards_;
    std::unique_ptr<server> server_;
    std::unique_ptr<client> client_;
    std::uint16_t port_ = 0;
    event_loop loop_;
};

node::node(node_options o, handlers h) : impl_{std::make_unique<impl>(std::move(o), std::move(h))} {}

node::~node() = default;

std::uint16_t node::port() const {
    return impl_->port();
}

traffic node::statistics() const {
    return impl_->statistics();
}

namespace {

using gossip = std::optional<membership::message>;

template <typename Response>
gossip gossip_of(Response&& r) {
    return r.getHasReply() ? gossip{decode(r.getReply())} : std::nullopt;
}

template <typename Wire>
std::size_t size_of(const encoded<Wire>& m) {
    return m->sizeInWords() * sizeof(capnp::word) + envelope_bytes;
}

}  // namespace

void node::probe(const std::string& address, const membership::message& m, completion<gossip> done) {
    const auto e = encode_message<wire::Gossip>(m);
    const auto& o = impl_->options();
    impl_->call<gossip>(address, o.call_timeout, size_of<wire::Gossip>(e), o.gossip_bytes, std::move(done),
                        [e](wire::Peer::Client& peer) {
                            auto request = peer.probeRequest();
                            request.setMessage(read<wire::Gossip>(e));
                            return request.send().then([](auto&& r) { return gossip_of(r); });
                        });
}

void node::probe_indirect(const std::string& address, const membership::message& m, completion<gossip> done) {
    const auto e = encode_message<wire::Gossip>(m);
    const auto& o = impl_->options();
    impl_->call<gossip>(address, o.call_timeout, size_of<wire::Gossip>(e), o.gossip_bytes, std::move(done),
                        [e](wire::Peer::Client& peer) {
                            auto request = peer.probeIndirectRequest();
                            request.setMessage(read<wire::Gossip>(e));
                            return request.send().then([](auto&& r) { return gossip_of(r); });
                        });
}

void node::report_usage(const std::string& address, const usage::usage_report& r,
                        completion<usage_reply> done) {
    const auto e = encode_message<wire::UsageReport>(r);
    const auto& o = impl_->options();
    impl_->call<usage_reply>(address, o.call_timeout, size_of<wire::UsageReport>(e), o.message_bytes,
                             std::move(done), [e](wire::Peer::Client& peer) {
                                 auto request = peer.reportUsageRequest();
                                 request.setReport(read<wire::UsageReport>(e));
                                 return request.send().then([](auto&& reply) {
                                     return usage_reply{reply.getAccepted(), reply.getTerm()};
                                 });
                             });
}

void node::claim(const std::string& address, const claim_request& r, completion<claim_reply> done) {
    const auto e = encode_message<wire::Claim>(r);
    const auto& o = impl_->options();
    impl_->call<claim_reply>(
        address, o.claim_timeout, size_of<wire::Claim>(e), o.message_bytes, std::move(done),
        [e](wire::Peer::Client& peer) {
            auto request = peer.claimRequest();
            request.setClaim(read<wire::Claim>(e));
            return request.send().then([](auto&& reply) { return decode(reply.getReply()); });
        });
}

void node::record_outcome(const std::string& address, const outcome_report& r, completion<peer::done> done) {
    const auto e = encode_message<wire::Outcome>(r);
    const auto& o = impl_->options();
    impl_->call<peer::done>(address, o.call_timeout, size_of<wire::Outcome>(e), o.message_bytes,
                            std::move(done), [e](wire::Peer::Client& peer) {
                                auto request = peer.recordOutcomeRequest();
                                request.setOutcome(read<wire::Outcome>(e));
                                return request.send().then([](auto&&) { return peer::done{}; });
                            });
}

void node::status(const std::string& address, completion<std::string> done) {
    impl_->call<std::string>(address, impl_->options().call_timeout, 0, 0, std::move(done),
                             [](wire::Peer::Client& peer) {
                                 return peer.statusRequest().send().then([](auto&& r) {
                                     return std::string{r.getJson().cStr(), r.getJson().size()};
                                 });
                             });
}

void node::distribute(const std::string& address, const distribution::member& from,
                      const distribution::message& m, completion<peer::done> done) {
    auto e = std::make_shared<capnp::MallocMessageBuilder>();
    encode(from, m, e->initRoot<wire::Distribution>());
    const auto& o = impl_->options();
    impl_->call<peer::done>(address, o.document_timeout, size_of<wire::Distribution>(e), o.message_bytes,
                            std::move(done), [e](wire::Peer::Client& peer) {
                                auto request = peer.distributeRequest();
                                request.setMessage(read<wire::Distribution>(e));
                                return request.send().then([](auto&&) { return peer::done{}; });
                            });
}

}  // namespace chicorygap::peer
