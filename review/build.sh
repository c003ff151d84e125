#!/usr/bin/env bash
# Checks that the stand-ins of the cases can be loaded: they are Python, with the libraries of target/deps.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import sys
sys.path.insert(0, "common")
import deployment, engine
PY
