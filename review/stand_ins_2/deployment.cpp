// Stand-ins of the platform for the review's scripts: the store, the routers,
// the targets and the clients of a small deployment whose instances run as
// separate processes. Events of a scenario come from a file. The program checks
// the rules DRAIN and ROUTE on what its targets receive.
//
//   deployment NETWORK FOLDER SCENARIO RECORD
//
// NETWORK is the second byte of all addresses (127.NETWORK.x.y). FOLDER has a
// file instances.txt with a line "NAME ZONE ADDRESS PID" for each instance,
// which may appear after the start. Exit status: 0 if the rule held, 1 if it
// was broken, 2 if the run was not valid.

#include <array>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

namespace {

namespace asio = boost::asio;
namespace endian = boost::endian;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::uint16_t kTrafficPort = 8172;
constexpr std::uint16_t kReadinessPort = 8167;
constexpr std::uint16_t kStorePort = 8169;
constexpr std::uint16_t kTargetPort = 9000;
constexpr std::uint32_t kDeskRoute = 0xC6120001;   // 198.18.0.1
constexpr std::uint32_t kIntakeRoute = 0xC6120002; // 198.18.0.2
constexpr std::uint16_t kRoutePort = 8443;

// Figures of the users' pages.
constexpr milliseconds kDrainTimeout{ 3000 };
constexpr milliseconds kStableWindow{ 4000 };
constexpr milliseconds kFirstCopy{ 200 };
constexpr milliseconds kSecondCopy{ 600 };
constexpr milliseconds kOpenTimeout{ 1400 };
constexpr milliseconds kRetransmitDelay{ 200 };
constexpr milliseconds kMaxRetransmitDelay{ 1600 };
constexpr milliseconds kRequestDeadline{ 1200 };
constexpr milliseconds kReadinessInterval{ 500 };
constexpr int kMissesUntilOut = 2;
constexpr int kMaxRetransmissions = 8;

constexpr std::uint8_t kSyn = 16;
constexpr std::uint8_t kAck = 32;
constexpr std::uint8_t kFin = 128;
constexpr std::uint8_t kRst = 1;
constexpr std::size_t kHeaderBytes = 36;
constexpr std::size_t kLabelBytes = 8;

struct Packet
{
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledged = 0;
  std::uint8_t mFlags = 0;
  std::uint32_t mEcho = 0;
  std::uint32_t mSum = 0;
  std::uint32_t mDestination = 0;
  std::uint32_t mSource = 0;
  std::uint16_t mDestinationPort = 0;
  std::uint16_t mSourcePort = 0;
  std::string mData{};
};

std::string
Encode(const Packet& aPacket)
{
  std::string bytes(kHeaderBytes, '\0');
  auto* at = reinterpret_cast<unsigned char*>(bytes.data());
  endian::store_little_u32(at, aPacket.mSequence);
  endian::store_little_u32(at + 4, aPacket.mAcknowledged);
  at[8] = aPacket.mFlags;
  endian::store_little_u32(at + 14, aPacket.mEcho);
  endian::store_little_u32(at + 18, aPacket.mSum);
  endian::store_little_u16(at + 22,
                           static_cast<std::uint16_t>(aPacket.mData.size()));
  endian::store_little_u32(at + 24, aPacket.mDestination);
  endian::store_little_u32(at + 28, aPacket.mSource);
  endian::store_little_u16(at + 32, aPacket.mDestinationPort);
  endian::store_little_u16(at + 34, aPacket.mSourcePort);
  return bytes + aPacket.mData;
}

bool
Decode(std::string_view aBytes, Packet& aPacket)
{
  if (aBytes.size() < kHeaderBytes) {
    return false;
  }
  const auto* at = reinterpret_cast<const unsigned char*>(aBytes.data());
  aPacket.mSequence = endian::load_little_u32(at);
  aPacket.mAcknowledged = endian::load_little_u32(at + 4);
  aPacket.mFlags = at[8];
  aPacket.mEcho = endian::load_little_u32(at + 14);
  aPacket.mSum = endian::load_little_u32(at + 18);
  aPacket.mDestination = endian::load_little_u32(at + 24);
  aPacket.mSource = endian::load_little_u32(at + 28);
  aPacket.mDestinationPort = endian::load_little_u16(at + 32);
  aPacket.mSourcePort = endian::load_little_u16(at + 34);
  aPacket.mData = std::string(aBytes.substr(kHeaderBytes));
  return aPacket.mData.size() == endian::load_little_u16(at + 22);
}

std::string
Base64(const std::string& aText)
{
  using namespace boost::archive::iterators;
  using Encoder =
    base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
  std::string result(Encoder(aText.begin()), Encoder(aText.end()));
  result.append((3 - aText.size() % 3) % 3, '=');
  return result;
}

std::uint64_t
Parameter(std::string_view aTarget, std::string_view aName)
{
  std::uint64_t value = 0;
  if (const auto position = aTarget.find(aName);
      position != std::string_view::npos) {
    const auto text = aTarget.substr(position + aName.size());
    std::from_chars(text.data(), text.data() + text.size(), value);
  }
  return value;
}

asio::ip::address_v4
MakeAddress(std::uint8_t aNetwork, std::uint8_t aKind, std::size_t aHost)
{
  const auto host = static_cast<std::uint8_t>(aHost);
  return asio::ip::address_v4({ 127, aNetwork, aKind, host });
}

std::uint64_t
UnixMilliseconds()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

/// Runs an action after a delay.
void
RunAfter(asio::io_context& aContext,
         milliseconds aDelay,
         std::function<void()> aAction)
{
  const auto timer = std::make_shared<asio::steady_timer>(aContext, aDelay);
  timer->async_wait([timer, action = std::move(aAction)](error_code aFailure) {
    if (!aFailure) {
      action();
    }
  });
}

/// Sends a response and closes the connection.
void
Respond(const std::shared_ptr<tcp::socket>& aSocket,
        const std::string& aStatus,
        const std::string& aBody)
{
  const auto text = std::make_shared<std::string>(
    "HTTP/1.1 " + aStatus +
    "\r\nContent-Type: application/json\r\nConnection: close\r\n"
    "Content-Length: " +
    std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
  asio::async_write(*aSocket,
                    asio::buffer(*text),
                    [aSocket, text](error_code /*aFailure*/, std::size_t) {
                      error_code ignored;
                      aSocket->shutdown(tcp::socket::shutdown_both, ignored);
                    });
}

using HttpHandler = std::function<void(const std::shared_ptr<tcp::socket>&,
                                       const std::string& aTarget)>;

/// Serves GET requests, one on each connection.
class HttpListener
{
public:
  HttpListener(asio::io_context& aContext,
               const tcp::endpoint& aEndpoint,
               HttpHandler aHandler)
    : mAcceptor(aContext, aEndpoint)
    , mHandler(std::move(aHandler))
  {
    Accept();
  }

  void Close() { mAcceptor.close(); }

private:
  void Accept()
  {
    mAcceptor.async_accept([this](error_code aFailure, tcp::socket aSocket) {
      if (aFailure) {
        return;
      }
      const auto socket = std::make_shared<tcp::socket>(std::move(aSocket));
      const auto text = std::make_shared<std::string>();
      asio::async_read_until(
        *socket,
        asio::dynamic_buffer(*text),
        "\r\n\r\n",
        [this, socket, text](error_code aError, std::size_t /*aBytes*/) {
          if (!aError) {
            std::istringstream line(*text);
            std::string method;
            std::string target;
            line >> method >> target;
            mHandler(socket, target);
          }
        });
      Accept();
    });
  }

  tcp::acceptor mAcceptor;
  HttpHandler mHandler;
};

/// A UDP socket that passes each datagram to a handler.
class Datagrams
{
public:
  using Handler = std::function<void(const udp::endpoint&, std::string_view)>;

  Datagrams(asio::io_context& aContext,
            const udp::endpoint& aEndpoint,
            Handler aHandler)
    : mSocket(aContext, aEndpoint)
    , mHandler(std::move(aHandler))
  {
    Receive();
  }

  void Send(const udp::endpoint& aTo, const std::string& aBytes)
  {
    error_code ignored;
    mSocket.send_to(asio::buffer(aBytes), aTo, 0, ignored);
  }

private:
  void Receive()
  {
    mSocket.async_receive_from(asio::buffer(mBuffer),
                               mFrom,
                               [this](error_code aFailure, std::size_t aBytes) {
                                 if (aFailure ==
                                     asio::error::operation_aborted) {
                                   return;
                                 }
                                 if (!aFailure) {
                                   mHandler(mFrom, { mBuffer.data(), aBytes });
                                 }
                                 Receive();
                               });
  }

  udp::socket mSocket;
  udp::endpoint mFrom;
  std::array<char, 2048> mBuffer{};
  Handler mHandler;
};

/// The platform's store. Each instance has an address of its own, so that some
/// can be turned away while the others are served.
class Store
{
public:
  explicit Store(asio::io_context& aContext)
    : mContext(aContext)
  {
  }

  void Listen(const std::string& aInstance, const tcp::endpoint& aEndpoint)
  {
    mListeners.push_back(std::make_unique<HttpListener>(
      mContext,
      aEndpoint,
      [this, aInstance](const auto& aSocket, const auto& aTarget) {
        Handle(aInstance, aSocket, aTarget);
      }));
  }

  void Put(const std::string& aKey, const std::string& aValue)
  {
    auto& item = mItems[aKey];
    item.mRevision = ++mRevision;
    item.mCreated = item.mCreated == 0 ? mRevision : item.mCreated;
    item.mValue = aValue;
    mEvents.push_back({ mRevision, "{" + Describe(aKey, item) + "}" });
    AnswerWaiting();
  }

  void Delete(const std::string& aKey)
  {
    mItems.erase(aKey);
    ++mRevision;
    mEvents.push_back({ mRevision,
                        R"({"key":")" + aKey + R"(","revision":)" +
                          std::to_string(mRevision) + R"(,"deleted":true})" });
    AnswerWaiting();
  }

  /// Instances whose calls get no response.
  std::set<std::string> mTurnedAway;
  /// Called when a watch without changes was answered.
  std::function<void(const std::string& aInstance)> mOnQuietWatch;

private:
  struct Item
  {
    std::string mValue;
    std::uint64_t mRevision = 0;
    std::uint64_t mCreated = 0;
  };

  struct Event
  {
    std::uint64_t mRevision = 0;
    std::string mText;
  };

  struct Watch
  {
    std::string mInstance;
    std::shared_ptr<tcp::socket> mSocket;
    std::uint64_t mAfter = 0;
    Clock::time_point mEnd;
  };

  static std::string Describe(const std::string& aKey, const Item& aItem)
  {
    return R"("key":")" + aKey + R"(","value":")" + Base64(aItem.mValue) +
           R"(","revision":)" + std::to_string(aItem.mRevision) +
           R"(,"created":)" + std::to_string(aItem.mCreated) + R"(,"lease":0)";
  }

  void Handle(const std::string& aInstance,
              const std::shared_ptr<tcp::socket>& aSocket,
              const std::string& aTarget)
  {
    if (mTurnedAway.contains(aInstance)) {
      mUnanswered.push_back(aSocket);
      return;
    }
    if (aTarget.starts_with("/-/kv-range")) {
      std::string items;
      for (const auto& [key, item] : mItems) {
        items += (items.empty() ? "{" : ",{") + Describe(key, item) + "}";
      }
      Respond(aSocket,
              "200 OK",
              R"({"items":[)" + items + R"(],"has_more":false,"as_of":)" +
                std::to_string(mRevision) + "}");
      return;
    }
    mWatches.push_back(
      { aInstance,
        aSocket,
        Parameter(aTarget, "&after="),
        Clock::now() + milliseconds(Parameter(aTarget, "&wait_ms=")) });
    const auto& watch = mWatches.back();
    if (mRevision > watch.mAfter) {
      AnswerWaiting();
      return;
    }
    RunAfter(
      mContext,
      std::chrono::duration_cast<milliseconds>(watch.mEnd - Clock::now()) +
        milliseconds(1),
      [this] { AnswerWaiting(); });
  }

  /// Answers the watches that have changes or whose time is over.
  void AnswerWaiting()
  {
    auto watches = std::exchange(mWatches, {});
    for (auto& watch : watches) {
      if (mTurnedAway.contains(watch.mInstance)) {
        mUnanswered.push_back(watch.mSocket);
        continue;
      }
      std::string events;
      for (const auto& event : mEvents) {
        if (event.mRevision > watch.mAfter) {
          events += (events.empty() ? "" : ",") + event.mText;
        }
      }
      if (events.empty() && Clock::now() < watch.mEnd) {
        mWatches.push_back(std::move(watch));
        continue;
      }
      Respond(watch.mSocket,
              "200 OK",
              R"({"events":[)" + events + R"(],"as_of":)" +
                std::to_string(mRevision) + "}");
      if (events.empty() && mOnQuietWatch) {
        const auto handler = mOnQuietWatch;
        handler(watch.mInstance);
      }
    }
  }

  asio::io_context& mContext;
  std::vector<std::unique_ptr<HttpListener>> mListeners;
  std::uint64_t mRevision = 100;
  std::map<std::string, Item> mItems;
  std::deque<Event> mEvents;
  std::deque<Watch> mWatches;
  std::vector<std::shared_ptr<tcp::socket>> mUnanswered;
};

/// An instance of the system, as the routers and the checks know it.
struct Instance
{
  std::string mName;
  std::string mZone;
  asio::ip::address_v4 mAddress;
  pid_t mProcess = 0;
  /// Whether the routers send to it, and readiness checks missed in a row.
  bool mInRotation = false;
  int mMisses = 0;
  bool mIsStopped = false;
  /// When its last disruption ended.
  Clock::time_point mCalmSince;
};

/// A flow is named by the ports of the client and its address.
using FlowName = std::pair<std::uint32_t, std::uint16_t>;

/// What the record says of one request.
struct Request
{
  std::string mId;
  std::string mService;
  std::string mZone;
  Clock::time_point mSent;
  std::string mOutcome = "unanswered";
  std::string mRunAt;
  std::string mVia;
  long mAfterDrain = -1;
};

class Deployment
{
public:
  Deployment(std::uint8_t aNetwork,
             std::string aFolder,
             const std::string& aScenario,
             const std::string& aRecord);

  /// Runs the scenario; returns the exit status.
  int Run();

private:
  struct Target
  {
    std::string mId;
    std::string mService;
    std::string mZone;
    asio::ip::address_v4 mAddress;
    std::uint64_t mLabel = 0;
    std::uint64_t mBorn = 0;
    bool mDraining = false;
    bool mExited = false;
    Clock::time_point mDrainAcknowledged;
    std::unique_ptr<Datagrams> mSocket;
    std::unique_ptr<HttpListener> mHealth;
    struct Flow
    {
      std::uint32_t mSequence = 0;
      std::uint32_t mExpected = 0;
      std::uint32_t mEcho = 0;
      std::uint32_t mRoute = 0;
      bool mIsOpen = false;
      bool mHasRun = false;
      bool mIsAcknowledged = false;
      Clock::time_point mOpeningArrived;
      std::string mVia;
    };
    std::map<FlowName, Flow> mFlows;
  };

  struct ClientFlow
  {
    FlowName mName;
    std::uint32_t mRoute = kDeskRoute;
    std::size_t mRequest = 0;
    std::uint32_t mSequence = 0;
    std::uint32_t mExpected = 0;
    std::uint32_t mEcho = 0;
    bool mIsOpen = false;
    bool mHasEnded = false;
    bool mIsAcknowledged = false;
    std::string mData;
  };

  struct Zone
  {
    std::string mName;
    std::unique_ptr<Datagrams> mClients;
    asio::ip::address_v4 mAddress;
    std::uint16_t mNextPort = 20000;
    std::map<FlowName, std::shared_ptr<ClientFlow>> mFlows;
  };

  struct Action
  {
    milliseconds mAt{ 0 };
    std::string mKind;
    std::vector<std::string> mArguments;
  };

  void AddTarget(std::size_t aNumber,
                 const std::string& aService,
                 const std::string& aZone);
  void Publish(const Target& aTarget);
  /// Writes an entry under the id of a target, as another writer does: it lacks
  /// `born` and names the other service.
  void PublishForeign(const Target& aTarget);
  void PublishConfiguration();
  void OnTargetPacket(Target& aTarget,
                      const udp::endpoint& aFrom,
                      std::string_view aBytes);
  void RunRequest(Target& aTarget,
                  const FlowName& aName,
                  const Packet& aPacket);
  void SendFromTarget(Target& aTarget, const FlowName& aName, Packet aPacket);
  void SendAnswer(Target& aTarget, const FlowName& aName, int aRetransmission);

  void StartRequest(Zone& aZone, const std::string& aService);
  void SendFromClient(Zone& aZone, const ClientFlow& aFlow, Packet aPacket);
  void SendData(Zone& aZone,
                const std::shared_ptr<ClientFlow>& aFlow,
                int aRetransmission);
  void OnClientPacket(Zone& aZone, std::string_view aBytes);
  void End(Zone& aZone, ClientFlow& aFlow, const std::string& aOutcome);

  void CheckReadiness(Instance& aInstance);
  void OnReadiness(Instance& aInstance, bool aIsReady);
  void WaitForInstances();
  void StartPhase();
  void Execute(const Action& aAction);
  bool IsCalm(const Instance& aInstance) const;
  Instance* FindInstance(const std::string& aName);
  long MillisecondsOf(Clock::time_point aTime) const;
  void Log(const std::string& aText);
  void Traffic();
  int Finish();

  asio::io_context mContext;
  std::uint8_t mNetwork;
  std::string mFolder;
  std::ofstream mRecord;
  std::mt19937 mRandom{ 7 };
  Store mStore;
  std::vector<std::unique_ptr<Target>> mTargets;
  std::vector<std::unique_ptr<Zone>> mZones;
  std::vector<std::unique_ptr<Instance>> mInstances;
  /// Actions by phase. A phase begins when the store has answered a watch
  /// without changes, the first time after the action "next" of the one before.
  std::vector<std::vector<Action>> mPhases{ {} };
  std::size_t mPhase = 0;
  std::vector<Request> mRequests;
  bool mHasStarted = false;
  Clock::time_point mZero = Clock::now();
  long mViolations = 0;
  std::uint64_t mTrafficRounds = 0;
};

Deployment::Deployment(std::uint8_t aNetwork,
                       std::string aFolder,
                       const std::string& aScenario,
                       const std::string& aRecord)
  : mNetwork(aNetwork)
  , mFolder(std::move(aFolder))
  , mRecord(aRecord)
  , mStore(mContext)
{
  std::ifstream scenario(aScenario);
  for (std::string line; std::getline(scenario, line);) {
    std::istringstream words(line);
    long at = 0;
    Action action;
    if (!(words >> at >> action.mKind)) {
      continue;
    }
    action.mAt = milliseconds(at);
    for (std::string word; words >> word;) {
      action.mArguments.push_back(word);
    }
    mPhases.back().push_back(action);
    if (action.mKind == "next") {
      mPhases.emplace_back();
    }
  }
  std::size_t number = 0;
  for (const auto* name : { "a", "b", "c", "d" }) {
    auto zone = std::make_unique<Zone>();
    zone->mName = name;
    zone->mAddress = MakeAddress(mNetwork, 3, mZones.size() + 1);
    zone->mClients = std::make_unique<Datagrams>(
      mContext,
      udp::endpoint(zone->mAddress, kTrafficPort),
      [this, at = zone.get()](const auto& /*aFrom*/, auto aBytes) {
        OnClientPacket(*at, aBytes);
      });
    mZones.push_back(std::move(zone));
    for (int instance = 1; instance <= 2; ++instance) {
      mStore.Listen(name + std::to_string(instance),
                    { MakeAddress(mNetwork, 5, ++number), kStorePort });
      AddTarget(number, "desk", name);
    }
  }
  for (const auto& zone : mZones) {
    AddTarget(++number, "intake", zone->mName);
  }
  PublishConfiguration();
}

void
Deployment::Log(const std::string& aText)
{
  mRecord << MillisecondsOf(Clock::now()) << " ms: " << aText << '\n';
}

long
Deployment::MillisecondsOf(Clock::time_point aTime) const
{
  return static_cast<long>(
    std::chrono::duration_cast<milliseconds>(aTime - mZero).count());
}

void
Deployment::PublishConfiguration()
{
  mStore.Put("op/config",
             R"({"version":7,"routes":[{"name":"r-1","host":"198.18.0.1",)"
             R"("prefix":"/8443/","type":"non_idempotent","timeout_ms":1200,)"
             R"("aim_ms":120,"priority":1,"backend":"desk","attempts":2},)"
             R"({"name":"r-2","host":"198.18.0.2",)"
             R"("prefix":"/8443/","type":"non_idempotent","timeout_ms":1200,)"
             R"("aim_ms":120,"priority":1,"backend":"intake","attempts":2}],)"
             R"("backends":[{"name":"desk","health_check_path":"/health",)"
             R"("max_connections":2000,"protocol":"h1","tls":false},)"
             R"({"name":"intake","health_check_path":"/health",)"
             R"("max_connections":2000,"protocol":"h1","tls":false}],)"
             R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
             R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})");
}

void
Deployment::AddTarget(std::size_t aNumber,
                      const std::string& aService,
                      const std::string& aZone)
{
  auto target = std::make_unique<Target>();
  std::array<char, 16> label{};
  constexpr std::uint64_t kFirstLabel = 0x7f3a9100;
  target->mLabel = kFirstLabel + aNumber;
  std::snprintf(label.data(),
                label.size(),
                "%08llx",
                static_cast<unsigned long long>(target->mLabel));
  target->mId = std::string("i-") + label.data();
  target->mService = aService;
  target->mZone = aZone;
  target->mBorn = UnixMilliseconds();
  target->mAddress = MakeAddress(mNetwork, 4, aNumber);
  target->mSocket = std::make_unique<Datagrams>(
    mContext,
    udp::endpoint(target->mAddress, kTargetPort),
    [this, at = target.get()](const auto& aFrom, auto aBytes) {
      OnTargetPacket(*at, aFrom, aBytes);
    });
  target->mHealth = std::make_unique<HttpListener>(
    mContext,
    tcp::endpoint(target->mAddress, kTargetPort),
    [at = target.get()](const auto& aSocket, const auto& /*aTarget*/) {
      Respond(
        aSocket, at->mDraining ? "503 Service Unavailable" : "200 OK", "");
    });
  Publish(*target);
  mTargets.push_back(std::move(target));
}

void
Deployment::Publish(const Target& aTarget)
{
  mStore.Put("servers/" + aTarget.mId,
             R"({"backend":")" + aTarget.mService + R"(","address":")" +
               aTarget.mAddress.to_string() + ":" +
               std::to_string(kTargetPort) + R"(","zone":")" + aTarget.mZone +
               R"(","version":"v1","concurrency":2,"state":")" +
               (aTarget.mDraining ? "draining" : "ready") +
               R"(","warmup_left_ms":0,"seq":4,"born":)" +
               std::to_string(aTarget.mBorn) + "}");
}

void
Deployment::PublishForeign(const Target& aTarget)
{
  mStore.Put("servers/" + aTarget.mId,
             R"({"backend":"intake","address":")" +
               aTarget.mAddress.to_string() + ":" +
               std::to_string(kTargetPort) + R"(","zone":")" + aTarget.mZone +
               R"(","version":"v1","concurrency":2,"state":"ready",)"
               R"("warmup_left_ms":0,"seq":4})");
}

void
Deployment::SendFromTarget(Target& aTarget,
                           const FlowName& aName,
                           Packet aPacket)
{
  if (const auto found = aTarget.mFlows.find(aName);
      found != aTarget.mFlows.end()) {
    aPacket.mSource = found->second.mRoute;
  }
  aPacket.mSourcePort = kRoutePort;
  aPacket.mDestination = aName.first;
  aPacket.mDestinationPort = aName.second;
  aPacket.mSum = 1;
  aTarget.mSocket->Send({ asio::ip::address_v4(aName.first), kTrafficPort },
                        Encode(aPacket));
}

void
Deployment::OnTargetPacket(Target& aTarget,
                           const udp::endpoint& aFrom,
                           std::string_view aBytes)
{
  Packet packet;
  if (aTarget.mExited || aBytes.size() < kLabelBytes ||
      !Decode(aBytes.substr(kLabelBytes), packet)) {
    return;
  }
  const auto label =
    endian::load_big_u64(reinterpret_cast<const unsigned char*>(aBytes.data()));
  if (label != 0 && label != aTarget.mLabel) {
    return;
  }
  const FlowName name{ packet.mSource, packet.mSourcePort };
  if (packet.mFlags == kSyn) {
    const auto [found, isNew] = aTarget.mFlows.try_emplace(name);
    auto& flow = found->second;
    if (isNew) {
      flow.mSequence = static_cast<std::uint32_t>(mRandom());
      flow.mExpected = packet.mSequence + 1;
      flow.mRoute = packet.mDestination;
      flow.mOpeningArrived = Clock::now();
      flow.mVia = aFrom.address().to_string();
    }
    flow.mEcho = packet.mEcho;
    if (!flow.mIsOpen) {
      SendFromTarget(
        aTarget,
        name,
        { flow.mSequence, flow.mExpected, kSyn | kAck, flow.mEcho });
    }
    return;
  }
  const auto found = aTarget.mFlows.find(name);
  if (found == aTarget.mFlows.end()) {
    if ((packet.mFlags & (kRst | kFin)) == 0) {
      Packet reset{ packet.mAcknowledged, 0, kRst, packet.mEcho };
      reset.mSource = packet.mDestination;
      SendFromTarget(aTarget, name, std::move(reset));
    }
    return;
  }
  auto& flow = found->second;
  flow.mEcho = packet.mEcho;
  if ((packet.mFlags & kRst) != 0) {
    aTarget.mFlows.erase(found);
    return;
  }
  if (!flow.mIsOpen && packet.mAcknowledged != flow.mSequence + 1) {
    return; // It opens the flow at another target.
  }
  flow.mIsOpen = true;
  if (flow.mHasRun && packet.mAcknowledged != flow.mSequence + 1) {
    flow.mIsAcknowledged = true;
  }
  if ((packet.mFlags & kFin) != 0) {
    aTarget.mFlows.erase(found);
    return;
  }
  if (packet.mData.empty()) {
    return;
  }
  if (packet.mSequence == flow.mExpected) {
    flow.mExpected += static_cast<std::uint32_t>(packet.mData.size());
  }
  SendFromTarget(
    aTarget, name, { flow.mSequence + 1, flow.mExpected, kAck, flow.mEcho });
  if (!std::exchange(flow.mHasRun, true)) {
    RunRequest(aTarget, name, packet);
  }
}

void
Deployment::RunRequest(Target& aTarget,
                       const FlowName& aName,
                       const Packet& aPacket)
{
  constexpr milliseconds kWork{ 17 };
  const auto& flow = aTarget.mFlows[aName];
  std::size_t number = 0;
  const std::string_view data(aPacket.mData);
  if (const auto at = data.find("Request-Id: "); at != std::string_view::npos) {
    const auto text = data.substr(at + 12);
    std::from_chars(text.data(), text.data() + text.size(), number);
  }
  auto& request = mRequests.at(number);
  request.mRunAt += (request.mRunAt.empty() ? "" : "+") + aTarget.mId;
  const auto via = std::ranges::find_if(mInstances, [&](const auto& aItem) {
    return aItem->mAddress.to_string() == flow.mVia;
  });
  request.mVia = via == mInstances.end() ? flow.mVia : (*via)->mName;
  if (request.mService != aTarget.mService) {
    ++mViolations;
    Log("ROUTE: request " + request.mId + " of the route to " +
        request.mService + " is run by " + aTarget.mId + " of " +
        aTarget.mService + ", through " + request.mVia);
  }
  if (aTarget.mDraining) {
    const auto after = std::chrono::duration_cast<milliseconds>(
      flow.mOpeningArrived - aTarget.mDrainAcknowledged);
    request.mAfterDrain = static_cast<long>(after.count());
    if (after > kDrainTimeout && via != mInstances.end() && IsCalm(**via) &&
        request.mSent - aTarget.mDrainAcknowledged > kDrainTimeout) {
      ++mViolations;
      Log("DRAIN: request " + request.mId + " reached " + aTarget.mId + " " +
          std::to_string(after.count()) +
          " ms after the acknowledgement that it drains, through " +
          request.mVia + ", which is in touch");
    }
  }
  RunAfter(mContext, kWork, [this, &aTarget, aName] {
    SendAnswer(aTarget, aName, 0);
  });
}

void
Deployment::SendAnswer(Target& aTarget,
                       const FlowName& aName,
                       int aRetransmission)
{
  const auto found = aTarget.mFlows.find(aName);
  if (aTarget.mExited || found == aTarget.mFlows.end() ||
      found->second.mIsAcknowledged || aRetransmission > kMaxRetransmissions) {
    return;
  }
  const auto& flow = found->second;
  const auto fin = aTarget.mDraining ? kFin : std::uint8_t{ 0 };
  SendFromTarget(aTarget,
                 aName,
                 { flow.mSequence + 1,
                   flow.mExpected,
                   static_cast<std::uint8_t>(kAck | fin),
                   flow.mEcho,
                   0,
                   0,
                   0,
                   0,
                   0,
                   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" });
  RunAfter(
    mContext,
    std::min(kRetransmitDelay * (1 << aRetransmission), kMaxRetransmitDelay),
    [this, &aTarget, aName, aRetransmission] {
      SendAnswer(aTarget, aName, aRetransmission + 1);
    });
}

void
Deployment::StartRequest(Zone& aZone, const std::string& aService)
{
  auto flow = std::make_shared<ClientFlow>();
  flow->mName = { aZone.mAddress.to_uint(), aZone.mNextPort++ };
  flow->mRoute = aService == "desk" ? kDeskRoute : kIntakeRoute;
  flow->mRequest = mRequests.size();
  flow->mSequence = static_cast<std::uint32_t>(mRandom());
  Request request;
  request.mId = std::to_string(mRequests.size());
  request.mService = aService;
  request.mZone = aZone.mName;
  request.mSent = Clock::now();
  flow->mData = "POST /confirm HTTP/1.1\r\nRequest-Id: " + request.mId +
                "\r\nContent-Length: 0\r\n\r\n";
  mRequests.push_back(std::move(request));
  aZone.mFlows[flow->mName] = flow;
  SendFromClient(aZone, *flow, { flow->mSequence, 0, kSyn });
  std::uint32_t copies = 0;
  for (const auto delay : { kFirstCopy, kSecondCopy }) {
    RunAfter(mContext, delay, [this, &aZone, flow, number = ++copies] {
      if (!flow->mIsOpen && !flow->mHasEnded) {
        SendFromClient(aZone, *flow, { flow->mSequence, number, kSyn });
      }
    });
  }
  RunAfter(mContext, kOpenTimeout, [this, &aZone, flow] {
    if (!flow->mIsOpen) {
      End(aZone, *flow, "not opened");
    }
  });
  RunAfter(mContext, kRequestDeadline, [this, &aZone, flow] {
    if (flow->mIsOpen) {
      End(aZone, *flow, "unanswered at the deadline");
    }
  });
}

void
Deployment::End(Zone& aZone, ClientFlow& aFlow, const std::string& aOutcome)
{
  if (!std::exchange(aFlow.mHasEnded, true)) {
    mRequests[aFlow.mRequest].mOutcome = aOutcome;
    aZone.mFlows.erase(aFlow.mName);
  }
}

void
Deployment::SendFromClient(Zone& aZone, const ClientFlow& aFlow, Packet aPacket)
{
  aPacket.mSource = aFlow.mName.first;
  aPacket.mSourcePort = aFlow.mName.second;
  aPacket.mDestination = aFlow.mRoute;
  aPacket.mDestinationPort = kRoutePort;
  aPacket.mSum = 1;
  std::vector<const Instance*> receivers;
  for (const auto& instance : mInstances) {
    if (instance->mZone == aZone.mName && instance->mInRotation) {
      receivers.push_back(instance.get());
    }
  }
  if (receivers.empty()) {
    return;
  }
  const auto hash =
    std::hash<std::string>{}(std::to_string(aFlow.mName.first) + ":" +
                             std::to_string(aFlow.mName.second));
  const auto* receiver = receivers[hash % receivers.size()];
  aZone.mClients->Send({ receiver->mAddress, kTrafficPort }, Encode(aPacket));
}

void
Deployment::SendData(Zone& aZone,
                     const std::shared_ptr<ClientFlow>& aFlow,
                     int aRetransmission)
{
  if (aFlow->mHasEnded || aFlow->mIsAcknowledged) {
    return;
  }
  SendFromClient(aZone,
                 *aFlow,
                 { aFlow->mSequence,
                   aFlow->mExpected,
                   kAck,
                   aFlow->mEcho,
                   0,
                   0,
                   0,
                   0,
                   0,
                   aFlow->mData });
  RunAfter(
    mContext,
    std::min(kRetransmitDelay * (1 << aRetransmission), kMaxRetransmitDelay),
    [this, &aZone, aFlow, aRetransmission] {
      SendData(aZone, aFlow, aRetransmission + 1);
    });
}

void
Deployment::OnClientPacket(Zone& aZone, std::string_view aBytes)
{
  Packet packet;
  if (!Decode(aBytes, packet)) {
    return;
  }
  const auto found =
    aZone.mFlows.find({ packet.mDestination, packet.mDestinationPort });
  if (found == aZone.mFlows.end()) {
    return;
  }
  const auto flow = found->second;
  if ((packet.mFlags & kRst) != 0) {
    constexpr std::uint32_t kWindow = 76800;
    const auto ahead = packet.mSequence - flow->mExpected;
    if (!flow->mIsOpen) {
      End(aZone, *flow, "reset before it opened");
    } else if (ahead < kWindow || -ahead < kWindow) {
      End(aZone, *flow, "reset");
    }
    return;
  }
  if (packet.mFlags == (kSyn | kAck)) {
    if (!flow->mIsOpen) {
      flow->mIsOpen = true;
      flow->mEcho = packet.mEcho;
      flow->mSequence = packet.mAcknowledged;
      flow->mExpected = packet.mSequence + 1;
      SendData(aZone, flow, 0);
    }
    return;
  }
  if (!flow->mIsOpen) {
    return;
  }
  flow->mEcho = packet.mEcho;
  if (packet.mAcknowledged == flow->mSequence + flow->mData.size()) {
    flow->mIsAcknowledged = true;
  }
  if (!packet.mData.empty() && packet.mSequence == flow->mExpected) {
    flow->mExpected += static_cast<std::uint32_t>(packet.mData.size());
    SendFromClient(
      aZone,
      *flow,
      { flow->mSequence + static_cast<std::uint32_t>(flow->mData.size()),
        flow->mExpected,
        static_cast<std::uint8_t>(kAck | kFin),
        flow->mEcho });
    End(aZone, *flow, "answered");
  }
}

bool
Deployment::IsCalm(const Instance& aInstance) const
{
  return !aInstance.mIsStopped &&
         !mStore.mTurnedAway.contains(aInstance.mName) &&
         Clock::now() - aInstance.mCalmSince > kStableWindow;
}

Instance*
Deployment::FindInstance(const std::string& aName)
{
  for (const auto& instance : mInstances) {
    if (instance->mName == aName) {
      return instance.get();
    }
  }
  return nullptr;
}

void
Deployment::OnReadiness(Instance& aInstance, bool aIsReady)
{
  aInstance.mMisses = aIsReady ? 0 : aInstance.mMisses + 1;
  const bool isIn =
    aIsReady || (aInstance.mInRotation && aInstance.mMisses < kMissesUntilOut);
  if (std::exchange(aInstance.mInRotation, isIn) != isIn) {
    Log(aInstance.mName + (isIn ? " is in rotation" : " is out of rotation"));
  }
}

/// Checks an instance's readiness, now and at each interval.
void
Deployment::CheckReadiness(Instance& aInstance)
{
  struct Check
  {
    explicit Check(asio::io_context& aContext)
      : mSocket(aContext)
    {
    }
    tcp::socket mSocket;
    std::string mText;
    bool mIsOver = false;
  };
  const auto check = std::make_shared<Check>(mContext);
  const auto finish = [this, check, &aInstance](bool aIsReady) {
    if (!std::exchange(check->mIsOver, true)) {
      OnReadiness(aInstance, aIsReady);
      error_code ignored;
      check->mSocket.close(ignored);
    }
  };
  check->mSocket.async_connect(
    { aInstance.mAddress, kReadinessPort },
    [check, finish](error_code aFailure) {
      if (aFailure) {
        finish(false);
        return;
      }
      static const std::string kRequest =
        "GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
      asio::async_write(
        check->mSocket,
        asio::buffer(kRequest),
        [check, finish](error_code /*aFailure*/, std::size_t /*aBytes*/) {
          asio::async_read_until(
            check->mSocket,
            asio::dynamic_buffer(check->mText),
            "\r\n",
            [check, finish](error_code aError, std::size_t /*aBytes*/) {
              finish(!aError && check->mText.starts_with("HTTP/1.1 200"));
            });
        });
    });
  RunAfter(mContext, kReadinessInterval, [this, finish, &aInstance] {
    finish(false);
    CheckReadiness(aInstance);
  });
}

void
Deployment::WaitForInstances()
{
  constexpr std::size_t kInstances = 8;
  constexpr milliseconds kPoll{ 100 };
  constexpr milliseconds kSettleTime{ 6000 };
  if (mInstances.empty()) {
    std::ifstream file(mFolder + "/instances.txt");
    std::string address;
    for (Instance read;
         file >> read.mName >> read.mZone >> address >> read.mProcess;) {
      read.mAddress = asio::ip::make_address_v4(address);
      read.mCalmSince = Clock::now();
      mInstances.push_back(std::make_unique<Instance>(read));
    }
    for (const auto& instance : mInstances) {
      CheckReadiness(*instance);
    }
  }
  const auto ready = std::ranges::count_if(
    mInstances, [](const auto& aItem) { return aItem->mInRotation; });
  if (static_cast<std::size_t>(ready) == kInstances) {
    Traffic();
    RunAfter(mContext, kSettleTime, [this] { StartPhase(); });
    return;
  }
  RunAfter(mContext, kPoll, [this] { WaitForInstances(); });
}

/// Starts the next phase when the store has next answered a watch without
/// changes.
void
Deployment::StartPhase()
{
  mStore.mOnQuietWatch = [this](const std::string& aInstance) {
    mStore.mOnQuietWatch = nullptr;
    mHasStarted = true;
    mZero = Clock::now();
    Log("phase " + std::to_string(mPhase + 1) + "; " + aInstance +
        " watches the store");
    for (const auto& action : mPhases[mPhase++]) {
      RunAfter(mContext, action.mAt, [this, &action] { Execute(action); });
    }
  };
}

void
Deployment::Execute(const Action& aAction)
{
  std::string text = aAction.mKind;
  for (const auto& argument : aAction.mArguments) {
    text += " " + argument;
  }
  Log(text);
  if (aAction.mKind == "next") {
    StartPhase();
  } else if (aAction.mKind == "end") {
    mContext.stop();
  }
  for (const auto& argument : aAction.mArguments) {
    auto* instance = FindInstance(argument);
    if (aAction.mKind == "turn-away") {
      mStore.mTurnedAway.insert(argument);
    } else if (aAction.mKind == "serve") {
      mStore.mTurnedAway.erase(argument);
      instance->mCalmSince = Clock::now();
    } else if (aAction.mKind == "freeze") {
      instance->mIsStopped = true;
      kill(instance->mProcess, SIGSTOP);
    } else if (aAction.mKind == "wake") {
      instance->mIsStopped = false;
      instance->mCalmSince = Clock::now();
      kill(instance->mProcess, SIGCONT);
    } else {
      auto& target = *mTargets.at(std::stoul(argument) - 1);
      if (aAction.mKind == "foreign") {
        PublishForeign(target);
      } else if (aAction.mKind == "beat") {
        Publish(target);
      } else if (aAction.mKind == "drain") {
        target.mDraining = true;
        Publish(target);
        target.mDrainAcknowledged = Clock::now();
        Log("the store acknowledged that " + target.mId + " drains");
      } else if (aAction.mKind == "exit") {
        target.mExited = true;
        target.mHealth->Close();
        mStore.Delete("servers/" + target.mId);
      }
    }
  }
}

/// Starts the requests of all zones, evenly spaced.
void
Deployment::Traffic()
{
  constexpr milliseconds kInterval{ 30 };
  // One request in four is of the service "intake".
  const bool isIntake = ++mTrafficRounds % 4 == 0;
  for (const auto& zone : mZones) {
    StartRequest(*zone, isIntake ? "intake" : "desk");
  }
  RunAfter(mContext, kInterval, [this] { Traffic(); });
}

int
Deployment::Run()
{
  constexpr milliseconds kMaxDuration{ 60000 };
  RunAfter(mContext, kMaxDuration, [this] { mContext.stop(); });
  WaitForInstances();
  mContext.run();
  return Finish();
}

int
Deployment::Finish()
{
  std::map<std::string, long> outcomes;
  long lost = 0;
  for (const auto& request : mRequests) {
    if (mZero - request.mSent > std::chrono::seconds(1)) {
      continue;
    }
    mRecord << "request " << request.mId << " to " << request.mService
            << " of zone " << request.mZone << " sent at "
            << MillisecondsOf(request.mSent) << " ms: " << request.mOutcome
            << "; run at " << (request.mRunAt.empty() ? "none" : request.mRunAt)
            << " through " << (request.mVia.empty() ? "none" : request.mVia);
    if (request.mAfterDrain >= 0) {
      mRecord << ", " << request.mAfterDrain
              << " ms after the acknowledgement of its drain";
    }
    mRecord << '\n';
    ++outcomes[request.mOutcome];
    lost += request.mAfterDrain >= 0 && request.mOutcome != "answered" ? 1 : 0;
  }
  std::ostringstream summary;
  for (const auto& [outcome, count] : outcomes) {
    summary << outcome << " " << count << ", ";
  }
  summary << "started at the draining target and never answered " << lost
          << "; rule broken: " << mViolations;
  mRecord << summary.str() << '\n';
  std::cout << summary.str() << '\n';
  constexpr long kMinAnswered = 200;
  if (!mHasStarted || outcomes["answered"] < kMinAnswered) {
    return 2;
  }
  return mViolations > 0 ? 1 : 0;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  constexpr int kExitInvalid = 2;
  constexpr int kArguments = 5;
  if (aArgc != kArguments) {
    std::cerr << "usage: deployment NETWORK FOLDER SCENARIO RECORD\n";
    return kExitInvalid;
  }
  try {
    Deployment deployment(static_cast<std::uint8_t>(std::stoi(aArgv[1])),
                          aArgv[2],
                          aArgv[3],
                          aArgv[4]);
    return deployment.Run();
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << '\n';
    return kExitInvalid;
  }
}
