// Messages must be read the same in one piece and in small ones, and no byte may be counted twice. Short
// inputs are also read with their second half repeated, which reaches the limits on extensions, trailers and
// interim responses.
#include "http/message_reader.h"

#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

namespace {

using namespace chicorygap::http;

struct reading {
    std::string heads;
    std::string body;
    int messages = 0;
    bool invalid = false;
};

reading read_all(message_reader::kind k, std::string_view bytes, std::size_t piece) {
    reading out;
    message_reader r{k,
                     {.request = [&](request_head&& h) { out.heads += serialize(h); },
                      .response = [&](response_head&& h) { out.heads += serialize(h); },
                      .body = [&](std::string_view part) { out.body.append(part); }},
                     1024};
    while (!bytes.empty()) {
        const auto part = bytes.substr(0, piece);
        const auto x = r.read(part);
        if (x.consumed > part.size()) {
            std::abort();
        }
        if (x.state == read_state::invalid) {
            out.invalid = true;
            return out;
        }
        out.messages += x.state == read_state::complete ? 1 : 0;
        if (x.consumed == 0) {
            std::abort();  // would never end
        }
        bytes.remove_prefix(x.consumed);
    }
    return out;
}

void compare(message_reader::kind k, std::string_view bytes) {
    const auto whole = read_all(k, bytes, bytes.size());
    const auto pieces = read_all(k, bytes, 1);
    if (whole.invalid != pieces.invalid || whole.messages != pieces.messages) {
        std::abort();
    }
    if (!whole.invalid && (whole.heads != pieces.heads || whole.body != pieces.body)) {
        std::abort();
    }
}

constexpr std::size_t max_repeated_input = 128;
constexpr std::size_t repeated_bytes = std::size_t{20} * 1024;

std::string with_repeated_half(std::string_view bytes) {
    const auto half = bytes.substr(bytes.size() / 2);
    std::string out{bytes};
    while (out.size() < repeated_bytes) {
        out += half;
    }
    return out;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view bytes{reinterpret_cast<const char*>(data), size};
    if (!bytes.empty()) {
        compare(message_reader::kind::request, bytes);
        compare(message_reader::kind::response, bytes);
    }
    if (!bytes.empty() && bytes.size() <= max_repeated_input) {
        const auto repeated = with_repeated_half(bytes);
        compare(message_reader::kind::request, repeated);
        compare(message_reader::kind::response, repeated);
    }
    return 0;
}
