/// @file
/// Words and name=value fields of one trace line.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicorygap::replay {

/// Splits a line into words; words of the form name=value become fields.
class line_fields {
public:
    /// @throws trace_error for a field that is given twice.
    line_fields(std::size_t number, const std::string& text);

    [[nodiscard]] std::size_t number() const { return number_; }
    [[nodiscard]] bool empty() const { return words_.empty(); }
    /// @throws trace_error when there is no such word.
    [[nodiscard]] const std::string& word(std::size_t i, const char* meaning) const;
    /// @throws trace_error when the field is missing or no number of at least `least`.
    [[nodiscard]] double number_of(const std::string& field, double least = 0);
    [[nodiscard]] double number_of(const std::string& field, double least, double otherwise);
    [[nodiscard]] std::optional<double> optional_number(const std::string& field);
    [[nodiscard]] std::string text_of(const std::string& field);
    [[nodiscard]] std::string text_of(const std::string& field, const std::string& otherwise);
    [[nodiscard]] double word_number(std::size_t i, const char* meaning) const;
    /// @throws trace_error when a field was not asked for or there are more than `words` words.
    void require_end(std::size_t words) const;
    [[noreturn]] void fail(const std::string& what) const;

private:
    [[nodiscard]] double parse(const std::string& text, const std::string& name) const;

    std::size_t number_;
    std::vector<std::string> words_;
    std::map<std::string, std::string> fields_;
};

}  // namespace chicorygap::replay
