#include "chat_chunk.h"

#include <Poco/JSON/Handler.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>
#include <vector>

namespace chicorygap::backend {

namespace {

enum class node { root, choices, choice, delta, usage, other };

/// Collects the fields of interest while the parser walks the text.
class chunk_handler : public Poco::JSON::Handler {
public:
    void reset() override {
        chunk_ = {};
        path_.clear();
        object_ = content_ = role_ = extra_ = false;
    }
    void startObject() override {
        object_ = object_ || path_.empty();
        enter(object_node());
    }
    void endObject() override { path_.pop_back(); }
    void startArray() override { enter(in(node::root) && key_ == "choices" ? node::choices : node::other); }
    void endArray() override { path_.pop_back(); }
    void key(const std::string& k) override {
        key_ = k;
        chunk_.failed = chunk_.failed || (in(node::root) && k == "error");
    }
    void null() override {}
    void value(int v) override { number(static_cast<Poco::UInt64>(v < 0 ? 0 : v)); }
    void value(unsigned v) override { number(v); }
    void value(Poco::Int64 v) override { number(static_cast<Poco::UInt64>(v < 0 ? 0 : v)); }
    void value(Poco::UInt64 v) override { number(v); }
    void value(double) override { other_value(); }
    void value(bool) override { other_value(); }
    void value(const std::string& v) override {
        if (in(node::delta) && key_ == "content") {
            chunk_.text = v;
            content_ = true;
        } else if (in(node::delta) && key_ == "role") {
            role_ = true;
        } else if (in(node::choice) && key_ == "finish_reason") {
            chunk_.finish_reason = v;
        } else {
            other_value();
        }
    }

    [[nodiscard]] bool object() const { return object_; }
    [[nodiscard]] bool extra() const { return extra_; }
    chat_chunk take() {
        // An empty content counts when it is neither the opening role event nor the closing event.
        const bool empty_token = content_ && !role_ && chunk_.finish_reason.empty();
        chunk_.token = !chunk_.text.empty() || extra_ || empty_token;
        return std::move(chunk_);
    }

private:
    [[nodiscard]] bool in(node n) const { return !path_.empty() && path_.back() == n; }
    [[nodiscard]] node object_node() const {
        if (path_.empty()) {
            return node::root;
        }
        if (in(node::choices)) {
            return node::choice;
        }
        if (in(node::choice) && key_ == "delta") {
            return node::delta;
        }
        return in(node::root) && key_ == "usage" ? node::usage : node::other;
    }
    void enter(node n) {
        other_value();
        if (n == node::usage) {
            chunk_.usage.emplace();
        }
        path_.push_back(n);
    }
    void other_value() { extra_ = extra_ || in(node::delta); }
    void number(Poco::UInt64 v) {
        other_value();
        if (in(node::usage) && key_ == "prompt_tokens") {
            chunk_.usage->prompt_tokens = v;
        }
        if (in(node::usage) && key_ == "completion_tokens") {
            chunk_.usage->completion_tokens = v;
        }
    }

    chat_chunk chunk_;
    std::vector<node> path_;
    std::string key_;
    bool object_ = false;
    bool content_ = false;
    bool role_ = false;
    bool extra_ = false;
};

/// @return the `delta` object of the first choice as JSON, without a role.
std::string delta_of(const std::string& json) {
    Poco::JSON::Parser parser;
    const auto root = parser.parse(json).extract<Poco::JSON::Object::Ptr>();
    const auto choice = root->getArray("choices")->getObject(0);
    const auto delta = choice->getObject("delta");
    Poco::JSON::Object rest{*delta};
    rest.remove("role");
    std::ostringstream out;
    rest.stringify(out);
    return out.str();
}

}  // namespace

class chat_chunk_parser::impl {
public:
    impl() : handler_{new chunk_handler}, parser_{handler_} { parser_.setAllowNullByte(true); }

    std::optional<chat_chunk> parse(const std::string& json) {
        parser_.reset();
        handler_->reset();
        parser_.parse(json);
        if (!handler_->object()) {
            return std::nullopt;
        }
        auto chunk = handler_->take();
        if (handler_->extra()) {
            chunk.delta_json = delta_of(json);
        }
        return chunk;
    }

private:
    Poco::SharedPtr<chunk_handler> handler_;
    Poco::JSON::Parser parser_;
};

chat_chunk_parser::chat_chunk_parser() : impl_{std::make_unique<impl>()} {}
chat_chunk_parser::~chat_chunk_parser() = default;

std::optional<chat_chunk> chat_chunk_parser::parse(const std::string& json) {
    try {
        return impl_->parse(json);
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

std::optional<token_usage> parse_chat_answer(const std::string& json) {
    chat_chunk_parser parser;
    const auto chunk = parser.parse(json);
    if (!chunk) {
        return std::nullopt;
    }
    return chunk->usage.value_or(token_usage{});
}

}  // namespace chicorygap::backend
