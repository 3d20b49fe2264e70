// Compiles Boost.JSON into the library, so that no further package is needed.

#include <boost/json/src.hpp>
