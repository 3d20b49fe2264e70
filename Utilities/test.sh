#!/bin/sh
# Sets up, builds and passes the tests: Utilities/test.sh [PRESET], "dev" by default.
set -eu
cd "$(dirname "$0")/.."
preset="${1:-dev}"
sh Utilities/setup.sh
cmake --preset "$preset"
cmake --build --preset "$preset"
# Tests that are red for a known fault are run and shown, but do not count.
red=""
[ -f KNOWN-RED.txt ] && red="$(cut -d' ' -f1 KNOWN-RED.txt | paste -s -d'|')"
if [ -z "$red" ]; then
    ctest --preset "$preset" -j 4
    exit
fi
ctest --preset "$preset" -j 4 -E "^($red)\$"
echo "known to be red, not counted:"
cat KNOWN-RED.txt
ctest --preset "$preset" -R "^($red)\$" || echo "red, as known"
