#!/bin/sh
# The stand-ins are Python scripts that use the standard library alone: nothing has to be compiled. This checks that they can
# run, and that the build of the deploy file has left the balancer.
set -eu
cd "$(dirname "$0")/.."
python3 - review/standins.py review/[0-9]/case.py <<'END'
import sys
assert sys.version_info >= (3, 8), sys.version
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
END
test -x target/release/shorewharf
