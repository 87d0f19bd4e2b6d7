#include "mix.h"

#include <array>
#include <utility>

namespace chicorygap::load_client {

namespace {

constexpr std::array workspaces{"north",  "south", "east",   "west",   "harbor",
                                "valley", "ridge", "meadow", "quarry", "orchard"};
/// Number of the draw, out of 10, from which a request is an order.
constexpr int order_share = 8;
constexpr int question_tokens = 24;
constexpr int report_tokens = 120;
constexpr int report_prompt_words = 1200;

std::string chat_body(const std::string& model, const std::string& prompt, int tokens, bool stream) {
    return R"({"model":")" + model + R"(","messages":[{"role":"user","content":")" + prompt +
           R"("}],"max_tokens":)" + std::to_string(tokens) + R"(,"stream":)" + (stream ? "true" : "false") +
           "}";
}

std::string long_prompt(int words) {
    std::string out;
    for (int n = 0; n < words; n++) {
        out += "pane" + std::to_string(n) + ' ';
    }
    return out;
}

}  // namespace

mix::mix(std::vector<std::string> deployments, std::uint64_t seed, int caller, bool orders_only)
    : deployments_{std::move(deployments)},
      random_{seed * 1000 + static_cast<std::uint64_t>(caller)},
      caller_{caller},
      orders_only_{orders_only} {}

planned_request mix::next() {
    serial_++;
    const auto& deployment =
        deployments_[static_cast<std::size_t>(pick(static_cast<int>(deployments_.size())))];
    const int share = orders_only_ ? order_share : pick(10);
    planned_request r;
    if (share < 4) {
        r = assistant(deployment, false);
    } else if (share < 6) {
        r = assistant(deployment, true);
    } else if (share < order_share) {
        r = status(deployment);
    } else {
        r = order(deployment);
    }
    r.key = std::string{"demo-key-"} + workspaces.at(static_cast<std::size_t>(pick(workspaces.size())));
    return r;
}

planned_request mix::assistant(const std::string& deployment, bool report) {
    const bool booking = deployment == "booking";
    planned_request r;
    r.row =
        deployment + (report ? (booking ? " report" : " field-log") : (booking ? " question" : " urgent"));
    r.kind = pick(4) == 0 ? request_kind::chat : request_kind::stream;
    r.method = "POST";
    r.path = report ? (booking ? "/reports" : "/field-logs") : (booking ? "/questions" : "/urgent");
    r.path += "/v1/chat/completions";
    r.tokens = report ? report_tokens : question_tokens;
    const auto prompt = report ? long_prompt(report_prompt_words) : std::string{"which pane fits?"};
    r.body =
        chat_body(report ? "survey-large" : "answer-small", prompt, r.tokens, r.kind == request_kind::stream);
    return r;
}

planned_request mix::status(const std::string& deployment) {
    planned_request r;
    r.row = deployment + " status";
    r.path = deployment == "booking" ? "/bookings/17" : "/dispatch/17";
    return r;
}

planned_request mix::order(const std::string& deployment) {
    planned_request r;
    r.row = deployment + " order";
    r.kind = request_kind::order;
    r.method = "POST";
    r.path = deployment == "booking" ? "/bookings/deposits" : "/dispatch/orders";
    r.idempotency_key = deployment + "-" + std::to_string(caller_) + "-" + std::to_string(serial_);
    r.body = R"({"order":")" + r.idempotency_key + R"("})";
    return r;
}

}  // namespace chicorygap::load_client
