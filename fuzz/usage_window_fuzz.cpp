#include "input.h"
#include "usage/window_record.h"

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace chicorygap;
    const auto input = fuzz::to_text(data, size);
    if (const auto r = usage::decode_window(input)) {
        const auto text = usage::encode(*r);
        const auto again = usage::decode_window(text);
        fuzz::check(again && usage::encode(*again) == text, "a window reads back as equal");
    }
    if (const auto r = usage::decode_head(input)) {
        const auto text = usage::encode(*r);
        const auto again = usage::decode_head(text);
        fuzz::check(again && usage::encode(*again) == text, "a head reads back as equal");
    }
    return 0;
}
