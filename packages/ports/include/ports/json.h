/// @file
/// JSON form of the platform's types, as exchanged over HTTP.
#pragma once

#include "ports/billing_service.h"
#include "ports/object_store.h"
#include "ports/order_service.h"
#include "ports/vm_list.h"

#include <Poco/JSON/Object.h>

namespace chicorygap::ports {

using json_object = Poco::JSON::Object::Ptr;

json_object to_json(const object& o);
json_object to_json(const vm& v);
json_object to_json(const backend_server& s);
json_object to_json(const order& o);
json_object to_json(const order_reply& r);
json_object to_json(const usage_report& r);
json_object to_json(const usage_reply& r);

/// The readers throw Poco::Exception when a member is missing or has another type.
object object_from_json(const Poco::JSON::Object& j);
vm vm_from_json(const Poco::JSON::Object& j);
backend_server server_from_json(const Poco::JSON::Object& j);
order order_from_json(const Poco::JSON::Object& j);
order_reply order_reply_from_json(const Poco::JSON::Object& j);
usage_report usage_report_from_json(const Poco::JSON::Object& j);
usage_reply usage_reply_from_json(const Poco::JSON::Object& j);

/// @return the object as compact text.
std::string to_text(const Poco::JSON::Object& j);

/// @throws Poco::Exception when the text is not one JSON object.
json_object parse_object(const std::string& text);

}  // namespace chicorygap::ports
