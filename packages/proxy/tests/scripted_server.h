/// @file
/// Backend server of tests, whose answers are given by the test.
#pragma once

#include "net/listener.h"
#include "net/loop.h"
#include "net/stream.h"

#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace chicorygap::proxy {

/// Backend server that hands each request as bytes to the test and sends what the test says.
class scripted_server {
public:
    using connection = std::shared_ptr<net::stream>;
    /// Called once for each request; the text holds head and body.
    using script = std::function<void(connection, const std::string& request)>;

    scripted_server(net::loop& l, script s)
        : loop_{l},
          script_{std::move(s)},
          listener_{l, {"127.0.0.1", 0}, [this](const Poco::Net::StreamSocket& x) { accept(x); }} {}

    [[nodiscard]] net::address address() const { return listener_.local(); }
    [[nodiscard]] int requests() const { return requests_; }
    [[nodiscard]] int closed() const { return closed_; }
    [[nodiscard]] int connections() const { return static_cast<int>(streams_.size()); }

private:
    struct held {
        connection stream;
        std::string input;
    };

    void accept(const Poco::Net::StreamSocket& socket) {
        auto h = std::make_shared<held>();
        streams_.push_back(h);
        h->stream = net::stream::adopt(loop_, socket,
                                       {.connected = nullptr,
                                        .received = [this, h](std::string_view b) { received(*h, b); },
                                        .drained = nullptr,
                                        .ended = [this](net::stream_end) { ++closed_; }});
    }

    void received(held& h, std::string_view bytes) {
        h.input.append(bytes);
        const auto head_end = h.input.find("\r\n\r\n");
        if (head_end == std::string::npos) {
            return;
        }
        std::size_t length = 0;
        if (const auto at = h.input.find("Content-Length: "); at < head_end) {
            length = std::stoul(h.input.substr(at + 16));
        }
        if (h.input.size() < head_end + 4 + length) {
            return;
        }
        const auto request = h.input.substr(0, head_end + 4 + length);
        h.input.erase(0, request.size());
        ++requests_;
        script_(h.stream, request);
    }

    net::loop& loop_;
    script script_;
    std::vector<std::shared_ptr<held>> streams_;
    int requests_ = 0;
    int closed_ = 0;
    net::listener listener_;
};

}  // namespace chicorygap::proxy
