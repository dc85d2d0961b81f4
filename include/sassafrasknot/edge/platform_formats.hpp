#ifndef SASSAFRASKNOT_EDGE_PLATFORM_FORMATS_HPP
#define SASSAFRASKNOT_EDGE_PLATFORM_FORMATS_HPP

#include "sassafrasknot/fleet/catalogue.hpp"
#include "sassafrasknot/fleet/store_reader.hpp"
#include "sassafrasknot/flows/packet.hpp"
#include "sassafrasknot/flows/routing.hpp"
#include "sassafrasknot/state/error.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

/// @brief An instance that balances flows by tokens in their packets, as
/// processes, threads and sockets.
namespace sassafrasknot::edge {

/// @brief Translates the packets of one platform.
struct PacketFormat
{
  /// Reads a caller's packet, or Malformed.
  state::Result<flows::CallerPacket> (*mDecode)(std::span<const std::uint8_t>);
  /// Writes a token into a packet that mDecode has read.
  void (*mWriteToken)(std::span<std::uint8_t>, flows::UpstreamToken);
  /// Makes a reset that its caller accepts from a packet of the flow.
  std::vector<std::uint8_t> (*mMakeReset)(const flows::CallerPacket&);
  /// Bytes that come before a packet on its way to an upstream.
  std::array<std::uint8_t, 8> (*mMakePrefix)(const flows::Upstream&);
};

/// @brief One answer of the store.
struct StorePage
{
  std::vector<fleet::Record> mRecords;
  /// The store's revision at this answer.
  state::Revision mRevision = 0;
  /// The items after the last one are to be read with another call.
  bool mHasMore = false;
};

/// @brief What a record says: a configuration, an upstream, or nothing that an
/// instance needs.
using RecordContent = std::variant<std::monostate,
                                   std::shared_ptr<const flows::Configuration>,
                                   flows::Upstream>;

/// @brief Translates the store of one platform.
struct StoreFormat
{
  /// Path and query of a read; the key is the last one of the page before.
  std::string (*mMakeTarget)(const fleet::StoreRead&,
                             const std::string& aAfterKey);
  /// Reads an answer of status 200, or Malformed.
  state::Result<StorePage> (*mDecodePage)(const fleet::StoreRead&,
                                          const std::string& aBody);
  /// Reads a record, or Malformed.
  state::Result<RecordContent> (*mDecodeRecord)(const fleet::Record&);
  /// Id of the upstream that a key describes, if it is one's.
  std::optional<std::string> (*mUpstreamIdOf)(const std::string& aKey);
  /// Status that says that the history after a revision is no longer kept.
  unsigned mHistoryCompactedStatus = 410;
};

/// @brief All that an instance needs to know of a platform's formats.
struct PlatformFormats
{
  PacketFormat mPacket;
  StoreFormat mStore;
  /// Path of the readiness check.
  std::string mReadyPath;
};

} // namespace sassafrasknot::edge

#endif
