# Targets for developers; see docs/DEVELOPING.md.
BUILD ?= build
CTEST = ctest --test-dir $(1) --output-on-failure --timeout 240

.PHONY: packages build demo test test-unit test-asan test-tsan soak bench bench-quick format lint clean

packages:
	./packages.sh

build: packages
	cmake -S . -B $(BUILD) -G Ninja
	ninja -C $(BUILD)

demo: build
	$(BUILD)/cardamom_demo

test: build
	tests/run_tests.sh $(BUILD)

test-unit: build
	$(call CTEST,$(BUILD)) -j8 -L unit

test-asan: packages
	cmake -S . -B build-asan -G Ninja -DSANITIZE=address -DCMAKE_BUILD_TYPE=Debug
	ninja -C build-asan
	tests/run_tests.sh build-asan

test-tsan: packages
	cmake -S . -B build-tsan -G Ninja -DSANITIZE=thread
	ninja -C build-tsan
	tests/run_tests.sh build-tsan

# Long random runs of the properties and the failure tests; the seed is printed and can be given.
SOAK_SEED ?= $(shell date +%s)
soak: build
	@echo "seed $(SOAK_SEED)"
	RC_PARAMS="seed=$(SOAK_SEED) max_success=5000" $(BUILD)/tests/unit_tests --gtest_brief=1
	$(BUILD)/tests/process_tests --gtest_brief=1 --gtest_repeat=5 --gtest_fail_fast

bench: build
	$(BUILD)/cardamom_bench --html bench.html

bench-quick: build
	$(BUILD)/cardamom_bench --quick --html bench.html

format:
	clang-format -i $$(git ls-files '*.cc' '*.h')

lint:
	tools/lint.sh

clean:
	rm -rf build build-asan build-tsan
