#ifndef SASSAFRASKNOT_REVIEW_STORE_HPP
#define SASSAFRASKNOT_REVIEW_STORE_HPP

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net.hpp"

namespace review {

/// @brief The platform's store: items by key, one revision counter, range reads
/// and watches that wait. It keeps its whole history and answers at once.
class Store
{
public:
  explicit Store(io_context& aContext);
  /// @brief Serves the store at one more endpoint.
  /// @return the server, which the caller may close again
  std::shared_ptr<HttpServer> Serve(const Endpoint& aEndpoint);
  /// @brief Writes an item. The write is acknowledged when this returns.
  void Put(const std::string& aKey, const std::string& aValue);

private:
  struct Item
  {
    std::string mKey;
    std::string mValue;
    std::uint64_t mRevision = 0;
    std::uint64_t mCreated = 0;
  };
  struct Watch
  {
    std::string mPrefix;
    std::uint64_t mAfter = 0;
    Respond mRespond;
  };

  void Handle(const std::string& aTarget, const Respond& aRespond);
  /// Answers a watch if there are events for it, or in any case if aForced.
  bool Answer(const Watch& aWatch, bool aForced) const;
  static std::string Format(const Item& aItem);

  io_context& mContext;
  std::uint64_t mRevision = 100;
  std::map<std::string, Item> mItems;
  std::vector<Item> mHistory;
  std::list<Watch> mWatches;
};

} // namespace review

#endif
