#include "client.h"

#include <capnp/message.h>
#include <kj/time.h>

#include <utility>

namespace chicorygap::peer {

namespace {

using vat_id = capnp::rpc::twoparty::VatId;

wire::Peer::Client bootstrap(capnp::RpcSystem<vat_id>& rpc) {
    capnp::MallocMessageBuilder builder;
    auto server = builder.initRoot<vat_id>();
    server.setSide(capnp::rpc::twoparty::Side::SERVER);
    return rpc.bootstrap(server).castAs<wire::Peer>();
}

}  // namespace

struct client::connection {
    connection(kj::Own<kj::AsyncIoStream> socket, client& c)
        : stream{kj::mv(socket), c.counters_, c.timer_},
          network{stream, capnp::rpc::twoparty::Side::CLIENT, reader_options(c.options_)},
          rpc{capnp::makeRpcClient(network)},
          peer{bootstrap(rpc)} {}

    counting_stream stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<vat_id> rpc;
    wire::Peer::Client peer;
};

client::slot::slot() = default;
client::slot::~slot() = default;

wire::Peer::Client& client::slot::peer() const {
    return open->peer;
}

client::client(kj::AsyncIoContext& io, const node_options& o, traffic_counters& counters, kj::TaskSet& tasks)
    : timer_{io.provider->getTimer()},
      network_{io.provider->getNetwork()},
      options_{o},
      counters_{counters},
      tasks_{tasks} {}

client::~client() = default;

void client::close_idle() {
    const auto limit = options_.idle_timeout.count() * kj::NANOSECONDS;
    std::erase_if(slots_, [&](const auto& entry) {
        const auto& open = entry.second->open;
        return open && timer_.now() - open->stream.last_received() > limit;
    });
}

std::shared_ptr<client::slot> client::slot_of(const std::string& address) {
    const auto it = slots_.find(address);
    if (it != slots_.end()) {
        return it->second;
    }
    auto s = std::make_shared<slot>();
    slots_.emplace(address, s);
    auto connecting = network_.parseAddress(address.c_str()).then([](kj::Own<kj::NetworkAddress> a) {
        auto promise = a->connect();
        return promise.attach(kj::mv(a));
    });
    auto limited =
        timer_.timeoutAfter(options_.connect_timeout.count() * kj::NANOSECONDS, kj::mv(connecting));
    s->ready = limited
                   .then([this, address, raw = s.get()](kj::Own<kj::AsyncIoStream> socket) {
                       opened(address, *raw, kj::mv(socket));
                   })
                   .fork();
    return s;
}

void client::opened(const std::string& address, slot& s, kj::Own<kj::AsyncIoStream> socket) {
    s.open = std::make_unique<connection>(kj::mv(socket), *this);
    s.watch = s.open->network.onDisconnect()
                  .then([this, address, raw = &s] { drop_later(address, raw); })
                  .eagerlyEvaluate(nullptr);
}

void client::drop_later(const std::string& address, const slot* s) {
    // In a later turn, because the slot owns the promise that reports the end.
    tasks_.add(kj::evalLater([this, address, s] {
        const auto it = slots_.find(address);
        if (it != slots_.end() && it->second.get() == s) {
            slots_.erase(it);
        }
    }));
}

void client::failed(const std::string& address, const slot* s, kj::TimePoint began, const kj::Exception& e) {
    const bool timed_out = e.getType() == kj::Exception::Type::OVERLOADED;
    const bool silent = !s->open || s->open->stream.last_received() <= began;
    if (e.getType() == kj::Exception::Type::DISCONNECTED || (timed_out && silent) || !s->open) {
        drop_later(address, s);
    }
}

base::result_code client::code_of(const kj::Exception& e) {
    switch (e.getType()) {
        case kj::Exception::Type::DISCONNECTED:
            return base::result_code::connect_failed;
        case kj::Exception::Type::OVERLOADED:
            return base::result_code::first_byte_timeout;
        default:
            return base::result_code::backend_refused;
    }
}

}  // namespace chicorygap::peer
