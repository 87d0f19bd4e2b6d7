#include "input.h"
#include "settings/daemon_settings.h"

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace chicorygap;
    const auto text = fuzz::to_text(data, size);
    const auto result = settings::parse(text, "input.ini");
    fuzz::check(result.settings.has_value() == result.faults.empty(), "settings exactly without faults");
    if (const auto a = net::parse_address(text)) {
        fuzz::check(net::parse_address(net::to_string(*a)) == a, "an address reads back as equal");
    }
    return 0;
}
