/*
 * tables.c - measures the decided state: heap bytes for each row, time to
 * apply changes and to load a snapshot, at several sizes. Prints a table.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "change.pb-c.h"
#include "machine.h"

#define CHANGES 10000u

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

static void apply(machine_t *m, Dk__Op *op)
{
	AUTO_BUF buf_t packed = {0};
	Dk__Change c = DK__CHANGE__INIT;
	decided_t *d = machine_tables(m);
	uint64_t before = decided_revision(d);
	char id[32];
	size_t n;

	snprintf(id, sizeof(id), "change-%llu", (unsigned long long)before);
	c.change_id = id;
	c.author = "operator";
	c.has_base_revision = true;
	c.base_revision = before;
	c.ops = &op;
	c.n_ops = 1;
	decided_unref(d);
	n = dk__change__get_packed_size(&c);
	dk__change__pack(&c, (uint8_t *)buf_reserve(&packed, n));
	packed.n = n;
	machine_apply(m, machine_index(m) + 1, ENTRY_CHANGE, buf_str(&packed),
		      NULL);
	d = machine_tables(m);
	if (decided_revision(d) != before + 1)
		fprintf(stderr, "tables: a change was not decided\n");
	decided_unref(d);
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
	apply(m, &op);
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
	apply(m, &op);
}

static void measure_adapters(size_t n)
{
	size_t start = heap_bytes();
	machine_t *m = machine_new();
	AUTO_BUF buf_t snapshot = {0};
	machine_t *copy;
	size_t rows, all;
	double apply_s, save_s, load_s;

	publish(m, 0, n);
	rows = heap_bytes() - start;
	apply_s = now_s();
	for (size_t i = 0; i < CHANGES; i++) {
		/* A reader holds the tables, so that each change copies. */
		decided_t *held = machine_tables(m);

		publish(m, i % n, 1);
		decided_unref(held);
	}
	apply_s = now_s() - apply_s;
	all = heap_bytes() - start;
	save_s = now_s();
	machine_save(m, MACHINE_ALL, &snapshot);
	save_s = now_s() - save_s;
	copy = machine_new();
	load_s = now_s();
	if (machine_load(copy, buf_str(&snapshot)))
		fprintf(stderr, "tables: the snapshot does not load\n");
	load_s = now_s() - load_s;
	printf("%8zu %12.1f %12.2f %14.1f %12.2f %9.1f %9.1f\n", n,
	       (double)rows / (double)n, (double)all / 1e6,
	       apply_s * 1e6 / CHANGES, (double)snapshot.n / 1e6, save_s * 1e3,
	       load_s * 1e3);
	machine_free(copy);
	machine_free(m);
}

static void measure_targets(size_t n)
{
	size_t start = heap_bytes();
	machine_t *m = machine_new();
	double s = now_s();

	for (size_t i = 0; i < n; i++)
		put_target(m, i);
	s = now_s() - s;
	printf("%8zu %12.1f %14.1f\n", n,
	       (double)(heap_bytes() - start) / (double)n, s * 1e6 / (double)n);
	machine_free(m);
}

/* One decided operation; each is an entry of its own, as without batching. */
static void claim(machine_t *m, claim_op_t op, const char *key)
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
	size_t start = heap_bytes();
	machine_t *m = machine_new();
	AUTO_BUF buf_t snapshot = {0};
	double s = now_s();
	size_t rows;
	char key[48];

	for (size_t i = 0; i < n; i++) {
		snprintf(key, sizeof(key), "field-report-%016zx", i);
		claim(m, CLAIM_OP_TAKE, key);
		claim(m, CLAIM_OP_ANSWER, key);
	}
	s = now_s() - s;
	rows = heap_bytes() - start;
	machine_save(m, MACHINE_ALL, &snapshot);
	printf("%8zu %12.1f %16.2f %14.2f\n", n, (double)rows / (double)n,
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
