#ifndef SASSAFRASKNOT_PROTOCOL_DOCUMENT_CODEC_HPP
#define SASSAFRASKNOT_PROTOCOL_DOCUMENT_CODEC_HPP

#include "sassafrasknot/state/document.hpp"
#include "sassafrasknot/state/error.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace sassafrasknot::protocol {

/// Maximum size of a key's value in bytes, as limited by the platform.
constexpr std::size_t kMaxDocumentBytes = 1000000;
/// Maximum nesting depth of a value.
constexpr std::size_t kMaxDocumentDepth = 8;

/// @brief Decodes the JSON value that the platform's configuration service
/// stores at a key. Unknown or duplicate members, wrong types and values out of
/// range are rejected. docs/schema contains the JSON schemas.
/// @param aKey "templates/NAME", "organisations/NAME", "instances/DC" or
/// "upstreams/DC"
/// @param aText the value, in JSON
/// @return the document, or Malformed with a message "LOCATION: what is
/// allowed"; the location is a path such as
/// "services/scheduling/listeners/0/port", or a line and column if the text is
/// not valid JSON
state::Result<state::Document>
DecodeDocument(std::string_view aKey, std::string_view aText);

/// @brief Encodes a document as the JSON text that DecodeDocument accepts.
/// @param aDocument a document whose values are in their allowed ranges
/// @return JSON without the document's key
std::string
EncodeDocument(const state::Document& aDocument);

/// @brief Returns the key at which the platform stores a document.
/// @param aDocument a document of any kind
/// @return kind and name, such as "templates/workshop"
std::string
KeyOf(const state::Document& aDocument);

} // namespace sassafrasknot::protocol

#endif
