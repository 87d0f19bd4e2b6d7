/// @file
/// Caller that sends prepared bytes.
#pragma once

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/StreamSocket.h>

#include <string>

namespace chicorygap::front {

/// One caller connection.
class raw_client {
public:
    explicit raw_client(std::uint16_t port) : socket_{Poco::Net::SocketAddress{"127.0.0.1", port}} {
        socket_.setReceiveTimeout(Poco::Timespan{20, 0});
    }

    void send(const std::string& bytes) { socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size())); }
    void close() { socket_.close(); }

    /// @return what arrives until the text `end` has arrived or the connection is closed.
    std::string read_until(const std::string& end) {
        std::string out;
        try {
            char c = 0;
            while (!out.ends_with(end) && socket_.receiveBytes(&c, 1) > 0) {
                out += c;
            }
        } catch (const Poco::TimeoutException&) {
            out += "<timeout>";
        } catch (const Poco::Exception&) {
            out += "<reset>";
        }
        return out;
    }
    /// @return what arrives until the server closes.
    std::string read_all() { return read_until("<never>"); }
    /// @return one answer with Content-Length.
    std::string read_answer() {
        auto head = read_until("\r\n\r\n");
        const std::string field = "Content-Length: ";
        const auto at = head.find(field);
        std::size_t length = at == std::string::npos ? 0 : std::stoul(head.substr(at + field.size()));
        for (; length > 0; --length) {
            char c = 0;
            socket_.receiveBytes(&c, 1);
            head += c;
        }
        return head;
    }

private:
    Poco::Net::StreamSocket socket_;
};

inline std::string body_of(const std::string& answer) {
    return answer.substr(answer.find("\r\n\r\n") + 4);
}

inline Poco::JSON::Object::Ptr json_of(const std::string& answer) {
    Poco::JSON::Parser parser;
    return parser.parse(body_of(answer)).extract<Poco::JSON::Object::Ptr>();
}

/// @return a request with key and body.
inline std::string request_text(const std::string& line, const std::string& key, const std::string& body = "",
                                const std::string& fields = "") {
    return line + " HTTP/1.1\r\nHost: x\r\n" + (key.empty() ? "" : "Authorization: Bearer " + key + "\r\n") +
           fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string chat_body(int tokens, bool stream, const std::string& model = "standin") {
    return R"({"model":")" + model + R"(","messages":[{"role":"user","content":"hi"}],"max_tokens":)" +
           std::to_string(tokens) +
           (stream ? R"(,"stream":true,"stream_options":{"include_usage":true}})" : "}");
}

inline std::string chat_text(const std::string& key, int tokens, bool stream) {
    return request_text("POST /v1/chat/completions", key, chat_body(tokens, stream),
                        "Content-Type: application/json\r\n");
}

}  // namespace chicorygap::front
