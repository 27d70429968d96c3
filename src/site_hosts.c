/*
 * site_hosts.c - what hosts know of one another: failure domain and capacity, which
 * are decided, and load, which the leader collects and spreads. From these it selects
 * the hosts that a caller is told.
 */
#include "site_int.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "counter.h"
#include "log.h"
#include "pb.h"
#include "socket.h"

/* Period in which this host samples its load, and reports it at most once. */
#define SAMPLE_US (1 * USEC_PER_SEC)
/* A load that is not normal is reported again, in case the message was lost. */
#define REPORT_AGAIN_US (5 * USEC_PER_SEC)
/* The leader takes a host for normal that has not reported for so long. */
#define REPORT_EXPIRES_US (15 * USEC_PER_SEC)
/* Other hosts take all for normal once they have heard nothing for so long. */
#define SPREAD_EXPIRES_US (30 * USEC_PER_SEC)
/*
 * Parts of the host's memory. Buffers may take twice the bytes in them, and a body
 * is kept for a retry while it is sent; so all together stay under half of it, with
 * a hundred callers and runners that do not read.
 */
#define UNSENT_PART 8u
#define BODIES_PART 16u
#define SOCKET_PART 2048u
/* The capacity is proposed again if it is not decided by then. */
#define PROPOSE_AGAIN_US (10 * USEC_PER_SEC)

struct site_hosts {
	timer_sub_t sample_timer;
	timer_sub_t spread_timer;     /* at the leader, during a round */
	bool zone_proposed;	      /* since the start */
	int64_t capacity_proposed_us; /* last; 0: not yet */

	/* Load of this host. */
	host_judge_t judge;
	int64_t slow_us; /* taken by slow turns since the start */
	uint32_t n_slow;
	host_load_t reported;
	host_id_t reported_to;
	uint64_t reported_term;
	int64_t reported_us;
	int64_t not_normal_us; /* when this host last was not; 0: never */

	/*
	 * Loads of hosts that are not normal: at the leader by their reports, elsewhere
	 * as the leader last told.
	 */
	host_loads_t *loads;
	host_spread_t spread; /* at the leader */

	/* Rows of all live hosts, as of the tables that they view. */
	decided_t *tables;
	host_id_t *live; /* that the rows are of */
	host_row_t *rows;
	size_t n_rows;
};

/* Decided documents. */

const doc_t *site_find_host_doc(const decided_t *tables, const char *prefix,
				host_id_t id)
{
	AUTO_BUF buf_t name = {0};

	buf_puts(&name, prefix);
	site_write_host_ip(id, &name);
	return decided_doc_by_name(tables, buf_str(&name));
}

void site_propose_host_doc(site_t *s, const char *prefix, str_t body)
{
	const doc_t *doc = site_find_host_doc(s->tables, prefix, s->self);
	AUTO_BUF buf_t name = {0};

	if (doc && str_eq(doc->body, body))
		return;
	buf_puts(&name, prefix);
	site_write_host_ip(s->self, &name);
	site_propose_doc(s, buf_str(&name), doc ? doc->version + 1 : 1, body);
}

void site_hosts_propose(site_t *s)
{
	if (s->hosts->zone_proposed || !site_tables_are_fresh(s))
		return;
	s->hosts->zone_proposed = true;
	site_propose_host_doc(s, DOC_HOST_PREFIX, s->settings.zone);
}

/* Where the settings no longer name a capacity, the decided one ends, too. */
static void propose_capacity(site_t *s, int64_t now)
{
	site_hosts_t *h = s->hosts;
	const host_capacity_t *c = &s->settings.capacity;
	AUTO_BUF buf_t body = {0};

	if (!site_tables_are_fresh(s) ||
	    (h->capacity_proposed_us &&
	     now - h->capacity_proposed_us < PROPOSE_AGAIN_US))
		return;
	if (!host_capacity_is_known(c) &&
	    !site_find_host_doc(s->tables, DOC_CAPACITY_PREFIX, s->self))
		return;
	h->capacity_proposed_us = now;
	host_capacity_write(c, &body);
	site_propose_host_doc(s, DOC_CAPACITY_PREFIX, buf_str(&body));
}

static uint64_t memory_bytes(const site_t *s)
{
	return (uint64_t)s->settings.capacity.memory_mb << 20;
}

/* Connections that are open keep the socket buffers they have. */
static void limit_buffers(site_t *s)
{
	gateway_limit_unsent(s->gateway, memory_bytes(s) / UNSENT_PART);
	if (s->tunnels)
		tunnels_limit_unsent(s->tunnels, memory_bytes(s) / UNSENT_PART);
	gateway_limit_bodies(s->gateway, memory_bytes(s) / BODIES_PART);
	socket_limit_buffers(memory_bytes(s) / SOCKET_PART);
}

void site_hosts_settings_changed(site_t *s)
{
	limit_buffers(s);
	s->hosts->capacity_proposed_us = 0;
}

/* Load of this host. */

static uint64_t resident_bytes(void)
{
	char text[128] = {0};
	unsigned long long total = 0;
	unsigned long long resident = 0;
	int fd = open("/proc/self/statm", O_RDONLY | O_CLOEXEC);

	if (fd < 0)
		return 0;
	if (read(fd, text, sizeof(text) - 1) <= 0 ||
	    sscanf(text, "%llu %llu", &total, &resident) != 2)
		resident = 0;
	close(fd);
	return resident * (uint64_t)sysconf(_SC_PAGESIZE);
}

/*
 * The lowest free descriptor: the number in use, but for gaps, of which a host that
 * runs short has few.
 */
static uint64_t used_fds(const site_t *s)
{
	int fd = fcntl(STDOUT_FILENO, F_DUPFD_CLOEXEC, 0);

	if (fd < 0)
		return errno == EMFILE ? s->settings.capacity.fds : 0;
	close(fd);
	return (uint64_t)fd;
}

static int64_t cpu_us(void)
{
	struct timespec t = {0};

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return t.tv_sec * USEC_PER_SEC + t.tv_nsec / 1000;
}

void site_hosts_slow_turn(site_t *s, int64_t us)
{
	s->hosts->slow_us += us;
	s->hosts->n_slow++;
}

static void judge_load(site_t *s, int64_t now)
{
	site_hosts_t *h = s->hosts;
	host_load_t before = h->judge.load;
	const host_usage_t u = {
		.cpu_us = cpu_us(),
		.slow_us = h->slow_us,
		.n_slow = h->n_slow,
		.memory = resident_bytes(),
		.unsent = gateway_unsent_bytes(s->gateway),
		.unsent_max = memory_bytes(s) / UNSENT_PART,
		.fds = used_fds(s),
	};
	host_load_t load =
		host_judge_add(&h->judge, &s->settings.capacity, &u, now);

	if (load != HOST_LOAD_NORMAL)
		h->not_normal_us = now;
	if (load == before)
		return;
	log_event(LOG_NOTICE, "host_load", KV_C("load", host_load_name(load)),
		  KV_C("short_of", host_shortage_name(h->judge.short_of)),
		  kv_u("cpu_percent", (uint64_t)(h->judge.cpu_ratio * 100)),
		  kv_u("memory_mb", u.memory >> 20),
		  kv_u("unsent_kb", u.unsent >> 10), kv_u("fds", u.fds),
		  kv_u("requests", gateway_active_requests(s->gateway)));
}

static void send_host_loads(site_t *s, host_id_t to, Dispatch__HostLoads *loads)
{
	Dispatch__Msg msg = DISPATCH__MSG__INIT;

	msg.body_case = DISPATCH__MSG__BODY_HOST_LOADS;
	msg.host_loads = loads;
	counter_add(CTR_HOST_LOADS_SENT, 1);
	counter_add(CTR_HOST_LOADS_BYTES, dispatch__msg__get_packed_size(&msg));
	site_send_message(s, to, &msg);
}

/* Whether the leader has to be told of this host's load now. */
static bool report_is_due(const site_t *s, int64_t now)
{
	const site_hosts_t *h = s->hosts;
	host_load_t load = h->judge.load;

	if (!s->lease_status.leader)
		return false;
	if (load != h->reported)
		return true;
	if (s->lease_status.leader != h->reported_to ||
	    s->lease_status.term != h->reported_term)
		return h->not_normal_us &&
		       now - h->not_normal_us < SPREAD_EXPIRES_US;
	return load != HOST_LOAD_NORMAL &&
	       now - h->reported_us >= REPORT_AGAIN_US;
}

static void take_report(site_t *s, host_id_t host, uint32_t load)
{
	int64_t now = site_now(s);

	if (load >= HOST_LOAD_COUNT)
		load = HOST_LOAD_FULL;
	if (host_loads_set(s->hosts->loads, host, (host_load_t)load,
			   now + REPORT_EXPIRES_US, now))
		s->hosts->spread.changed = true;
}

static void report_load(site_t *s, int64_t now)
{
	site_hosts_t *h = s->hosts;
	Dispatch__HostLoads pb = DISPATCH__HOST_LOADS__INIT;

	if (!report_is_due(s, now))
		return;
	h->reported = h->judge.load;
	h->reported_to = s->lease_status.leader;
	h->reported_term = s->lease_status.term;
	h->reported_us = now;
	pb.own = h->judge.load;
	if (s->lease_status.is_leader)
		take_report(s, s->self, pb.own);
	else
		send_host_loads(s, s->lease_status.leader, &pb);
}

/* The leader spreads the loads. */

/* Tells the next live hosts; false once all were told. */
static bool spread_step(site_t *s)
{
	site_hosts_t *h = s->hosts;
	const lease_status_t *st = &s->lease_status;
	Dispatch__HostLoads pb = DISPATCH__HOST_LOADS__INIT;
	host_id_t hosts[HOST_SPREAD_HOSTS_MAX];
	size_t first, n;

	pb.of_all = true;
	pb.full = hosts;
	pb.n_full = host_loads_list(h->loads, HOST_LOAD_FULL, hosts,
				    HOST_SPREAD_HOSTS_MAX);
	pb.strained = hosts + pb.n_full;
	pb.n_strained =
		host_loads_list(h->loads, HOST_LOAD_STRAINED, pb.strained,
				HOST_SPREAD_HOSTS_MAX - pb.n_full);
	n = host_spread_step(&h->spread, st->n_live,
			     dispatch__host_loads__get_packed_size(&pb),
			     &first);
	for (size_t i = first; i < first + n; i++)
		if (st->live[i] != s->self)
			send_host_loads(s, st->live[i], &pb);
	return h->spread.in_round;
}

static void on_spread_timer(void *ctx, int64_t now)
{
	site_t *s = ctx;

	if (!s->lease_status.is_leader)
		s->hosts->spread.in_round = false;
	else if (spread_step(s))
		timer_svc_arm(s->timers, &s->hosts->spread_timer,
			      now + HOST_SPREAD_STEP_US);
}

static void begin_round_if_due(site_t *s, int64_t now)
{
	site_hosts_t *h = s->hosts;

	if (host_loads_expire(h->loads, now))
		h->spread.changed = true;
	if (s->lease_status.is_leader &&
	    host_spread_begin(&h->spread, host_loads_empty(h->loads), now))
		on_spread_timer(s, now);
}

static void take_loads_of_all(site_t *s, const Dispatch__HostLoads *m)
{
	host_loads_t *l = s->hosts->loads;
	int64_t now = site_now(s);
	int64_t until = now + SPREAD_EXPIRES_US;

	host_loads_clear(l);
	for (size_t i = 0; i < m->n_strained; i++)
		host_loads_set(l, m->strained[i], HOST_LOAD_STRAINED, until,
			       now);
	for (size_t i = 0; i < m->n_full; i++)
		host_loads_set(l, m->full[i], HOST_LOAD_FULL, until, now);
}

void site_hosts_recv(site_t *s, host_id_t from, const Dispatch__HostLoads *m)
{
	if (s->lease_status.is_leader && !m->of_all)
		take_report(s, from, m->own);
	else if (!s->lease_status.is_leader && m->of_all &&
		 from == s->lease_status.leader)
		take_loads_of_all(s, m);
}

static void on_sample_timer(void *ctx, int64_t now)
{
	site_t *s = ctx;

	propose_capacity(s, now);
	judge_load(s, now);
	report_load(s, now);
	begin_round_if_due(s, now);
	timer_svc_arm(s->timers, &s->hosts->sample_timer, now + SAMPLE_US);
}

/* Selection. */

static void fill_row(const site_t *s, host_id_t id, host_row_t *row)
{
	const decided_t *tables = s->hosts->tables;
	const doc_t *zone = site_find_host_doc(tables, DOC_HOST_PREFIX, id);
	const doc_t *capacity =
		site_find_host_doc(tables, DOC_CAPACITY_PREFIX, id);

	row->id = id;
	row->zone = zone ? zone->body : str_n(NULL, 0);
	if (capacity)
		host_capacity_read(capacity->body, &row->capacity);
}

/* Brings the rows up to date, if the tables or the set of live hosts changed. */
static void update_rows(site_t *s)
{
	site_hosts_t *h = s->hosts;
	const lease_status_t *st = &s->lease_status;
	size_t bytes = st->n_live * sizeof(host_id_t);

	if (h->tables == s->tables && h->n_rows == st->n_live &&
	    (!bytes || memcmp(h->live, st->live, bytes) == 0))
		return;
	decided_unref(h->tables);
	free(h->live);
	free(h->rows);
	h->tables = decided_ref(s->tables);
	h->n_rows = st->n_live;
	h->live = xmalloc(bytes + 1);
	h->rows = xcalloc(h->n_rows + 1, sizeof(*h->rows));
	if (bytes)
		memcpy(h->live, st->live, bytes);
	for (size_t i = 0; i < h->n_rows; i++)
		fill_row(s, h->live[i], &h->rows[i]);
}

/* Copies the rows of the hosts of a zone, with their present load. */
static size_t rows_of_zone(site_t *s, str_t zone, host_row_t *out)
{
	const site_hosts_t *h = s->hosts;
	int64_t now = site_now(s);
	size_t n = 0;

	for (size_t i = 0; i < h->n_rows; i++) {
		host_row_t *row = &out[n];

		if (h->rows[i].id == s->self && s->leaving)
			continue;
		if (zone.n && !str_eq(h->rows[i].zone, zone))
			continue;
		*row = h->rows[i];
		row->load = host_loads_get(h->loads, row->id, now);
		row->is_leader = row->id == s->lease_status.leader;
		n++;
	}
	return n;
}

size_t site_hosts_select(site_t *s, str_t zone, host_id_t *out, size_t max)
{
	AUTO_FREE host_row_t *rows = NULL;
	AUTO_FREE uint32_t *chosen = xcalloc(max + 1, sizeof(*chosen));
	size_t n, n_chosen;

	update_rows(s);
	rows = xcalloc(s->hosts->n_rows + 1, sizeof(*rows));
	n = rows_of_zone(s, zone, rows);
	n_chosen = host_share_select(rows, n, random_seed(), chosen, max);
	for (size_t i = 0; i < n_chosen; i++)
		out[i] = rows[chosen[i]].id;
	counter_add(CTR_ADDRESS_ANSWERS_SHARED, n_chosen < MIN(n, max));
	return n_chosen;
}

void site_hosts_write(site_t *s, buf_t *out)
{
	AUTO_FREE host_row_t *rows = NULL;
	AUTO_FREE double *parts = NULL;
	size_t n;

	update_rows(s);
	n = s->hosts->n_rows;
	rows = xcalloc(n + 1, sizeof(*rows));
	parts = xcalloc(n + 1, sizeof(*parts));
	n = rows_of_zone(s, str_n(NULL, 0), rows);
	host_share_parts(rows, n, parts);
	for (size_t i = 0; i < n; i++) {
		const host_capacity_t *c = &rows[i].capacity;

		site_write_host_ip(rows[i].id, out);
		buf_printf(out,
			   " zone=%.*s load=%s leader=%u disk=%u cores=%.3g "
			   "link_mbit_per_s=%.4g memory_mb=%u fds=%u "
			   "share_percent=%.2f\n",
			   STR_ARG(rows[i].zone), host_load_name(rows[i].load),
			   rows[i].is_leader, c->has_disk, c->cores,
			   c->link_mbit_per_s, c->memory_mb, c->fds,
			   parts[i] * 100);
	}
}

void site_hosts_start(site_t *s)
{
	site_hosts_t *h = xcalloc(1, sizeof(*h));

	s->hosts = h;
	h->loads = host_loads_new();
	limit_buffers(s);
	timer_sub_init(&h->sample_timer, on_sample_timer, s);
	timer_sub_init(&h->spread_timer, on_spread_timer, s);
	/* Hosts that start together do not all report in the same moment. */
	timer_svc_arm(s->timers, &h->sample_timer,
		      site_now(s) + (int64_t)(random_seed() % SAMPLE_US));
}
