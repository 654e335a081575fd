#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p review/bin
GOFLAGS=-mod=readonly go build -o review/bin/standin ./review/standin
