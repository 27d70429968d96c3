/*
 * capacity.c - measures how state, messages, processor time and memory grow with
 * the size of the system. Runs the real decision code at several sizes in one
 * process on a virtual clock.
 *
 *   capacity [--part members|tables|all] [--members N,N,...]
 *
 * Prints one line for each measurement, then the slope, intercept (at0) and
 * largest residual of the least-squares line through each series.
 * docs/CAPACITY.md uses these figures.
 */
#include "change_json.h"
#include "decided.h"
#include "machine.h"
#include "state.h"
#include "timer.h"

#include <glib.h>
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define LINK_DELAY_US 5000
#define VOTERS 5u
#define ZONES 33u
#define WARM_UP_PERIOD_US (20 * USEC_PER_SEC)
#define MEASURE_PERIOD_US (20 * USEC_PER_SEC)
#define SETTLE_TIMEOUT_US (60 * USEC_PER_SEC)
/* The targets have settled when nothing was decided for this long. */
#define SETTLED_AFTER_US (4 * USEC_PER_SEC)
#define REBALANCE_TIMEOUT_US (900 * USEC_PER_SEC)
#define STEP_US (5 * USEC_PER_MSEC)
#define ROWS_PER_CHANGE 100u
#define CLAIMS_PER_BATCH 64u
#define SIZES_MAX 8u
#define SERIES_MAX 24u

/* Values of one measurement at several sizes. */
typedef struct series {
	const char *name;
	const char *unit;
	double x[SIZES_MAX];
	double y[SIZES_MAX];
	size_t n;
} series_t;

static series_t series_list[SERIES_MAX];
static size_t n_series;

static void series_add(const char *name, const char *unit, double x, double y)
{
	series_t *s = NULL;

	for (size_t i = 0; i < n_series; i++)
		if (strcmp(series_list[i].name, name) == 0)
			s = &series_list[i];
	if (!s) {
		s = &series_list[n_series++];
		s->name = name;
		s->unit = unit;
	}
	s->x[s->n] = x;
	s->y[s->n] = y;
	s->n++;
	printf("%-34s size=%-6.0f value=%.3f %s\n", name, x, y, unit);
	fflush(stdout);
}

/* Prints the least-squares line through the points and its largest residual. */
static void series_fit(const series_t *s)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0, max_residual = 0;
	double n = (double)s->n;
	double slope, intercept;

	for (size_t i = 0; i < s->n; i++) {
		sx += s->x[i];
		sy += s->y[i];
		sxx += s->x[i] * s->x[i];
		sxy += s->x[i] * s->y[i];
	}
	if (s->n < 2)
		return;
	slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
	intercept = (sy - slope * sx) / n;
	for (size_t i = 0; i < s->n; i++) {
		double r = s->y[i] - (intercept + slope * s->x[i]);

		max_residual = MAX(max_residual, r < 0 ? -r : r);
	}
	printf("fit %-34s slope=%.6f at0=%.3f residual_max=%.3f unit=\"%s\"\n",
	       s->name, slope, intercept, max_residual, s->unit);
}

static int64_t cpu_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return ts.tv_sec * 1000000000LL + ts.tv_nsec;
}

static size_t heap_bytes(void)
{
	struct mallinfo2 mi = mallinfo2();

	return mi.uordblks + mi.hblkhd;
}

/* A write-ahead log that stores nothing, so that disk time is not measured. */
static int disk_append(void *ctx, const wal_rec_t *recs, size_t n,
		       wal_err_t *err)
{
	return 0;
}

static int disk_truncate(void *ctx, uint64_t from, wal_err_t *err)
{
	return 0;
}

static int disk_set_vote(void *ctx, uint64_t term, uint32_t voted_for,
			 wal_err_t *err)
{
	return 0;
}

static int disk_sync(void *ctx, wal_err_t *err)
{
	return 0;
}

static int disk_snapshot(void *ctx, uint64_t index, uint64_t term, str_t data,
			 wal_err_t *err)
{
	return 0;
}

static int disk_replay(void *ctx, int (*each)(void *arg, const wal_rec_t *rec),
		       void *arg, wal_err_t *err)
{
	return 0;
}

static const wal_ops_t disk_ops = {
	.append = disk_append,
	.truncate = disk_truncate,
	.set_vote = disk_set_vote,
	.sync = disk_sync,
	.snapshot = disk_snapshot,
	.replay = disk_replay,
};

typedef struct net net_t;

/* One member: its real replicated state and what running it has cost. */
typedef struct node {
	net_t *net;
	host_id_t id;
	state_t *st;
	wal_t wal;
	timer_svc_t *timers; /* its own, to measure its processor time */
	uint64_t bytes;	     /* sent and received */
	uint64_t msgs;
	int64_t cpu_ns;
	uint64_t revision;   /* in force at this member */
	int64_t in_force_us; /* since when */
	lease_status_t lease_status;
	bool down;
} node_t;

typedef struct packet {
	int64_t due_us;
	host_id_t from;
	host_id_t to;
	size_t n;
	char data[];
} packet_t;

struct net {
	node_t *nodes; /* nodes[id - 1] */
	size_t n;
	GQueue packets; /* all have the same delay, so are in due order */
	int64_t now_us;
	uint64_t last_tag;
	int status;	   /* of the latest change; -1 while it is undecided */
	uint64_t revision; /* after that change */
};

static void node_send(void *ctx, host_id_t to, const void *p, size_t n)
{
	node_t *node = ctx;
	packet_t *pkt;

	if (to == 0 || to > node->net->n)
		return;
	pkt = xmalloc(sizeof(*pkt) + n);
	pkt->due_us = node->net->now_us + LINK_DELAY_US;
	pkt->from = node->id;
	pkt->to = to;
	pkt->n = n;
	memcpy(pkt->data, p, n);
	node->bytes += n;
	node->msgs++;
	g_queue_push_tail(&node->net->packets, pkt);
}

static void node_tables(void *ctx, decided_t *d)
{
	node_t *node = ctx;

	if (decided_revision(d) > node->revision)
		node->in_force_us = node->net->now_us;
	node->revision = decided_revision(d);
}

static void node_lease_status(void *ctx, const lease_status_t *s)
{
	node_t *node = ctx;

	node->lease_status = *s;
}

static void node_claimed(void *ctx, const claim_result_t *res)
{
}

static void node_changed(void *ctx, uint64_t tag, const change_outcome_t *out)
{
	node_t *node = ctx;

	node->net->status = (int)out->status;
	node->net->revision = out->revision;
	if (out->status != CHANGE_DECIDED)
		fprintf(stderr, "change status=%d error=%.*s\n", out->status,
			STR_ARG(out->error));
}

static const state_ops_t node_ops = {
	.send = node_send,
	.tables = node_tables,
	.lease_status = node_lease_status,
	.claimed = node_claimed,
	.changed = node_changed,
};

static void node_start(net_t *net, size_t i)
{
	static state_voter_t voters[VOTERS];
	node_t *node = &net->nodes[i];
	wal_err_t err = {0};
	state_cfg_t cfg = {
		.self = (host_id_t)(i + 1),
		.voters = voters,
		.n_voters = VOTERS,
		.seed = 20261203 + i,
		.heartbeat_us = 100 * USEC_PER_MSEC,
		.election_us = 500 * USEC_PER_MSEC,
		.lease_us = 2 * USEC_PER_SEC,
		.max_staleness_us = 4 * USEC_PER_SEC,
		.drift_ppm = 200,
		.snapshot_entries = 4096,
		.fanout = 16,
	};

	for (size_t v = 0; v < VOTERS; v++)
		voters[v] = (state_voter_t){(host_id_t)(v + 1),
					    str_c("127.0.0.1:1")};
	node->net = net;
	node->id = cfg.self;
	node->timers = timer_svc_new_virtual(net->now_us);
	node->wal = (wal_t){.ops = &disk_ops, .ctx = node};
	node->wal.recovered.empty = true;
	node->wal.recovered.incarnation = i + 1;
	node->st = state_new(&cfg, &node_ops, node, node->timers,
			     i < VOTERS ? &node->wal : NULL, &err);
	if (!node->st) {
		fprintf(stderr, "state_new: %s\n", wal_code_text(err.code));
		exit(1);
	}
}

static void net_deliver(net_t *net, packet_t *pkt)
{
	node_t *to = &net->nodes[pkt->to - 1];
	int64_t start;

	if (to->down || !to->st || net->nodes[pkt->from - 1].down)
		return;
	to->bytes += pkt->n;
	to->msgs++;
	start = cpu_ns();
	state_recv(to->st, pkt->from, pkt->data, pkt->n);
	to->cpu_ns += cpu_ns() - start;
}

/*
 * Advances all nodes to until_us in steps of STEP_US; within a step they run in
 * the order of their ids.
 */
static void net_run(net_t *net, int64_t until_us)
{
	while (net->now_us < until_us) {
		packet_t *pkt;

		net->now_us = MIN(net->now_us + STEP_US, until_us);
		for (size_t i = 0; i < net->n; i++) {
			node_t *node = &net->nodes[i];
			int64_t start;

			if (node->down || !node->st)
				continue;
			if (timer_svc_next_due(node->timers) > net->now_us) {
				timer_svc_run_until(node->timers, net->now_us);
				continue;
			}
			start = cpu_ns();
			timer_svc_run_until(node->timers, net->now_us);
			node->cpu_ns += cpu_ns() - start;
		}
		while ((pkt = g_queue_peek_head(&net->packets)) &&
		       pkt->due_us <= net->now_us) {
			g_queue_pop_head(&net->packets);
			net_deliver(net, pkt);
			free(pkt);
		}
	}
}

static node_t *net_leader(net_t *net)
{
	for (size_t i = 0; i < VOTERS; i++)
		if (!net->nodes[i].down && net->nodes[i].lease_status.is_leader)
			return &net->nodes[i];
	return NULL;
}

/* Proposes a change and waits for its outcome; 0 if it was decided, or -1. */
static int net_change(net_t *net, str_t ops_json)
{
	AUTO_BUF buf_t text = {0};
	AUTO_BUF buf_t packed = {0};
	AUTO_BUF buf_t error = {0};
	json_error_t jerr;
	json_t *j;
	int rc;

	buf_printf(&text,
		   "{\"change_id\":\"c%" PRIu64 "\",\"base_revision\":%" PRIu64
		   ",\"author\":\"capacity\",\"ops\":[%.*s]}",
		   ++net->last_tag, net->revision, STR_ARG(ops_json));
	j = json_loads(text.p, 0, &jerr);
	rc = j ? change_from_json(j, &packed, &error) : -1;
	json_decref(j);
	if (rc) {
		fprintf(stderr, "change: %.*s\n", STR_ARG(buf_str(&error)));
		return -1;
	}
	net->status = -1;
	state_propose_change(net->nodes[0].st, net->last_tag, packed.p,
			     packed.n);
	for (int i = 0; i < 2000 && net->status < 0; i++)
		net_run(net, net->now_us + STEP_US);
	return net->status == CHANGE_DECIDED ? 0 : -1;
}

static int add_hosts(net_t *net)
{
	for (size_t first = 0; first < net->n; first += ROWS_PER_CHANGE) {
		AUTO_BUF buf_t ops = {0};
		size_t end = MIN(first + ROWS_PER_CHANGE, net->n);

		for (size_t i = first; i < end; i++)
			buf_printf(&ops,
				   "%s{\"host_put\":{\"name\":\"h%zu\","
				   "\"id\":%zu,\"zone\":\"z%zu\","
				   "\"region\":\"r%zu\",\"caller_addr\":"
				   "\"127.0.0.1:%zu\",\"peer_addr\":"
				   "\"127.0.0.1:%zu\",\"voter\":%s}}",
				   i > first ? "," : "", i + 1, i + 1,
				   i % ZONES, i % 9, 10000 + i, 20000 + i,
				   i < VOTERS ? "true" : "false");
		if (net_change(net, buf_str(&ops)))
			return -1;
	}
	return 0;
}

static int add_targets(net_t *net, size_t count)
{
	for (size_t first = 0; first < count; first += ROWS_PER_CHANGE) {
		AUTO_BUF buf_t ops = {0};
		size_t end = MIN(first + ROWS_PER_CHANGE, count);

		for (size_t i = first; i < end; i++)
			buf_printf(&ops,
				   "%s{\"target_put\":{\"name\":\"t%zu\","
				   "\"url\":\"http://127.0.0.1:%zu\","
				   "\"zone\":\"z%zu\",\"base_model\":\"base\","
				   "\"slots\":8,\"max_batch\":32}}",
				   i > first ? "," : "", i, 10000 + i,
				   i % ZONES);
		if (net_change(net, buf_str(&ops)))
			return -1;
	}
	return 0;
}

static bool all_tables_fresh(net_t *net)
{
	for (size_t i = 0; i < net->n; i++)
		if (!net->nodes[i].down &&
		    net->nodes[i].lease_status.tables_fresh_until_us <=
			    net->now_us)
			return false;
	return true;
}

static size_t count_targets_owned(net_t *net, host_id_t owner)
{
	decided_t *d = state_tables(net_leader(net)->st);
	size_t n = 0;

	for (size_t i = 0; i < decided_target_count(d); i++)
		if (decided_target_at(d, i)->owner == owner)
			n++;
	decided_unref(d);
	return n;
}

static int compare_u64(const void *a, const void *b)
{
	const uint64_t *x = a;
	const uint64_t *y = b;

	return (*x > *y) - (*x < *y);
}

static void reset_costs(net_t *net)
{
	for (size_t i = 0; i < net->n; i++) {
		net->nodes[i].bytes = 0;
		net->nodes[i].msgs = 0;
		net->nodes[i].cpu_ns = 0;
	}
}

/* Measures bytes, messages and processor time per second of each role. */
static void measure_steady(net_t *net, double members)
{
	const double secs = (double)MEASURE_PERIOD_US / USEC_PER_SEC;
	g_autofree uint64_t *bytes = g_new0(uint64_t, net->n);
	g_autofree uint64_t *cpu = g_new0(uint64_t, net->n);
	node_t *leader;
	size_t n = 0;

	reset_costs(net);
	net_run(net, net->now_us + MEASURE_PERIOD_US);
	leader = net_leader(net);
	if (!leader) {
		printf("no leader at the end of the measurement\n");
		return;
	}
	for (size_t i = VOTERS; i < net->n; i++) {
		bytes[n] = net->nodes[i].bytes;
		cpu[n++] = (uint64_t)net->nodes[i].cpu_ns;
	}
	qsort(bytes, n, sizeof(*bytes), compare_u64);
	qsort(cpu, n, sizeof(*cpu), compare_u64);
	series_add("leader bytes", "B/s", members,
		   (double)leader->bytes / secs);
	series_add("leader messages", "1/s", members,
		   (double)leader->msgs / secs);
	series_add("leader cpu", "% of a core", members,
		   (double)leader->cpu_ns / 1e7 / secs);
	series_add("daemon bytes median", "B/s", members,
		   (double)bytes[n / 2] / secs);
	series_add("daemon bytes max", "B/s", members,
		   (double)bytes[n - 1] / secs);
	series_add("daemon cpu median", "% of a core", members,
		   (double)cpu[n / 2] / 1e7 / secs);
	series_add("daemon cpu max", "% of a core", members,
		   (double)cpu[n - 1] / 1e7 / secs);
}

/* Measures the time until a change is in force at every daemon. */
static void measure_change(net_t *net, double members)
{
	int64_t start = net->now_us;
	int64_t last = start;
	uint64_t target;

	if (net_change(net, STR("{\"adapter_publish\":{\"names\":[\"probe\"],"
				"\"base_model\":\"base\"}}"))) {
		printf("the change was not decided\n");
		return;
	}
	target = net->revision;
	net_run(net, net->now_us + 5 * USEC_PER_SEC);
	for (size_t i = 0; i < net->n; i++) {
		if (net->nodes[i].down)
			continue;
		if (net->nodes[i].revision < target) {
			printf("host %zu does not have revision %" PRIu64 "\n",
			       i + 1, target);
			return;
		}
		last = MAX(last, net->nodes[i].in_force_us);
	}
	series_add("change in force everywhere", "ms", members,
		   (double)(last - start) / USEC_PER_MSEC);
}

/* Measures the time until the targets of a failed learner have new owners. */
static void measure_host_loss(net_t *net, double members)
{
	node_t *lost = NULL;
	int64_t start = net->now_us;

	for (size_t i = VOTERS; i < net->n && !lost; i++)
		if (count_targets_owned(net, net->nodes[i].id))
			lost = &net->nodes[i];
	if (!lost)
		return;
	lost->down = true;
	while (net_leader(net) && count_targets_owned(net, lost->id) &&
	       net->now_us - start < SETTLE_TIMEOUT_US)
		net_run(net, net->now_us + 50 * USEC_PER_MSEC);
	series_add("targets reassigned after loss", "ms", members,
		   (double)(net->now_us - start) / USEC_PER_MSEC);
}

static void net_free(net_t *net)
{
	packet_t *pkt;

	for (size_t i = 0; i < net->n; i++) {
		if (net->nodes[i].st)
			state_free(net->nodes[i].st);
		timer_svc_free(net->nodes[i].timers);
	}
	while ((pkt = g_queue_pop_head(&net->packets)))
		free(pkt);
	free(net->nodes);
}

static uint64_t leader_index(net_t *net)
{
	node_t *leader = net_leader(net);
	decided_t *d = leader ? state_tables(leader->st) : NULL;
	uint64_t index = d ? decided_index(d) : 0;

	decided_unref(d);
	return index;
}

/*
 * Runs until nothing has been decided for SETTLED_AFTER_US; returns the time from
 * the start to the last decision.
 */
static int64_t run_until_rebalanced(net_t *net)
{
	int64_t start = net->now_us;
	int64_t last_change_us = start;
	uint64_t index = leader_index(net);

	while (net->now_us - last_change_us < SETTLED_AFTER_US &&
	       net->now_us - start < REBALANCE_TIMEOUT_US) {
		net_run(net, net->now_us + USEC_PER_SEC / 4);
		if (leader_index(net) == index)
			continue;
		index = leader_index(net);
		last_change_us = net->now_us;
	}
	return last_change_us - start;
}

static int measure_members(size_t members)
{
	net_t net = {.n = members, .now_us = USEC_PER_SEC};
	size_t heap = heap_bytes();
	int64_t limit;

	net.nodes = xcalloc(members, sizeof(*net.nodes));
	g_queue_init(&net.packets);
	for (size_t i = 0; i < VOTERS; i++)
		node_start(&net, i);
	limit = net.now_us + SETTLE_TIMEOUT_US;
	while (!net_leader(&net) && net.now_us < limit)
		net_run(&net, net.now_us + 100 * USEC_PER_MSEC);
	if (!net_leader(&net) || add_hosts(&net) ||
	    add_targets(&net, members * 4)) {
		printf("members=%zu: setup failed\n", members);
		net_free(&net);
		return -1;
	}
	/* The learners start now and receive a snapshot of the tables. */
	for (size_t i = VOTERS; i < members; i++)
		node_start(&net, i);
	net_run(&net, net.now_us + WARM_UP_PERIOD_US);
	series_add("rebalance after all join", "s", (double)members,
		   (double)(WARM_UP_PERIOD_US + run_until_rebalanced(&net)) /
			   USEC_PER_SEC);
	if (!all_tables_fresh(&net))
		printf("members=%zu: not all daemons have current tables\n",
		       members);
	series_add("heap per member", "B", (double)members,
		   (double)(heap_bytes() - heap) / (double)members);
	measure_steady(&net, (double)members);
	measure_change(&net, (double)members);
	measure_host_loss(&net, (double)members);
	net_free(&net);
	return 0;
}

/* Appends the operation that adds row i of a table. */
typedef void (*append_row_op_fn_t)(buf_t *ops, size_t i);

static void append_adapter_op(buf_t *ops, size_t i)
{
	buf_printf(ops,
		   "{\"adapter_publish\":{\"names\":[\"notice-%05zu\"],"
		   "\"base_model\":\"base-7b\",\"load_ms\":350}}",
		   i);
}

static void append_target_op(buf_t *ops, size_t i)
{
	buf_printf(ops,
		   "{\"target_put\":{\"name\":\"runner-%zu\",\"url\":"
		   "\"http://10.0.0.1:%zu\",\"zone\":\"zone-%zu\","
		   "\"base_model\":\"base-7b\",\"slots\":8,\"max_batch\":32}}",
		   i, 1000 + i, i % ZONES);
}

static void append_host_op(buf_t *ops, size_t i)
{
	buf_printf(ops,
		   "{\"host_put\":{\"name\":\"entry-%zu\",\"zone\":\"zone-%zu\""
		   ",\"region\":\"region-%zu\",\"caller_addr\":\"10.0.0.1:%zu\""
		   ",\"peer_addr\":\"10.0.0.1:%zu\"}}",
		   i, i % ZONES, i % 9, 1000 + i, 2000 + i);
}

/* Measures a table of count rows, filled by changes of ROWS_PER_CHANGE each. */
static void measure_table(const char *heap_name, const char *time_name,
			  const char *bytes_name, append_row_op_fn_t op,
			  size_t count)
{
	size_t heap = heap_bytes();
	machine_t *m = machine_new();
	uint64_t index = 0;
	uint64_t log_bytes = 0;
	int64_t cpu = 0;

	for (size_t first = 0; first < count; first += ROWS_PER_CHANGE) {
		AUTO_BUF buf_t text = {0};
		AUTO_BUF buf_t packed = {0};
		AUTO_BUF buf_t error = {0};
		json_t *j;
		int64_t start;

		buf_printf(&text,
			   "{\"change_id\":\"c%zu\",\"base_revision\":%" PRIu64
			   ",\"ops\":[",
			   first, index);
		for (size_t i = first; i < MIN(first + ROWS_PER_CHANGE, count);
		     i++) {
			buf_puts(&text, i > first ? "," : "");
			op(&text, i);
		}
		buf_puts(&text, "]}");
		j = json_loads(text.p, 0, NULL);
		if (!j || change_from_json(j, &packed, &error)) {
			printf("table: %.*s\n", STR_ARG(buf_str(&error)));
			json_decref(j);
			break;
		}
		json_decref(j);
		log_bytes += packed.n;
		start = cpu_ns();
		machine_apply(m, ++index, ENTRY_CHANGE, buf_str(&packed), NULL);
		cpu += cpu_ns() - start;
	}
	series_add(heap_name, "B", (double)count,
		   (double)(heap_bytes() - heap));
	series_add(bytes_name, "B", (double)count, (double)log_bytes);
	series_add(time_name, "us", (double)count, (double)cpu / 1000);
	machine_free(m);
}

/*
 * Measures taking and answering claims. Each log entry holds a batch of them, as
 * the leader packs them.
 */
static void measure_claims(size_t count)
{
	size_t heap = heap_bytes();
	machine_t *m = machine_new();
	uint64_t index = 0;
	uint64_t log_bytes = 0;
	int64_t cpu = 0;

	for (size_t first = 0; first < count; first += CLAIMS_PER_BATCH) {
		for (int op = CLAIM_OP_TAKE; op <= CLAIM_OP_ANSWER; op++) {
			AUTO_BUF buf_t packed = {0};
			claim_req_t reqs[CLAIMS_PER_BATCH] = {0};
			char keys[CLAIMS_PER_BATCH][24];
			int64_t start;

			for (size_t i = 0; i < CLAIMS_PER_BATCH; i++) {
				snprintf(keys[i], sizeof(keys[i]), "key-%zu",
					 first + i);
				reqs[i].op = (claim_op_t)op;
				reqs[i].org_id = 1;
				reqs[i].key = str_c(keys[i]);
				reqs[i].holder = STR("holder-0123456789");
				reqs[i].http_status = 200;
				reqs[i].body = STR("{\"entry\":1,\"ok\":true}");
			}
			machine_pack_claims(&packed, reqs, CLAIMS_PER_BATCH,
					    first);
			log_bytes += packed.n;
			start = cpu_ns();
			machine_apply(m, ++index, ENTRY_CLAIM, buf_str(&packed),
				      NULL);
			cpu += cpu_ns() - start;
		}
	}
	series_add("claims heap", "B", (double)count,
		   (double)(heap_bytes() - heap));
	series_add("claims log", "B", (double)count, (double)log_bytes);
	series_add("claims apply", "us", (double)count, (double)cpu / 1000);
	machine_free(m);
}

static void measure_tables(void)
{
	static const size_t claims[] = {2560, 5120, 10240, 20480};

	static const size_t adapters[] = {1000, 3000, 6000, 12000};
	static const size_t targets[] = {1000, 2500, 5000, 10000};
	static const size_t hosts[] = {250, 500, 1000, 2300};

	for (size_t i = 0; i < ARRAY_SIZE(adapters); i++)
		measure_table("adapter rows heap", "adapter rows apply",
			      "adapter rows log", append_adapter_op,
			      adapters[i]);
	for (size_t i = 0; i < ARRAY_SIZE(targets); i++)
		measure_table("target rows heap", "target rows apply",
			      "target rows log", append_target_op, targets[i]);
	for (size_t i = 0; i < ARRAY_SIZE(claims); i++)
		measure_claims(claims[i]);
	for (size_t i = 0; i < ARRAY_SIZE(hosts); i++)
		measure_table("host rows heap", "host rows apply",
			      "host rows log", append_host_op, hosts[i]);
}

int main(int argc, char **argv)
{
	g_autofree char *part = NULL;
	g_autofree char *members = NULL;
	GOptionEntry entries[] = {
		{"part", 0, 0, G_OPTION_ARG_STRING, &part,
		 "Series to measure: members, tables or all", "PART"},
		{"members", 0, 0, G_OPTION_ARG_STRING, &members,
		 "Numbers of members to measure", "N,N,..."},
		{0},
	};
	g_autoptr(GOptionContext) opts = g_option_context_new(NULL);
	g_autoptr(GError) err = NULL;
	g_auto(GStrv) sizes = NULL;
	int rc = 0;

	g_option_context_add_main_entries(opts, entries, NULL);
	if (!g_option_context_parse(opts, &argc, &argv, &err)) {
		fprintf(stderr, "capacity: %s\n", err->message);
		return 2;
	}
	if (!part || strcmp(part, "members") != 0)
		measure_tables();
	sizes = g_strsplit(members ? members : "250,500,1000,2000,2300", ",",
			   SIZES_MAX);
	if (!part || strcmp(part, "tables") != 0)
		for (size_t i = 0; sizes[i]; i++)
			rc |= measure_members(strtoul(sizes[i], NULL, 10));
	for (size_t i = 0; i < n_series; i++)
		series_fit(&series_list[i]);
	return rc ? 1 : 0;
}
