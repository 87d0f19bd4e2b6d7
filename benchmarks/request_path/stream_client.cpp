#include "stream_client.h"

#include <Poco/Exception.h>

#include <array>

namespace chicorygap::request_path {

namespace {

constexpr long receive_timeout_seconds = 30;

std::string request_text(std::uint64_t tokens, std::uint64_t n) {
    const std::string prompt(400, 'p');
    const auto body = R"({"model":"standin","messages":[{"role":"user","content":")" + prompt +
                      R"("}],"stream":true,"max_tokens":)" + std::to_string(tokens) + "}";
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: 127.0.0.1\r\nAuthorization: Bearer bench-key\r\n"
           "X-Request-Id: direct-" +
           std::to_string(n) +
           "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

}  // namespace

stream_client::stream_client(std::uint16_t port) : socket_{Poco::Net::SocketAddress{"127.0.0.1", port}} {
    socket_.setNoDelay(true);
    socket_.setReceiveTimeout(Poco::Timespan{receive_timeout_seconds, 0});
}

stream_times stream_client::run(std::uint64_t tokens, const std::atomic<bool>& stop,
                                std::atomic<std::uint64_t>& counter) {
    stream_times out;
    const auto text = request_text(tokens, ++requests_);
    const auto started = base::boot_clock::now();
    auto last = started;
    socket_.sendBytes(text.data(), static_cast<int>(text.size()));
    auto expected = std::string{"\"tok0 \""};
    while (!stop && out.tokens < tokens && receive()) {
        const auto now = base::boot_clock::now();
        for (auto at = received_.find(expected); at != std::string::npos; at = received_.find(expected)) {
            received_.erase(0, at + expected.size());
            if (out.tokens == 0) {
                out.first_token = now - started;
            } else {
                out.gaps.push_back(now - last);
            }
            last = now;
            ++counter;
            expected = "\"tok" + std::to_string(++out.tokens) + " \"";
        }
    }
    const std::string end = "data: [DONE]\n\n\r\n0\r\n\r\n";
    while (!stop && out.tokens == tokens && received_.find(end) == std::string::npos && receive()) {
    }
    out.whole = out.tokens == tokens && received_.find(end) != std::string::npos;
    received_.clear();
    return out;
}

bool stream_client::receive() {
    std::array<char, 8192> buffer{};
    try {
        const int n = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        received_.append(buffer.data(), static_cast<std::size_t>(n));
        return n > 0;
    } catch (const Poco::Exception&) {
        return false;
    }
}

}  // namespace chicorygap::request_path
