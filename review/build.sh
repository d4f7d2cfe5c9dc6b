#!/usr/bin/env bash
# Builds what the scripts in this folder start: their stand-ins and the project's own.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -m compileall -q standins review
python3 -c "import review.deployment"
