#include "load_options.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <iterator>
#include <utility>

#include "option_parser.hpp"

namespace sassafrasknotctl {

namespace {

// Parses a finite number above zero.
std::optional<double>
ParsePositive(std::string_view aText)
{
  const std::string text(aText);
  char* end = nullptr;
  const double value = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || !(value > 0) || !std::isfinite(value)) {
    return std::nullopt;
  }
  return value;
}

// Splits a text at the first separator. Without one, the second part is empty.
std::pair<std::string_view, std::string_view>
SplitAt(std::string_view aText, char aSeparator)
{
  const auto position = aText.find(aSeparator);
  if (position == std::string_view::npos) {
    return { aText, {} };
  }
  return { aText.substr(0, position), aText.substr(position + 1) };
}

using Seconds = std::chrono::duration<double>;

std::chrono::milliseconds
FromSeconds(Seconds aSeconds)
{
  return std::chrono::round<std::chrono::milliseconds>(aSeconds);
}

// Values of the options as popt stores them. Times are in seconds, mBurst is
// the text of --crest, and mProgressTimeout the value of --patience.
struct Values
{
  char* mListen = nullptr;
  char* mFabric = nullptr;
  char* mCallers = nullptr;
  char* mBurst = nullptr;
  char** mFeeds = nullptr;
  char** mUploads = nullptr;
  char** mConfirmations = nullptr;
  double mSeconds = 10;
  double mFinishTimeout = 30;
  double mFeedSeconds = 0;
  double mPeriod = 0.5;
  double mProgressTimeout = 15;
  double mStragglerShare = 0;
  double mStragglerFactor = 50;
  long mSeed = 1;
  long mUploadBytes = 20000;
  int mJson = 0;
  int mStrict = 0;
  int mQuiet = 0;
};

// Parses the targets of one kind; popt ends the list with a null pointer.
state::Result<void>
AddTargets(LoadOptions& aOptions, FlowKind aKind, char** aTexts)
{
  for (; aTexts != nullptr && *aTexts != nullptr; ++aTexts) {
    auto target = ParseTarget(aKind, *aTexts);
    if (!target) {
      return target.error();
    }
    aOptions.mTargets.push_back(std::move(target.value()));
  }
  return boost::outcome_v2::success();
}

// Checks and converts the values of the options.
state::Result<LoadOptions>
ToLoadOptions(const Values& aValues)
{
  LoadOptions options;
  const auto listen = state::ParseEndpoint(aValues.mListen);
  const auto fabric = state::ParseEndpoint(aValues.mFabric);
  const auto callers = state::ParseIpv4Address(aValues.mCallers);
  if (!listen || !fabric || !callers) {
    return InvalidArgument(
      "--listen and --fabric must be IP:PORT, --callers must be IP");
  }
  options.mListen = listen.value();
  options.mFabric = fabric.value();
  options.mFirstCaller = callers.value();
  const std::array<std::pair<FlowKind, char**>, 3> kinds{
    { { FlowKind::Feed, aValues.mFeeds },
      { FlowKind::Upload, aValues.mUploads },
      { FlowKind::Confirmation, aValues.mConfirmations } }
  };
  for (const auto& [kind, texts] : kinds) {
    if (auto added = AddTargets(options, kind, texts); !added) {
      return added.error();
    }
  }
  if (options.mTargets.empty()) {
    return InvalidArgument(
      "no target; expected at least one of --feeds, --uploads, "
      "--confirmations");
  }
  if (aValues.mBurst != nullptr) {
    const auto burst = ParseBurst(aValues.mBurst);
    if (!burst) {
      return burst.error();
    }
    options.mBurst = burst.value();
  }
  options.mSeed = static_cast<std::uint64_t>(aValues.mSeed);
  options.mUploadBytes = static_cast<std::uint64_t>(aValues.mUploadBytes);
  options.mDuration = FromSeconds(Seconds(aValues.mSeconds));
  options.mFinishTimeout = FromSeconds(Seconds(aValues.mFinishTimeout));
  options.mFeedDuration = FromSeconds(Seconds(aValues.mFeedSeconds));
  options.mPeriod = FromSeconds(Seconds(aValues.mPeriod));
  options.mProgressTimeout = FromSeconds(Seconds(aValues.mProgressTimeout));
  options.mStragglerShare = aValues.mStragglerShare;
  options.mStragglerFactor = aValues.mStragglerFactor;
  options.mJson = aValues.mJson != 0;
  options.mStrict = aValues.mStrict != 0;
  options.mQuiet = aValues.mQuiet != 0;
  return options;
}

// popt flag: show the default value in the help text.
constexpr unsigned kShowDefault = POPT_ARGFLAG_SHOW_DEFAULT;

// Options that describe the flows.
std::vector<poptOption>
FlowOptions(Values& aValues)
{
  constexpr auto kTarget = "ORGANISATION/SERVICE@IP:PORT=RATE";
  return {
    MakeOption("feeds",
               POPT_ARG_ARGV,
               &aValues.mFeeds,
               "open feeds at RATE per second; may be repeated",
               kTarget),
    MakeOption("uploads",
               POPT_ARG_ARGV,
               &aValues.mUploads,
               "open uploads at RATE per second; may be repeated",
               kTarget),
    MakeOption("confirmations",
               POPT_ARG_ARGV,
               &aValues.mConfirmations,
               "open confirmations at RATE per second; may be repeated",
               kTarget),
    MakeOption("feed-seconds",
               POPT_ARG_DOUBLE | kShowDefault,
               &aValues.mFeedSeconds,
               "duration of a feed; 0 keeps feeds open until arrivals end",
               "SECONDS"),
    MakeOption("period",
               POPT_ARG_DOUBLE | kShowDefault,
               &aValues.mPeriod,
               "interval between a feed's messages",
               "SECONDS"),
    MakeOption("upload-bytes",
               POPT_ARG_LONG | kShowDefault,
               &aValues.mUploadBytes,
               "size of an upload",
               "BYTES"),
    MakeOption("straggler-share",
               POPT_ARG_DOUBLE | kShowDefault,
               &aValues.mStragglerShare,
               "share of uploads and confirmations that run longer, 0 to 1",
               "SHARE"),
    MakeOption("straggler-factor",
               POPT_ARG_DOUBLE | kShowDefault,
               &aValues.mStragglerFactor,
               "factor by which they run longer",
               "FACTOR"),
    MakeOption("crest",
               POPT_ARG_STRING,
               &aValues.mBurst,
               "multiply all rates during a period given in seconds",
               "START:LENGTH:FACTOR"),
  };
}

// Options of the run: endpoints, durations, seed and output.
std::vector<poptOption>
RunOptions(Values& aValues)
{
  return {
    MakeOption("listen",
               POPT_ARG_STRING | kShowDefault,
               &aValues.mListen,
               "UDP address of the callers",
               "IP:PORT"),
    MakeOption("fabric",
               POPT_ARG_STRING | kShowDefault,
               &aValues.mFabric,
               "UDP address of the fabric",
               "IP:PORT"),
    MakeOption("callers",
               POPT_ARG_STRING | kShowDefault,
               &aValues.mCallers,
               "first caller address inside the packets",
               "IP"),
    MakeOption("seconds",
               POPT_ARG_DOUBLE | kShowDefault,
               &aValues.mSeconds,
               "time during which flows arrive",
               "SECONDS"),
    MakeOption("finish",
               POPT_ARG_DOUBLE | kShowDefault,
               &aValues.mFinishTimeout,
               "timeout for open flows after that",
               "SECONDS"),
    MakeOption("patience",
               POPT_ARG_DOUBLE | kShowDefault,
               &aValues.mProgressTimeout,
               "time without progress after which a flow counts as broken",
               "SECONDS"),
    MakeOption("seed",
               POPT_ARG_LONG | kShowDefault,
               &aValues.mSeed,
               "seed of all random numbers",
               "NUMBER"),
    MakeOption(
      "json", POPT_ARG_NONE, &aValues.mJson, "print the report as JSON"),
    MakeOption("strict",
               POPT_ARG_NONE,
               &aValues.mStrict,
               "exit with 1 if a flow was broken, misrouted, ran twice or has "
               "gaps"),
    MakeOption("quiet", POPT_ARG_NONE, &aValues.mQuiet, "show no progress"),
  };
}

} // namespace

state::Result<LoadTarget>
ParseTarget(FlowKind aKind, std::string_view aText)
{
  const auto [name, destination] = SplitAt(aText, '@');
  const auto [organisation, service] = SplitAt(name, '/');
  const auto [listener, rate] = SplitAt(destination, '=');
  const auto endpoint = state::ParseEndpoint(listener);
  const auto perSecond = ParsePositive(rate);
  if (organisation.empty() || service.empty() || !endpoint || !perSecond) {
    return InvalidArgument("target \"" + std::string(aText) +
                           "\" is not ORGANISATION/SERVICE@IP:PORT=RATE");
  }
  return LoadTarget{ aKind,
                     std::string(organisation),
                     std::string(service),
                     endpoint.value(),
                     *perSecond };
}

state::Result<Burst>
ParseBurst(std::string_view aText)
{
  const auto [start, rest] = SplitAt(aText, ':');
  const auto [length, factor] = SplitAt(rest, ':');
  const auto startSeconds = ParsePositive(start);
  const auto lengthSeconds = ParsePositive(length);
  const auto rateFactor = ParsePositive(factor);
  if (!startSeconds || !lengthSeconds || !rateFactor || *rateFactor < 1) {
    return InvalidArgument(
      "--crest \"" + std::string(aText) +
      "\" is not START:LENGTH:FACTOR with a factor of 1 or more");
  }
  return Burst{ FromSeconds(Seconds(*startSeconds)),
                FromSeconds(Seconds(*lengthSeconds)),
                *rateFactor };
}

state::Result<LoadOptions>
ParseLoadOptions(int aArgc, const char** aArgv)
{
  static char defaultListen[] = "127.0.0.1:7900";
  static char defaultFabric[] = "127.0.0.1:7800";
  static char defaultCallers[] = "127.30.0.1";
  Values values;
  values.mListen = defaultListen;
  values.mFabric = defaultFabric;
  values.mCallers = defaultCallers;
  auto options = FlowOptions(values);
  std::ranges::copy(RunOptions(values), std::back_inserter(options));
  const auto rest =
    ParseOptions("sassafrasknotctl load", std::move(options), aArgc, aArgv);
  if (!rest) {
    return rest.error();
  }
  if (!rest.value().empty()) {
    return InvalidArgument("unexpected argument \"" + rest.value().front() +
                           '"');
  }
  return ToLoadOptions(values);
}

} // namespace sassafrasknotctl
