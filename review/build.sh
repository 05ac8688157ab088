#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are plain JavaScript modules on Node.js alone, so there is nothing to compile;
# this only checks that each can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.mjs [1-5]/run.mjs; do node --check "$file"; done
