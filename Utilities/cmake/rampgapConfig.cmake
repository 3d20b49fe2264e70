# Finds the rampgap library: target rampgap::policy, the decisions without I/O.
include(CMakeFindDependencyMacro)
find_dependency(OpenSSL)
include("${CMAKE_CURRENT_LIST_DIR}/rampgapTargets.cmake")
