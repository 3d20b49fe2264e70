#!/bin/sh
# Checks format and lint of our own sources; needs a build with the preset "ci".
set -eu
cd "$(dirname "$0")/.."
git ls-files '*.h' '*.cpp' | grep -v '/generated/' | xargs clang-format --dry-run --Werror
echo "format: clean"
git ls-files 'Source/policy/*.cpp' 'Source/gateway/*.cpp' 'platform/*.cpp' | xargs -P 8 -n 4 clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p build/ci
echo "lint: clean"
