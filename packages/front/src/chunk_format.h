/// @file
/// Text of chat completion chunks.
#pragma once

#include "backend/answer.h"
#include "base/id.h"
#include "base/time.h"

#include <string>
#include <vector>

namespace chicorygap::front {

/// Formats the events of one chat stream. All chunks of a stream carry the same id, also after a resume on
/// another backend server.
class chunk_format {
public:
    chunk_format(const base::request_id& id, const std::string& model, base::wall_time created);

    /// @return the opening event with the assistant role.
    [[nodiscard]] std::string opening() const;
    [[nodiscard]] std::string token(const backend::token_delta& t) const;
    /// @param usage if set, a usage event follows the final chunk.
    /// @return the final events and the terminator.
    [[nodiscard]] std::string closing(const std::string& finish_reason,
                                      const backend::token_usage* usage) const;

private:
    [[nodiscard]] std::string chunk(const std::string& delta, const std::string& finish_reason) const;

    std::string prefix_;
};

/// @return the JSON body of GET /v1/models.
[[nodiscard]] std::string models_json(const std::vector<std::string>& models);

}  // namespace chicorygap::front
