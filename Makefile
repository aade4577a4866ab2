# Builds the library, the daemons, the stand-ins and the tests.
CC ?= gcc
BUILD ?= build
OUT ?= out
SAN ?=
LIBS := ck msgpack inih jansson libevent libxxhash libsodium libedit
CFLAGS += -std=gnu11 -O2 -g -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
          -D_GNU_SOURCE -DCK_USE_CC_BUILTINS=1 -pthread $(SAN) \
          $(shell pkg-config --cflags $(LIBS))
LDLIBS := $(shell pkg-config --libs $(LIBS)) -lhttp_parser -lpthread -lm
CHECK_LIBS := $(shell pkg-config --libs check)

KERNEL := $(patsubst %.c,$(BUILD)/%.o,$(wildcard kernel/*.c plugins/*.c balance/*.c relay/*.c platform/*.c))
FAKES := $(patsubst %.c,$(BUILD)/%.o,$(filter-out fakes/fake-%.c,$(wildcard fakes/*.c)))
DAEMONS := $(patsubst daemons/%.c,$(BUILD)/%,$(wildcard daemons/*.c))
STANDINS := $(patsubst fakes/%.c,$(BUILD)/%,$(wildcard fakes/fake-*.c))
TESTS := $(patsubst tests/%.c,$(BUILD)/tests/%,$(wildcard tests/test-*.c))
SOAK := $(patsubst %.c,$(BUILD)/%.o,$(wildcard soak/*.c) fakes/link.c)
SOURCES := $(wildcard balance/*.[ch] kernel/*.[ch] plugins/*.[ch] relay/*.[ch] platform/*.[ch] daemons/*.[ch] fakes/*.[ch] tests/*.[ch] bench/*.[ch] soak/*.[ch])

.PHONY: all soak soak-check deploy capacity models unit-programs threads check unit procs demo bench experiment format format-check lint clean
all: $(DAEMONS) $(STANDINS)

$(BUILD)/%.o: %.c
	@mkdir -p $(dir $@)
	@$(CC) $(CFLAGS) -MMD -MP -c -o $@ $<

# Plug-ins register themselves in constructors and nothing refers to them: from
# an archive the linker would omit them, so all objects are linked into one.
$(BUILD)/libceleryspool.o: $(KERNEL)
	@$(LD) -r -o $@ $^

$(DAEMONS): $(BUILD)/%: $(BUILD)/daemons/%.o $(BUILD)/libceleryspool.o
	@$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

$(STANDINS): $(BUILD)/%: $(BUILD)/fakes/%.o $(FAKES) $(BUILD)/libceleryspool.o
	@$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

$(TESTS): $(BUILD)/tests/%: $(BUILD)/tests/%.o $(FAKES) $(BUILD)/libceleryspool.o
	@mkdir -p $(dir $@)
	@$(CC) $(CFLAGS) -o $@ $^ $(CHECK_LIBS) $(LDLIBS)

clean:
	rm -rf build build-asan build-tsan out

# Builds the daemon that deploy/system.toml runs, in target/.
deploy:
	@$(MAKE) BUILD=target target/celeryspoold

demo: all
	bash bench/demo.sh

format:
	clang-format -i $(SOURCES)

format-check:
	clang-format --dry-run --Werror $(SOURCES)

# Runs clang-tidy once per file, so that make -j runs several at once.
TIDY := $(patsubst %.c,$(BUILD)/tidy/%.ok,$(filter %.c,$(SOURCES)))
lint: $(TIDY)
$(BUILD)/tidy/%.ok: %.c .clang-tidy $(wildcard */*.h)
	@mkdir -p $(dir $@)
	@clang-tidy --quiet $< -- $(CFLAGS) 2>$@.err || (cat $@.err; exit 1)
	@touch $@

$(BUILD)/capacity: $(BUILD)/bench/capacity.o $(FAKES) $(BUILD)/libceleryspool.o
	@$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

capacity: $(BUILD)/capacity $(BUILD)/tests/test-members
	$(BUILD)/capacity
	$(BUILD)/tests/test-members

$(BUILD)/soak/soak: $(SOAK) $(BUILD)/libceleryspool.o
	@$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

# Runs the real programs with injected faults, which are derived from SEED.
SEED ?= 1
soak: all $(BUILD)/soak/soak
	@mkdir -p $(OUT)
	$(BUILD)/soak/soak --seed $(SEED) --build $(BUILD) --dir $(OUT)/soak-$(SEED) $(SOAK_ARGS)

# Runs a short soak, and a soak with each seed that has failed before.
soak-check: all $(BUILD)/soak/soak
	@BUILD=$(BUILD) OUT=$(OUT) SEED=$(SEED) bash soak/regress.sh

unit-programs: $(TESTS)
unit: $(TESTS)
	@for t in $(TESTS); do $$t || { grep -q "^$$(basename $$t):" KNOWN-RED.txt && echo "  known failure (KNOWN-RED.txt)"; } || exit 1; done
threads: $(BUILD)/tests/test-threads
	$(BUILD)/tests/test-threads

# Runs the tests with real processes, one after the other.
procs: all
	@BUILD=$(BUILD) OUT=$(OUT) TESTS="$(TESTS_RUN)" bash tests/procs.sh

# Checks the models of the protocols exhaustively.
models:
	@bash models/check.sh

check: unit models procs


bench: all
	bash bench/overhead.sh

experiment: all
	bash bench/experiment.sh bench/blue-mahoe.ini
	bash bench/experiment.sh bench/tupelo.ini

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
