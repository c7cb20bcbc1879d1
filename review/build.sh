#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the daemon, which the build of the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stage ./review/stage
