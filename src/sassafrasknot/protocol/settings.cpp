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

/// Where a section or a key was first seen.
struct Position
{
  int mLine = 0;
};

/// State of one run of ini_parse_stream. inih does not pass the line's number
/// to its handler, so the line reader counts.
struct Reading
{
  std::string_view mText;
  std::string_view mFile;
  std::size_t mAt = 0;
  int mLine = 0;
  Settings mSettings;
  std::map<std::string, Position, std::less<>> mSections;
  std::map<std::pair<std::string, std::string>, Position> mKeys;
  std::map<std::string, SeedPeer, std::less<>> mSeeds;
  /// Lines that have a fault already.
  std::set<int> mFaulty;
  std::string mFaults;
};

void
AddFault(Reading& aReading, int aLine, const std::string& aFault)
{
  if (!aReading.mFaults.empty()) {
    aReading.mFaults += '\n';
  }
  aReading.mFaults +=
    std::string(aReading.mFile) + ':' + std::to_string(aLine) + ": " + aFault;
  aReading.mFaulty.insert(aLine);
}

std::string
KeyName(std::string_view aSection, std::string_view aKey)
{
  return '[' + std::string(aSection) + "] " + std::string(aKey);
}

std::string
KnownSections()
{
  std::string text;
  std::set<std::string_view> known;
  for (const auto& rule : SettingsRules()) {
    if (known.insert(rule.mSection).second) {
      text += std::string(rule.mSection) + ", ";
    }
  }
  return text + "seed NAME";
}

std::string
KnownKeys(std::string_view aSection)
{
  std::string text;
  for (const auto& rule : SettingsRules()) {
    if (rule.mSection == aSection) {
      text += (text.empty() ? "" : ", ") + std::string(rule.mKey);
    }
  }
  return text;
}

bool
IsKnownSection(std::string_view aSection)
{
  return std::ranges::find(SettingsRules(),
                           aSection,
                           &SettingsRule::mSection) != SettingsRules().end();
}

void
CheckSection(Reading& aReading, std::string_view aLine)
{
  const auto end = aLine.find(']');
  if (end == std::string_view::npos) {
    return; // inih reports the line.
  }
  const std::string section(aLine.substr(1, end - 1));
  const auto [known, first] =
    aReading.mSections.try_emplace(section, Position{ aReading.mLine });
  if (!first) {
    AddFault(aReading,
             aReading.mLine,
             '[' + section + "]: section was opened in line " +
               std::to_string(known->second.mLine) + " already; allowed: once");
  } else if (section.starts_with(kSeedPrefix)) {
    const auto name = section.substr(kSeedPrefix.size());
    if (!IsName(name)) {
      AddFault(aReading,
               aReading.mLine,
               '[' + section + "]: bad name of a seed peer; allowed: " +
                 std::string(kNameAllowed));
    }
    aReading.mSeeds[section].mId = { name };
  } else if (!IsKnownSection(section)) {
    AddFault(aReading,
             aReading.mLine,
             '[' + section + "]: unknown section; allowed: " + KnownSections());
  }
}

/// Checks what inih would accept silently: empty sections, continuation lines,
/// control characters and lines longer than its buffer.
bool
CheckLine(Reading& aReading, std::string_view aLine, std::size_t aLongest)
{
  if (aLine.size() > aLongest) {
    AddFault(aReading,
             aReading.mLine,
             "line is too long; allowed: " + std::to_string(aLongest) +
               " characters");
    return false;
  }
  if (std::ranges::any_of(aLine, [](unsigned char aCharacter) {
        return aCharacter < ' ' && aCharacter != '\t';
      })) {
    AddFault(aReading,
             aReading.mLine,
             "line has a control character; allowed: text and tabs");
    return false;
  }
  const auto start = aLine.find_first_not_of(" \t");
  if (start == std::string_view::npos || aLine[start] == ';' ||
      aLine[start] == '#') {
    return true;
  }
  if (start > 0) {
    AddFault(aReading,
             aReading.mLine,
             "line is indented; allowed: sections and keys at its start");
    return false;
  }
  if (aLine[0] == '[') {
    CheckSection(aReading, aLine);
  }
  return true;
}

/// Gives inih the next line, as fgets does.
char*
NextLine(char* aBuffer, int aSize, void* aStream)
{
  auto& reading = *static_cast<Reading*>(aStream);
  if (reading.mAt >= reading.mText.size()) {
    return nullptr;
  }
  const auto end =
    std::min(reading.mText.find('\n', reading.mAt), reading.mText.size());
  auto line = reading.mText.substr(reading.mAt, end - reading.mAt);
  reading.mAt = end + 1;
  ++reading.mLine;
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  if (reading.mLine == 1 && line.starts_with("\xEF\xBB\xBF")) {
    line.remove_prefix(3);
  }
  if (!CheckLine(reading, line, static_cast<std::size_t>(aSize) - 2)) {
    line = {};
  }
  std::memcpy(aBuffer, line.data(), line.size());
  aBuffer[line.size()] = '\n';
  aBuffer[line.size() + 1] = '\0';
  return aBuffer;
}

void
SetSeedKey(Reading& aReading,
           const std::string& aSection,
           std::string_view aKey,
           std::string_view aValue)
{
  auto& seed = aReading.mSeeds[aSection];
  if (aKey != "packets" && aKey != "control") {
    AddFault(aReading,
             aReading.mLine,
             KeyName(aSection, aKey) +
               ": unknown key; allowed: packets, control");
  } else if (const auto endpoint = ReadSettingsEndpoint(aValue)) {
    (aKey == "packets" ? seed.mPeerEndpoint : seed.mControlEndpoint) =
      *endpoint;
  } else {
    AddFault(aReading,
             aReading.mLine,
             KeyName(aSection, aKey) + ": bad value '" + std::string(aValue) +
               "'; allowed: " + std::string(kEndpointAllowed));
  }
}

void
SetKey(Reading& aReading,
       const std::string& aSection,
       std::string_view aKey,
       std::string_view aValue)
{
  if (!IsKnownSection(aSection)) {
    if (aSection.empty()) {
      AddFault(aReading,
               aReading.mLine,
               std::string(aKey) +
                 ": key is outside a section; allowed: " + KnownSections());
    }
    return; // Otherwise the section has a fault of its own.
  }
  const auto rules = SettingsRules();
  const auto rule = std::ranges::find_if(rules, [&](const auto& aRule) {
    return aRule.mSection == aSection && aRule.mKey == aKey;
  });
  if (rule == rules.end()) {
    AddFault(aReading,
             aReading.mLine,
             KeyName(aSection, aKey) +
               ": unknown key; allowed: " + KnownKeys(aSection));
  } else if (!rule->mSet(aReading.mSettings, aValue)) {
    AddFault(aReading,
             aReading.mLine,
             KeyName(aSection, aKey) + ": bad value '" + std::string(aValue) +
               "'; allowed: " + std::string(rule->mAllowed));
  }
}

int
OnKey(void* aUser, const char* aSection, const char* aKey, const char* aValue)
{
  auto& reading = *static_cast<Reading*>(aUser);
  const std::string section(aSection);
  const auto [known, first] = reading.mKeys.try_emplace(
    std::pair{ section, std::string(aKey) }, Position{ reading.mLine });
  if (!first) {
    AddFault(reading,
             reading.mLine,
             KeyName(section, aKey) + ": key was set in line " +
               std::to_string(known->second.mLine) + " already; allowed: once");
  } else if (section.starts_with(kSeedPrefix)) {
    SetSeedKey(reading, section, aKey, aValue);
  } else {
    SetKey(reading, section, aKey, aValue);
  }
  return 1;
}

void
CheckRequired(Reading& aReading,
              const std::string& aSection,
              std::string_view aKey,
              std::string_view aAllowed)
{
  if (aReading.mKeys.contains({ aSection, std::string(aKey) })) {
    return;
  }
  const auto section = aReading.mSections.find(aSection);
  const int line = section == aReading.mSections.end() ? aReading.mLine
                                                       : section->second.mLine;
  AddFault(aReading,
           line,
           KeyName(aSection, aKey) +
             ": key is missing; allowed: " + std::string(aAllowed));
}

} // namespace

state::Result<Settings>
ParseSettings(std::string_view aText, std::string_view aFile)
{
  Reading reading;
  reading.mText = aText;
  reading.mFile = aFile;
  const int faultyLine = ini_parse_stream(NextLine, &reading, OnKey, &reading);
  if (faultyLine > 0 && !reading.mFaulty.contains(faultyLine)) {
    AddFault(reading,
             faultyLine,
             "line is neither a section nor a key; allowed: [SECTION], KEY = "
             "VALUE, ; COMMENT");
  }
  for (const auto& rule : SettingsRules()) {
    if (rule.mRequired) {
      CheckRequired(
        reading, std::string(rule.mSection), rule.mKey, rule.mAllowed);
    }
  }
  for (const auto& [section, seed] : reading.mSeeds) {
    CheckRequired(reading, section, "packets", kEndpointAllowed);
    CheckRequired(reading, section, "control", kEndpointAllowed);
    reading.mSettings.mSeeds.push_back(seed);
  }
  if (!reading.mFaults.empty()) {
    return state::Error{ state::ErrorCode::InvalidArgument,
                         state::Verdict::NotRun,
                         reading.mFaults };
  }
  return reading.mSettings;
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
  for (const auto& rule : SettingsRules()) {
    if (rule.mSection != section) {
      text << (section.empty() ? "[" : "\n[") << rule.mSection << "]\n";
      section = rule.mSection;
    }
    text << rule.mKey << " = " << rule.mPrint(aSettings) << '\n';
  }
  for (const auto& seed : aSettings.mSeeds) {
    text << "\n[" << kSeedPrefix << seed.mId.mValue
         << "]\npackets = " << state::ToString(seed.mPeerEndpoint)
         << "\ncontrol = " << state::ToString(seed.mControlEndpoint) << '\n';
  }
  return text.str();
}

} // namespace sassafrasknot::protocol
