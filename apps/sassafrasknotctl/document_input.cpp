#include "document_input.hpp"

#include "sassafrasknot/protocol/document_codec.hpp"
#include "sassafrasknot/protocol/platform_codec.hpp"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

namespace sassafrasknotctl {
namespace {

namespace protocol = sassafrasknot::protocol;
namespace fs = std::filesystem;

// Folders that an input folder may contain.
constexpr std::array kFolders{ "templates",
                               "organisations",
                               "instances",
                               "upstreams" };

/// Splits a codec's message "PLACE: MESSAGE" into location and message.
InputError
MakeError(std::string aFile, const std::string& aMessage)
{
  const auto colon = aMessage.find(": ");
  if (colon == std::string::npos) {
    return { std::move(aFile), "document", aMessage };
  }
  return { std::move(aFile),
           aMessage.substr(0, colon),
           aMessage.substr(colon + 2) };
}

/// Reads at most one byte more than a limit, so that the codec can reject a
/// file that is too long without the whole of it being read.
std::optional<std::string>
ReadText(const fs::path& aPath, std::size_t aLimit)
{
  std::ifstream input(aPath, std::ios::binary);
  std::string text(aLimit + 1, '\0');
  if (!input.read(text.data(), static_cast<std::streamsize>(text.size())) &&
      !input.eof()) {
    return std::nullopt;
  }
  text.resize(static_cast<std::size_t>(input.gcount()));
  return text;
}

/// Returns the entries of a folder in the order of their names.
std::vector<fs::path>
EntriesOf(const fs::path& aFolder)
{
  std::vector<fs::path> entries;
  std::error_code failure;
  for (fs::directory_iterator at(aFolder, failure), end; at != end && !failure;
       at.increment(failure)) {
    entries.push_back(at->path());
  }
  std::ranges::sort(entries);
  return entries;
}

/// Reads a file with one document.
void
ReadDocument(DocumentInput& aInput,
             const fs::path& aFile,
             const std::string& aKey)
{
  const auto text = ReadText(aFile, protocol::kMaxDocumentBytes);
  if (!text) {
    aInput.mErrors.push_back({ aFile, "document", "cannot be read" });
    return;
  }
  auto document = protocol::DecodeDocument(aKey, *text);
  if (!document) {
    aInput.mErrors.push_back(MakeError(aFile, document.error().mMessage));
    return;
  }
  AddDocument(aInput.mDocuments, std::move(document).value());
}

/// Reads the folders of kFolders with one document per file; an unexpected
/// folder or file is an error. Files directly in the input folder are skipped.
void
ReadFolder(DocumentInput& aInput, const fs::path& aFolder)
{
  for (const auto& entry : EntriesOf(aFolder)) {
    const auto name = entry.filename().string();
    if (!fs::is_directory(entry)) {
      continue;
    }
    if (std::ranges::find(kFolders, name) == kFolders.end()) {
      aInput.mErrors.push_back(
        { entry,
          "folder",
          "unknown folder; expected templates, organisations, instances or "
          "upstreams" });
      continue;
    }
    for (const auto& file : EntriesOf(entry)) {
      if (file.extension() != ".json" || !fs::is_regular_file(file)) {
        aInput.mErrors.push_back(
          { file, "file", "not a file named NAME.json" });
        continue;
      }
      ReadDocument(aInput, file, name + '/' + file.stem().string());
    }
  }
}

/// Reads a file with the platform's response to a read request. Records of
/// deleted documents are skipped.
void
ReadResponse(DocumentInput& aInput, const fs::path& aFile)
{
  const auto text = ReadText(aFile, protocol::kMaxPlatformResponseBytes);
  if (!text) {
    aInput.mErrors.push_back({ aFile, "file", "cannot be read" });
    return;
  }
  const auto response = protocol::DecodePlatformResponse(*text);
  if (!response) {
    aInput.mErrors.push_back(MakeError(aFile, response.error().mMessage));
    return;
  }
  for (const auto& record : response.value().mRecords) {
    if (record.mDeleted) {
      continue;
    }
    auto document = protocol::DecodeDocument(record.mKey, record.mText);
    if (document) {
      AddDocument(aInput.mDocuments, std::move(document).value());
      continue;
    }
    auto error = MakeError(aFile, document.error().mMessage);
    error.mLocation = record.mKey + '/' + error.mLocation;
    aInput.mErrors.push_back(std::move(error));
  }
}

} // namespace

DocumentInput
ReadInput(const std::string& aPath)
{
  DocumentInput input;
  const bool isFolder = fs::is_directory(aPath);
  if (isFolder) {
    ReadFolder(input, aPath);
  } else {
    ReadResponse(input, aPath);
  }
  if (!input.mErrors.empty()) {
    return input;
  }
  if (input.mDocuments == state::DocumentSet{}) {
    input.mErrors.push_back({ aPath, "input", "contains no documents" });
    return input;
  }
  input.mRendered = RenderSet(input.mDocuments);
  for (const auto& finding : input.mRendered.mFindings) {
    input.mErrors.push_back(LocateFinding(aPath, finding));
  }
  return input;
}

InputError
LocateFinding(const std::string& aPath, const state::DocumentFinding& aFinding)
{
  const auto& [key, finding] = aFinding;
  if (fs::is_directory(aPath)) {
    const auto file = (fs::path(aPath) / (key + ".json")).string();
    return { file, finding.mLocation, finding.mMessage };
  }
  return { aPath, key + '/' + finding.mLocation, finding.mMessage };
}

void
PrintErrors(const std::vector<InputError>& aErrors)
{
  for (const auto& error : aErrors) {
    std::cerr << error.mFile << ": " << error.mLocation << ": "
              << error.mMessage << '\n';
  }
}

std::optional<DocumentInput>
ReadValidInput(const std::string& aPath)
{
  auto input = ReadInput(aPath);
  PrintErrors(input.mErrors);
  return input.mErrors.empty() ? std::optional(std::move(input)) : std::nullopt;
}

std::string
Summary(const state::DocumentSet& aSet)
{
  return std::to_string(aSet.mTemplates.size()) + " templates, " +
         std::to_string(aSet.mOrganisations.size()) + " organisations, " +
         std::to_string(aSet.mInstances.size()) + " lists of instances, " +
         std::to_string(aSet.mUpstreams.size()) + " lists of upstreams";
}

} // namespace sassafrasknotctl
