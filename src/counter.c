/*
 * counter.c - counters in shards of whole cache lines. Each thread adds to one
 * shard, so that threads seldom write to the same cache line.
 */
#include "counter.h"

#include <stdatomic.h>

typedef enum response_group {
#define X(name, str) RESPONSES_##name,
	RESPONSE_GROUPS(X)
#undef X
	RESPONSE_GROUP_COUNT,
} response_group_t;

static const char *const response_groups[] = {
#define X(name, str) str,
	RESPONSE_GROUPS(X)
#undef X
};

static const char *const response_sources[] = {
#define X(name, str) str,
	RESPONSE_SOURCES(X)
#undef X
};

#define COUNTER_SHARDS 16u
/*
 * Indexes of a shard: counter_t first, then refusal and retry reasons, then the
 * groups of responses of each source.
 */
#define INDEX_REFUSED CTR_COUNT
#define INDEX_RETRIED (INDEX_REFUSED + REASON_COUNT)
#define INDEX_RESPONSES (INDEX_RETRIED + RETRY_REASON_COUNT)
#define INDEX_COUNT \
	(INDEX_RESPONSES + RESPONSE_SOURCE_COUNT * RESPONSE_GROUP_COUNT)

typedef struct counter_shard {
	atomic_uint_fast64_t values[INDEX_COUNT];
} __attribute__((aligned(64))) counter_shard_t;

static counter_shard_t shards[COUNTER_SHARDS];
static atomic_uint next_shard;

static const struct {
	const char *name;
	const char *help;
} counter_info[CTR_COUNT] = {
#define X(name, str, help) {str, help},
	COUNTERS(X)
#undef X
};

static void index_add(unsigned int index, uint64_t n)
{
	/* Shard of this thread, from 1; 0 before first use. */
	static __thread unsigned int own_shard;

	if (!own_shard)
		own_shard =
			atomic_fetch_add(&next_shard, 1) % COUNTER_SHARDS + 1;
	atomic_fetch_add_explicit(&shards[own_shard - 1].values[index], n,
				  memory_order_relaxed);
}

static uint64_t index_get(unsigned int index)
{
	uint64_t sum = 0;

	for (unsigned int i = 0; i < COUNTER_SHARDS; i++)
		sum += atomic_load_explicit(&shards[i].values[index],
					    memory_order_relaxed);
	return sum;
}

void counter_add(counter_t c, uint64_t n)
{
	index_add(c, n);
}

void counter_add_refused(reason_t r)
{
	index_add(INDEX_REFUSED + r, 1);
}

void counter_add_retried(retry_reason_t r)
{
	index_add(INDEX_RETRIED + r, 1);
}

static response_group_t response_group(int status)
{
	switch (status) {
	case 408:
		return RESPONSES_408;
	case 421:
		return RESPONSES_421;
	case 429:
		return RESPONSES_429;
	case 503:
		return RESPONSES_503;
	default:
		break;
	}
	if (status < 300)
		return RESPONSES_2XX;
	if (status < 400)
		return RESPONSES_3XX;
	return status < 500 ? RESPONSES_OTHER_4XX : RESPONSES_OTHER_5XX;
}

static unsigned int response_index(response_source_t source,
				   response_group_t group)
{
	return INDEX_RESPONSES + source * RESPONSE_GROUP_COUNT + group;
}

void counter_add_response(int status, response_source_t source)
{
	index_add(response_index(source, response_group(status)), 1);
}

uint64_t counter_get_responses(int status, response_source_t source)
{
	return index_get(response_index(source, response_group(status)));
}

uint64_t counter_get(counter_t c)
{
	return index_get(c);
}

uint64_t counter_get_refused(reason_t r)
{
	return index_get(INDEX_REFUSED + r);
}

uint64_t counter_get_retried(retry_reason_t r)
{
	return index_get(INDEX_RETRIED + r);
}

const char *counter_name(counter_t c)
{
	return counter_info[c].name;
}

const char *counter_help(counter_t c)
{
	return counter_info[c].help;
}

static void write_family(buf_t *out, const char *name, const char *help)
{
	buf_printf(out, "# HELP damasklug_%s_total %s\n", name, help);
	buf_printf(out, "# TYPE damasklug_%s_total counter\n", name);
}

static void write_reason_counter(buf_t *out, const char *family,
				 const char *reason, uint64_t value)
{
	buf_printf(out, "damasklug_%s_total{reason=\"%s\"} %llu\n", family,
		   reason, (unsigned long long)value);
}

static void write_responses(buf_t *out)
{
	write_family(out, "responses", "Responses to callers, by status");
	for (unsigned int s = 0; s < RESPONSE_SOURCE_COUNT; s++)
		for (unsigned int g = 0; g < RESPONSE_GROUP_COUNT; g++)
			buf_printf(out,
				   "damasklug_responses_total{status=\"%s\","
				   "by=\"%s\"} %llu\n",
				   response_groups[g], response_sources[s],
				   (unsigned long long)index_get(
					   response_index(s, g)));
}

void counter_write(buf_t *out)
{
	for (unsigned int c = 0; c < CTR_COUNT; c++) {
		write_family(out, counter_info[c].name, counter_info[c].help);
		buf_printf(out, "damasklug_%s_total %llu\n",
			   counter_info[c].name,
			   (unsigned long long)index_get(c));
	}
	write_family(out, "refused", "Requests refused or failed, by reason");
	for (unsigned int r = 1; r < REASON_COUNT; r++)
		write_reason_counter(out, "refused",
				     reason_info((reason_t)r)->name,
				     index_get(INDEX_REFUSED + r));
	write_family(out, "retried", "Attempts made again, by reason");
	for (unsigned int r = 0; r < RETRY_REASON_COUNT; r++)
		write_reason_counter(out, "retried",
				     retry_reason_name((retry_reason_t)r),
				     index_get(INDEX_RETRIED + r));
	write_responses(out);
}
