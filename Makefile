# Build, test and bench commands; see README.md. Each command installs its own dependencies.

JOBS ?= $(shell nproc)

.PHONY: all deps demo test lint bench capacity soak added fuzz format clean

all: deps
	@cmake -S . -B build > build.log 2>&1 || (cat build.log; rm -f build.log; exit 1); rm -f build.log
	@cmake --build build -j$(JOBS)

deps:
	@scripts/install-deps.sh

demo: all
	@build/winchbench demo

test: deps
	@scripts/test.sh

lint: deps
	@scripts/lint.sh

added: all
	@build/winchbench added

bench: all
	@build/winchbench pool
	@build/winchbench policies

capacity: all
	@build/winchbench capacity

soak: all
	@build/winchbench soak --seed $${SEED:-1} --seeds $${SEEDS:-10} --seconds $${SECONDS_EACH:-12} --instances $${INSTANCES:-4}

fuzz: deps
	@scripts/fuzz.sh $${FUZZ_SECONDS:-60}

format:
	@git ls-files '*.h' '*.cpp' | xargs clang-format -i

clean:
	@rm -rf build build-asan build-fuzz
