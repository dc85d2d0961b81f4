// Compiles Boost.JSON into this module, its header-only form.
#include <boost/json/src.hpp>
