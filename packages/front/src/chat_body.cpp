#include "chat_body.h"

#include <Poco/JSON/Handler.h>
#include <Poco/JSON/JSONException.h>
#include <Poco/JSON/Parser.h>

#include <set>
#include <utility>
#include <vector>

namespace chicorygap::front {

namespace {

[[noreturn]] void malformed(const std::string& detail) {
    throw Poco::JSON::JSONException{detail};
}

/// Reads top-level fields while the parser walks the text, so that no tree of a large body is built.
class body_handler : public Poco::JSON::Handler {
public:
    explicit body_handler(std::size_t depth) : depth_limit_{depth} {}

    void reset() override {}
    void startObject() override {
        start();
        options_ = path_.size() == 1 && key_ == "stream_options";
        path_.push_back('{');
    }
    void endObject() override { end(); }
    void startArray() override {
        start();
        path_.push_back('[');
    }
    void endArray() override { end(); }
    void key(const std::string& k) override {
        key_ = k;
        // The router would read one of two equal fields and the backend server the other.
        if (path_.size() == 1 && !seen_.insert(k).second) {
            malformed("a field of the request is given twice");
        }
    }
    void null() override { scalar(); }
    void value(int v) override { value(static_cast<Poco::Int64>(v)); }
    void value(unsigned v) override { value(static_cast<Poco::Int64>(v)); }
    void value(Poco::UInt64 v) override { value(static_cast<Poco::Int64>(v)); }
    void value(Poco::Int64 v) override {
        scalar();
        if (!top()) {
            return;
        }
        check_no_text();
        if (key_ == "max_tokens" || key_ == "max_completion_tokens") {
            if (v <= 0) {
                malformed(key_ + " must be positive");
            }
            call_.max_tokens = static_cast<std::uint64_t>(v);
        }
        if (key_ == "n" && v != 1) {
            malformed("n must be 1");
        }
    }
    void value(double) override {
        scalar();
        if (top() && (key_ == "max_tokens" || key_ == "max_completion_tokens" || key_ == "n")) {
            malformed(key_ + " must be an integer");
        }
        check_no_text();
    }
    void value(bool v) override {
        scalar();
        if (top() && key_ == "stream") {
            call_.stream = v;
        } else if (path_.size() == 2 && options_ && key_ == "include_usage") {
            call_.include_usage = v;
        } else {
            check_no_text();
        }
    }
    void value(const std::string& v) override {
        scalar();
        if (top() && key_ == "model") {
            call_.model = v;
        } else if (top() && key_ == "stream") {
            malformed("stream must be true or false");
        }
    }

    chat_call take() {
        if (!object_) {
            malformed("the body must be a JSON object");
        }
        if (call_.model.empty()) {
            malformed("model must be a non-empty string");
        }
        if (!messages_) {
            malformed("messages must be a non-empty array");
        }
        return std::move(call_);
    }

private:
    [[nodiscard]] bool top() const { return path_.size() == 1 && path_.back() == '{'; }
    void check_no_text() const {
        if (top() && (key_ == "model" || key_ == "messages" || key_ == "stream")) {
            malformed(key_ + " has a wrong type");
        }
    }
    void scalar() { note_message(); }
    void start() {
        if (path_.size() >= depth_limit_) {
            malformed("the body is nested too deeply");
        }
        object_ = object_ || path_.empty();
        note_message();
    }
    void end() {
        path_.pop_back();
        options_ = false;
    }
    /// Sees the first element of `messages`; `key_` still names the array at that time.
    void note_message() {
        const bool element = path_.size() == 2 && path_[0] == '{' && path_[1] == '[';
        messages_ = messages_ || (element && key_ == "messages");
    }

    std::size_t depth_limit_;
    std::vector<char> path_;
    std::set<std::string> seen_;
    std::string key_;
    chat_call call_;
    bool object_ = false;
    bool messages_ = false;
    bool options_ = false;
};

}  // namespace

std::variant<chat_call, refusal> parse_chat_body(const std::string& json, std::size_t depth) {
    try {
        // The parser takes this byte, which UTF-8 never contains, for the end of the text and would accept
        // anything behind it.
        if (json.find('\xff') != std::string::npos) {
            malformed("the body is not valid UTF-8");
        }
        Poco::SharedPtr<body_handler> handler{new body_handler{depth}};
        Poco::JSON::Parser parser{handler};
        parser.parse(json);
        return handler->take();
    } catch (const Poco::Exception& e) {
        return refusal{base::result_code::body_malformed, base::run_state::not_run, e.message(),
                       std::nullopt};
    }
}

}  // namespace chicorygap::front
