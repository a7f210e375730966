#!/bin/sh
# Prepares what the scripts of the second review start. All their stand-ins are in
# review/standins-2/ and need only the Python standard library, so this only checks
# that they compile, and that the build of deploy/system.toml has been run.
set -e
cd "$(dirname "$0")/.."
test -d target/deps || { echo "run the build of deploy/system.toml first"; exit 1; }
for file in review/standins-2/*.py review/6/*.py review/7/*.py review/8/*.py \
    review/9/*.py review/10/*.py; do
    test ! -e "$file" || python3 -c "compile(open('$file').read(), '$file', 'exec')"
done
