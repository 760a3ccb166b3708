#!/bin/sh
# Builds the stand-ins of the scripts review/11 to review/15: Python 3.11 or later, standard
# library only, so building means checking that they compile. The system itself is built by the
# line `build` of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
python3 - site-3/limpet_site.py site-3/links.py 11/play.py 12/play.py 13/play.py 14/play.py 15/play.py <<'PY'
import sys
import tomllib  # since Python 3.11

for name in sys.argv[1:]:
    with open(name) as file:
        compile(file.read(), name, "exec")
PY
echo "stand-ins of review 3 compile"
