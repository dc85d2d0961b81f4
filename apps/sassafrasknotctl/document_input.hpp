#ifndef SASSAFRASKNOTCTL_DOCUMENT_INPUT_HPP
#define SASSAFRASKNOTCTL_DOCUMENT_INPUT_HPP

#include "sassafrasknot/state/document_set.hpp"

#include <optional>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

namespace sassafrasknotctl {

namespace state = sassafrasknot::state;

/// @brief An error found in an input.
struct InputError
{
  /// Path of the file or folder.
  std::string mFile;
  /// Path of the value in the document, after the key of the document if the
  /// file is a response of the platform; "document", "file", "folder" or
  /// "input" for an error of the whole.
  std::string mLocation;
  std::string mMessage;
};

/// @brief The documents of an input, what they render to, and their errors.
struct DocumentInput
{
  state::DocumentSet mDocuments;
  state::RenderedSet mRendered;
  std::vector<InputError> mErrors;
};

/// @brief Reads the documents of a file or folder and checks them. Errors
/// between documents are searched only if each document is well formed.
/// @param aPath file with a response of the platform to a read request, or
/// folder
/// @return the documents and their errors
DocumentInput
ReadInput(const std::string& aPath);

/// @brief Returns a finding in a document of an input with the path of its
/// file.
/// @param aPath file or folder, as for ReadInput
/// @param aFinding finding in the document
/// @return the finding as ReadInput reports errors
InputError
LocateFinding(const std::string& aPath, const state::DocumentFinding& aFinding);

/// @brief Writes errors as lines "FILE: PLACE: MESSAGE" to standard error.
/// @param aErrors errors to write, in this order
void
PrintErrors(const std::vector<InputError>& aErrors);

/// @brief Reads an input and writes its errors to standard error.
/// @param aPath file or folder, as for ReadInput
/// @return the input, or nothing if it has errors
std::optional<DocumentInput>
ReadValidInput(const std::string& aPath);

/// @brief Formats the number of documents of each kind.
/// @param aSet documents to count
/// @return text such as "2 templates, 3 organisations, 4 lists of instances,
/// ..."
std::string
Summary(const state::DocumentSet& aSet);

} // namespace sassafrasknotctl

#endif
