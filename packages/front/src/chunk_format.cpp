#include "chunk_format.h"

#include <Poco/JSONString.h>

#include <chrono>

namespace chicorygap::front {

namespace {

std::string quoted(const std::string& text) {
    return Poco::toJSON(text, Poco::JSON_WRAP_STRINGS);
}

}  // namespace

chunk_format::chunk_format(const base::request_id& id, const std::string& model, base::wall_time created) {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(created.time_since_epoch()).count();
    prefix_ = R"(data: {"id":)" + quoted("chatcmpl-" + id.str()) +
              R"(,"object":"chat.completion.chunk","created":)" + std::to_string(seconds) + R"(,"model":)" +
              quoted(model) + R"(,"choices":[)";
}

std::string chunk_format::opening() const {
    return chunk(R"({"role":"assistant","content":""})", "null");
}

std::string chunk_format::token(const backend::token_delta& t) const {
    return chunk(t.delta_json.empty() ? R"({"content":)" + quoted(t.text) + "}" : t.delta_json, "null");
}

std::string chunk_format::closing(const std::string& finish_reason, const backend::token_usage* usage) const {
    auto out = chunk("{}", quoted(finish_reason));
    if (usage != nullptr) {
        out += prefix_ + R"(],"usage":{"prompt_tokens":)" + std::to_string(usage->prompt_tokens) +
               R"(,"completion_tokens":)" + std::to_string(usage->completion_tokens) + R"(,"total_tokens":)" +
               std::to_string(usage->prompt_tokens + usage->completion_tokens) + "}}\n\n";
    }
    return out + "data: [DONE]\n\n";
}

std::string chunk_format::chunk(const std::string& delta, const std::string& finish_reason) const {
    return prefix_ + R"({"index":0,"delta":)" + delta + R"(,"logprobs":null,"finish_reason":)" +
           finish_reason + "}]}\n\n";
}

std::string models_json(const std::vector<std::string>& models) {
    std::string out = R"({"object":"list","data":[)";
    const char* separator = "";
    for (const auto& m : models) {
        out += separator + (R"({"id":)" + quoted(m)) +
               R"(,"object":"model","created":0,"owned_by":"chicorygap"})";
        separator = ",";
    }
    return out + "]}";
}

}  // namespace chicorygap::front
