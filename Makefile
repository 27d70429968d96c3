# Builds damasklug, its development programs and its tests.
#
#   make              everything (build/damasklug, build/dev/*, build/tests/*)
#   make check        install what is missing, build, run all tests
#   make demo         install what is missing, build, run dev/demo
#   make fuzz         run the property tests for long (RUNS=, SEED=)
#   make soak         soak real daemons under faults (SEEDS=, HOSTS=, SECONDS_EACH=, JOBS=)
#   make pages        regenerate the docs pages that come from tables in the code
#   make lint         run the linter
#   make format       reformat the sources
#   SAN=address,undefined or SAN=thread builds under build-$(SAN)

PACKAGES = gcc g++ make pkg-config clang-format clang-tidy cppcheck \
	liburcu-dev libprotobuf-c-dev libcivetweb-dev libcurl4-openssl-dev \
	libglib2.0-dev libjansson-dev libxxhash-dev libsodium-dev \
	zlib1g-dev libtomlplusplus-dev libhttp-parser-dev libgtest-dev librapidcheck-dev curl jq

comma := ,
O ?= build$(if $(SAN),-$(subst $(comma),-,$(SAN)))
CC ?= gcc
CXX ?= g++
PKGS = liburcu-memb libprotobuf-c libcurl glib-2.0 jansson libxxhash libsodium zlib
DEP_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
DEP_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lcivetweb -lhttp_parser -lpthread -lm
WARN = -Wall -Wextra -Werror -Wno-unused-parameter
SANFLAGS = $(if $(SAN),-fsanitize=$(SAN) -fno-omit-frame-pointer -Wno-format-truncation)
CFLAGS ?= -O2 -g
ALL_CFLAGS = -std=gnu11 $(CFLAGS) $(WARN) -Wmissing-prototypes -Wstrict-prototypes \
	$(SANFLAGS) -D_GNU_SOURCE -DURCU_INLINE_SMALL_FUNCTIONS -Isrc -Iproto -Idev $(DEP_CFLAGS) -MMD -MP
ALL_CXXFLAGS = -std=gnu++17 $(CFLAGS) $(WARN) -Wno-missing-field-initializers \
	$(SANFLAGS) -D_GNU_SOURCE -Isrc -Iproto -Idev $(DEP_CFLAGS) -MMD -MP

# main.c holds only main(); all other sources go into one archive, which tests and
# development programs link as well.
LIB_SRC = $(filter-out src/main.c,$(wildcard src/*.c)) $(wildcard src/*.cc) \
	$(wildcard platform/*.c) $(wildcard proto/*.c)
LIB_OBJ = $(patsubst %,$(O)/%.o,$(LIB_SRC))
LIB = $(O)/libdamasklug.a
# The development programs share dev/lib_*.c; each other dev/*.c is one program.
DEV_LIB_OBJ = $(patsubst %,$(O)/%.o,$(wildcard dev/lib_*.c))
DEV_BIN = $(patsubst dev/%.c,$(O)/dev/%,$(filter-out dev/lib_%,$(wildcard dev/*.c)))
# Each tests/NAME_test.cc is one GoogleTest program.
TEST_BIN = $(patsubst tests/%.cc,$(O)/tests/%,$(wildcard tests/*_test.cc))
# Each tests/NAME.c is a program that test scripts run.
TEST_PROGRAM = $(patsubst tests/%.c,$(O)/tests/%,$(wildcard tests/*.c))
# The soak of real daemons: one program of several files.
SOAK_OBJ = $(patsubst %,$(O)/%.o,$(wildcard tests/soak/*.c))
SOAK_BIN = $(O)/tests/soak-run
# Each tests/NAME_fuzz.cc is a RapidCheck program; check runs it with few cases.
FUZZ_BIN = $(patsubst tests/%.cc,$(O)/tests/%,$(wildcard tests/*_fuzz.cc))

FORMATTED = $(wildcard src/*.[ch] src/*.cc platform/*.[ch] dev/*.[ch] tests/*.c tests/*.cc \
	tests/*.h tests/soak/*.[ch])

.PHONY: all deps check test demo run fuzz soak scenarios capacity pages proto lint format format-check clean
all: $(O)/damasklug $(DEV_BIN) $(TEST_BIN) $(FUZZ_BIN) $(TEST_PROGRAM) $(SOAK_BIN)

$(O)/%.c.o: %.c
	@mkdir -p $(@D)
	$(CC) $(ALL_CFLAGS) $(if $(filter proto/%,$<),-w) -c $< -o $@

$(O)/%.cc.o: %.cc
	@mkdir -p $(@D)
	$(CXX) $(ALL_CXXFLAGS) -c $< -o $@

$(LIB): $(LIB_OBJ)
	rm -f $@
	ar rcs $@ $^

$(O)/damasklug: $(O)/src/main.c.o $(LIB)
	$(CXX) $(SANFLAGS) -o $@ $^ $(DEP_LIBS)

$(DEV_BIN): $(O)/dev/%: $(O)/dev/%.c.o $(DEV_LIB_OBJ) $(LIB)
	$(CXX) $(SANFLAGS) -o $@ $^ $(DEP_LIBS)

$(TEST_BIN) $(FUZZ_BIN): $(O)/tests/%: $(O)/tests/%.cc.o $(DEV_LIB_OBJ) $(LIB)
	$(CXX) $(SANFLAGS) -o $@ $^ -lrapidcheck -lgtest -lgtest_main $(DEP_LIBS)

$(SOAK_BIN): $(SOAK_OBJ) $(LIB)
	$(CXX) $(SANFLAGS) -o $@ $^ $(DEP_LIBS)

$(TEST_PROGRAM): $(O)/tests/%: $(O)/tests/%.c.o $(LIB)
	$(CXX) $(SANFLAGS) -o $@ $^ $(DEP_LIBS)

# Regenerates the committed protobuf-c code; needs protobuf-c-compiler.
proto:
	cd proto && protoc-c --c_out=. *.proto

deps:
	@.ci/deps $(PACKAGES)

check: deps
	$(MAKE) --no-print-directory all
	@O=$(O) tests/run

# As check, without installing packages.
test: all
	@O=$(O) tests/run

fuzz: all
	@O=$(O) RUNS=$(or $(RUNS),2000) SEED=$(SEED) tests/fuzz

soak: all
	@O=$(O) HOSTS=$(or $(HOSTS),9) SECONDS_EACH=$(or $(SECONDS_EACH),20) \
		JOBS=$(or $(JOBS),1) dev/soak $(SEEDS)

scenarios: all
	@O=$(O) tests/scenarios/run

capacity: all
	@$(O)/dev/capacity

demo: deps
	$(MAKE) --no-print-directory all
	@O=$(O) dev/demo $(or $(DEPLOYMENT),estate-rounds)

run: deps
	$(MAKE) --no-print-directory all
	@O=$(O) dev/demo --keep $(or $(DEPLOYMENT),estate-rounds)

# Regenerates the pages that come from tables in the code.
pages: $(O)/damasklug
	$(O)/damasklug reasons > docs/reasons.md
	$(O)/damasklug counters > docs/counters.md
	$(O)/damasklug events > docs/logs.md
	$(O)/damasklug manual > docs/commands.md

format:
	clang-format -i $(FORMATTED)

format-check:
	clang-format --dry-run -Werror $(FORMATTED)

lint:
	cppcheck --quiet --library=.ci/cppcheck.cfg --std=c11 --language=c --error-exitcode=1 --inline-suppr \
		--enable=warning,performance,portability --suppress=missingIncludeSystem \
		--suppress=nullPointerOutOfMemory --suppress=normalCheckLevelMaxBranches \
		-j 8 -D__GNUC__ -DPROTOBUF_C_VERSION_NUMBER=1004000 \
		-DPROTOBUF_C_MIN_COMPILER_VERSION=1000000 -Isrc -Iproto $(wildcard src/*.c platform/*.c dev/*.c)

clean:
	rm -rf build build-*

-include $(shell find $(O) -name '*.d' 2>/dev/null)
.SECONDARY:
