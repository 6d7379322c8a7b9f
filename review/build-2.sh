#!/usr/bin/env bash
# Builds what the cases 4 to 8 start besides the program itself. Their stand-ins are Python files without dependencies,
# so there is nothing to compile: this only checks that the interpreter reads them.
set -eu
cd "$(dirname "$0")"
python3 - lib-2/standins.py [4-8]/case.py <<'END'
import sys
for name in sys.argv[1:]:
    with open(name) as source:
        compile(source.read(), name, "exec")
END
