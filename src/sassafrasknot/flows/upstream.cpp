#include "sassafrasknot/flows/upstream.hpp"

#include "sassafrasknot/state/hashing.hpp"

namespace sassafrasknot::flows {
namespace {

/// Seed that makes tokens differ from other hashes of the same id.
constexpr std::uint64_t kTokenSeed = 0x746f6b656e;

} // namespace

UpstreamToken
TokenOf(const std::string& aUpstreamId)
{
  const auto token =
    static_cast<UpstreamToken>(state::HashBytes(aUpstreamId, kTokenSeed));
  return token == kNoToken ? 1 : token;
}

} // namespace sassafrasknot::flows
