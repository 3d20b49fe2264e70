#!/bin/sh
# Prepares the stand-ins of the scripts. They are Python, also the project's own in platform/soak, and need nothing built: this checks
# that the interpreter reads them all, and leaves no files behind.
cd "$(dirname "$0")/.." || exit 1
for file in platform/soak/standin.py platform/soak/proxy.py platform/soak/process.py platform/soak/soak.py review/*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file" || exit 1
done
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or newer is needed"; exit 1; }
