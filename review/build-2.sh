#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts: one program with the store, the targets and the clients.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/scene
