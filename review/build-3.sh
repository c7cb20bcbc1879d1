#!/usr/bin/env bash
# Builds the stand-ins and the driver that the scripts of the third review start. The daemon itself comes from the
# build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/stage-3
