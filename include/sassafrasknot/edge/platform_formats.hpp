#ifndef SASSAFRASKNOT_EDGE_PLATFORM_FORMATS_HPP
#define SASSAFRASKNOT_EDGE_PLATFORM_FORMATS_HPP

#include "sassafrasknot/fleet/catalogue.hpp"
#include "sassafrasknot/fleet/store_reader.hpp"
#include "sassafrasknot/flows/evacuation.hpp"
#include "sassafrasknot/flows/packet.hpp"
#include "sassafrasknot/flows/routing.hpp"
#include "sassafrasknot/state/error.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// @brief The process of an instance: its traffic thread, control thread and
/// sockets. The instance routes the packets of a flow by a token in them, which
/// names the flow's upstream.
namespace sassafrasknot::edge {

/// @brief Functions that decode and encode the packets of one platform.
struct PacketFormat
{
  /// Decodes a caller's packet, or returns Malformed.
  state::Result<flows::CallerPacket> (*mDecode)(std::span<const std::uint8_t>);
  /// Writes a token into a packet that mDecode has accepted.
  void (*mWriteToken)(std::span<std::uint8_t>, flows::UpstreamToken);
  /// Makes a reset of the packet's flow. Its fields are such that the caller
  /// accepts it.
  std::vector<std::uint8_t> (*mMakeReset)(const flows::CallerPacket&);
  /// Bytes that are sent before a packet in the datagram to an upstream, which
  /// verifies them; see flows::Upstream::mVerificationTag.
  std::array<std::uint8_t, 8> (*mMakePrefix)(const flows::Upstream&);
};

/// @brief One response of the store: records and deletions in the order of the
/// response.
struct StorePage
{
  std::vector<fleet::Record> mRecords;
  /// The store's revision when it made this response.
  state::Revision mRevision = 0;
  /// Whether more records follow the last one. Another call must read them.
  bool mHasMore = false;
};

/// @brief What is wrong with a route of a configuration.
enum class RouteDefect : std::uint8_t
{
  /// Its kind of request is not known. The route is used as one whose requests
  /// are executed at most once.
  UnknownKind,
  /// It cannot be decoded and is left out.
  Unreadable,
  /// A later route has the same service endpoint and replaces it.
  Shadowed,
};

/// @brief Number of route defects.
constexpr std::size_t kRouteDefectCount = 3;

/// @brief Returns the name of a defect as it stands in logs and metrics.
/// @param aDefect defect of a route
/// @return lower-case words joined by underscores
constexpr std::string_view
ToString(RouteDefect aDefect)
{
  switch (aDefect) {
    case RouteDefect::UnknownKind:
      return "unknown_kind";
    case RouteDefect::Unreadable:
      return "unreadable";
    case RouteDefect::Shadowed:
      return "shadowed";
  }
  return "unknown";
}

/// @brief A route of a configuration that could not be decoded completely.
struct DefectiveRoute
{
  RouteDefect mDefect = RouteDefect::Unreadable;
  /// Location in the document, and the cause.
  std::string mMessage;
};

/// @brief A decoded configuration. One defective route does not make the others
/// unusable.
struct DecodedConfiguration
{
  std::shared_ptr<const flows::Configuration> mConfiguration;
  std::vector<DefectiveRoute> mDefectiveRoutes;
  /// Location and cause of each malformed limit of cold upstreams. Such a limit
  /// has no effect.
  std::vector<std::string> mDefectiveLimits;
};

/// @brief A decoded order to evacuate a data centre. The key names the data
/// centre, so that the order holds whatever its value is.
struct DecodedEvacuation
{
  flows::Evacuation mEvacuation;
  /// Why the value could not be decoded, empty if it could.
  std::string mValueError;
};

/// @brief Content of a record: a configuration, an upstream, an evacuation, or
/// nothing that an instance uses.
using RecordContent = std::variant<std::monostate,
                                   DecodedConfiguration,
                                   flows::Upstream,
                                   DecodedEvacuation>;

/// @brief Functions that call and decode the store of one platform.
struct StoreFormat
{
  /// Path and query of a read. The key is the last one of the previous page, or
  /// empty for the first page.
  std::string (*mMakeTarget)(const fleet::StoreRead&,
                             const std::string& aAfterKey);
  /// Decodes the body of a response of status 200, or returns Malformed.
  state::Result<StorePage> (*mDecodePage)(const fleet::StoreRead&,
                                          const std::string& aBody);
  /// Decodes a record, or returns Malformed.
  state::Result<RecordContent> (*mDecodeRecord)(const fleet::Record&);
  /// Id of the upstream that a key describes; nothing for keys of other
  /// records.
  std::optional<std::string> (*mUpstreamIdOf)(const std::string& aKey);
  /// Data centre whose evacuation a key orders; nothing for keys of other
  /// records.
  std::optional<state::DataCentreId> (*mEvacuatedBy)(const std::string& aKey);
  /// HTTP status with which the store reports that it no longer keeps the
  /// changes after a revision.
  unsigned mHistoryCompactedStatus = 410;
};

/// @brief Everything in an instance that depends on the platform.
struct PlatformFormats
{
  PacketFormat mPacket;
  StoreFormat mStore;
  /// Path that the platform requests to check readiness.
  std::string mReadyPath;
};

} // namespace sassafrasknot::edge

#endif
