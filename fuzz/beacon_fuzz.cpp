// A beacon that is accepted must survive its encoding.
#include "sharing/beacon.h"

#include <cstdint>
#include <cstdlib>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace chicorygap::sharing;
    const auto b = decode({reinterpret_cast<const char*>(data), size});
    if (b && !decode(encode(*b))) {
        std::abort();
    }
    return 0;
}
