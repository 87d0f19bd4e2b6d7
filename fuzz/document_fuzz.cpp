#include "document/parser.h"
#include "input.h"

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace chicorygap;
    const auto result = document::parse(fuzz::to_text(data, size), "input.ini");
    fuzz::check(result.document.has_value() == result.faults.empty(), "a document exactly without faults");
    if (result.document) {
        const auto again = document::parse(document::render(*result.document), "rendered.ini");
        fuzz::check(again.document == result.document, "a rendered document reads back as equal");
    }
    return 0;
}
