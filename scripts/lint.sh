#!/usr/bin/env bash
# Runs clang-tidy. Usage: scripts/lint.sh [build folder] [path pattern]
#   without BAOBAB_LINT_BASE: over every source file whose path matches
#   BAOBAB_LINT_BASE=COMMIT: only over the sources that changed since COMMIT or
#     that include a header which did; over all if the linter's settings changed
#     or COMMIT is not an ancestor. The build folder must be up to date.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
pattern=${2:-.}
base=${BAOBAB_LINT_BASE:-}

all_sources() {
  git ls-files --cached --others --exclude-standard '*.cc' | grep -v '^cmake/' | grep -E -- "$pattern"
}

# Prints the files of the repository that differ from the base commit.
changed_files() {
  git diff --name-only "$base"
  git ls-files --others --exclude-standard
}

# Prints the sources whose objects depend on a changed file, as the compiler
# recorded the dependencies.
affected_sources() {
  local root
  root=$(pwd)
  changed_files | sort -u > "$1"
  ninja -C "$build" -t deps | awk -v root="$root/" -v build="$build" '
    FNR == NR { changed[$0] = 1; next }
    /^[^ ]/ { source = ""; next }
    /^ / {
      path = $1
      if (substr(path, 1, 3) == "../") path = substr(path, 4)
      if (index(path, root) == 1) path = substr(path, length(root) + 1)
      if (source == "") source = path
      if (path in changed) print source
    }' "$1" - | sort -u | grep '\.cc$' | grep -v '^cmake/' | grep -E -- "$pattern" || true
}

run_tidy() {
  xargs -r -P "${BAOBAB_JOBS:-$(nproc)}" -n 1 clang-tidy --quiet -p "$build" 2> /dev/null
}

if [ -z "$base" ] || ! git merge-base --is-ancestor "$base" HEAD 2> /dev/null ||
  changed_files | grep -qE "(^|/)[.]clang-tidy$"; then
  echo "linting all sources"
  all_sources | run_tidy
else
  list=$(mktemp)
  trap 'rm -f "$list"' EXIT
  affected_sources "$list" > "$list.sources"
  echo "linting $(wc -l < "$list.sources") sources that differ from $base"
  run_tidy < "$list.sources"
  rm -f "$list.sources"
fi
