#include "idempotency/digest.h"
#include "idempotency/ticket_book.h"
#include "input.h"

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace chicorygap;
    const auto text = fuzz::to_text(data, size);
    if (const auto t = idempotency::ticket::parse(text)) {
        fuzz::check(idempotency::ticket::parse(t->str()) == t, "a ticket reads back as equal");
    }
    if (const auto d = idempotency::digest::from_hex(text)) {
        fuzz::check(d->hex() == text, "a digest reads back as equal");
    }
    return 0;
}
