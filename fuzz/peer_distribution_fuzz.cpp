#include "distribution_encoding.h"
#include "input.h"
#include "wire.h"

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace chicorygap;
    using wire = peer::wire::Distribution;
    fuzz::read_message<wire>(data, size, [](wire::Reader in) {
        const auto from = peer::decode_sender(in);
        const auto m = peer::decode(in);
        capnp::MallocMessageBuilder builder;
        const auto root = builder.initRoot<wire>();
        peer::encode(from, m, root);
        const auto again = peer::decode(root.asReader());
        fuzz::check(again.index() == m.index(), "a message keeps its kind");
        if (const auto* p = std::get_if<distribution::push>(&m)) {
            for (std::size_t i = 0; i < p->versions.size(); ++i) {
                const auto& sent = p->versions[i];
                const auto& got = std::get<distribution::push>(again).versions.at(i);
                // The text is not sent when there is a delta.
                fuzz::check(got.key == sent.key && got.version == sent.version && got.delta == sent.delta &&
                                (sent.delta || got.text == sent.text),
                            "a document reads back as equal");
            }
        } else {
            fuzz::check(again == m, "a message reads back as equal");
        }
    });
    return 0;
}
