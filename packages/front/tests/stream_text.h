/// @file
/// Reads chat streams from raw answers.
#pragma once

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <string>
#include <vector>

namespace chicorygap::front {

/// @return the JSON objects of the data lines in an answer with chunked encoding.
inline std::vector<Poco::JSON::Object::Ptr> chunks_of(const std::string& answer) {
    std::vector<Poco::JSON::Object::Ptr> out;
    const std::string field = "data: {";
    for (auto at = answer.find(field); at != std::string::npos; at = answer.find(field, at + 1)) {
        Poco::JSON::Parser parser;
        const auto begin = at + field.size() - 1;
        out.push_back(parser.parse(answer.substr(begin, answer.find('\n', at) - begin))
                          .extract<Poco::JSON::Object::Ptr>());
    }
    return out;
}

/// @return the joined content of the chunks.
inline std::string text_of(const std::vector<Poco::JSON::Object::Ptr>& chunks) {
    std::string text;
    for (const auto& c : chunks) {
        const auto choices = c->getArray("choices");
        if (choices && choices->size() > 0) {
            text += choices->getObject(0)->getObject("delta")->optValue<std::string>("content", "");
        }
    }
    return text;
}

}  // namespace chicorygap::front
