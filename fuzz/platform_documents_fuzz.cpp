// Documents of the users' platform must be decoded or refused, never fail otherwise.
#include "base/log.h"
#include "catalog/configuration_check.h"
#include "platform/cloud_client.h"
#include "platform/object_codec.h"
#include "platform/store_client.h"

#include <cstdint>
#include <string>

extern "C" int LLVMFuzzerInitialize(int* /*argc*/,
                                    char*** /*argv*/) {  // NOLINT(readability-identifier-naming)
    chicorygap::base::configure_log(chicorygap::base::log_level::error);
    return 0;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace chicorygap::platform;
    const std::string text{reinterpret_cast<const char*>(data), size};
    decode_configuration(text);
    chicorygap::catalog::configuration_listing listing;
    decode_configuration(text, &listing);
    (void)chicorygap::catalog::configuration_check{}.run(listing);
    (void)chicorygap::catalog::compare({}, listing);
    decode_server("i-1", text);
    decode_daemon("vm-1", text);
    decode_counts(text);
    decode_listing(text);
    return 0;
}
