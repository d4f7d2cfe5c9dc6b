#!/bin/sh
# Builds what the scripts in review/6 to review/8 start besides the gateways: the
# project's stand-ins and the scripts themselves. The packages that they import are those
# of the deploy file's build (target/deps).
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review/6 review/7 review/8
PYTHONPATH=target/deps python3 -c "import aiohttp, standins.platform_store"
