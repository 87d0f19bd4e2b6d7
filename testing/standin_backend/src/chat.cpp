#include "chat.h"

#include "base/error.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSONString.h>

#include <charconv>
#include <chrono>

namespace chicorygap::standin_backend {

namespace {

constexpr std::uint64_t bytes_per_token = 4;
constexpr int slow_factor = 10;
constexpr int lowest_priority = 9;

int parse_priority(const std::string& text) {
    int n = lowest_priority;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

std::uint64_t parse_count(const std::string& text) {
    std::uint64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

std::string quoted(const std::string& text) {
    return Poco::toJSON(text, Poco::JSON_WRAP_STRINGS);
}

std::string token_text(std::uint64_t n) {
    return "tok" + std::to_string(n) + " ";
}

}  // namespace

std::string expected_text(std::uint64_t tokens, std::uint64_t first) {
    std::string out;
    for (auto n = first; n < tokens; ++n) {
        out += token_text(n);
    }
    return out;
}

void chat::run() {
    prompt p;
    try {
        p = parse();
    } catch (const Poco::Exception&) {
        exchange_.json(400, R"({"error":{"message":"invalid request","type":"invalid_request_error"}})");
        return;
    }
    if (!state_.batch.has_room()) {
        exchange_.set("X-Run-State", "not_run");
        exchange_.set("Retry-After", "1");
        exchange_.json(503, R"({"error":{"message":"queue full","type":"overloaded"}})");
        return;
    }
    const auto& request = exchange_.request();
    const auto id = request.field("X-Request-Id");
    first_ = parse_count(request.field("X-Resume-Tokens"));
    job_ = std::make_shared<job>(parse_priority(request.field("X-Priority")));
    if (state_.batch.enter(id, job_)) {
        execute(p);
    } else {
        exchange_.reset();
    }
    state_.batch.leave(id, job_);
}

chat::prompt chat::parse() const {
    Poco::JSON::Parser parser;
    const auto root = parser.parse(exchange_.request().body).extract<Poco::JSON::Object::Ptr>();
    prompt p;
    p.model = root->getValue<std::string>("model");
    const auto messages = root->getArray("messages");
    if (!messages) {
        throw Poco::InvalidArgumentException{"messages"};
    }
    for (const auto& m : *messages) {
        p.text += m.extract<Poco::JSON::Object::Ptr>()->optValue<std::string>("content", "");
    }
    p.tokens = p.text.size() / bytes_per_token;
    p.stated_limit = root->has("max_tokens");
    p.max_tokens = root->optValue<std::uint64_t>("max_tokens", state_.settings.default_tokens);
    p.stream = root->optValue<bool>("stream", false);
    const auto options = root->getObject("stream_options");
    p.include_usage = options && options->optValue<bool>("include_usage", false);
    return p;
}

void chat::execute(const prompt& p) {
    const auto wait = state_.batch.first_token(p.tokens + first_, p.text);
    if (has(fault_kind::silent)) {
        job_->wait_forever();
        exchange_.cut();
        return;
    }
    const auto delay = has(fault_kind::delay) ? fault_->delay : base::duration{};
    if (!job_->wait_until(base::boot_clock::now() + wait + delay)) {
        exchange_.reset();
        return;
    }
    if (has(fault_kind::wrong_id)) {
        exchange_.echo_wrong_id();
    }
    if (p.stream) {
        stream(p);
    } else {
        whole(p);
    }
}

template <typename Emit>
bool chat::produce(const prompt& p, const Emit& emit) {
    auto next = base::boot_clock::now();
    for (auto n = first_; n < p.max_tokens; ++n) {
        if (!before_token(n - first_)) {
            return false;
        }
        const auto time = state_.batch.token_time() * (has(fault_kind::slow) ? slow_factor : 1);
        const bool at_once = n == first_ || time == base::duration::zero();
        next = at_once ? base::boot_clock::now() : std::max(next + time, base::boot_clock::now());
        const bool paced = at_once || job_->wait_until(next);
        if (!paced || !emit(token_text(n))) {
            exchange_.reset();
            return false;
        }
    }
    return true;
}

bool chat::before_token(std::uint64_t produced) {
    if (!fault_ || produced != fault_->after_tokens) {
        return true;
    }
    if (has(fault_kind::crash)) {
        exchange_.reset();
        return false;
    }
    if (has(fault_kind::truncate)) {
        exchange_.cut();
        return false;
    }
    if (has(fault_kind::no_done)) {
        return false;
    }
    if (has(fault_kind::gap)) {
        const bool open = fault_->delay > base::duration::zero()
                              ? job_->wait_until(base::boot_clock::now() + fault_->delay)
                              : job_->wait_forever();
        if (!open) {
            exchange_.reset();
        }
        return open;
    }
    return true;
}

void chat::stream(const prompt& p) {
    exchange_.begin("text/event-stream");
    if (!exchange_.write(chunk(p, R"({"role":"assistant","content":""})", "null"))) {
        return;
    }
    const bool whole_stream = produce(p, [&](const std::string& token) {
        return exchange_.write(chunk(p, R"({"content":)" + quoted(token) + "}", "null"));
    });
    if (!whole_stream) {
        return;
    }
    auto end = chunk(p, "{}", p.stated_limit ? R"("length")" : R"("stop")");
    if (p.include_usage) {
        end += R"(data: {"id":"standin","object":"chat.completion.chunk","created":0,"model":)" +
               quoted(p.model) + R"(,"choices":[],"usage":)" + usage(p) + "}\n\n";
    }
    exchange_.write(end + "data: [DONE]\n\n");
}

void chat::whole(const prompt& p) {
    std::string text;
    if (has(fault_kind::truncate)) {
        exchange_.begin("application/json");
        exchange_.write(R"({"id":"standin","object":"chat.completion","choices":[)");
        exchange_.cut();
        return;
    }
    const bool finished = produce(p, [&](const std::string& token) {
        text += token;
        return true;
    });
    if (!finished && !has(fault_kind::no_done)) {
        return;
    }
    if (!finished || has(fault_kind::drop_reply)) {
        exchange_.reset();
        return;
    }
    exchange_.json(
        200, R"({"id":"standin","object":"chat.completion","created":0,"model":)" + quoted(p.model) +
                 R"(,"choices":[{"index":0,"message":{"role":"assistant","content":)" + quoted(text) +
                 R"(},"finish_reason":)" + (p.stated_limit ? R"("length")" : R"("stop")") + R"(}],"usage":)" +
                 usage(p) + "}");
}

std::string chat::chunk(const prompt& p, const std::string& delta, const std::string& finish) const {
    return R"(data: {"id":"standin","object":"chat.completion.chunk","created":0,"model":)" +
           quoted(p.model) + R"(,"choices":[{"index":0,"delta":)" + delta + R"(,"finish_reason":)" + finish +
           "}]}\n\n";
}

std::string chat::usage(const prompt& p) const {
    return R"({"prompt_tokens":)" + std::to_string(p.tokens) + R"(,"completion_tokens":)" +
           std::to_string(p.max_tokens) + R"(,"total_tokens":)" + std::to_string(p.tokens + p.max_tokens) +
           "}";
}

}  // namespace chicorygap::standin_backend
