/// @file
/// Test backend server whose responses are defined by the test.
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

/// Test backend server that passes each request as bytes to a script, which writes the response.
class scripted_server {
public:
    using connection = std::shared_ptr<net::stream>;
    /// Called once for each request.
    /// @param request head and body.
    using script = std::function<void(connection, const std::string& request)>;

    scripted_server(net::loop& l, script s)
        : loop_{l},
          script_{std::move(s)},
          listener_{std::make_unique<net::listener>(l, net::address{"127.0.0.1", 0},
                                                    [this](const Poco::Net::StreamSocket& x) { accept(x); })},
          address_{listener_->local()} {}

    /// Refuses connections from now on and closes all open ones, like a process that ends.
    void end_process() {
        listener_.reset();
        for (const auto& c : connections_) {
            c->stream->close();
        }
    }

    /// Passes each request when its first bytes arrive, which is before the rest of a long upload.
    void answer_at_first_bytes() { early_ = true; }

    [[nodiscard]] net::address address() const { return address_; }
    [[nodiscard]] int request_count() const { return request_count_; }
    [[nodiscard]] int closed_connection_count() const { return closed_connection_count_; }
    [[nodiscard]] int connection_count() const { return static_cast<int>(connections_.size()); }

private:
    struct accepted_connection {
        connection stream;
        std::string input;
    };

    void accept(const Poco::Net::StreamSocket& socket) {
        auto accepted = std::make_shared<accepted_connection>();
        connections_.push_back(accepted);
        accepted->stream =
            net::stream::adopt(loop_, socket,
                               {.connected = nullptr,
                                .received = [this, accepted](std::string_view b) { received(*accepted, b); },
                                .drained = nullptr,
                                .ended = [this](net::stream_end) { ++closed_connection_count_; }});
    }

    void received(accepted_connection& from, std::string_view bytes) {
        from.input.append(bytes);
        if (early_) {
            if (from.input.size() == bytes.size()) {
                ++request_count_;
                script_(from.stream, from.input);
            }
            return;
        }
        const auto head_end = from.input.find("\r\n\r\n");
        if (head_end == std::string::npos) {
            return;
        }
        std::size_t length = 0;
        if (const auto at = from.input.find("Content-Length: "); at < head_end) {
            length = std::stoul(from.input.substr(at + 16));
        }
        if (from.input.size() < head_end + 4 + length) {
            return;
        }
        const auto request = from.input.substr(0, head_end + 4 + length);
        from.input.erase(0, request.size());
        ++request_count_;
        script_(from.stream, request);
    }

    net::loop& loop_;
    script script_;
    std::vector<std::shared_ptr<accepted_connection>> connections_;
    bool early_ = false;
    int request_count_ = 0;
    int closed_connection_count_ = 0;
    std::unique_ptr<net::listener> listener_;
    net::address address_;
};

}  // namespace chicorygap::proxy
