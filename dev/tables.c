/*
 * tables.c - measures the decided tables at several sizes: heap bytes per row,
 * time to apply a change, and time to save and load a snapshot. Prints tables.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "change.pb-c.h"
#include "machine.h"

/* Changes whose mean time is measured. */
#define N_CHANGES 10000u

static double now_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static size_t heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

/* Applies a change with this one operation on the current revision. */
static void apply_change(machine_t *m, Dk__Op *op)
{
	AUTO_BUF buf_t packed = {0};
	Dk__Change c = DK__CHANGE__INIT;
	decided_t *tables = machine_tables(m);
	uint64_t before = decided_revision(tables);
	char id[32];
	size_t n;

	snprintf(id, sizeof(id), "change-%llu", (unsigned long long)before);
	c.change_id = id;
	c.author = "operator";
	c.has_base_revision = true;
	c.base_revision = before;
	c.ops = &op;
	c.n_ops = 1;
	decided_unref(tables);
	n = dk__change__get_packed_size(&c);
	dk__change__pack(&c, (uint8_t *)buf_reserve(&packed, n));
	packed.n = n;
	machine_apply(m, machine_index(m) + 1, ENTRY_CHANGE, buf_str(&packed),
		      NULL);
	tables = machine_tables(m);
	if (decided_revision(tables) != before + 1)
		fprintf(stderr, "tables: a change was rejected\n");
	decided_unref(tables);
}

/* Publishes the next version of adapters from..from + n - 1 in one change. */
static void publish(machine_t *m, size_t from, size_t n)
{
	AUTO_FREE char **names = xcalloc(n, sizeof(*names));
	Dk__Publish p = DK__PUBLISH__INIT;
	Dk__Op op = DK__OP__INIT;

	for (size_t i = 0; i < n; i++) {
		names[i] = xmalloc(32);
		snprintf(names[i], 32, "kallithea-notice-%zu", from + i);
	}
	p.names = names;
	p.n_names = n;
	p.base_model = "heritage-8b";
	op.op_case = DK__OP__OP_ADAPTER_PUBLISH;
	op.adapter_publish = &p;
	apply_change(m, &op);
	for (size_t i = 0; i < n; i++)
		free(names[i]);
}

static void put_target(machine_t *m, size_t i)
{
	Dk__TargetPut t = DK__TARGET_PUT__INIT;
	Dk__Op op = DK__OP__INIT;
	char name[32];
	char url[48];

	snprintf(name, sizeof(name), "drafting-%zu", i);
	snprintf(url, sizeof(url), "http://10.%zu.%zu.%zu:8000", i >> 16 & 255,
		 i >> 8 & 255, i & 255);
	t.name = name;
	t.url = url;
	t.zone = "athens-north";
	t.base_model = "heritage-8b";
	t.has_slots = t.has_max_batch = true;
	t.slots = 8;
	t.max_batch = 16;
	op.op_case = DK__OP__OP_TARGET_PUT;
	op.target_put = &t;
	apply_change(m, &op);
}

static void measure_adapters(size_t n)
{
	size_t heap_before = heap_bytes();
	machine_t *m = machine_new();
	AUTO_BUF buf_t snapshot = {0};
	machine_t *copy;
	size_t row_bytes, total_bytes;
	double apply_s, save_s, load_s;

	publish(m, 0, n);
	row_bytes = heap_bytes() - heap_before;
	apply_s = now_s();
	for (size_t i = 0; i < N_CHANGES; i++) {
		/* A reader holds the tables, so each change copies them. */
		decided_t *reader = machine_tables(m);

		publish(m, i % n, 1);
		decided_unref(reader);
	}
	apply_s = now_s() - apply_s;
	total_bytes = heap_bytes() - heap_before;
	save_s = now_s();
	machine_save(m, MACHINE_ALL, &snapshot);
	save_s = now_s() - save_s;
	copy = machine_new();
	load_s = now_s();
	if (machine_load(copy, buf_str(&snapshot)))
		fprintf(stderr, "tables: cannot load the snapshot\n");
	load_s = now_s() - load_s;
	printf("%8zu %12.1f %12.2f %14.1f %12.2f %9.1f %9.1f\n", n,
	       (double)row_bytes / (double)n, (double)total_bytes / 1e6,
	       apply_s * 1e6 / N_CHANGES, (double)snapshot.n / 1e6,
	       save_s * 1e3, load_s * 1e3);
	machine_free(copy);
	machine_free(m);
}

static void measure_targets(size_t n)
{
	size_t heap_before = heap_bytes();
	machine_t *m = machine_new();
	double s = now_s();

	for (size_t i = 0; i < n; i++)
		put_target(m, i);
	s = now_s() - s;
	printf("%8zu %12.1f %14.1f\n", n,
	       (double)(heap_bytes() - heap_before) / (double)n,
	       s * 1e6 / (double)n);
	machine_free(m);
}

/* Applies one claim operation as a log entry of its own, without batching. */
static void apply_claim(machine_t *m, claim_op_t op, const char *key)
{
	static const char body[] = "{\"run\":1,\"posted\":true,\"ward\":7}";
	AUTO_BUF buf_t entry = {0};
	claim_req_t req = {0};

	req.op = op;
	req.org_id = 1;
	req.key = str_c(key);
	req.holder = STR("entry-4:1796331312462407:000017");
	req.body_hash = 1;
	if (op == CLAIM_OP_ANSWER) {
		req.http_status = 200;
		req.body = STR(body);
	}
	machine_pack_claims(&entry, &req, 1, machine_index(m));
	machine_apply(m, machine_index(m) + 1, ENTRY_CLAIM, buf_str(&entry),
		      NULL);
}

static void measure_claims(size_t n)
{
	size_t heap_before = heap_bytes();
	machine_t *m = machine_new();
	AUTO_BUF buf_t snapshot = {0};
	double s = now_s();
	size_t row_bytes;
	char key[48];

	for (size_t i = 0; i < n; i++) {
		snprintf(key, sizeof(key), "field-report-%016zx", i);
		apply_claim(m, CLAIM_OP_TAKE, key);
		apply_claim(m, CLAIM_OP_ANSWER, key);
	}
	s = now_s() - s;
	row_bytes = heap_bytes() - heap_before;
	machine_save(m, MACHINE_ALL, &snapshot);
	printf("%8zu %12.1f %16.2f %14.2f\n", n, (double)row_bytes / (double)n,
	       s * 1e6 / (double)(2 * n), (double)snapshot.n / 1e6);
	machine_free(m);
}

int main(void)
{
	static const size_t claims[] = {1000, 4000, 16000};
	static const size_t adapters[] = {1000, 3000, 6000, 12000};
	static const size_t targets[] = {250, 1000, 4000, 10000};

	printf("adapters  bytes/row  MB+10k chg  us/change   snapshot MB   "
	       "save ms   load ms\n");
	for (size_t i = 0; i < ARRAY_SIZE(adapters); i++)
		measure_adapters(adapters[i]);
	printf("\n targets  bytes/row (with kept changes)  us/change\n");
	for (size_t i = 0; i < ARRAY_SIZE(targets); i++)
		measure_targets(targets[i]);
	printf("\n  claims  bytes/claim  us/operation  snapshot MB\n");
	for (size_t i = 0; i < ARRAY_SIZE(claims); i++)
		measure_claims(claims[i]);
	return 0;
}
