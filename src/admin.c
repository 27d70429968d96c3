/* admin.c - the operators' JSON interface: one handler for each path. */
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
#define IN_FORCE_WAIT_MAX_MS 120000u
#define IN_FORCE_POLL_MS 10
#define LOCAL_TABLES_WAIT_MS 1000u
#define LOCAL_TABLES_POLL_MS 1
#define PAGE_ROWS_DEFAULT 1000u
#define PAGE_ROWS_MAX 20000u
#define TRIM_BODY_BYTES_MIN 65536u
#define HOSTS_MAX 4096u
#define JSON_FLAGS (JSON_COMPACT | JSON_PRESERVE_ORDER)
#define CHANGE_ID_RANDOM_BYTES 12u

typedef struct admin_call {
	const admin_ops_t *ops;
	void *ctx;
	str_t query;
	str_t body;
	str_t path_rest; /* what follows the first segment below /v1/admin/ */
	admin_reply_t *reply;
} admin_call_t;

/* Sets the reply to status and j; takes the reference. */
static void reply_json(admin_call_t *call, int status, json_t *j)
{
	AUTO_FREE char *text = json_dumps(j, JSON_FLAGS);

	call->reply->http_status = status;
	call->reply->content_type = "application/json";
	buf_puts(&call->reply->body, text ? text : "{}");
	buf_puts(&call->reply->body, "\n");
	json_decref(j);
}

static void reply_error(admin_call_t *call, int status, const char *reason,
			str_t detail)
{
	reply_json(call, status,
		   json_pack("{s:{s:s, s:o}}", "error", "reason", reason,
			     "detail", json_string_lossy(detail)));
}

/* Parsing of the query string. */

static int hex_value(char digit)
{
	if (digit >= '0' && digit <= '9')
		return digit - '0';
	if (digit >= 'a' && digit <= 'f')
		return digit - 'a' + 10;
	if (digit >= 'A' && digit <= 'F')
		return digit - 'A' + 10;
	return -1;
}

static void url_decode(str_t encoded, buf_t *out)
{
	for (size_t i = 0; i < encoded.n; i++) {
		char byte = encoded.p[i] == '+' ? ' ' : encoded.p[i];

		if (byte == '%' && i + 2 < encoded.n &&
		    hex_value(encoded.p[i + 1]) >= 0 &&
		    hex_value(encoded.p[i + 2]) >= 0) {
			byte = (char)(hex_value(encoded.p[i + 1]) * 16 +
				      hex_value(encoded.p[i + 2]));
			i += 2;
		}
		buf_put(out, &byte, 1);
	}
}

/* Appends the decoded value of a query parameter; false if it is absent. */
static bool query_get(const admin_call_t *call, const char *name, buf_t *out)
{
	str_t rest = call->query;
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

/* A query parameter, at most max; dflt if it is absent or not a number. */
static uint64_t query_u64(const admin_call_t *call, const char *name,
			  uint64_t dflt, uint64_t max)
{
	AUTO_BUF buf_t text = {0};
	uint64_t value;

	if (!query_get(call, name, &text) || str_to_u64(buf_str(&text), &value))
		return dflt;
	return value < max ? value : max;
}

/* Lists of rows of the tables. */

static json_t *host_row_json(const decided_t *d, size_t i)
{
	return host_to_json(decided_host_at(d, i));
}

static json_t *target_row_json(const decided_t *d, size_t i)
{
	return target_to_json(decided_target_at(d, i), d);
}

static json_t *org_row_json(const decided_t *d, size_t i)
{
	return org_to_json(decided_org_at(d, i));
}

static json_t *adapter_row_json(const decided_t *d, size_t i)
{
	return adapter_to_json(decided_adapter_at(d, i), d);
}

static json_t *template_row_json(const decided_t *d, size_t i)
{
	return template_row_to_json(decided_template_at(d, i));
}

/* X(path, table): path is also the name of the array in the JSON reply. */
#define LIST_ROUTES(X)       \
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
LIST_ROUTES(X)
#undef X

typedef struct list_route {
	const char *path;
	size_t (*count)(const decided_t *d);
	str_t (*name_at)(const decided_t *d, size_t i);
	uint32_t (*id_at)(const decided_t *d, size_t i);
	json_t *(*row_json)(const decided_t *d, size_t i);
} list_route_t;

static const list_route_t lists[] = {
#define X(path, table)                                             \
	{#path, decided_##table##_count, table##_name, table##_id, \
	 table##_row_json},
	LIST_ROUTES(X)
#undef X
};

static bool has_prefix(str_t s, str_t prefix)
{
	return s.n >= prefix.n &&
	       (!prefix.n || memcmp(s.p, prefix.p, prefix.n) == 0);
}

/* Appends one row of a JSON array; takes the reference. */
static void append_row(buf_t *out, json_t *row, bool first)
{
	AUTO_FREE char *text = json_dumps(row, JSON_FLAGS);

	buf_puts(out, first ? "" : ",");
	buf_puts(out, text ? text : "{}");
	json_decref(row);
}

/*
 * Appends one page of a list. Rows are serialized one at a time, because the
 * json_t values of a whole page would take megabytes.
 */
static void write_page(const admin_call_t *call, const list_route_t *list,
		       const decided_t *d, buf_t *out)
{
	AUTO_BUF buf_t prefix = {0};
	uint64_t after_id = query_u64(call, "after", 0, UINT32_MAX);
	uint64_t limit =
		query_u64(call, "limit", PAGE_ROWS_DEFAULT, PAGE_ROWS_MAX);
	uint64_t written = 0;
	uint32_t last_id = 0;
	bool more = false;

	query_get(call, "prefix", &prefix);
	buf_printf(out, "{\"revision\":%llu,\"count\":%zu,\"%s\":[",
		   (unsigned long long)decided_revision(d), list->count(d),
		   list->path);
	for (size_t i = 0; i < list->count(d); i++) {
		if (list->id_at(d, i) <= after_id ||
		    !has_prefix(list->name_at(d, i), buf_str(&prefix)))
			continue;
		more = written == limit;
		if (more)
			break;
		append_row(out, list->row_json(d, i), written++ == 0);
		last_id = list->id_at(d, i);
	}
	buf_puts(out, "]");
	if (more)
		buf_printf(out, ",\"next\":%u", last_id);
	buf_puts(out, "}\n");
}

static json_t *find_row(const list_route_t *list, const decided_t *d,
			str_t name)
{
	for (size_t i = 0; i < list->count(d); i++)
		if (str_eq(list->name_at(d, i), name))
			return list->row_json(d, i);
	return NULL;
}

static void get_list(admin_call_t *call, const list_route_t *list)
{
	decided_t *d = call->ops->tables(call->ctx);
	json_t *row;

	if (!call->path_rest.n) {
		call->reply->http_status = 200;
		call->reply->content_type = "application/json";
		write_page(call, list, d, &call->reply->body);
	} else {
		row = find_row(list, d, call->path_rest);
		if (row)
			reply_json(call, 200, row);
		else
			reply_error(call, 404, "not_found", call->path_rest);
	}
	decided_unref(d);
}

/* Decided changes. */

/* The row of a change, with its operations where its body was kept. */
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

/* The latest changes below the revision "before", newest first. */
static json_t *latest_changes(const admin_call_t *call, const decided_t *d)
{
	uint64_t before = query_u64(call, "before", UINT64_MAX, UINT64_MAX);
	uint64_t limit = query_u64(call, "limit", 50, PAGE_ROWS_MAX);
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

/* Finds a change by its id, or else by the revision that it made. */
static const change_row_t *find_change(const decided_t *d, str_t id_or_revision)
{
	const change_row_t *row = decided_change_by_name(d, id_or_revision);
	uint64_t revision;

	if (!row && !str_to_u64(id_or_revision, &revision))
		row = decided_change_by_revision(d, revision);
	return row;
}

static void get_changes(admin_call_t *call)
{
	decided_t *d = call->ops->tables(call->ctx);
	const change_row_t *row = find_change(d, call->path_rest);

	if (!call->path_rest.n)
		reply_json(call, 200, latest_changes(call, d));
	else if (row)
		reply_json(call, 200, change_details(row));
	else
		reply_error(call, 404, "not_found", call->path_rest);
	decided_unref(d);
}

/*
 * The changes above revision "from", up to revision "to". "whole" is false
 * where some of them are no longer kept.
 */
static void get_diff(admin_call_t *call)
{
	decided_t *d = call->ops->tables(call->ctx);
	uint64_t current = decided_revision(d);
	uint64_t from = query_u64(call, "from", current, current);
	uint64_t to = query_u64(call, "to", current, current);
	json_t *rows = json_array();
	bool complete = true;

	for (uint64_t revision = from + 1; revision <= to; revision++) {
		const change_row_t *change =
			decided_change_by_revision(d, revision);

		complete = complete && change;
		if (change)
			json_array_append_new(rows, change_details(change));
	}
	reply_json(call, 200,
		   json_pack("{s:I, s:I, s:b, s:o}", "from", (json_int_t)from,
			     "to", (json_int_t)to, "whole", complete, "changes",
			     rows));
	decided_unref(d);
}

/* Which revision is in force on which host. */

static uint64_t now_ms(clockid_t clock)
{
	struct timespec ts;

	clock_gettime(clock, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static const host_revision_t *
find_host_revision(const host_revision_t *live_hosts, size_t n, host_id_t host)
{
	for (size_t i = 0; i < n; i++)
		if (live_hosts[i].host == host)
			return &live_hosts[i];
	return NULL;
}

/*
 * Reports the hosts of the tables by what the leader knows of them. "hosts"
 * has all live hosts, "lacking" those of them that have not yet applied
 * revision, and "absent" the hosts without a session. Sets *in_force to whether
 * all live hosts have applied it.
 */
static json_t *host_revisions_json(const decided_t *d,
				   const host_revision_t *live_hosts, size_t n,
				   uint64_t revision, bool *in_force)
{
	json_t *rows = json_array();
	json_t *behind = json_array();
	json_t *absent = json_array();

	for (size_t i = 0; i < decided_host_count(d); i++) {
		const host_t *host = decided_host_at(d, i);
		const host_revision_t *live =
			find_host_revision(live_hosts, n, host->id);

		if (!live) {
			json_array_append_new(absent,
					      json_string_lossy(host->name));
			continue;
		}
		if (live->revision < revision)
			json_array_append_new(behind,
					      json_string_lossy(host->name));
		json_array_append_new(
			rows, json_pack("{s:o, s:I, s:I, s:I}", "host",
					json_string_lossy(host->name), "id",
					(json_int_t)host->id, "revision",
					(json_int_t)live->revision, "index",
					(json_int_t)live->index));
	}
	*in_force = json_array_size(behind) == 0;
	return json_pack("{s:I, s:b, s:o, s:o, s:o}", "revision",
			 (json_int_t)revision, "in_force", *in_force, "lacking",
			 behind, "absent", absent, "hosts", rows);
}

/*
 * Waits at most wait_ms until revision is in force on all live hosts, and
 * returns the JSON of host_revisions_json(); NULL where this daemon is not the
 * leader.
 */
static json_t *wait_in_force(admin_call_t *call, uint64_t revision,
			     uint64_t wait_ms)
{
	AUTO_FREE host_revision_t *live_hosts =
		xcalloc(HOSTS_MAX, sizeof(*live_hosts));
	const struct timespec poll = {0, IN_FORCE_POLL_MS * 1000000L};
	uint64_t deadline_ms = now_ms(CLOCK_MONOTONIC) + wait_ms;

	for (;;) {
		size_t n = call->ops->host_revisions(call->ctx, live_hosts,
						     HOSTS_MAX);
		decided_t *d;
		json_t *j;
		bool in_force;

		if (!n)
			return NULL;
		d = call->ops->tables(call->ctx);
		j = host_revisions_json(d, live_hosts,
					n < HOSTS_MAX ? n : HOSTS_MAX, revision,
					&in_force);
		decided_unref(d);
		if (in_force || now_ms(CLOCK_MONOTONIC) >= deadline_ms)
			return j;
		json_decref(j);
		nanosleep(&poll, NULL);
	}
}

/* {"reason": "not_leader", "leader": "ip:port", or "" where unknown} */
static json_t *not_leader_json(admin_call_t *call)
{
	AUTO_BUF buf_t addr = {0};

	if (!call->ops->leader_addr(call->ctx, &addr))
		buf_reset(&addr);
	return json_pack("{s:s, s:o}", "reason", "not_leader", "leader",
			 json_string_lossy(buf_str(&addr)));
}

static void get_revisions(admin_call_t *call)
{
	decided_t *d = call->ops->tables(call->ctx);
	uint64_t current = decided_revision(d);
	uint64_t revision = query_u64(call, "revision", current, UINT32_MAX);
	uint64_t wait_ms = query_u64(call, "wait_ms", 0, IN_FORCE_WAIT_MAX_MS);
	json_t *j;

	decided_unref(d);
	j = wait_in_force(call, revision, wait_ms);
	if (j)
		reply_json(call, 200, j);
	else
		reply_json(call, 421,
			   json_pack("{s:o}", "error", not_leader_json(call)));
}

static void get_status(admin_call_t *call)
{
	AUTO_BUF buf_t daemon_json = {0};
	decided_t *d = call->ops->tables(call->ctx);
	json_t *j = json_object();
	json_t *daemon, *revisions;

	call->ops->status(call->ctx, &daemon_json);
	daemon = json_loadb(daemon_json.p ? daemon_json.p : "", daemon_json.n,
			    0, NULL);
	json_object_set_new(j, "revision",
			    json_integer((json_int_t)decided_revision(d)));
	json_object_set_new(j, "index",
			    json_integer((json_int_t)decided_index(d)));
	for (size_t i = 0; i < ARRAY_SIZE(lists); i++)
		json_object_set_new(
			j, lists[i].path,
			json_integer((json_int_t)lists[i].count(d)));
	json_object_set_new(j, "daemon", daemon ? daemon : json_null());
	revisions = wait_in_force(call, decided_revision(d), 0);
	json_object_set_new(j, "in_force",
			    revisions ? revisions : not_leader_json(call));
	reply_json(call, 200, j);
	decided_unref(d);
}

/* Submission of changes. */

static const struct {
	const char *name;
	int http_status;
} outcome_statuses[] = {
	[CHANGE_DECIDED] = {"decided", 200},
	[CHANGE_CONFLICT] = {"conflict", 409},
	[CHANGE_INVALID] = {"invalid", 422},
	[CHANGE_NO_QUORUM] = {"no_quorum", 503},
	[CHANGE_MAYBE_DECIDED] = {"unknown", 504},
};

static json_t *outcome_json(const change_outcome_t *out, const buf_t *error)
{
	json_t *j = json_pack("{s:s, s:I, s:b}", "status",
			      outcome_statuses[out->status].name, "revision",
			      (json_int_t)out->revision, "resent", out->resent);

	if (error->n)
		json_object_set_new(j, "error",
				    json_string_lossy(buf_str(error)));
	return j;
}

/*
 * Adds the members that an operator may omit: the current revision as the
 * base, and a random id. Sets the time to that of this daemon.
 */
static void add_defaults(json_t *change, const decided_t *d)
{
	unsigned char raw_id[CHANGE_ID_RANDOM_BYTES];
	char hex_id[2 * CHANGE_ID_RANDOM_BYTES + 1];

	if (!json_object_get(change, "base_revision"))
		json_object_set_new(
			change, "base_revision",
			json_integer((json_int_t)decided_revision(d)));
	if (!json_object_get(change, "change_id")) {
		randombytes_buf(raw_id, sizeof(raw_id));
		sodium_bin2hex(hex_id, sizeof(hex_id), raw_id, sizeof(raw_id));
		json_object_set_new(change, "change_id", json_string(hex_id));
	}
	json_object_set_new(change, "time_ms",
			    json_integer((json_int_t)now_ms(CLOCK_REALTIME)));
}

/*
 * Replies with the outcome that a change would have on this daemon's tables and
 * with the rows that would differ; proposes nothing.
 */
static void preview_change(admin_call_t *call, str_t packed)
{
	AUTO_BUF buf_t error = {0};
	decided_t *before = call->ops->tables(call->ctx);
	decided_t *after = decided_ref(before);
	change_outcome_t out;
	json_t *j;

	change_apply(&after, packed, decided_index(before) + 1, &out, &error);
	j = outcome_json(&out, &error);
	json_object_set_new(j, "dry_run", json_true());
	json_object_set_new(j, "differences", tables_diff(before, after));
	reply_json(call, outcome_statuses[out.status].http_status, j);
	decided_unref(before);
	decided_unref(after);
}

static void count_outcome(const change_outcome_t *out)
{
	if (out->status == CHANGE_CONFLICT)
		counter_add(CTR_CHANGES_CONFLICT, 1);
	else if (out->status == CHANGE_DECIDED && out->resent)
		counter_add(CTR_CHANGES_RESENT, 1);
	else if (out->status == CHANGE_DECIDED)
		counter_add(CTR_CHANGES_DECIDED, 1);
}

/*
 * Waits until this daemon's own tables have reached revision, so that an
 * operator whose next request goes to this daemon starts from his own change.
 * Gives up after LOCAL_TABLES_WAIT_MS.
 */
static void wait_for_tables(admin_call_t *call, uint64_t revision)
{
	const struct timespec poll = {0, LOCAL_TABLES_POLL_MS * 1000000L};
	uint64_t deadline_ms = now_ms(CLOCK_MONOTONIC) + LOCAL_TABLES_WAIT_MS;

	for (;;) {
		decided_t *d = call->ops->tables(call->ctx);
		bool reached = decided_revision(d) >= revision;

		decided_unref(d);
		if (reached || now_ms(CLOCK_MONOTONIC) >= deadline_ms)
			return;
		nanosleep(&poll, NULL);
	}
}

static void propose_change(admin_call_t *call, str_t packed,
			   const char *change_id, uint64_t wait_ms)
{
	AUTO_BUF buf_t error = {0};
	change_outcome_t out = {CHANGE_MAYBE_DECIDED, 0, {NULL, 0}, false};
	json_t *j, *in_force;

	call->ops->propose(call->ctx, packed.p, packed.n, PROPOSE_TIMEOUT_US,
			   &out, &error);
	count_outcome(&out);
	if (out.status == CHANGE_DECIDED || out.status == CHANGE_CONFLICT)
		wait_for_tables(call, out.revision);
	j = outcome_json(&out, &error);
	json_object_set_new(j, "change_id", json_string(change_id));
	if (out.status == CHANGE_DECIDED && wait_ms) {
		in_force = wait_in_force(call, out.revision, wait_ms);
		json_object_set_new(j, "in_force",
				    in_force ? in_force
					     : not_leader_json(call));
	}
	reply_json(call, outcome_statuses[out.status].http_status, j);
}

/*
 * Removes a member from object and returns it, NULL if absent; the caller owns
 * the reference.
 */
static json_t *take_member(json_t *object, const char *name)
{
	json_t *member = json_incref(json_object_get(object, name));

	json_object_del(object, name);
	return member;
}

static void post_change(admin_call_t *call)
{
	AUTO_BUF buf_t packed = {0};
	AUTO_BUF buf_t error = {0};
	json_error_t parse_error;
	json_t *change =
		json_loadb(call->body.p ? call->body.p : "", call->body.n,
			   JSON_REJECT_DUPLICATES, &parse_error);
	decided_t *d;
	json_t *dry_run, *wait_ms_json;
	uint64_t wait_ms;

	if (!json_is_object(change)) {
		buf_printf(&error, "line %d: %s", parse_error.line,
			   change ? "expected an object" : parse_error.text);
		reply_error(call, 400, "bad_json", buf_str(&error));
		json_decref(change);
		return;
	}
	d = call->ops->tables(call->ctx);
	dry_run = take_member(change, "dry_run");
	wait_ms_json = take_member(change, "wait_ms");
	wait_ms = json_integer_value(wait_ms_json) > 0
			  ? (uint64_t)json_integer_value(wait_ms_json)
			  : 0;
	if (wait_ms > IN_FORCE_WAIT_MAX_MS)
		wait_ms = IN_FORCE_WAIT_MAX_MS;
	add_defaults(change, d);
	decided_unref(d);
	if (change_from_json(change, &packed, &error))
		reply_error(call, 400, "bad_change", buf_str(&error));
	else if (json_is_true(dry_run))
		preview_change(call, buf_str(&packed));
	else
		propose_change(
			call, buf_str(&packed),
			json_string_value(json_object_get(change, "change_id")),
			wait_ms);
	json_decref(dry_run);
	json_decref(wait_ms_json);
	json_decref(change);
}

static void get_explain(admin_call_t *call)
{
	AUTO_BUF buf_t model = {0};

	if (!query_get(call, "model", &model)) {
		reply_error(call, 400, "bad_request", STR("model is missing"));
		return;
	}
	call->ops->explain(call->ctx, buf_str(&model), &call->reply->body);
	call->reply->http_status = 200;
	call->reply->content_type = "application/json";
}

static void post_drain(admin_call_t *call)
{
	call->ops->drain(call->ctx);
	reply_json(call, 202, json_pack("{s:b}", "draining", true));
}

/* Routing. */

static const struct {
	const char *method;
	const char *path;
	void (*handle)(admin_call_t *call);
} routes[] = {
	{"GET", "status", get_status},	 {"GET", "revisions", get_revisions},
	{"GET", "changes", get_changes}, {"GET", "diff", get_diff},
	{"POST", "change", post_change}, {"GET", "explain", get_explain},
	{"POST", "drain", post_drain},
};

/*
 * Handles a request whose path is relative to /v1/admin/; false where there is
 * no such path.
 */
static bool route(admin_call_t *call, str_t method, str_t path)
{
	str_t segment;
	bool path_known = false;

	str_split(path, '/', &segment, &call->path_rest);
	for (size_t i = 0; i < ARRAY_SIZE(lists); i++) {
		if (!str_eq(segment, str_c(lists[i].path)))
			continue;
		path_known = true;
		if (str_eq(method, STR("GET"))) {
			get_list(call, &lists[i]);
			return true;
		}
	}
	for (size_t i = 0; i < ARRAY_SIZE(routes); i++) {
		if (!str_eq(segment, str_c(routes[i].path)))
			continue;
		path_known = true;
		if (str_eq(method, str_c(routes[i].method))) {
			routes[i].handle(call);
			return true;
		}
	}
	if (path_known)
		reply_error(call, 405, "bad_method", method);
	return path_known;
}

void admin_handle(const admin_ops_t *ops, void *ctx, str_t method, str_t path,
		  str_t query, str_t body, admin_reply_t *reply)
{
	static const char root[] = "/v1/admin/";
	admin_call_t call = {ops, ctx, query, body, {NULL, 0}, reply};
	size_t root_len = sizeof(root) - 1;

	if (path.n <= root_len || memcmp(path.p, root, root_len) != 0 ||
	    !route(&call, method, str_n(path.p + root_len, path.n - root_len)))
		reply_error(&call, 404, "no_such_path", path);
	/*
	 * A large change leaves much freed memory in the malloc arena of this
	 * thread; return it to the system.
	 */
	if (body.n >= TRIM_BODY_BYTES_MIN)
		malloc_trim(0);
}
