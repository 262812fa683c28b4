#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start.
set -euo pipefail
cd "$(dirname "$0")/stand"
GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../bin/stand .
