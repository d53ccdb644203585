#!/usr/bin/env bash
# Builds what the cases start besides the node, which the build line of the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for case in review/[0-9]; do
  [ -d "$case/drive" ] && go build -o "review/bin/case${case##*/}" "./$case/drive"
done
