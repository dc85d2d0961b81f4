#include "sassafrasknot/protocol/settings.hpp"

#include <algorithm>
#include <cstring>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <sstream>

#include "settings_value.hpp"
#include <ini.h>

namespace sassafrasknot::protocol {
namespace {

/// Where a section or a key occurred first.
struct Position
{
  int mLine = 0;
};

/// State of one run of ini_parse_stream. inih does not pass the line number to
/// its handler OnKey, so NextLine counts the lines.
struct ParseContext
{
  std::string_view mText;
  std::string_view mFile;
  /// Offset of the next line in mText.
  std::size_t mOffset = 0;
  /// Number of the current line, from 1.
  int mLine = 0;
  Settings mSettings;
  std::map<std::string, Position, std::less<>> mSections;
  /// By section and key.
  std::map<std::pair<std::string, std::string>, Position> mKeys;
  /// By section.
  std::map<std::string, SeedPeer, std::less<>> mSeeds;
  /// Lines for which an error has been reported.
  std::set<int> mErrorLines;
  /// All error messages, one per line.
  std::string mErrors;
};

void
AddError(ParseContext& aContext, int aLine, const std::string& aMessage)
{
  if (!aContext.mErrors.empty()) {
    aContext.mErrors += '\n';
  }
  aContext.mErrors +=
    std::string(aContext.mFile) + ':' + std::to_string(aLine) + ": " + aMessage;
  aContext.mErrorLines.insert(aLine);
}

std::string
KeyName(std::string_view aSection, std::string_view aKey)
{
  return '[' + std::string(aSection) + "] " + std::string(aKey);
}

/// Lists the allowed sections for error messages.
std::string
AllowedSections()
{
  std::string text;
  std::set<std::string_view> listed;
  for (const auto& definition : SettingDefinitions()) {
    if (listed.insert(definition.mSection).second) {
      text += std::string(definition.mSection) + ", ";
    }
  }
  return text + "seed NAME";
}

/// Lists the allowed keys of a section for error messages.
std::string
AllowedKeys(std::string_view aSection)
{
  std::string text;
  for (const auto& definition : SettingDefinitions()) {
    if (definition.mSection == aSection) {
      text += (text.empty() ? "" : ", ") + std::string(definition.mKey);
    }
  }
  return text;
}

/// Whether a section other than those of seed peers is allowed.
bool
IsKnownSection(std::string_view aSection)
{
  return std::ranges::find(
           SettingDefinitions(), aSection, &SettingDefinition::mSection) !=
         SettingDefinitions().end();
}

/// Checks a line that begins a section. inih reports sections only with their
/// keys, so it would accept an unknown section without keys.
void
CheckSection(ParseContext& aContext, std::string_view aLine)
{
  const auto end = aLine.find(']');
  if (end == std::string_view::npos) {
    return; // ini_parse_stream returns this line as an error.
  }
  const std::string section(aLine.substr(1, end - 1));
  const auto [position, inserted] =
    aContext.mSections.try_emplace(section, Position{ aContext.mLine });
  if (!inserted) {
    AddError(aContext,
             aContext.mLine,
             '[' + section + "]: section was opened in line " +
               std::to_string(position->second.mLine) +
               " already; allowed: once");
  } else if (section.starts_with(kSeedPrefix)) {
    const auto name = section.substr(kSeedPrefix.size());
    if (!IsName(name)) {
      AddError(aContext,
               aContext.mLine,
               '[' + section + "]: bad name of a seed peer; allowed: " +
                 std::string(kNameFormat));
    }
    aContext.mSeeds[section].mId = { name };
  } else if (!IsKnownSection(section)) {
    AddError(aContext,
             aContext.mLine,
             '[' + section +
               "]: unknown section; allowed: " + AllowedSections());
  }
}

/// Reports what inih would accept without an error: unknown or duplicate
/// sections, indented lines (continuations of the previous value), control
/// characters and lines longer than its buffer. Returns whether inih is to
/// parse the line.
bool
CheckLine(ParseContext& aContext, std::string_view aLine, std::size_t aMaxBytes)
{
  if (aLine.size() > aMaxBytes) {
    AddError(aContext,
             aContext.mLine,
             "line is too long; allowed: " + std::to_string(aMaxBytes) +
               " characters");
    return false;
  }
  if (std::ranges::any_of(aLine, [](unsigned char aCharacter) {
        return aCharacter < ' ' && aCharacter != '\t';
      })) {
    AddError(aContext,
             aContext.mLine,
             "line has a control character; allowed: text and tabs");
    return false;
  }
  const auto start = aLine.find_first_not_of(" \t");
  if (start == std::string_view::npos || aLine[start] == ';' ||
      aLine[start] == '#') {
    return true;
  }
  if (start > 0) {
    AddError(aContext,
             aContext.mLine,
             "line is indented; allowed: sections and keys at its start");
    return false;
  }
  if (aLine[0] == '[') {
    CheckSection(aContext, aLine);
  }
  return true;
}

/// Passes the next line to inih, with the interface of fgets. The last two
/// bytes of the buffer are for the line break and the terminating NUL.
char*
NextLine(char* aBuffer, int aSize, void* aStream)
{
  auto& context = *static_cast<ParseContext*>(aStream);
  if (context.mOffset >= context.mText.size()) {
    return nullptr;
  }
  const auto end =
    std::min(context.mText.find('\n', context.mOffset), context.mText.size());
  auto line = context.mText.substr(context.mOffset, end - context.mOffset);
  context.mOffset = end + 1;
  ++context.mLine;
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  if (context.mLine == 1 && line.starts_with("\xEF\xBB\xBF")) {
    line.remove_prefix(3);
  }
  if (!CheckLine(context, line, static_cast<std::size_t>(aSize) - 2)) {
    line = {};
  }
  std::memcpy(aBuffer, line.data(), line.size());
  aBuffer[line.size()] = '\n';
  aBuffer[line.size() + 1] = '\0';
  return aBuffer;
}

/// Sets a key in the section of a seed peer.
void
SetSeedKey(ParseContext& aContext,
           const std::string& aSection,
           std::string_view aKey,
           std::string_view aValue)
{
  auto& seed = aContext.mSeeds[aSection];
  if (aKey != "packets" && aKey != "control") {
    AddError(aContext,
             aContext.mLine,
             KeyName(aSection, aKey) +
               ": unknown key; allowed: packets, control");
  } else if (const auto endpoint = ParseReachableEndpoint(aValue)) {
    (aKey == "packets" ? seed.mPeerEndpoint : seed.mControlEndpoint) =
      *endpoint;
  } else {
    AddError(aContext,
             aContext.mLine,
             KeyName(aSection, aKey) + ": bad value '" + std::string(aValue) +
               "'; allowed: " + std::string(kEndpointFormat));
  }
}

/// Sets a key in any other section.
void
SetKey(ParseContext& aContext,
       const std::string& aSection,
       std::string_view aKey,
       std::string_view aValue)
{
  if (!IsKnownSection(aSection)) {
    if (aSection.empty()) {
      AddError(aContext,
               aContext.mLine,
               std::string(aKey) +
                 ": key is outside a section; allowed: " + AllowedSections());
    }
    return; // CheckSection has reported an unknown section.
  }
  const auto definitions = SettingDefinitions();
  const auto definition =
    std::ranges::find_if(definitions, [&](const auto& aDefinition) {
      return aDefinition.mSection == aSection && aDefinition.mKey == aKey;
    });
  if (definition == definitions.end()) {
    AddError(aContext,
             aContext.mLine,
             KeyName(aSection, aKey) +
               ": unknown key; allowed: " + AllowedKeys(aSection));
  } else if (!definition->mSet(aContext.mSettings, aValue)) {
    AddError(aContext,
             aContext.mLine,
             KeyName(aSection, aKey) + ": bad value '" + std::string(aValue) +
               "'; allowed: " + std::string(definition->mAllowedValues));
  }
}

/// Handles a key and its value; inih calls it and expects 1 in order to go on.
int
OnKey(void* aUser, const char* aSection, const char* aKey, const char* aValue)
{
  auto& context = *static_cast<ParseContext*>(aUser);
  const std::string section(aSection);
  const auto [position, inserted] = context.mKeys.try_emplace(
    std::pair{ section, std::string(aKey) }, Position{ context.mLine });
  if (!inserted) {
    AddError(context,
             context.mLine,
             KeyName(section, aKey) + ": key was set in line " +
               std::to_string(position->second.mLine) +
               " already; allowed: once");
  } else if (section.starts_with(kSeedPrefix)) {
    SetSeedKey(context, section, aKey, aValue);
  } else {
    SetKey(context, section, aKey, aValue);
  }
  return 1;
}

/// Reports a required key that is absent, at the line of its section or, if
/// that is absent too, at the last line.
void
RequireKey(ParseContext& aContext,
           const std::string& aSection,
           std::string_view aKey,
           std::string_view aAllowedValues)
{
  if (aContext.mKeys.contains({ aSection, std::string(aKey) })) {
    return;
  }
  const auto section = aContext.mSections.find(aSection);
  const int line = section == aContext.mSections.end() ? aContext.mLine
                                                       : section->second.mLine;
  AddError(aContext,
           line,
           KeyName(aSection, aKey) +
             ": key is missing; allowed: " + std::string(aAllowedValues));
}

} // namespace

state::Result<Settings>
ParseSettings(std::string_view aText, std::string_view aFile)
{
  ParseContext context;
  context.mText = aText;
  context.mFile = aFile;
  const int firstErrorLine =
    ini_parse_stream(NextLine, &context, OnKey, &context);
  // Errors of inih itself; it reports only the first line that has one.
  if (firstErrorLine > 0 && !context.mErrorLines.contains(firstErrorLine)) {
    AddError(context,
             firstErrorLine,
             "line is neither a section nor a key; allowed: [SECTION], KEY = "
             "VALUE, ; COMMENT");
  }
  for (const auto& definition : SettingDefinitions()) {
    if (definition.mRequired) {
      RequireKey(context,
                 std::string(definition.mSection),
                 definition.mKey,
                 definition.mAllowedValues);
    }
  }
  for (const auto& [section, seed] : context.mSeeds) {
    RequireKey(context, section, "packets", kEndpointFormat);
    RequireKey(context, section, "control", kEndpointFormat);
    context.mSettings.mSeeds.push_back(seed);
  }
  if (!context.mErrors.empty()) {
    return state::Error{ state::ErrorCode::InvalidArgument,
                         state::Verdict::NotRun,
                         context.mErrors };
  }
  return context.mSettings;
}

state::Result<Settings>
ReadSettings(const std::string& aFile)
{
  std::ifstream file(aFile, std::ios::binary);
  std::string text{ std::istreambuf_iterator<char>(file), {} };
  if (!file || file.bad()) {
    return state::Error{ state::ErrorCode::NotFound,
                         state::Verdict::NotRun,
                         aFile + ": cannot be read" };
  }
  return ParseSettings(text, aFile);
}

std::string
FormatSettings(const Settings& aSettings)
{
  std::ostringstream text;
  std::string_view section;
  for (const auto& definition : SettingDefinitions()) {
    if (definition.mSection != section) {
      text << (section.empty() ? "[" : "\n[") << definition.mSection << "]\n";
      section = definition.mSection;
    }
    text << definition.mKey << " = " << definition.mFormat(aSettings) << '\n';
  }
  for (const auto& seed : aSettings.mSeeds) {
    text << "\n[" << kSeedPrefix << seed.mId.mValue
         << "]\npackets = " << state::ToString(seed.mPeerEndpoint)
         << "\ncontrol = " << state::ToString(seed.mControlEndpoint) << '\n';
  }
  return text.str();
}

} // namespace sassafrasknot::protocol
