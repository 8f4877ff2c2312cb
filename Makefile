# Front end to CMake; see README.md for the targets.
SHELL := /bin/bash
BUILD ?= build
JOBS ?= $(shell nproc)
# Programs of ctest with a "ctest:" line in KNOWN-RED.txt; they run, and their
# failure is printed without failing the target.
KNOWN_RED := $(shell sed -n 's/^ *ctest: *//p' KNOWN-RED.txt 2>/dev/null)
RED_PATTERN := ^($(subst $() $(),|,$(strip $(KNOWN_RED) none)))$$

all: build

packages:
	@sh .ci/packages

# The Makefile is the last file that the configuration writes.
$(BUILD)/Makefile: | packages
	@cmake -S . -B $(BUILD) > /dev/null

build: packages $(BUILD)/Makefile
	@cmake --build $(BUILD) -j $(JOBS) -- --no-print-directory -s > $(BUILD)/build.log || { cat $(BUILD)/build.log; exit 1; }

build/asan/Makefile: | packages
	@cmake -S . -B build/asan -DSANITIZE=ON -DCMAKE_BUILD_TYPE=Debug \
	  > /dev/null

asan: packages build/asan/Makefile
	@cmake --build build/asan -j $(JOBS) -- --no-print-directory -s > build/asan/build.log || { cat build/asan/build.log; exit 1; }

format:
	@sh .ci/lint format

lint: build
	@sh .ci/lint check

check: build
	@for test in $(KNOWN_RED); do $(BUILD)/bin/$$test || echo "known red: $$test"; done
	@cd $(BUILD) && ctest --output-on-failure --no-tests=error -E '$(RED_PATTERN)'

check-asan: asan
	@cd build/asan && ctest --output-on-failure --no-tests=error -E '$(RED_PATTERN)'

demo: build
	@sh test/demo.sh $(BUILD)/bin

bench: build
	@sh bench/run.sh $(BUILD)/bin full

bench-quick: build
	@sh bench/run.sh $(BUILD)/bin quick

install: build
	@cmake --install $(BUILD)

clean:
	rm -rf $(BUILD)

.PHONY: all packages build asan format lint check check-asan demo bench \
	bench-quick install clean
