#include "input.h"
#include "orders/order_record.h"

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace chicorygap;
    if (const auto r = orders::decode_order(fuzz::to_text(data, size))) {
        const auto again = orders::decode_order(orders::encode(*r));
        fuzz::check(again && again->sequence == r->sequence &&
                        again->deduplication_key == r->deduplication_key && again->content == r->content &&
                        again->term == r->term && again->status == r->status && again->token == r->token,
                    "an order record reads back as equal");
    }
    return 0;
}
