#include "store.hpp"

#include <utility>

namespace review {
namespace {

std::string
Base64(const std::string& aBytes)
{
  constexpr std::string_view digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char byte : aBytes) {
    bits = bits << 8U | static_cast<unsigned char>(byte);
    for (count += 8; count >= 6; count -= 6) {
      text += digits[bits >> static_cast<unsigned>(count - 6) & 63U];
    }
  }
  if (count > 0) {
    text += digits[bits << static_cast<unsigned>(6 - count) & 63U];
  }
  text.append((4 - text.size() % 4) % 4, '=');
  return text;
}

/// Returns a parameter of a request target, or an empty text. No parameter of
/// the instances' calls contains escapes here.
std::string
Parameter(const std::string& aTarget, const std::string& aName)
{
  const auto query = "&" + aTarget.substr(aTarget.find('?') + 1);
  const auto begin = query.find("&" + aName + "=");
  if (begin == std::string::npos) {
    return "";
  }
  const auto value = query.substr(begin + aName.size() + 2);
  return value.substr(0, value.find('&'));
}

std::uint64_t
NumberOf(const std::string& aText)
{
  return std::stoull("0" + aText);
}

std::string
Join(const std::vector<std::string>& aParts)
{
  std::string text;
  for (const auto& part : aParts) {
    text += (text.empty() ? "" : ",") + part;
  }
  return text;
}

} // namespace

Store::Store(io_context& aContext)
  : mContext(aContext)
{
}

std::shared_ptr<HttpServer>
Store::Serve(const Endpoint& aEndpoint)
{
  auto server = std::make_shared<HttpServer>(
    mContext,
    aEndpoint,
    [this](const std::string& aTarget, const Respond& aRespond) {
      Handle(aTarget, aRespond);
    });
  server->Start();
  return server;
}

void
Store::Put(const std::string& aKey, const std::string& aValue)
{
  auto& item = mItems[aKey];
  ++mRevision;
  item = {
    aKey, aValue, mRevision, item.mCreated == 0 ? mRevision : item.mCreated
  };
  mHistory.push_back(item);
  std::erase_if(mWatches,
                [this](const Watch& aWatch) { return Answer(aWatch, false); });
}

std::string
Store::Format(const Item& aItem)
{
  return R"({"key":")" + aItem.mKey + R"(","value":")" + Base64(aItem.mValue) +
         R"(","revision":)" + std::to_string(aItem.mRevision) +
         R"(,"created":)" + std::to_string(aItem.mCreated) + R"(,"lease":0})";
}

bool
Store::Answer(const Watch& aWatch, bool aForced) const
{
  std::vector<std::string> events;
  for (const auto& item : mHistory) {
    if (item.mRevision > aWatch.mAfter &&
        item.mKey.starts_with(aWatch.mPrefix)) {
      events.push_back(Format(item));
    }
  }
  if (events.empty() && !aForced) {
    return false;
  }
  aWatch.mRespond(200,
                  R"({"events":[)" + Join(events) + R"(],"as_of":)" +
                    std::to_string(mRevision) + "}");
  return true;
}

void
Store::Handle(const std::string& aTarget, const Respond& aRespond)
{
  const auto prefix = Parameter(aTarget, "prefix");
  if (aTarget.starts_with("/-/kv-range")) {
    const auto after = Parameter(aTarget, "after");
    std::vector<std::string> items;
    for (const auto& [key, item] : mItems) {
      if (key.starts_with(prefix) && key > after) {
        items.push_back(Format(item));
      }
    }
    aRespond(200,
             R"({"items":[)" + Join(items) + R"(],"has_more":false,"as_of":)" +
               std::to_string(mRevision) + "}");
    return;
  }
  if (!aTarget.starts_with("/-/kv-watch")) {
    aRespond(404, "{}");
    return;
  }
  const Watch watch{ prefix, NumberOf(Parameter(aTarget, "after")), aRespond };
  if (Answer(watch, false)) {
    return;
  }
  mWatches.push_back(watch);
  const auto position = std::prev(mWatches.end());
  // A watch that was answered meanwhile is no longer in the list.
  const auto* entry = &*position;
  RunAfter(mContext,
           milliseconds(NumberOf(Parameter(aTarget, "wait_ms"))),
           [this, entry, after = watch.mAfter] {
             for (auto it = mWatches.begin(); it != mWatches.end(); ++it) {
               if (&*it == entry && it->mAfter == after) {
                 Answer(*it, true);
                 mWatches.erase(it);
                 return;
               }
             }
           });
}

} // namespace review
