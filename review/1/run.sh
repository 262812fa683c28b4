#!/usr/bin/env bash
# An order to take a zone back is applied a second time, after the zone has been evacuated again.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/stand ] && [ -x ../../target/coursepass ] || exit 2
exec ../bin/stand recall ../.. "$PWD"
