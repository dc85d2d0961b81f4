#ifndef SASSAFRASKNOTCTL_DOCUMENT_INPUT_HPP
#define SASSAFRASKNOTCTL_DOCUMENT_INPUT_HPP

#include "sassafrasknot/state/document_set.hpp"

#include <optional>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

namespace sassafrasknotctl {

namespace state = sassafrasknot::state;

/// @brief A fault of the input.
struct InputFault
{
  std::string mFile;
  /// Path in the file's document; empty for the whole file.
  std::string mLocation;
  std::string mMessage;
};

/// @brief The documents of an input.
struct DocumentInput
{
  state::DocumentSet mDocuments;
  state::RenderedSet mRendered;
  std::vector<InputFault> mFaults;
};

/// @brief Reads the documents of a file or folder and checks them. Faults of
/// the set as a whole are looked for only if each document is well formed.
/// @param aPath file with a read answer of the platform, or folder
/// @return the documents and their faults
DocumentInput
ReadInput(const std::string& aPath);

/// @brief Writes faults as lines "FILE: PLACE: MESSAGE" to standard error.
/// @param aFaults the faults
void
PrintFaults(const std::vector<InputFault>& aFaults);

/// @brief Reads an input and writes its faults to standard error.
/// @param aPath file or folder
/// @return the input, or nothing if it has faults
std::optional<DocumentInput>
ReadFaultlessInput(const std::string& aPath);

/// @brief Counts documents for a summary.
/// @param aSet the documents
/// @return such as "2 templates, 3 organisations, 4 lists of instances, ..."
std::string
Summary(const state::DocumentSet& aSet);

} // namespace sassafrasknotctl

#endif
