#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. It needs Go and no network.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
GOFLAGS=-mod=mod GOTOOLCHAIN=local GOWORK=off go build -o bin/stand2 .
