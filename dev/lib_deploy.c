/* lib_deploy.c - deployment files, generated arrivals and traces. */
#include "lib_deploy.h"

#include "toml.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef enum field_kind {
	FIELD_STR,
	FIELD_INT,
	FIELD_NUM,
	FIELD_STRS, /* array of strings; its length goes to another member */
} field_kind_t;

/* Where the value of a key in the file is stored. */
typedef struct field {
	const char *section, *key;
	field_kind_t kind;
	size_t offset;		  /* of the member in its struct */
	size_t count_offset, max; /* of FIELD_STRS: its count, its capacity */
} field_t;

#define F_STR(section, key, member)                                       \
	{                                                                 \
		section, key, FIELD_STR, offsetof(deploy_t, member), 0, 0 \
	}
#define F_INT(section, key, member)                                       \
	{                                                                 \
		section, key, FIELD_INT, offsetof(deploy_t, member), 0, 0 \
	}
#define F_NUM(section, key, member)                                       \
	{                                                                 \
		section, key, FIELD_NUM, offsetof(deploy_t, member), 0, 0 \
	}

static const field_t deploy_fields[] = {
	F_STR("", "name", name),
	F_STR("", "base_model", base_model),
	F_STR("", "region", region),
	{"", "zones", FIELD_STRS, offsetof(deploy_t, zones),
	 offsetof(deploy_t, n_zones), DEPLOY_ZONES_MAX},
	F_INT("", "hosts", hosts),
	F_INT("", "voters", voters),
	F_NUM("", "stall_weight", stall_weight),
	F_NUM("", "batch_weight", batch_weight),
	F_INT("network", "zone_delay_us", zone_delay_us),
	F_INT("network", "caller_delay_us", caller_delay_us),
	F_INT("network", "local_delay_us", local_delay_us),
	F_STR("runners", "name", runner_name),
	F_INT("runners", "count", runners),
	F_INT("runners", "slots", slots),
	F_INT("runners", "max_batch", max_batch),
	F_INT("runners", "step_us", step_us),
	F_NUM("runners", "step_growth", step_growth),
	F_STR("services", "name", service_name),
	F_INT("services", "count", services),
	F_INT("services", "delay_ms", service_delay_ms),
	F_NUM("services", "calls_per_s", calls_per_s),
	F_NUM("services", "not_repeatable_share", not_repeatable_share),
	F_INT("store", "load_ms", load_ms),
	F_INT("store", "concurrency", store_concurrency),
	F_STR("organisations", "template", template_name),
	{"organisations", "names", FIELD_STRS, offsetof(deploy_t, orgs),
	 offsetof(deploy_t, n_orgs), DEPLOY_ORGS_MAX},
	F_INT("organisations", "adapters_each", adapters_each),
	F_NUM("traffic", "requests_per_s", requests_per_s),
	F_NUM("traffic", "zipf", zipf),
	F_INT("traffic", "callers", callers),
	F_NUM("traffic", "warm_up_s", warm_up_s),
	F_INT("traffic", "address_ttl_ms", address_ttl_ms),
};

#define C_FIELD(key, kind)                                           \
	{                                                            \
		"", #key, kind, offsetof(traffic_class_t, key), 0, 0 \
	}
#define P_FIELD(key, kind)                                   \
	{                                                    \
		"", #key, kind, offsetof(phase_t, key), 0, 0 \
	}

static const field_t class_fields[] = {
	C_FIELD(name, FIELD_STR),	   C_FIELD(share, FIELD_NUM),
	C_FIELD(priority, FIELD_INT),	   C_FIELD(deadline_ms, FIELD_INT),
	C_FIELD(prompt_tokens, FIELD_INT), C_FIELD(output_tokens, FIELD_INT),
};

static const field_t phase_fields[] = {
	P_FIELD(name, FIELD_STR),
	P_FIELD(seconds, FIELD_NUM),
	P_FIELD(rate_factor, FIELD_NUM),
	P_FIELD(shifted_share, FIELD_NUM),
	P_FIELD(surge_adapters, FIELD_INT),
	P_FIELD(surge_deadline_ms, FIELD_INT),
	P_FIELD(scan_per_s, FIELD_NUM),
	P_FIELD(store_factor, FIELD_NUM),
	P_FIELD(load_failure_share, FIELD_NUM),
	P_FIELD(restart_at_s, FIELD_NUM),
	P_FIELD(lose_host_at_s, FIELD_NUM),
};

static const field_t *find_field(const field_t *fields, size_t n,
				 const toml_item_t *it, bool in_table)
{
	for (size_t i = 0; i < n; i++) {
		if (!str_eq(it->key, str_c(fields[i].key)))
			continue;
		if (in_table || str_eq(it->section, str_c(fields[i].section)))
			return &fields[i];
	}
	return NULL;
}

static int set_value(void *base, const field_t *f, const toml_item_t *it)
{
	void *at = (char *)base + f->offset;
	size_t *count;

	switch (f->kind) {
	case FIELD_STR:
		if (it->kind != TOML_STRING)
			return -1;
		*(char **)at = str_dup(it->string);
		return 0;
	case FIELD_INT:
		if (it->kind != TOML_INTEGER)
			return -1;
		*(int64_t *)at = it->integer;
		return 0;
	case FIELD_NUM:
		if (it->kind != TOML_INTEGER && it->kind != TOML_FLOAT)
			return -1;
		*(double *)at = it->number;
		return 0;
	case FIELD_STRS:
		count = (size_t *)((char *)base + f->count_offset);
		if (it->kind != TOML_STRING || it->element_index > f->max)
			return -1;
		((char **)at)[it->element_index - 1] = str_dup(it->string);
		*count = it->element_index;
		return 0;
	}
	return -1;
}

static int set_item(deploy_t *d, const toml_item_t *it)
{
	const field_t *f;

	if (str_eq(it->section, STR("classes"))) {
		if (it->table_index > DEPLOY_CLASSES_MAX)
			return -1;
		d->n_classes = it->table_index;
		f = find_field(class_fields, ARRAY_SIZE(class_fields), it,
			       true);
		return f ? set_value(&d->classes[it->table_index - 1], f, it)
			 : -1;
	}
	if (str_eq(it->section, STR("phases"))) {
		if (it->table_index > DEPLOY_PHASES_MAX)
			return -1;
		d->n_phases = it->table_index;
		f = find_field(phase_fields, ARRAY_SIZE(phase_fields), it,
			       true);
		return f ? set_value(&d->phases[it->table_index - 1], f, it)
			 : -1;
	}
	f = find_field(deploy_fields, ARRAY_SIZE(deploy_fields), it, false);
	return f ? set_value(d, f, it) : -1;
}

static const char *missing_keys(const deploy_t *d)
{
	if (!d->name || !d->base_model || !d->runner_name || !d->service_name)
		return "name, base_model, runners.name and services.name";
	if (!d->n_zones || !d->n_orgs || d->hosts < 1 || d->runners < 1)
		return "zones, organisations.names, hosts and runners.count";
	if (!d->n_classes || !d->n_phases || d->requests_per_s <= 0)
		return "classes, phases and traffic.requests_per_s";
	if (d->adapters_each < 1 || d->slots < 1 || d->max_batch < 1)
		return "organisations.adapters_each, runners.slots, .max_batch";
	return NULL;
}

int deploy_load(deploy_t *d, const char *path)
{
	AUTO_BUF buf_t errors = {0};
	toml_doc_t *doc = toml_parse_file(path, &errors);
	const char *missing;
	int rc = doc ? 0 : -1;

	memset(d, 0, sizeof(*d));
	for (size_t i = 0; doc && i < toml_item_count(doc); i++) {
		const toml_item_t *it = toml_item_at(doc, i);

		if (set_item(d, it) == 0)
			continue;
		buf_printf(&errors, "%s:%u: %.*s: unknown key or wrong type\n",
			   path, it->line, STR_ARG(it->key));
		rc = -1;
	}
	missing = rc ? NULL : missing_keys(d);
	if (missing) {
		buf_printf(&errors, "%s: needs %s\n", path, missing);
		rc = -1;
	}
	if (rc)
		fprintf(stderr, "%.*s", STR_ARG(buf_str(&errors)));
	if (doc)
		toml_free(doc);
	return rc;
}

void deploy_free(deploy_t *d)
{
	free(d->name);
	free(d->base_model);
	free(d->region);
	free(d->template_name);
	free(d->runner_name);
	free(d->service_name);
	for (size_t i = 0; i < d->n_zones; i++)
		free(d->zones[i]);
	for (size_t i = 0; i < d->n_orgs; i++)
		free(d->orgs[i]);
	for (size_t i = 0; i < d->n_classes; i++)
		free(d->classes[i].name);
	for (size_t i = 0; i < d->n_phases; i++)
		free(d->phases[i].name);
	memset(d, 0, sizeof(*d));
}

size_t deploy_adapter_count(const deploy_t *d)
{
	return d->n_orgs * (size_t)d->adapters_each;
}

size_t deploy_adapter_org(const deploy_t *d, size_t i)
{
	return i / (size_t)d->adapters_each;
}

void deploy_adapter_name(const deploy_t *d, size_t i, char *out, size_t n)
{
	snprintf(out, n, "%s-%zu", d->orgs[deploy_adapter_org(d, i)],
		 i % (size_t)d->adapters_each + 1);
}

const phase_t *deploy_phase(const deploy_t *d, const char *name)
{
	for (size_t i = 0; i < d->n_phases; i++)
		if (!strcmp(d->phases[i].name, name))
			return &d->phases[i];
	return NULL;
}

/* --- traffic ------------------------------------------------------------ */

/* Zipf distribution of requests over the adapters, in a random ranking. */
typedef struct popularity {
	double *cumulative; /* by rank: its share and those before it */
	uint32_t *adapter;  /* adapter at each rank, the most popular first */
	size_t n;
} popularity_t;

static void shuffle(GRand *rand, uint32_t *v, size_t n)
{
	for (size_t i = n; i > 1; i--) {
		size_t j = (size_t)g_rand_int_range(rand, 0, (gint32)i);
		uint32_t t = v[i - 1];

		v[i - 1] = v[j];
		v[j] = t;
	}
}

static void popularity_init(popularity_t *p, const deploy_t *d)
{
	GRand *rand = g_rand_new_with_seed(
		(guint32)hash_bytes(d->name, strlen(d->name), 0));
	double sum = 0;

	p->n = deploy_adapter_count(d);
	p->cumulative = xcalloc(p->n, sizeof(*p->cumulative));
	p->adapter = xcalloc(p->n, sizeof(*p->adapter));
	for (size_t i = 0; i < p->n; i++) {
		sum += pow((double)(i + 1), -d->zipf);
		p->cumulative[i] = sum;
		p->adapter[i] = (uint32_t)i;
	}
	for (size_t i = 0; i < p->n; i++)
		p->cumulative[i] /= sum;
	shuffle(rand, p->adapter, p->n);
	g_rand_free(rand);
}

static void popularity_free(popularity_t *p)
{
	free(p->cumulative);
	free(p->adapter);
}

/* Swaps a random share of the ranks with ranks drawn at random. */
static void popularity_shift(popularity_t *p, GRand *rand, double share)
{
	for (size_t i = 0; i < p->n; i++) {
		size_t j;
		uint32_t t;

		if (g_rand_double(rand) >= share)
			continue;
		j = (size_t)g_rand_int_range(rand, 0, (gint32)p->n);
		t = p->adapter[i];
		p->adapter[i] = p->adapter[j];
		p->adapter[j] = t;
	}
}

static uint32_t popularity_draw(const popularity_t *p, GRand *rand)
{
	double x = g_rand_double(rand);
	size_t lo = 0, hi = p->n - 1;

	while (lo < hi) {
		size_t mid = (lo + hi) / 2;

		if (p->cumulative[mid] < x)
			lo = mid + 1;
		else
			hi = mid;
	}
	return p->adapter[lo];
}

/* Time in seconds to the next arrival of a Poisson process. */
static double draw_interval(GRand *rand, double rate)
{
	return -log(1 - g_rand_double(rand)) / rate;
}

/* Draws uniformly from half to one and a half times the mean; at least 1. */
static uint32_t draw_token_count(GRand *rand, int64_t mean)
{
	double x = (double)mean * g_rand_double_range(rand, 0.5, 1.5);

	return x < 1 ? 1 : (uint32_t)x;
}

static uint32_t draw_class(const deploy_t *d, GRand *rand)
{
	double x = g_rand_double(rand);

	for (size_t i = 0; i + 1 < d->n_classes; i++) {
		if (x < d->classes[i].share)
			return (uint32_t)i;
		x -= d->classes[i].share;
	}
	return (uint32_t)d->n_classes - 1;
}

static arrival_t make_arrival(const deploy_t *d, GRand *rand, double at_s,
			      uint32_t adapter)
{
	arrival_t a = {.at_us = (int64_t)(at_s * USEC_PER_SEC)};
	const traffic_class_t *c;
	char name[256];

	a.class_index = draw_class(d, rand);
	c = &d->classes[a.class_index];
	deploy_adapter_name(d, adapter, name, sizeof(name));
	a.adapter = g_intern_string(name);
	a.org = g_intern_string(d->orgs[deploy_adapter_org(d, adapter)]);
	a.prompt_tokens = draw_token_count(rand, c->prompt_tokens);
	a.output_tokens = draw_token_count(rand, c->output_tokens);
	a.priority = (int32_t)c->priority;
	a.deadline_us = c->deadline_ms * USEC_PER_MSEC;
	return a;
}

/* Adds Poisson arrivals in [from_s, to_s) for adapters drawn by popularity. */
static void add_steady_arrivals(GArray *out, const deploy_t *d,
				const popularity_t *p, GRand *rand,
				double from_s, double to_s)
{
	double t = from_s + draw_interval(rand, d->requests_per_s);

	while (t < to_s) {
		arrival_t a =
			make_arrival(d, rand, t, popularity_draw(p, rand));

		a.warm_up = from_s == 0 && d->warm_up_s > 0;
		g_array_append_val(out, a);
		t += draw_interval(rand, d->requests_per_s);
	}
}

/*
 * Adds a surge: more requests for a few adapters, at a rate that rises linearly
 * until to_s, as before an assembly.
 */
static void add_surge_arrivals(GArray *out, const deploy_t *d,
			       const phase_t *phase, GRand *rand, double from_s,
			       double to_s)
{
	double added = d->requests_per_s * (phase->rate_factor - 1);
	size_t n = (size_t)(added * (to_s - from_s));
	uint32_t *chosen = xcalloc(deploy_adapter_count(d), sizeof(*chosen));

	for (size_t i = 0; i < deploy_adapter_count(d); i++)
		chosen[i] = (uint32_t)i;
	shuffle(rand, chosen, deploy_adapter_count(d));
	for (size_t i = 0; i < n; i++) {
		double x = sqrt(g_rand_double(rand));
		uint32_t k = (uint32_t)g_rand_int_range(
			rand, 0, (gint32)phase->surge_adapters);
		arrival_t a = make_arrival(
			d, rand, from_s + x * (to_s - from_s), chosen[k]);

		if (phase->surge_deadline_ms)
			a.deadline_us =
				phase->surge_deadline_ms * USEC_PER_MSEC;
		g_array_append_val(out, a);
	}
	free(chosen);
}

/* Adds one request for each of the least popular adapters, evenly spaced. */
static void add_scan_arrivals(GArray *out, const deploy_t *d,
			      const popularity_t *p, const phase_t *phase,
			      GRand *rand, double from_s, double to_s)
{
	size_t i = p->n;

	for (double t = from_s; t < to_s && i > 0; t += 1 / phase->scan_per_s) {
		arrival_t a = make_arrival(d, rand, t, p->adapter[--i]);

		g_array_append_val(out, a);
	}
}

static int compare_arrivals(const void *x, const void *y)
{
	const arrival_t *a = x, *b = y;

	return (a->at_us > b->at_us) - (a->at_us < b->at_us);
}

GArray *deploy_arrivals(const deploy_t *d, const phase_t *phase, uint64_t seed)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(arrival_t));
	GRand *rand = g_rand_new_with_seed(
		(guint32)hash_bytes(phase->name, strlen(phase->name), seed));
	double end_s = d->warm_up_s + phase->seconds;
	popularity_t p;

	popularity_init(&p, d);
	add_steady_arrivals(out, d, &p, rand, 0, d->warm_up_s);
	if (phase->shifted_share > 0)
		popularity_shift(&p, rand, phase->shifted_share);
	add_steady_arrivals(out, d, &p, rand, d->warm_up_s, end_s);
	if (phase->rate_factor > 1 && phase->surge_adapters > 0)
		add_surge_arrivals(out, d, phase, rand, d->warm_up_s, end_s);
	if (phase->scan_per_s > 0)
		add_scan_arrivals(out, d, &p, phase, rand, d->warm_up_s, end_s);
	g_array_sort(out, compare_arrivals);
	popularity_free(&p);
	g_rand_free(rand);
	return out;
}

/* --- traces ------------------------------------------------------------- */

#define TRACE_HEADER                                             \
	"arrival_ms,adapter,version,organisation,prompt_tokens," \
	"output_tokens,priority,deadline_ms"
#define TRACE_COLUMNS 8

static int parse_trace_line(char *line, arrival_t *a)
{
	char **v = g_strsplit(g_strchomp(line), ",", -1);
	int rc = -1;

	if (g_strv_length(v) != TRACE_COLUMNS)
		goto out;
	memset(a, 0, sizeof(*a));
	a->at_us = (int64_t)(g_ascii_strtod(v[0], NULL) * USEC_PER_MSEC);
	a->adapter = g_intern_string(g_strstrip(v[1]));
	a->version = (uint32_t)g_ascii_strtoull(v[2], NULL, 10);
	a->org = g_intern_string(g_strstrip(v[3]));
	a->prompt_tokens = (uint32_t)g_ascii_strtoull(v[4], NULL, 10);
	a->output_tokens = (uint32_t)g_ascii_strtoull(v[5], NULL, 10);
	a->priority = (int32_t)g_ascii_strtoll(v[6], NULL, 10);
	a->deadline_us = g_ascii_strtoll(v[7], NULL, 10) * USEC_PER_MSEC;
	if (a->adapter[0] && a->output_tokens && a->deadline_us > 0)
		rc = 0;
out:
	g_strfreev(v);
	return rc;
}

GArray *trace_read(const char *path)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(arrival_t));
	FILE *f = fopen(path, "r");
	char line[1024];
	unsigned n = 0;

	if (!f) {
		fprintf(stderr, "%s: cannot be read\n", path);
		goto fail;
	}
	while (fgets(line, sizeof(line), f)) {
		arrival_t a;

		if (++n == 1 && g_str_has_prefix(line, "arrival_ms"))
			continue;
		if (parse_trace_line(line, &a)) {
			fprintf(stderr, "%s:%u: expected %s\n", path, n,
				TRACE_HEADER);
			goto fail;
		}
		g_array_append_val(out, a);
	}
	fclose(f);
	g_array_sort(out, compare_arrivals);
	return out;
fail:
	if (f)
		fclose(f);
	g_array_free(out, TRUE);
	return NULL;
}

int trace_write(const char *path, const GArray *arrivals)
{
	FILE *f = fopen(path, "w");

	if (!f)
		return -1;
	fprintf(f, "%s\n", TRACE_HEADER);
	for (guint i = 0; i < arrivals->len; i++) {
		const arrival_t *a = &g_array_index(arrivals, arrival_t, i);

		fprintf(f, "%.3f,%s,%u,%s,%u,%u,%d,%lld\n",
			(double)a->at_us / USEC_PER_MSEC, a->adapter,
			a->version, a->org, a->prompt_tokens, a->output_tokens,
			a->priority,
			(long long)(a->deadline_us / USEC_PER_MSEC));
	}
	return fclose(f) ? -1 : 0;
}
