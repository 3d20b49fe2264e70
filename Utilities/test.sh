#!/bin/sh
# Sets up, builds and passes the tests: Utilities/test.sh [PRESET], "dev" by default.
set -eu
cd "$(dirname "$0")/.."
preset="${1:-dev}"
sh Utilities/setup.sh
cmake --preset "$preset"
cmake --build --preset "$preset"
ctest --preset "$preset" -j 4
