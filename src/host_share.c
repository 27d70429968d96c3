/* host_share.c - which hosts callers are told, by their capacity and load. */
#include "host_share.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

/*
 * What one stream takes of a host that relays it. Only the relations between these
 * matter: they say which resource runs out first.
 */
#define STREAM_CORES 0.0007
#define STREAM_MBIT_PER_S 0.048
#define STREAM_MEMORY_MB 0.0625
#define STREAM_FDS 2.0
/* What a daemon without streams takes. */
#define IDLE_MEMORY_MB 32.0
#define IDLE_FDS 64.0
/* A host whose resources are all but used up by an idle daemon still counts. */
#define STREAMS_MIN 1.0

/*
 * What is left for streams where a host also has a disk, and so may carry the log;
 * and at the leader, which dispatches the requests of all hosts.
 */
#define DISK_HOST_REMAINDER 0.75
#define LEADER_REMAINDER 0.25

/* Version of the form of a capacity document; later fields go behind the last. */
#define CAPACITY_FORM 1u

/* Part of a new sample in the smoothed use of the processor. */
#define CPU_SMOOTHING 0.5
/* One slow turn alone may be a long task, such as reading a manifest. */
#define SLOW_TURNS_MIN 2u
#define MEGABYTE ((double)(1u << 20))

const char *host_load_name(host_load_t load)
{
	static const char *const names[] = {
#define X(name, text) text,
		HOST_LOADS(X)
#undef X
	};

	return names[load];
}

const char *host_shortage_name(host_shortage_t s)
{
	static const char *const names[] = {
#define X(name, text) text,
		HOST_SHORTAGES(X)
#undef X
	};

	return names[s];
}

/* Capacity. */

bool host_capacity_is_known(const host_capacity_t *c)
{
	return c->cores > 0 || c->link_mbit_per_s > 0 || c->memory_mb || c->fds;
}

/* In whole thousandths, as the body has no fractions. */
static uint64_t thousandths(double v)
{
	return v > 0 ? (uint64_t)(v * 1000 + 0.5) : 0;
}

void host_capacity_write(const host_capacity_t *c, buf_t *out)
{
	buf_printf(out, "%u %llu %llu %u %u %u", CAPACITY_FORM,
		   (unsigned long long)thousandths(c->cores),
		   (unsigned long long)thousandths(c->link_mbit_per_s),
		   c->memory_mb, c->fds, c->has_disk ? 1u : 0u);
}

int host_capacity_read(str_t body, host_capacity_t *out)
{
	uint64_t v[6];

	memset(out, 0, sizeof(*out));
	for (size_t i = 0; i < ARRAY_SIZE(v); i++) {
		str_t word, rest;

		str_split(body, ' ', &word, &rest);
		body = rest;
		if (str_to_u64(word, &v[i]) < 0 || v[i] > UINT32_MAX)
			return -1;
	}
	if (v[0] != CAPACITY_FORM)
		return -1;
	out->cores = (double)v[1] / 1000;
	out->link_mbit_per_s = (double)v[2] / 1000;
	out->memory_mb = (uint32_t)v[3];
	out->fds = (uint32_t)v[4];
	out->has_disk = v[5] != 0;
	return 0;
}

/* The smaller of streams and what one resource allows; 0 of it: unknown. */
static double bounded(double streams, double resource, double idle,
		      double per_stream)
{
	double n = (resource - idle) / per_stream;

	if (resource <= 0)
		return streams;
	return MIN(streams, MAX(n, STREAMS_MIN));
}

double host_capacity_streams(const host_capacity_t *c)
{
	double n = (double)UINT32_MAX;

	n = bounded(n, c->cores, 0, STREAM_CORES);
	n = bounded(n, c->link_mbit_per_s, 0, STREAM_MBIT_PER_S);
	n = bounded(n, c->memory_mb, IDLE_MEMORY_MB, STREAM_MEMORY_MB);
	return bounded(n, c->fds, IDLE_FDS, STREAM_FDS);
}

/* Selection. */

static bool equal_capacity(const host_capacity_t *a, const host_capacity_t *b)
{
	return a->cores == b->cores &&
	       a->link_mbit_per_s == b->link_mbit_per_s &&
	       a->memory_mb == b->memory_mb && a->fds == b->fds;
}

/* A host of which no capacity is known differs from no other in it. */
static bool all_equal(const host_row_t *rows, size_t n)
{
	const host_row_t *known = NULL;

	for (size_t i = 0; i < n; i++) {
		if (rows[i].load != rows[0].load)
			return false;
		if (!host_capacity_is_known(&rows[i].capacity))
			continue;
		if (known &&
		    !equal_capacity(&known->capacity, &rows[i].capacity))
			return false;
		known = &rows[i];
	}
	return true;
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Median of the capacities that are known, for hosts of which none is. */
static double usual_streams(const host_row_t *rows, size_t n)
{
	AUTO_FREE double *known = xcalloc(n + 1, sizeof(*known));
	size_t n_known = 0;

	for (size_t i = 0; i < n; i++)
		if (host_capacity_is_known(&rows[i].capacity))
			known[n_known++] =
				host_capacity_streams(&rows[i].capacity);
	if (!n_known)
		return 1;
	qsort(known, n_known, sizeof(*known), compare_doubles);
	return known[n_known / 2];
}

/* What the host can carry, relative to others. */
static double row_weight(const host_row_t *r, double usual)
{
	static const double by_load[HOST_LOAD_COUNT] = {
		[HOST_LOAD_NORMAL] = 1,
		[HOST_LOAD_STRAINED] = 0.5,
		[HOST_LOAD_FULL] = 0.125,
	};
	double w = host_capacity_is_known(&r->capacity)
			   ? host_capacity_streams(&r->capacity)
			   : usual;

	if (r->is_leader)
		w *= LEADER_REMAINDER;
	else if (r->capacity.has_disk)
		w *= DISK_HOST_REMAINDER;
	return w * by_load[r->load];
}

/*
 * Length of the list: as many as leave even the largest host below certainty, as a
 * host that is in all lists cannot be listed more often.
 */
static size_t list_length(const double *weights, size_t n, size_t max)
{
	double sum = 0;
	double largest = 0;
	size_t length;

	for (size_t i = 0; i < n; i++) {
		sum += weights[i];
		largest = MAX(largest, weights[i]);
	}
	length = (size_t)(sum / largest);
	length = CLAMP(length, HOST_SHARE_LIST_MIN, HOST_SHARE_LIST_MAX);
	return MIN(length, MIN(n, max));
}

/*
 * Turns weights into probabilities with the sum length: in proportion, but at most 1,
 * which leaves more for the others.
 */
static void fill_probabilities(double *p, size_t n, size_t length)
{
	AUTO_FREE bool *certain = xcalloc(n + 1, sizeof(*certain));
	size_t left = length;
	bool again = true;
	double scale = 0;

	while (again && left) {
		double sum = 0;

		again = false;
		for (size_t i = 0; i < n; i++)
			sum += certain[i] ? 0 : p[i];
		scale = (double)left / sum;
		for (size_t i = 0; i < n && left; i++) {
			if (certain[i] || p[i] * scale < 1)
				continue;
			certain[i] = true;
			left--;
			again = true;
		}
	}
	for (size_t i = 0; i < n; i++)
		p[i] = certain[i] ? 1 : p[i] * scale;
}

static uint64_t next_draw(uint64_t *draw)
{
	*draw = hash_bytes(draw, sizeof(*draw), 1);
	return *draw;
}

/* A permutation, so that any hosts may be listed together. */
static void shuffle(uint32_t *order, size_t n, uint64_t *draw)
{
	for (size_t i = 0; i < n; i++)
		order[i] = (uint32_t)i;
	for (size_t i = n; i > 1; i--) {
		size_t j = (size_t)(next_draw(draw) % i);
		uint32_t t = order[i - 1];

		order[i - 1] = order[j];
		order[j] = t;
	}
}

/*
 * Systematic sampling: the probabilities are added up, and a row is selected where the
 * sum passes offset, offset + 1, offset + 2 and so on. No row comes twice, as no
 * probability exceeds 1.
 */
static size_t sample(const double *p, const uint32_t *order, size_t n,
		     double offset, uint32_t *out, size_t length)
{
	double end = 0;
	size_t n_out = 0;

	for (size_t i = 0; i < n && n_out < length; i++) {
		end += p[order[i]];
		if (offset + (double)n_out < end)
			out[n_out++] = order[i];
	}
	return n_out;
}

size_t host_share_select(const host_row_t *rows, size_t n, uint64_t draw,
			 uint32_t *out, size_t max)
{
	AUTO_FREE double *p = NULL;
	AUTO_FREE uint32_t *order = NULL;
	double usual, offset;
	size_t length;

	if (n <= HOST_SHARE_LIST_MIN || all_equal(rows, n)) {
		for (size_t i = 0; i < n && i < max; i++)
			out[i] = (uint32_t)i;
		return MIN(n, max);
	}
	p = xcalloc(n, sizeof(*p));
	order = xcalloc(n, sizeof(*order));
	usual = usual_streams(rows, n);
	for (size_t i = 0; i < n; i++)
		p[i] = row_weight(&rows[i], usual);
	length = list_length(p, n, max);
	fill_probabilities(p, n, length);
	shuffle(order, n, &draw);
	offset = hash_fraction(next_draw(&draw));
	return sample(p, order, n, offset, out, length);
}

/* What the hosts of one zone can carry together. */
typedef struct zone_sum {
	str_t zone;
	double weight;
	size_t n;
} zone_sum_t;

static zone_sum_t *find_zone(zone_sum_t *sums, size_t *n, str_t zone)
{
	for (size_t i = 0; i < *n; i++)
		if (str_eq(sums[i].zone, zone))
			return &sums[i];
	sums[*n].zone = zone;
	return &sums[(*n)++];
}

void host_share_parts(const host_row_t *rows, size_t n, double *parts)
{
	AUTO_FREE zone_sum_t *sums = xcalloc(n + 1, sizeof(*sums));
	double usual = usual_streams(rows, n);
	bool equal = all_equal(rows, n);
	size_t n_sums = 0;

	for (size_t i = 0; i < n; i++) {
		zone_sum_t *sum = find_zone(sums, &n_sums, rows[i].zone);

		sum->weight += row_weight(&rows[i], usual);
		sum->n++;
	}
	for (size_t i = 0; i < n; i++) {
		const zone_sum_t *sum = find_zone(sums, &n_sums, rows[i].zone);

		parts[i] = equal || sum->n <= HOST_SHARE_LIST_MIN
				   ? 1 / (double)sum->n
				   : row_weight(&rows[i], usual) / sum->weight;
	}
}

/* Load of this host. */

/* How much of a resource is used, and from which parts on it is short. */
typedef struct use {
	double ratio;
	double strained_from;
	double full_from;
	host_shortage_t what;
} use_t;

static double ratio_of(double used, double allowed)
{
	return allowed > 0 ? used / allowed : 0;
}

/* The class that one sample shows, and by what. */
static host_load_t sample_load(const host_judge_t *j, const host_capacity_t *c,
			       const host_usage_t *u, int64_t elapsed_us,
			       host_shortage_t *what)
{
	double slow_us = u->n_slow - j->last.n_slow >= SLOW_TURNS_MIN
				 ? (double)(u->slow_us - j->last.slow_us)
				 : 0;
	const use_t uses[] = {
		{j->cpu_ratio, 0.8, 0.95, HOST_SHORT_OF_PROCESSOR},
		{ratio_of(slow_us, (double)elapsed_us), 0.2, 0.5,
		 HOST_SHORT_OF_TURNS},
		{ratio_of((double)u->memory, c->memory_mb * MEGABYTE), 0.75,
		 0.9, HOST_SHORT_OF_MEMORY},
		{ratio_of((double)u->unsent, (double)u->unsent_max), 0.5, 0.9,
		 HOST_SHORT_OF_UNSENT},
		{ratio_of((double)u->fds, c->fds), 0.75, 0.9,
		 HOST_SHORT_OF_FDS},
	};
	host_load_t worst = HOST_LOAD_NORMAL;

	*what = HOST_SHORT_OF_NOTHING;
	for (size_t i = 0; i < ARRAY_SIZE(uses); i++) {
		host_load_t load = HOST_LOAD_NORMAL;

		if (uses[i].ratio >= uses[i].full_from)
			load = HOST_LOAD_FULL;
		else if (uses[i].ratio >= uses[i].strained_from)
			load = HOST_LOAD_STRAINED;
		if (load <= worst)
			continue;
		worst = load;
		*what = uses[i].what;
	}
	return worst;
}

static void smooth_cpu(host_judge_t *j, const host_capacity_t *c,
		       const host_usage_t *u, int64_t elapsed_us)
{
	double ratio = ratio_of((double)(u->cpu_us - j->last.cpu_us),
				c->cores * (double)elapsed_us);

	j->cpu_ratio += (ratio - j->cpu_ratio) * CPU_SMOOTHING;
}

host_load_t host_judge_add(host_judge_t *j, const host_capacity_t *c,
			   const host_usage_t *u, int64_t now_us)
{
	int64_t elapsed_us = now_us - j->last_us;
	host_shortage_t what;
	host_load_t seen, worse;

	if (!j->last_us || elapsed_us <= 0) {
		j->last = *u;
		j->last_us = now_us;
		return j->load;
	}
	smooth_cpu(j, c, u, elapsed_us);
	seen = sample_load(j, c, u, elapsed_us, &what);
	j->last = *u;
	j->last_us = now_us;
	worse = MIN(seen, j->seen_before);
	j->seen_before = seen;
	if (worse > j->load) {
		j->load = worse;
		j->short_of = what;
	}
	if (seen >= j->load) {
		j->better_since_us = 0;
	} else if (!j->better_since_us) {
		j->better_since_us = now_us;
	} else if (now_us - j->better_since_us >= HOST_CALM_US) {
		j->load--;
		j->better_since_us = now_us;
	}
	if (j->load == HOST_LOAD_NORMAL)
		j->short_of = HOST_SHORT_OF_NOTHING;
	return j->load;
}

/* Loads of other hosts. */

typedef struct load_entry {
	host_load_t load;
	int64_t until_us;
} load_entry_t;

struct host_loads {
	GHashTable *by_host; /* of those that are not normal */
};

host_loads_t *host_loads_new(void)
{
	host_loads_t *l = xcalloc(1, sizeof(*l));

	l->by_host = g_hash_table_new_full(NULL, NULL, NULL, free);
	return l;
}

void host_loads_free(host_loads_t *l)
{
	if (!l)
		return;
	g_hash_table_destroy(l->by_host);
	free(l);
}

bool host_loads_set(host_loads_t *l, host_id_t host, host_load_t load,
		    int64_t until_us, int64_t now_us)
{
	bool changed = host_loads_get(l, host, now_us) != load;
	load_entry_t *e;

	if (load == HOST_LOAD_NORMAL) {
		g_hash_table_remove(l->by_host, GUINT_TO_POINTER(host));
		return changed;
	}
	e = xcalloc(1, sizeof(*e));
	e->load = load;
	e->until_us = until_us;
	g_hash_table_replace(l->by_host, GUINT_TO_POINTER(host), e);
	return changed;
}

host_load_t host_loads_get(const host_loads_t *l, host_id_t host,
			   int64_t now_us)
{
	const load_entry_t *e =
		g_hash_table_lookup(l->by_host, GUINT_TO_POINTER(host));

	return e && now_us < e->until_us ? e->load : HOST_LOAD_NORMAL;
}

void host_loads_clear(host_loads_t *l)
{
	g_hash_table_remove_all(l->by_host);
}

bool host_loads_empty(const host_loads_t *l)
{
	return g_hash_table_size(l->by_host) == 0;
}

bool host_loads_expire(host_loads_t *l, int64_t now_us)
{
	GHashTableIter it;
	void *value;
	bool any = false;

	g_hash_table_iter_init(&it, l->by_host);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (now_us < ((load_entry_t *)value)->until_us)
			continue;
		g_hash_table_iter_remove(&it);
		any = true;
	}
	return any;
}

size_t host_loads_list(const host_loads_t *l, host_load_t load, host_id_t *out,
		       size_t max)
{
	GHashTableIter it;
	void *key, *value;
	size_t n = 0;

	g_hash_table_iter_init(&it, l->by_host);
	while (n < max && g_hash_table_iter_next(&it, &key, &value))
		if (((load_entry_t *)value)->load == load)
			out[n++] = GPOINTER_TO_UINT(key);
	return n;
}

/* Spreading. */

bool host_spread_begin(host_spread_t *s, bool all_normal, int64_t now_us)
{
	if (s->in_round ||
	    (!s->changed &&
	     (all_normal || now_us - s->began_us < HOST_SPREAD_AGAIN_US)))
		return false;
	s->changed = false;
	s->in_round = true;
	s->at = 0;
	s->began_us = now_us;
	return true;
}

size_t host_spread_step(host_spread_t *s, size_t n_hosts, size_t bytes,
			size_t *first)
{
	size_t n = HOST_SPREAD_STEP_BYTES / MAX(bytes, 1);

	n = CLAMP(n, 1, HOST_SPREAD_STEP_MESSAGES);
	*first = MIN(s->at, n_hosts);
	n = MIN(n, n_hosts - *first);
	s->at = *first + n;
	s->in_round = s->at < n_hosts;
	return n;
}
