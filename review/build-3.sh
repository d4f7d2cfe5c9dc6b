#!/usr/bin/env bash
# Builds what the scripts of this review start beside the gateways: stand-ins in Python,
# which need nothing but the folder that the build of the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ]
python3 -m compileall -q standins review/rig.py review/11 review/12 review/13 review/15
PYTHONPATH="target/deps:." python3 -c "import review.rig"
