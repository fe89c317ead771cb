#!/bin/sh
# The cases 6 to 10 start the balancer alone, which the build of the deploy file has left. Their stand-ins are Python scripts that use
# the standard library alone: nothing has to be compiled. This checks that they can run.
set -eu
cd "$(dirname "$0")/.."
python3 - review/standins2.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py <<'END'
import sys
assert sys.version_info >= (3, 8), sys.version
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
END
test -x target/release/shorewharf
