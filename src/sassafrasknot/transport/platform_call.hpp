#ifndef SASSAFRASKNOT_TRANSPORT_PLATFORM_CALL_HPP
#define SASSAFRASKNOT_TRANSPORT_PLATFORM_CALL_HPP

#include "sassafrasknot/transport/platform_client.hpp"

#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace sassafrasknot::transport {

/// @brief One HTTP request to one endpoint. Keeps itself alive until its
/// handler was called.
class PlatformCall : public std::enable_shared_from_this<PlatformCall>
{
public:
  PlatformCall(const boost::asio::any_io_executor& aExecutor,
               const PlatformClientSettings& aSettings,
               const state::Endpoint& aEndpoint,
               const std::string& aTarget,
               std::chrono::milliseconds aAnswerTimeout,
               PlatformClient::Handler aHandler);

  void Start();
  /// @brief Ends the call with Unavailable unless it has ended.
  void Cancel();

private:
  void OnConnected(boost::system::error_code aError);
  void OnWritten(boost::system::error_code aError);
  void OnRead(boost::system::error_code aError);
  void Finish(state::Result<protocol::PlatformAnswer> aResult);
  void Fail(boost::system::error_code aError, const char* aAction);
  state::Error MakeError(state::ErrorCode aCode,
                         const std::string& aMessage) const;

  boost::beast::tcp_stream mStream;
  state::Endpoint mEndpoint;
  std::chrono::milliseconds mConnectTimeout;
  std::chrono::milliseconds mAnswerTimeout;
  PlatformClient::Handler mHandler;
  boost::beast::http::request<boost::beast::http::empty_body> mRequest;
  boost::beast::http::response_parser<boost::beast::http::string_body> mParser;
  boost::beast::flat_buffer mBuffer;
};

} // namespace sassafrasknot::transport

#endif
