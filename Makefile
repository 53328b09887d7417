# Build, demo, test, lint and run. CI calls .ci/run, which ends in `make test`'s script.
BUILD ?= build
TOOLS ?= build-tools
NODE_NEEDS = cmake g++ make nlohmann-json3-dev libsimdjson-dev libspdlog-dev tao-pegtl-dev libcli11-dev
TOOL_NEEDS = $(NODE_NEEDS) libtomlplusplus-dev libpcg-cpp-dev libxxhash-dev libboost-dev gnuplot-nox
TEST_NEEDS = $(TOOL_NEEDS) libgtest-dev librapidcheck-dev procps clang clang-format clang-tidy libclang-rt-14-dev

.PHONY: build tools demo test fuzz needs lint format run clean
build:
	cmake -B $(BUILD) -DCMAKE_BUILD_TYPE=Release
	cmake --build $(BUILD) -j4

# The node, and the tools beside it, in a folder of their own: build/ stays what the deployment builds.
tools:
	@tools/install.sh $(TOOL_NEEDS)
	cmake -S . -B $(TOOLS) -DCMAKE_BUILD_TYPE=Release -DDAPPLEWHARF_TOOLS=ON >/dev/null
	cmake --build $(TOOLS) -j8

# Two nodes, eight hosts and three hundred clients on loopback; a host falls silent, one drains, a node restarts.
demo: tools
	@$(TOOLS)/dapplewharf_emulator live examples/scenarios/demo.toml --out out/demo
	@echo "the page: $$($(TOOLS)/dapplewharf_emulator report out/demo)"

test: needs
	tests/run.sh

fuzz: needs
	tools/fuzz.sh $(or $(FOR),60)

needs:
	@tools/install.sh $(TEST_NEEDS)

lint:
	clang-format --dry-run --Werror $$(git ls-files 'src/*.cpp' 'src/*.h' 'tests/*.cpp' 'tests/*.h')
	@tools/check_file_length.sh
	@tools/check_architecture.sh
	@tools/lint.sh
	@! grep -nE '^.{111,}' $$(git ls-files 'src/*.cpp' 'src/*.h') || { echo "lines over 110 characters"; exit 1; }

format:
	clang-format -i $$(git ls-files 'src/*.cpp' 'src/*.h' 'tests/*.cpp' 'tests/*.h')

# Wants PROXY_CONFIG, and PROXY_LISTEN, PROXY_DISCOVERY, PROXY_NAME where they differ from it.
run: build
	$(BUILD)/dapplewharf

clean:
	rm -rf $(BUILD) build-tests $(TOOLS) out
