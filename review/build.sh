#!/bin/sh
# Builds the stand-ins that the cases start: they are plain modules for Node.js and need no more than a check.
cd "$(dirname "$0")" && for file in lib/*.mjs */case.mjs; do node --check "$file" || exit 1; done
