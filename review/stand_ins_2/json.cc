// Compiles Boost.JSON into the stand-ins.

#include <boost/json/src.hpp>
