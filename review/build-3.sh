#!/bin/sh
# The stand-ins are Python programs that need no build: this checks that they
# can be read, and that the deploy file's build has left the project's programs.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
test -d "$root/target/deps/cranberrymux"
for file in "$root"/review/standin-3/*.py "$root"/review/1[1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
