#!/bin/sh
# Checks format and lint of our own sources; needs a build with the preset "ci".
set -eu
cd "$(dirname "$0")/.."
git ls-files '*.h' '*.cpp' | grep -v '/generated/' | xargs clang-format --dry-run --Werror
echo "format: clean"
# Coroutines are started by startTask() and startLoop(), which report the exceptions that end them.
if grep -rnE 'asio::detached|asio::co_spawn' Source platform --include='*.cpp' --include='*.h' | grep -vE 'Source/daemon/task.cpp|Source/(ctl|bench)/'; then
    echo "lint: start coroutines by startTask() or startLoop()" >&2
    exit 1
fi
# The linter cannot read the compiler's precompiled headers: it gets commands without them.
cmake --preset ci -B build/lint -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
git ls-files 'Source/policy/*.cpp' 'Source/gateway/*.cpp' 'platform/*.cpp' | xargs -P 8 -n 1 clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p build/lint
echo "lint: clean"
