#!/usr/bin/env bash
# Does everything a contributor or CI needs; see usage below.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"

readonly ENVIRONMENT=.venv
readonly STAMP="$ENVIRONMENT/.installed"
readonly SOURCES=(src tests bench spec soak)

usage() {
    cat <<'TEXT'
usage: ./build.sh COMMAND [ARGUMENT...]

  environment   make or update the virtual environment
  demo          run the demonstration (--serve: stay up)
  test          run the tests (arguments go to unittest)
  check         formatter, linter, types and generated pages
  format        format the sources
  spec          check the specification's models
  soak          play seeds of the fault soak (--seeds N, --help)
  bench NAME    run the benchmark bench/NAME.py
  lock          resolve the dependencies again into constraints.txt
TEXT
}

environment() {
    # The stamp holds what was installed, not when: a fresh checkout has
    # new file times but mostly the same dependencies.
    local wanted
    wanted=$(cat pyproject.toml constraints.txt | sha256sum)
    if [ -f "$STAMP" ] && [ "$(cat "$STAMP")" = "$wanted" ]; then
        return
    fi
    [ -x "$ENVIRONMENT/bin/python" ] || python3 -m venv "$ENVIRONMENT"
    "$ENVIRONMENT/bin/pip" install --quiet --disable-pip-version-check \
        --constraint constraints.txt --editable '.[develop,otlp,plot]'
    printf '%s\n' "$wanted" > "$STAMP"
}

python() {
    environment
    "$ENVIRONMENT/bin/python" "$@"
}

check() {
    python -m ruff format --check "${SOURCES[@]}"
    python -m flake8 "${SOURCES[@]}"
    python -m mypy
    if [ -f bench/capacity_page.py ]; then
        python -m bench.capacity_page --check
    fi
}

test_all() {
    if [ $# -gt 0 ]; then
        python -m unittest "$@"
    else
        python -m tests.run
    fi
}

lock() {
    python -m pip freeze --exclude-editable > constraints.txt
}

command=${1:-help}
[ $# -eq 0 ] || shift
case "$command" in
    environment) environment ;;
    demo) environment && exec "$ENVIRONMENT/bin/guavachute-demo" "$@" ;;
    test) test_all "$@" ;;
    check) check ;;
    format) python -m ruff format "${SOURCES[@]}" ;;
    spec) python -m spec.run "$@" ;;
    soak) python -m soak.run "$@" ;;
    bench) name=$1; shift; python -m "bench.$name" "$@" ;;
    lock) lock ;;
    help|-h|--help) usage ;;
    *) echo "build.sh: unknown command '$command'" >&2; usage >&2; exit 2 ;;
esac
