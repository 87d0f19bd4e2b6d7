#include "head_buffer.h"

namespace chicorygap::http {

void head_buffer::append_name(std::string_view part) {
    if (fields_.empty() || in_value_) {
        fields_.emplace_back();
        in_value_ = false;
    }
    names_are_valid_ = names_are_valid_ && part.find_first_of(" \t") == std::string_view::npos;
    fields_.back().name += static_cast<std::uint32_t>(part.size());
    text_.append(part);
}

void head_buffer::append_value(std::string_view part) {
    if (fields_.empty()) {
        return;
    }
    in_value_ = true;
    fields_.back().value += static_cast<std::uint32_t>(part.size());
    text_.append(part);
}

header_list head_buffer::take_fields() {
    header_list out;
    out.reserve(fields_.size());
    std::string_view rest = text_;
    for (const auto& f : fields_) {
        out.add(rest.substr(0, f.name), rest.substr(f.name, f.value));
        rest.remove_prefix(std::size_t{f.name} + f.value);
    }
    clear();
    return out;
}

void head_buffer::clear() {
    std::string{}.swap(text_);
    std::vector<lengths>{}.swap(fields_);
    in_value_ = false;
    names_are_valid_ = true;
}

}  // namespace chicorygap::http
