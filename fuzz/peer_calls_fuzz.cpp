#include "encoding.h"
#include "input.h"
#include "wire.h"

#include <algorithm>
#include <vector>

namespace {

using namespace chicorygap;

/// @param same compares a message with what its receiver reads.
template <typename Root, typename Same>
void read_as(const std::uint8_t* data, std::size_t size, Same same) {
    fuzz::read_message<Root>(data, size, [&](typename Root::Reader in) {
        const auto m = peer::decode(in);
        fuzz::check(same(m, fuzz::transmitted<Root>(m)), "a message reads back as equal");
    });
}

bool same_rows(const std::vector<usage::report_row>& a, const std::vector<usage::report_row>& b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto& x, const auto& y) {
        return x.key == y.key && x.total == y.total && x.opening == y.opening;
    });
}

}  // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace peer::wire;
    read_as<UsageReport>(data, size, [](const auto& a, const auto& b) {
        return a.from == b.from && a.sequence == b.sequence && a.window == b.window &&
               same_rows(a.rows, b.rows);
    });
    read_as<Claim>(data, size,
                   [](const auto& a, const auto& b) { return a.record == b.record && a.digest == b.digest; });
    read_as<Outcome>(data, size, [](const auto& a, const auto& b) {
        return a.record == b.record && a.status == b.status && a.body == b.body && a.whole == b.whole;
    });
    read_as<ClaimReply>(data, size, [](const auto& a, const auto& b) {
        return a.result == b.result && a.state == b.state && a.status == b.status && a.body == b.body;
    });
    return 0;
}
