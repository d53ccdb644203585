#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the node: the store, the targets and the clients.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in 4 5 6; do
  go build -o "target/review-2/case$case" "./review/$case/drive"
done
