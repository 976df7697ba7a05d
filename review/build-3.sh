#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. They use the standard library alone, so it needs no network. The
# project's program is built by the build line of deploy/system.toml, before this.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -C review/standins-3 -o ../../target/review-3 .
