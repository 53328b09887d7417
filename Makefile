# Build, test, lint and run. CI calls .ci/run, which ends in `make test`'s script.
BUILD ?= build

.PHONY: build test lint format run clean
build:
	cmake -B $(BUILD) -DCMAKE_BUILD_TYPE=Release
	cmake --build $(BUILD) -j4

test:
	tests/run.sh

lint:
	clang-format --dry-run --Werror $$(git ls-files 'src/*.cpp' 'src/*.h' 'tests/*.cpp' 'tests/*.h')
	@lines=$$(grep -c . src/choice.cpp); [ $$lines -le 910 ] || { echo "src/choice.cpp holds $$lines lines, 910 at most"; exit 1; }
	@! grep -nE '^.{111,}' $$(git ls-files 'src/*.cpp' 'src/*.h') || { echo "lines over 110 characters"; exit 1; }

format:
	clang-format -i $$(git ls-files 'src/*.cpp' 'src/*.h' 'tests/*.cpp' 'tests/*.h')

# Wants PROXY_CONFIG, and PROXY_LISTEN, PROXY_DISCOVERY, PROXY_NAME where they differ from it.
run: build
	$(BUILD)/dapplewharf

clean:
	rm -rf $(BUILD) build-tests
