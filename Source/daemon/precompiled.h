// Precompiled header of the daemon layer: the headers that take longest to compile.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>
