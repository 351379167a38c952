# Installs the libraries and the package under target/deps, where Python finds
# them. The package is copied anew each time, so that no stale copy is played.
set -eu
wanted=requirements/run.lock
if ! cmp -s "$wanted" target/run.lock; then
  python3 -m pip install -q --upgrade --target target/deps -r "$wanted"
  cp "$wanted" target/run.lock
fi
rm -rf target/deps/cranberrymux
cp -r src/cranberrymux target/deps/cranberrymux
python3 -m compileall -q target/deps/cranberrymux
