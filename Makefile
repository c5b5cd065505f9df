# Front door to the CMake build; README.md names the two commands to know.
JOBS ?= $(shell nproc)
BUILD ?= build
ASAN_BUILD ?= build-asan
CMAKE_FLAGS = -G Ninja

.PHONY: all deps build asan test check demo lint format bench soak events \
	fuzz clean

all: build

deps:
	@.ci/deps

build:
	@cmake -S . -B $(BUILD) $(CMAKE_FLAGS) -DCMAKE_BUILD_TYPE=RelWithDebInfo \
	    >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

asan:
	@cmake -S . -B $(ASAN_BUILD) $(CMAKE_FLAGS) -DCMAKE_BUILD_TYPE=Debug \
	    -DCG_SANITIZE=ON >/dev/null
	@cmake --build $(ASAN_BUILD) -j $(JOBS)

test: build
	@tools/run-tests $(BUILD)

check: deps build asan
	@tools/run-tests $(BUILD)
	@tools/run-tests $(ASAN_BUILD)

# Each entry point for SECONDS of mutated input; finds stay in FUZZ_BUILD.
FUZZ_BUILD ?= build-fuzz
SECONDS ?= 60
FUZZ_ENTRIES = events prompt claims sections claims_wire

fuzz:
	@cmake -S . -B $(FUZZ_BUILD) $(CMAKE_FLAGS) -DCMAKE_BUILD_TYPE=Debug \
	    -DCG_FUZZ=ON -DCMAKE_C_COMPILER=clang \
	    -DCMAKE_CXX_COMPILER=clang++ >/dev/null
	@cmake --build $(FUZZ_BUILD) -j $(JOBS) \
	    --target $(FUZZ_ENTRIES:%=fuzz_%)
	@set -e; for entry in $(FUZZ_ENTRIES); do \
	    mkdir -p $(FUZZ_BUILD)/corpus/$$entry; \
	    $(FUZZ_BUILD)/fuzz/fuzz_$$entry -max_total_time=$(SECONDS) \
	        -artifact_prefix=$(FUZZ_BUILD)/ -print_final_stats=1 -verbosity=0 \
	        $(FUZZ_BUILD)/corpus/$$entry fuzz/corpus/$$entry; \
	done

SEED ?= 1

soak: build
	@$(BUILD)/test/cg_soak --seconds $(SECONDS) --seed $(SEED)

# What control costs a daemon at several sizes; see docs/CAPACITY.md.
bench: build
	@$(BUILD)/test/cg_bench_control
	@$(BUILD)/test/cg_bench_data

demo: deps build
	@tools/demo $(BUILD)

lint:
	@tools/lint

format:
	@git ls-files '*.c' '*.h' '*.cc' | xargs clang-format -i

events:
	@tools/events-doc > docs/EVENTS.md

clean:
	@rm -rf $(BUILD) $(ASAN_BUILD)
