#ifndef SASSAFRASKNOT_PROTOCOL_DOCUMENT_CODEC_HPP
#define SASSAFRASKNOT_PROTOCOL_DOCUMENT_CODEC_HPP

#include "sassafrasknot/state/document.hpp"
#include "sassafrasknot/state/error.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace sassafrasknot::protocol {

/// Longest value of a key, in bytes; the platform's own limit.
constexpr std::size_t kMaxDocumentBytes = 1000000;
/// Deepest nesting of a value.
constexpr std::size_t kMaxDocumentDepth = 8;

/// @brief Decodes a value of the platform's configuration service. Unknown or
/// repeated members, wrong types and values out of range are refused.
/// docs/schema describes the form.
/// @param aKey "templates/NAME", "organisations/NAME", "instances/DC" or
/// "upstreams/DC"
/// @param aText the value, in JSON
/// @return the document, or Malformed with a message "PLACE: what is allowed";
/// the place is a path such as "services/scheduling/listeners/0/port"
state::Result<state::Document>
DecodeDocument(std::string_view aKey, std::string_view aText);

/// @brief Encodes a document; DecodeDocument reads it back.
/// @param aDocument the document
/// @return its value, in JSON
std::string
EncodeDocument(const state::Document& aDocument);

/// @brief Returns the key that a document is stored at.
/// @param aDocument the document
/// @return such as "templates/workshop"
std::string
KeyOf(const state::Document& aDocument);

} // namespace sassafrasknot::protocol

#endif
