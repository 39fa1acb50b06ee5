# Commands for people; CMake does the building. Run `make help`.
BUILD ?= build
SEED ?= 1
STEPS ?= 100000

.PHONY: help deps build check demo bench soak format lint proto sanitize fuzz

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
	@protoc -I src --cpp_out=src src/proto/messages.proto

check: build ## all tests, formatter, linter, sanitizers
	@.ci/check $(BUILD)

soak: build ## randomised faults against the core, SEED=n STEPS=n
	@$(BUILD)/sp-soak --seed $(SEED) --steps $(STEPS)
