#include "line_fields.h"

#include "replay/trace.h"

#include <cmath>
#include <sstream>

namespace chicorygap::replay {

line_fields::line_fields(std::size_t number, const std::string& text) : number_{number} {
    std::istringstream in{text.substr(0, text.find('#'))};
    for (std::string word; in >> word;) {
        const auto equals = word.find('=');
        if (equals == std::string::npos || equals == 0 || word.find_first_of("<>") < equals) {
            words_.push_back(word);
        } else if (!fields_.emplace(word.substr(0, equals), word.substr(equals + 1)).second) {
            fail("field '" + word.substr(0, equals) + "' is given twice");
        }
    }
}

void line_fields::fail(const std::string& what) const {
    throw trace_error{number_, what};
}

const std::string& line_fields::word(std::size_t i, const char* meaning) const {
    if (i >= words_.size()) {
        fail(std::string{"missing "} + meaning);
    }
    return words_[i];
}

double line_fields::parse(const std::string& text, const std::string& name) const {
    std::size_t end = 0;
    double value = 0;
    try {
        value = std::stod(text, &end);
    } catch (const std::exception&) {
        end = 0;
    }
    if (end == 0 || end != text.size() || !std::isfinite(value)) {
        fail("'" + text + "' is no number for " + name);
    }
    return value;
}

double line_fields::word_number(std::size_t i, const char* meaning) const {
    const double value = parse(word(i, meaning), meaning);
    if (value < 0) {
        fail(std::string{meaning} + " is negative");
    }
    return value;
}

std::optional<double> line_fields::optional_number(const std::string& field) {
    const auto it = fields_.find(field);
    if (it == fields_.end()) {
        return std::nullopt;
    }
    const double value = parse(it->second, field);
    fields_.erase(it);
    return value;
}

double line_fields::number_of(const std::string& field, double least) {
    const auto value = optional_number(field);
    if (!value) {
        fail("missing field '" + field + "'");
    }
    if (*value < least) {
        fail("field '" + field + "' is too small");
    }
    return *value;
}

double line_fields::number_of(const std::string& field, double least, double otherwise) {
    return fields_.contains(field) ? number_of(field, least) : otherwise;
}

std::string line_fields::text_of(const std::string& field) {
    const auto it = fields_.find(field);
    if (it == fields_.end()) {
        fail("missing field '" + field + "'");
    }
    std::string value = it->second;
    fields_.erase(it);
    return value;
}

std::string line_fields::text_of(const std::string& field, const std::string& otherwise) {
    return fields_.contains(field) ? text_of(field) : otherwise;
}

void line_fields::require_end(std::size_t words) const {
    if (words_.size() > words) {
        fail("unexpected word '" + words_[words] + "'");
    }
    if (!fields_.empty()) {
        fail("unknown field '" + fields_.begin()->first + "'");
    }
}

}  // namespace chicorygap::replay
