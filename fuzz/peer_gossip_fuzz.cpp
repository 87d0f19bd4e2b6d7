#include "encoding.h"
#include "input.h"
#include "wire.h"

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace chicorygap;
    using wire = peer::wire::Gossip;
    fuzz::read_message<wire>(data, size, [](wire::Reader in) {
        const auto m = peer::decode(in);
        const auto again = fuzz::transmitted<wire>(m);
        fuzz::check(again.kind == m.kind && again.number == m.number && again.sender == m.sender &&
                        again.member_list_hash == m.member_list_hash && again.target == m.target &&
                        again.updates == m.updates && again.zones.size() == m.zones.size() &&
                        again.services.size() == m.services.size() && again.loads == m.loads,
                    "a gossip message reads back as equal");
    });
    return 0;
}
