/// @file
/// Refuses connections beyond the configured number.
#pragma once

#include "server_context.h"

#include <Poco/Net/TCPServer.h>

#include <memory>

namespace chicorygap::front {

/// Ends an open connection without a request when a new one needs its thread. Answers `connections_exhausted`
/// on the accepting thread without waiting. POCO itself would close such a connection without a word.
// Deleted by POCO's reference count only.
// NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor)
class overflow_filter : public Poco::Net::TCPServerConnectionFilter {
public:
    explicit overflow_filter(std::shared_ptr<server_context> context);

    bool accept(const Poco::Net::StreamSocket& socket) override;

protected:
    ~overflow_filter() override = default;

private:
    std::shared_ptr<server_context> context_;
    std::string answer_;
};

}  // namespace chicorygap::front
