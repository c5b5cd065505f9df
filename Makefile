# Front door to the CMake build; README.md names the two commands to know.
JOBS ?= $(shell nproc)
BUILD ?= build
ASAN_BUILD ?= build-asan
CMAKE_FLAGS = -G Ninja

.PHONY: all deps build asan test check demo lint format bench soak events \
	clean

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
