/* counter.c - counters in cache-aligned shards picked by thread. */
#include "counter.h"

#include <stdatomic.h>

#define COUNTER_SHARDS 16u
#define SLOT_REFUSED CTR_COUNT
#define SLOT_RETRIED (SLOT_REFUSED + REASON_COUNT)
#define SLOT_COUNT (SLOT_RETRIED + RETRY_REASON_COUNT)

typedef struct counter_shard {
	atomic_uint_fast64_t v[SLOT_COUNT];
} __attribute__((aligned(64))) counter_shard_t;

static counter_shard_t shards[COUNTER_SHARDS];
static atomic_uint next_shard;

static const struct {
	const char *name;
	const char *help;
} table[CTR_COUNT] = {
#define X(name, str, help) {str, help},
	COUNTERS(X)
#undef X
};

static void slot_add(unsigned int slot, uint64_t n)
{
	static __thread unsigned int shard; /* 1-based; 0 before first use */

	if (!shard)
		shard = atomic_fetch_add(&next_shard, 1) % COUNTER_SHARDS + 1;
	atomic_fetch_add_explicit(&shards[shard - 1].v[slot], n,
				  memory_order_relaxed);
}

static uint64_t slot_get(unsigned int slot)
{
	uint64_t sum = 0;

	for (unsigned int i = 0; i < COUNTER_SHARDS; i++)
		sum += atomic_load_explicit(&shards[i].v[slot],
					    memory_order_relaxed);
	return sum;
}

void counter_add(counter_t c, uint64_t n)
{
	slot_add(c, n);
}

void counter_add_refused(reason_t r)
{
	slot_add(SLOT_REFUSED + r, 1);
}

void counter_add_retried(retry_reason_t r)
{
	slot_add(SLOT_RETRIED + r, 1);
}

uint64_t counter_get(counter_t c)
{
	return slot_get(c);
}

uint64_t counter_get_refused(reason_t r)
{
	return slot_get(SLOT_REFUSED + r);
}

uint64_t counter_get_retried(retry_reason_t r)
{
	return slot_get(SLOT_RETRIED + r);
}

const char *counter_name(counter_t c)
{
	return table[c].name;
}

const char *counter_help(counter_t c)
{
	return table[c].help;
}

static void write_family(buf_t *out, const char *name, const char *help)
{
	buf_printf(out, "# HELP damasklug_%s_total %s\n", name, help);
	buf_printf(out, "# TYPE damasklug_%s_total counter\n", name);
}

static void write_reason(buf_t *out, const char *family, const char *reason,
			 uint64_t value)
{
	buf_printf(out, "damasklug_%s_total{reason=\"%s\"} %llu\n", family,
		   reason, (unsigned long long)value);
}

void counter_write(buf_t *out)
{
	for (unsigned int c = 0; c < CTR_COUNT; c++) {
		write_family(out, table[c].name, table[c].help);
		buf_printf(out, "damasklug_%s_total %llu\n", table[c].name,
			   (unsigned long long)slot_get(c));
	}
	write_family(out, "refused", "Requests refused or failed, by reason");
	for (unsigned int r = 1; r < REASON_COUNT; r++)
		write_reason(out, "refused", reason_info((reason_t)r)->name,
			     slot_get(SLOT_REFUSED + r));
	write_family(out, "retried", "Attempts made again, by reason");
	for (unsigned int r = 0; r < RETRY_REASON_COUNT; r++)
		write_reason(out, "retried",
			     retry_reason_name((retry_reason_t)r),
			     slot_get(SLOT_RETRIED + r));
}
