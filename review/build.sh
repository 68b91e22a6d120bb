#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python of the standard library, so this compiles them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common [1-5]
