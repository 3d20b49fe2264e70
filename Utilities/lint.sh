#!/bin/sh
# Checks format and lint of our own sources; needs a build with the preset "ci".
set -eu
cd "$(dirname "$0")/.."
git ls-files '*.h' '*.cpp' | grep -v '/generated/' | xargs clang-format --dry-run --Werror
echo "format: clean"
# The linter cannot read the compiler's precompiled headers: it gets commands without them.
cmake --preset ci -B build/lint -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
git ls-files 'Source/policy/*.cpp' 'Source/gateway/*.cpp' 'platform/*.cpp' | xargs -P 8 -n 1 clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p build/lint
echo "lint: clean"
