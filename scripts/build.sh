#!/usr/bin/env bash
# Builds the release program, as the deploy file does.
#
# Cargo compares the times of files. Sources that come from an archive may be older than a build folder
# that was carried over from another commit, and the program of that commit would stay in place. So
# sources whose content has changed since the recorded build get a new time first, and a build that does
# not end leaves no program behind.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly PROGRAM=target/release/fulmargw
readonly RECORD=target/release/sources.sha256

# Lists the files from which the program is built.
sources() {
    find . -name target -prune -o -name .git -prune -o \
        -type f \( -name '*.rs' -o -name Cargo.toml -o -name Cargo.lock \) -print0 | sort -z
}

# Lists the sources whose content differs from the record; all of them without a record.
changed_sources() {
    if [ ! -f "$RECORD" ]; then
        sources
        return
    fi
    sources | while IFS= read -r -d '' file; do
        # Every line of the record is a checksum, two characters and a path.
        if ! sha256sum -b "$file" | grep -qxFf - "$RECORD"; then
            printf '%s\0' "$file"
        fi
    done
}

if [ -d target/release ]; then
    changed_sources | xargs -0 -r touch
fi
# Cargo puts the program back if it is that of the sources.
rm -f "$RECORD" "$PROGRAM"
cargo build --release --locked -p fulmargw
sources | xargs -0 sha256sum -b >"$RECORD"
