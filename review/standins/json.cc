// Boost.JSON, compiled into the drivers.
#include <boost/json/src.hpp>
