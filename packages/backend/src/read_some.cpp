#include "backend/read_some.h"

#include <algorithm>
#include <charconv>

namespace chicorygap::backend {

std::string_view read_some(std::istream& in, read_buffer& buffer) {
    auto* source = in.rdbuf();
    if (std::istream::traits_type::eq_int_type(source->sgetc(), std::istream::traits_type::eof())) {
        return {};
    }
    const auto available = std::min(source->in_avail(), static_cast<std::streamsize>(buffer.size()));
    const auto n = source->sgetn(buffer.data(), available);
    return {buffer.data(), static_cast<std::size_t>(n)};
}

std::optional<std::uint32_t> parse_number(std::string_view text) {
    std::uint32_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return n;
}

bool header_value_valid(std::string_view value) {
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char del = 0x7f;
    return std::none_of(value.begin(), value.end(), [](char c) {
        const auto u = static_cast<unsigned char>(c);
        return (u < first_printable && c != '\t') || u == del;
    });
}

}  // namespace chicorygap::backend
