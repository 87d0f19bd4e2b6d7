#include "input.h"
#include "lease/lease_record.h"

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace chicorygap;
    if (const auto r = lease::decode_lease(fuzz::to_text(data, size))) {
        fuzz::check(lease::decode_lease(lease::encode(*r)) == r, "a lease record reads back as equal");
    }
    return 0;
}
