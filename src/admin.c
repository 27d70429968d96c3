/* admin.c - the operators' JSON interface; one function for each path. */
#include "admin.h"

#include <malloc.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <jansson.h>
#include <sodium.h>

#include "change.h"
#include "change_json.h"
#include "counter.h"

#define PROPOSE_TIMEOUT_US (10 * USEC_PER_SEC)
#define WAIT_MAX_MS 120000u
#define WAIT_POLL_MS 10
#define OWN_TABLES_WAIT_MS 1000u
#define OWN_TABLES_POLL_MS 1
#define PAGE_DEFAULT 1000u
#define PAGE_MAX 20000u
#define TRIM_BYTES 65536u
#define HOSTS_MAX 4096u
#define JSON_FLAGS (JSON_COMPACT | JSON_PRESERVE_ORDER)
#define ID_RANDOM_BYTES 12u

typedef struct admin_call {
	const admin_ops_t *ops;
	void *ctx;
	str_t query;
	str_t body;
	str_t rest; /* of the path, after the route */
	admin_reply_t *reply;
} admin_call_t;

/* Takes the reference to j. */
static void answer(admin_call_t *c, int status, json_t *j)
{
	AUTO_FREE char *text = json_dumps(j, JSON_FLAGS);

	c->reply->http_status = status;
	c->reply->content_type = "application/json";
	buf_puts(&c->reply->body, text ? text : "{}");
	buf_puts(&c->reply->body, "\n");
	json_decref(j);
}

static void answer_error(admin_call_t *c, int status, const char *reason,
			 str_t detail)
{
	answer(c, status,
	       json_pack("{s:{s:s, s:o}}", "error", "reason", reason, "detail",
			 json_string_lossy(detail)));
}

/* Query parameters. */

static int hex_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

static void url_decode(str_t s, buf_t *out)
{
	for (size_t i = 0; i < s.n; i++) {
		char c = s.p[i] == '+' ? ' ' : s.p[i];

		if (c == '%' && i + 2 < s.n && hex_value(s.p[i + 1]) >= 0 &&
		    hex_value(s.p[i + 2]) >= 0) {
			c = (char)(hex_value(s.p[i + 1]) * 16 +
				   hex_value(s.p[i + 2]));
			i += 2;
		}
		buf_put(out, &c, 1);
	}
}

/* Appends the value of a query parameter; false where it is not given. */
static bool query_get(const admin_call_t *c, const char *name, buf_t *out)
{
	str_t rest = c->query;
	str_t pair, key, value;

	while (rest.n) {
		str_split(rest, '&', &pair, &rest);
		str_split(pair, '=', &key, &value);
		if (!str_eq(key, str_c(name)))
			continue;
		url_decode(value, out);
		return true;
	}
	return false;
}

static uint64_t query_u64(const admin_call_t *c, const char *name,
			  uint64_t dflt, uint64_t max)
{
	AUTO_BUF buf_t text = {0};
	uint64_t v;

	if (!query_get(c, name, &text) || str_to_u64(buf_str(&text), &v))
		return dflt;
	return v < max ? v : max;
}

/* Lists. */

static json_t *host_row(const decided_t *d, size_t i)
{
	return host_to_json(decided_host_at(d, i));
}

static json_t *target_row(const decided_t *d, size_t i)
{
	return target_to_json(decided_target_at(d, i), d);
}

static json_t *org_row(const decided_t *d, size_t i)
{
	return org_to_json(decided_org_at(d, i));
}

static json_t *adapter_row(const decided_t *d, size_t i)
{
	return adapter_to_json(decided_adapter_at(d, i), d);
}

static json_t *template_row(const decided_t *d, size_t i)
{
	return template_row_to_json(decided_template_at(d, i));
}

/* X(path, table) */
#define LISTS(X)             \
	X(hosts, host)       \
	X(targets, target)   \
	X(orgs, org)         \
	X(adapters, adapter) \
	X(templates, template)

#define X(path, table)                                           \
	static str_t table##_name(const decided_t *d, size_t i)  \
	{                                                        \
		return decided_##table##_at(d, i)->name;         \
	}                                                        \
	static uint32_t table##_id(const decided_t *d, size_t i) \
	{                                                        \
		return decided_##table##_at(d, i)->id;           \
	}
LISTS(X)
#undef X

typedef struct list {
	const char *path;
	size_t (*count)(const decided_t *d);
	str_t (*name)(const decided_t *d, size_t i);
	uint32_t (*id)(const decided_t *d, size_t i);
	json_t *(*row)(const decided_t *d, size_t i);
} list_t;

static const list_t lists[] = {
#define X(path, table) \
	{#path, decided_##table##_count, table##_name, table##_id, table##_row},
	LISTS(X)
#undef X
};

static bool has_prefix(str_t s, str_t prefix)
{
	return s.n >= prefix.n &&
	       (!prefix.n || memcmp(s.p, prefix.p, prefix.n) == 0);
}

/* Appends one row as text; takes the reference. */
static void put_row(buf_t *out, json_t *row, bool first)
{
	AUTO_FREE char *text = json_dumps(row, JSON_FLAGS);

	buf_puts(out, first ? "" : ",");
	buf_puts(out, text ? text : "{}");
	json_decref(row);
}

/* Writes row after row, since a whole page of JSON values takes megabytes. */
static void page(const admin_call_t *c, const list_t *list, const decided_t *d,
		 buf_t *out)
{
	AUTO_BUF buf_t prefix = {0};
	uint64_t after = query_u64(c, "after", 0, UINT32_MAX);
	uint64_t limit = query_u64(c, "limit", PAGE_DEFAULT, PAGE_MAX);
	uint64_t n = 0;
	uint32_t last = 0;
	bool more = false;

	query_get(c, "prefix", &prefix);
	buf_printf(out, "{\"revision\":%llu,\"count\":%zu,\"%s\":[",
		   (unsigned long long)decided_revision(d), list->count(d),
		   list->path);
	for (size_t i = 0; i < list->count(d); i++) {
		if (list->id(d, i) <= after ||
		    !has_prefix(list->name(d, i), buf_str(&prefix)))
			continue;
		more = n == limit;
		if (more)
			break;
		put_row(out, list->row(d, i), n++ == 0);
		last = list->id(d, i);
	}
	buf_puts(out, "]");
	if (more)
		buf_printf(out, ",\"next\":%u", last);
	buf_puts(out, "}\n");
}

static json_t *one_row(const list_t *list, const decided_t *d, str_t name)
{
	for (size_t i = 0; i < list->count(d); i++)
		if (str_eq(list->name(d, i), name))
			return list->row(d, i);
	return NULL;
}

static void get_list(admin_call_t *c, const list_t *list)
{
	decided_t *d = c->ops->tables(c->ctx);
	json_t *row;

	if (!c->rest.n) {
		c->reply->http_status = 200;
		c->reply->content_type = "application/json";
		page(c, list, d, &c->reply->body);
	} else {
		row = one_row(list, d, c->rest);
		if (row)
			answer(c, 200, row);
		else
			answer_error(c, 404, "not_found", c->rest);
	}
	decided_unref(d);
}

/* Changes that were decided. */

static json_t *change_details(const change_row_t *row)
{
	json_t *j = change_row_to_json(row);
	json_t *body = row->body.n ? change_to_json(row->body) : NULL;

	if (body) {
		json_object_set(j, "ops", json_object_get(body, "ops"));
		json_object_set(j, "base_revision",
				json_object_get(body, "base_revision"));
	}
	json_decref(body);
	return j;
}

/* The latest ones before a revision, newest first. */
static json_t *latest_changes(const admin_call_t *c, const decided_t *d)
{
	uint64_t before = query_u64(c, "before", UINT64_MAX, UINT64_MAX);
	uint64_t limit = query_u64(c, "limit", 50, PAGE_MAX);
	json_t *rows = json_array();

	for (size_t i = decided_change_count(d); i-- > 0;) {
		const change_row_t *row = decided_change_at(d, i);

		if (row->id >= before)
			continue;
		if (json_array_size(rows) >= limit)
			break;
		json_array_append_new(rows, change_row_to_json(row));
	}
	return json_pack("{s:I, s:o}", "revision",
			 (json_int_t)decided_revision(d), "changes", rows);
}

static const change_row_t *find_change(const decided_t *d, str_t key)
{
	const change_row_t *row = decided_change_by_name(d, key);
	uint64_t revision;

	if (!row && !str_to_u64(key, &revision))
		row = decided_change_by_revision(d, revision);
	return row;
}

static void get_changes(admin_call_t *c)
{
	decided_t *d = c->ops->tables(c->ctx);
	const change_row_t *row = find_change(d, c->rest);

	if (!c->rest.n)
		answer(c, 200, latest_changes(c, d));
	else if (row)
		answer(c, 200, change_details(row));
	else
		answer_error(c, 404, "not_found", c->rest);
	decided_unref(d);
}

/* What was decided above revision from, up to revision to. */
static void get_diff(admin_call_t *c)
{
	decided_t *d = c->ops->tables(c->ctx);
	uint64_t current = decided_revision(d);
	uint64_t from = query_u64(c, "from", current, current);
	uint64_t to = query_u64(c, "to", current, current);
	json_t *rows = json_array();
	bool whole = true;

	for (uint64_t r = from + 1; r <= to; r++) {
		const change_row_t *row = decided_change_by_revision(d, r);

		whole = whole && row;
		if (row)
			json_array_append_new(rows, change_details(row));
	}
	answer(c, 200,
	       json_pack("{s:I, s:I, s:b, s:o}", "from", (json_int_t)from, "to",
			 (json_int_t)to, "whole", whole, "changes", rows));
	decided_unref(d);
}

/* Revisions in force. */

static uint64_t now_ms(clockid_t clock)
{
	struct timespec ts;

	clock_gettime(clock, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static const host_revision_t *revision_of(const host_revision_t *known,
					  size_t n, host_id_t host)
{
	for (size_t i = 0; i < n; i++)
		if (known[i].host == host)
			return &known[i];
	return NULL;
}

/*
 * Sorts the decided hosts by what the leader knows of them: in force at
 * revision, live but behind it ("lacking"), or without a session ("absent").
 */
static json_t *revisions_json(const decided_t *d, const host_revision_t *known,
			      size_t n, uint64_t revision, bool *in_force)
{
	json_t *rows = json_array();
	json_t *lacking = json_array();
	json_t *absent = json_array();

	for (size_t i = 0; i < decided_host_count(d); i++) {
		const host_t *h = decided_host_at(d, i);
		const host_revision_t *r = revision_of(known, n, h->id);

		if (!r) {
			json_array_append_new(absent,
					      json_string_lossy(h->name));
			continue;
		}
		if (r->revision < revision)
			json_array_append_new(lacking,
					      json_string_lossy(h->name));
		json_array_append_new(
			rows, json_pack("{s:o, s:I, s:I, s:I}", "host",
					json_string_lossy(h->name), "id",
					(json_int_t)h->id, "revision",
					(json_int_t)r->revision, "index",
					(json_int_t)r->index));
	}
	*in_force = json_array_size(lacking) == 0;
	return json_pack("{s:I, s:b, s:o, s:o, s:o}", "revision",
			 (json_int_t)revision, "in_force", *in_force, "lacking",
			 lacking, "absent", absent, "hosts", rows);
}

/*
 * Waits until revision is in force on all live hosts, at most wait_ms. NULL
 * where this daemon is not the leader.
 */
static json_t *wait_in_force(admin_call_t *c, uint64_t revision,
			     uint64_t wait_ms)
{
	AUTO_FREE host_revision_t *known = xcalloc(HOSTS_MAX, sizeof(*known));
	const struct timespec poll = {0, WAIT_POLL_MS * 1000000L};
	uint64_t end = now_ms(CLOCK_MONOTONIC) + wait_ms;

	for (;;) {
		size_t n = c->ops->revisions(c->ctx, known, HOSTS_MAX);
		decided_t *d;
		json_t *j;
		bool done;

		if (!n)
			return NULL;
		d = c->ops->tables(c->ctx);
		j = revisions_json(d, known, n < HOSTS_MAX ? n : HOSTS_MAX,
				   revision, &done);
		decided_unref(d);
		if (done || now_ms(CLOCK_MONOTONIC) >= end)
			return j;
		json_decref(j);
		nanosleep(&poll, NULL);
	}
}

/* {"reason": "not_leader", "leader": address or ""} */
static json_t *leader_json(admin_call_t *c)
{
	AUTO_BUF buf_t addr = {0};

	if (!c->ops->leader_addr(c->ctx, &addr))
		buf_reset(&addr);
	return json_pack("{s:s, s:o}", "reason", "not_leader", "leader",
			 json_string_lossy(buf_str(&addr)));
}

static void get_revisions(admin_call_t *c)
{
	decided_t *d = c->ops->tables(c->ctx);
	uint64_t current = decided_revision(d);
	uint64_t revision = query_u64(c, "revision", current, UINT32_MAX);
	uint64_t wait = query_u64(c, "wait_ms", 0, WAIT_MAX_MS);
	json_t *j;

	decided_unref(d);
	j = wait_in_force(c, revision, wait);
	if (j)
		answer(c, 200, j);
	else
		answer(c, 421, json_pack("{s:o}", "error", leader_json(c)));
}

static void get_status(admin_call_t *c)
{
	AUTO_BUF buf_t own = {0};
	decided_t *d = c->ops->tables(c->ctx);
	json_t *j = json_object();
	json_t *daemon, *revisions;

	c->ops->status(c->ctx, &own);
	daemon = json_loadb(own.p ? own.p : "", own.n, 0, NULL);
	json_object_set_new(j, "revision",
			    json_integer((json_int_t)decided_revision(d)));
	json_object_set_new(j, "index",
			    json_integer((json_int_t)decided_index(d)));
	for (size_t i = 0; i < ARRAY_SIZE(lists); i++)
		json_object_set_new(
			j, lists[i].path,
			json_integer((json_int_t)lists[i].count(d)));
	json_object_set_new(j, "daemon", daemon ? daemon : json_null());
	revisions = wait_in_force(c, decided_revision(d), 0);
	json_object_set_new(j, "in_force",
			    revisions ? revisions : leader_json(c));
	answer(c, 200, j);
	decided_unref(d);
}

/* New changes. */

static const struct {
	const char *name;
	int http_status;
} statuses[] = {
	[CHANGE_DECIDED] = {"decided", 200},
	[CHANGE_CONFLICT] = {"conflict", 409},
	[CHANGE_INVALID] = {"invalid", 422},
	[CHANGE_NO_QUORUM] = {"no_quorum", 503},
	[CHANGE_MAYBE_DECIDED] = {"unknown", 504},
};

static json_t *outcome_json(const change_outcome_t *out, const buf_t *error)
{
	json_t *j = json_pack("{s:s, s:I, s:b}", "status",
			      statuses[out->status].name, "revision",
			      (json_int_t)out->revision, "resent", out->resent);

	if (error->n)
		json_object_set_new(j, "error",
				    json_string_lossy(buf_str(error)));
	return j;
}

/* Fills what an operator may leave out; the members belong to j. */
static void fill_in(json_t *j, const decided_t *d)
{
	unsigned char random[ID_RANDOM_BYTES];
	char hex[2 * ID_RANDOM_BYTES + 1];

	if (!json_object_get(j, "base_revision"))
		json_object_set_new(
			j, "base_revision",
			json_integer((json_int_t)decided_revision(d)));
	if (!json_object_get(j, "change_id")) {
		randombytes_buf(random, sizeof(random));
		sodium_bin2hex(hex, sizeof(hex), random, sizeof(random));
		json_object_set_new(j, "change_id", json_string(hex));
	}
	json_object_set_new(j, "time_ms",
			    json_integer((json_int_t)now_ms(CLOCK_REALTIME)));
}

static void dry_run(admin_call_t *c, str_t packed)
{
	AUTO_BUF buf_t error = {0};
	decided_t *before = c->ops->tables(c->ctx);
	decided_t *after = decided_ref(before);
	change_outcome_t out;
	json_t *j;

	change_apply(&after, packed, decided_index(before) + 1, &out, &error);
	j = outcome_json(&out, &error);
	json_object_set_new(j, "dry_run", json_true());
	json_object_set_new(j, "differences", tables_diff(before, after));
	answer(c, statuses[out.status].http_status, j);
	decided_unref(before);
	decided_unref(after);
}

static void count(const change_outcome_t *out)
{
	if (out->status == CHANGE_CONFLICT)
		counter_add(CTR_CHANGES_CONFLICT, 1);
	else if (out->status == CHANGE_DECIDED && out->resent)
		counter_add(CTR_CHANGES_RESENT, 1);
	else if (out->status == CHANGE_DECIDED)
		counter_add(CTR_CHANGES_DECIDED, 1);
}

/*
 * Waits until this daemon's own tables hold a revision, so that an operator
 * who goes on here starts from his own change.
 */
static void wait_for_tables(admin_call_t *c, uint64_t revision)
{
	const struct timespec poll = {0, OWN_TABLES_POLL_MS * 1000000L};
	uint64_t end = now_ms(CLOCK_MONOTONIC) + OWN_TABLES_WAIT_MS;

	for (;;) {
		decided_t *d = c->ops->tables(c->ctx);
		bool held = decided_revision(d) >= revision;

		decided_unref(d);
		if (held || now_ms(CLOCK_MONOTONIC) >= end)
			return;
		nanosleep(&poll, NULL);
	}
}

static void propose(admin_call_t *c, str_t packed, const char *change_id,
		    uint64_t wait_ms)
{
	AUTO_BUF buf_t error = {0};
	change_outcome_t out = {CHANGE_MAYBE_DECIDED, 0, {NULL, 0}, false};
	json_t *j, *in_force;

	c->ops->propose(c->ctx, packed.p, packed.n, PROPOSE_TIMEOUT_US, &out,
			&error);
	count(&out);
	if (out.status == CHANGE_DECIDED || out.status == CHANGE_CONFLICT)
		wait_for_tables(c, out.revision);
	j = outcome_json(&out, &error);
	json_object_set_new(j, "change_id", json_string(change_id));
	if (out.status == CHANGE_DECIDED && wait_ms) {
		in_force = wait_in_force(c, out.revision, wait_ms);
		json_object_set_new(j, "in_force",
				    in_force ? in_force : leader_json(c));
	}
	answer(c, statuses[out.status].http_status, j);
}

/* Takes a member out of j; the caller owns the reference, NULL if absent. */
static json_t *take_member(json_t *j, const char *name)
{
	json_t *v = json_incref(json_object_get(j, name));

	json_object_del(j, name);
	return v;
}

static void post_change(admin_call_t *c)
{
	AUTO_BUF buf_t packed = {0};
	AUTO_BUF buf_t error = {0};
	json_error_t where;
	json_t *j = json_loadb(c->body.p ? c->body.p : "", c->body.n,
			       JSON_REJECT_DUPLICATES, &where);
	decided_t *d;
	json_t *dry, *wait;
	uint64_t wait_ms;

	if (!json_is_object(j)) {
		buf_printf(&error, "line %d: %s", where.line,
			   j ? "expected an object" : where.text);
		answer_error(c, 400, "bad_json", buf_str(&error));
		json_decref(j);
		return;
	}
	d = c->ops->tables(c->ctx);
	dry = take_member(j, "dry_run");
	wait = take_member(j, "wait_ms");
	wait_ms = json_integer_value(wait) > 0
			  ? (uint64_t)json_integer_value(wait)
			  : 0;
	if (wait_ms > WAIT_MAX_MS)
		wait_ms = WAIT_MAX_MS;
	fill_in(j, d);
	decided_unref(d);
	if (change_from_json(j, &packed, &error))
		answer_error(c, 400, "bad_change", buf_str(&error));
	else if (json_is_true(dry))
		dry_run(c, buf_str(&packed));
	else
		propose(c, buf_str(&packed),
			json_string_value(json_object_get(j, "change_id")),
			wait_ms);
	json_decref(dry);
	json_decref(wait);
	json_decref(j);
}

static void get_explain(admin_call_t *c)
{
	AUTO_BUF buf_t model = {0};

	if (!query_get(c, "model", &model)) {
		answer_error(c, 400, "bad_request", STR("model is missing"));
		return;
	}
	c->ops->explain(c->ctx, buf_str(&model), &c->reply->body);
	c->reply->http_status = 200;
	c->reply->content_type = "application/json";
}

static void post_drain(admin_call_t *c)
{
	c->ops->drain(c->ctx);
	answer(c, 202, json_pack("{s:b}", "draining", true));
}

/* Routes. */

static const struct {
	const char *method;
	const char *path;
	void (*handle)(admin_call_t *c);
} routes[] = {
	{"GET", "status", get_status},	 {"GET", "revisions", get_revisions},
	{"GET", "changes", get_changes}, {"GET", "diff", get_diff},
	{"POST", "change", post_change}, {"GET", "explain", get_explain},
	{"POST", "drain", post_drain},
};

static bool route(admin_call_t *c, str_t method, str_t path)
{
	str_t head;
	bool known = false;

	str_split(path, '/', &head, &c->rest);
	for (size_t i = 0; i < ARRAY_SIZE(lists); i++) {
		if (!str_eq(head, str_c(lists[i].path)))
			continue;
		known = true;
		if (str_eq(method, STR("GET"))) {
			get_list(c, &lists[i]);
			return true;
		}
	}
	for (size_t i = 0; i < ARRAY_SIZE(routes); i++) {
		if (!str_eq(head, str_c(routes[i].path)))
			continue;
		known = true;
		if (str_eq(method, str_c(routes[i].method))) {
			routes[i].handle(c);
			return true;
		}
	}
	if (known)
		answer_error(c, 405, "bad_method", method);
	return known;
}

void admin_handle(const admin_ops_t *ops, void *ctx, str_t method, str_t path,
		  str_t query, str_t body, admin_reply_t *reply)
{
	static const char root[] = "/v1/admin/";
	admin_call_t c = {ops, ctx, query, body, {NULL, 0}, reply};
	size_t n = sizeof(root) - 1;

	if (path.n <= n || memcmp(path.p, root, n) != 0 ||
	    !route(&c, method, str_n(path.p + n, path.n - n)))
		answer_error(&c, 404, "no_such_path", path);
	/* Large changes leave much free memory in this thread's arena. */
	if (body.n >= TRIM_BYTES)
		malloc_trim(0);
}
