/// @file
/// A small valid document for tests.
#pragma once

#include "document/key_digest.h"

#include <string>

namespace chicorygap::document {

inline std::string sample_text() {
    return "[service]\nname = booking\nkind = plain\n"
           "[class urgent]\ntier = 0\nresponse_target = 200ms\ndeadline = 2s\n"
           "[class normal]\ntier = 2\nresponse_target = 1s\ndeadline = 10s\nfloor = 0.05\n"
           "[workspace north]\nkey = " +
           hash_key("demo-key-north").str() +
           "\nrequests_per_second = 20\n[workspace south]\nweight = 2.5\nkey = " +
           hash_key("demo-key-south").str() +
           " expires 2027-01-31T00:00:00Z\nrevoked_key = " + hash_key("old-key-south").str() +
           "\n[route bookings]\npath = /bookings\nmethods = GET, HEAD\nclass = normal\nworkspaces = all\n"
           "[route deposits]\npath = /bookings/deposits\nmethods = POST\nclass = urgent\nworkspaces = north\n"
           "repeatable = no\n"
           "[server_kind standard]\nprice = 1.25\nzone = zone-a 1 4\nzone = zone-b 0 4\n";
}

}  // namespace chicorygap::document
