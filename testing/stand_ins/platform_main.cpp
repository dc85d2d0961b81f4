#include <exception>
#include <iostream>
#include <memory>
#include <type_traits>

#include "platform_server.hpp"
#include <boost/asio/signal_set.hpp>
#include <popt.h>

namespace {

constexpr const char* kName = "sassafrasknot-test-platform";

// Runs the server until SIGTERM or SIGINT; returns the exit status.
int
Serve(const char* aListen,
      const char* aFolder,
      double aStaleSeconds,
      long long aRevision)
{
  const auto listen =
    stand_ins::state::ParseEndpoint(aListen == nullptr ? "" : aListen);
  if (!listen || aFolder == nullptr || aStaleSeconds < 0 || aRevision < 0) {
    std::cerr << kName
              << ": requires --listen IP:PORT and --documents DIR; --stale and "
                 "--revision must not be negative\n";
    return 2;
  }
  boost::asio::io_context context;
  stand_ins::PlatformServer server(
    context,
    listen.value(),
    aFolder,
    static_cast<stand_ins::state::Revision>(aRevision));
  stand_ins::PlatformControl control;
  control.mStaleness =
    std::chrono::milliseconds(static_cast<std::int64_t>(aStaleSeconds * 1000));
  server.SetControl(control);
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](const auto&, int) { context.stop(); });
  context.run();
  return 0;
}

} // namespace

int
main(int aArgc, const char** aArgv)
{
  const char* listen = nullptr;
  const char* folder = nullptr;
  double stale = 0;
  long long revision = 0;
  const poptOption options[] = {
    { "listen",
      '\0',
      POPT_ARG_STRING,
      &listen,
      0,
      "TCP address of the server",
      "IP:PORT" },
    { "documents",
      '\0',
      POPT_ARG_STRING,
      &folder,
      0,
      "folder of the documents",
      "DIR" },
    { "stale",
      '\0',
      POPT_ARG_DOUBLE,
      &stale,
      0,
      "serve the documents as they were this long ago",
      "SECONDS" },
    { "revision",
      '\0',
      POPT_ARG_LONGLONG,
      &revision,
      0,
      "revision before that of the first documents",
      "N" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  const std::unique_ptr<std::remove_pointer_t<poptContext>,
                        poptContext (*)(poptContext)>
    context(poptGetContext(kName, aArgc, aArgv, options, 0), poptFreeContext);
  if (const int code = poptGetNextOpt(context.get()); code < -1) {
    std::cerr << kName << ": " << poptBadOption(context.get(), 0) << ": "
              << poptStrerror(code) << '\n';
    return 2;
  }
  try {
    return Serve(listen, folder, stale, revision);
  } catch (const std::exception& error) {
    std::cerr << kName << ": " << error.what() << '\n';
    return 1;
  }
}
