#include "idempotency/segment.h"
#include "input.h"

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace chicorygap;
    if (const auto s = idempotency::decode_segment(fuzz::to_text(data, size))) {
        const auto text = idempotency::encode(*s);
        const auto again = idempotency::decode_segment(text);
        fuzz::check(again && idempotency::encode(*again) == text, "a segment reads back as equal");
    }
    return 0;
}
