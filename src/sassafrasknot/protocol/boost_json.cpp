// Compiles Boost.JSON, which is used as a header-only library, into this
// module.
#include <boost/json/src.hpp>
