#!/bin/sh
# The stand-ins of the cases 4 to 8 are plain JavaScript in review/lib-2: nothing has to be built. This checks that they load.
cd "$(dirname "$0")" || exit 1
for file in lib-2/*.mjs [4-8]/run.mjs; do
  [ -f "$file" ] || continue
  node --check "$file" || exit 1
done
