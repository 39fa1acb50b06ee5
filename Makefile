# Commands for people; CMake does the building. Run `make help`.
BUILD ?= build
SEED ?= 1
STEPS ?= 100000
SECONDS = 20

.PHONY: help deps build check demo live bench soak soak-live format lint proto sanitize fuzz capacity

help: ## lists the commands
	@grep -E '^[a-z-]+:.*##' Makefile | sed 's/:.*## /\t/'

deps: ## installs the Debian packages of packages.txt
	@.ci/deps

build: deps ## builds everything into $(BUILD)
	@cmake -S . -B $(BUILD) -G Ninja > $(BUILD).cmake.log 2>&1 || { cat $(BUILD).cmake.log; exit 1; }
	@rm -f $(BUILD).cmake.log
	@cmake --build $(BUILD)

format: ## formats all sources
	@git ls-files '*.cpp' '*.h' | grep -v '^src/proto/' | xargs clang-format -i

lint: build ## checks formatting and runs clang-tidy
	@.ci/lint $(BUILD)

proto: ## regenerates the committed protobuf code
	@protoc -I src --cpp_out=src src/proto/messages.proto src/proto/cell.proto

check: build ## all tests, formatter, linter, sanitizers
	@.ci/check $(BUILD)

soak: build ## randomised faults against the core, SEED=n STEPS=n
	@$(BUILD)/sp-soak --seed $(SEED) --steps $(STEPS)

demo: build ## a small cell on loopback with all classes of work, checked, about 25 s
	@examples/demo/run

live: build ## faults of processes, store and targets against a live cell, about 3 min, SEED=n
	@python3 tests/live_faults.py --build $(BUILD) --seed $(SEED)

soak-live: build ## faults on real sp-entry processes, SEED=n SECONDS=n
	@python3 tests/platform_soak/entry_soak.py --bin $(BUILD)/sp-entry --seed $(SEED) --seconds $(SECONDS)

bench: build ## figures of the deciding functions against their targets, SEED=n, ONLY=text
	@$(BUILD)/sp-bench --seed $(SEED) --only "$(ONLY)"

fuzz: deps ## a fixed run of each fuzz target
	@.ci/fuzz

sanitize: deps ## the tests under AddressSanitizer and UndefinedBehaviorSanitizer
	@.ci/sanitize $(BUILD)-asan

capacity: build ## slopes of state, CPU, bytes and store calls at three sizes; see docs/CAPACITY.md
	@SP_BIN=$(BUILD) tools/capacity
