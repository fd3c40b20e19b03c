# Installs the locked libraries and the workspace's sources to target/deps.
set -eu
if [ ! -f target/lock ] || ! cmp -s deploy/requirements.lock target/lock; then
    rm -rf target/deps
    python3 -m pip install --quiet --require-hashes --no-deps \
        --target target/deps -r deploy/requirements.lock
    cp deploy/requirements.lock target/lock
fi
for package in common daemon; do
    cp -R "packages/$package/src/." target/deps/
done
find target/deps -name tests -type d -prune -exec rm -rf {} +
python3 deploy/compile.py target/deps
