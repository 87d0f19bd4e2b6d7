#include "document/parser.h"

#include "base/error.h"
#include "document_parser.h"

namespace chicorygap::document {

parse_result parse(const std::string& text, const std::string& file) {
    if (text.size() > document_size_limit) {
        const auto allowed = "at most " + std::to_string(document_size_limit) + " bytes";
        return {std::nullopt, {{file, 0, "", "", "document is too large", allowed}}};
    }
    const auto ini = read_ini(text, file);
    return document_parser{ini, file}.run();
}

service_document parse_or_throw(const std::string& text, const std::string& file) {
    auto result = parse(text, file);
    if (!result.document) {
        throw base::error{base::result_code::document_invalid, to_string(result.faults)};
    }
    return std::move(*result.document);
}

}  // namespace chicorygap::document
