#include "document/parser.h"
#include "sample.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace chicorygap::document {
namespace {

// Guards against a document from the platform that crashes every daemon at once, or that is accepted but
// changes its meaning when it is written back.
RC_GTEST_PROP(parser, damaged_document_is_refused_or_survives_render, ()) {
    auto text = sample_text();
    const auto damages = *rc::gen::inRange(1, 6);
    for (int i = 0; i < damages; ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto length = *rc::gen::inRange<std::size_t>(0, 20);
        text.replace(at, std::min(length, text.size() - at), *rc::gen::arbitrary<std::string>());
    }
    const auto r = parse(text, "b.ini");
    RC_ASSERT(r.document.has_value() == r.faults.empty());
    if (r.document) {
        RC_ASSERT(parse_or_throw(render(*r.document), "rendered.ini") == *r.document);
    }
}

}  // namespace
}  // namespace chicorygap::document
