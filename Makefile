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

format:
	clang-format -i $$(git ls-files '*.cc' '*.h')

lint: build
	tools/lint.sh $(BUILD)

clean:
	rm -rf build build-asan build-tsan
