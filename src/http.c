/* http.c - requests of callers in, streamed answers out. */
#include "http.h"

#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <jansson.h>
#include <sodium.h>
#include <urcu/list.h>

#include "counter.h"
#include "log.h"

#define SHARDS 64u
#define GONE_CHECK_MS 250
#define STOP_TICK_MS 10
#define STOP_MAX_MS 2000 /* for answers of the end */
#define ID_MAX 128u
#define KEY_MAX 255u
#define NAME_BYTES_MAX 256u
#define PRIORITY_MAX 1000
#define DEADLINE_MAX_MS 86400000u
#define ADDRESSES_MAX 8u
#define BYTES_PER_TOKEN 4u
#define DEFAULT_MAX_TOKENS 16u
#define PREFIX_BYTES 256u
#define COMPLETIONS "/v1/completions"
#define CALL_PREFIX "/v1/call/"

/*
 * The answer to one request, between the core that fills it and the
 * connection thread that sends it. Guarded by the lock of its shard.
 */
typedef struct reader {
	struct cds_list_head node;
	uint64_t handle;
	pthread_cond_t changed;
	buf_t data;    /* bytes not yet taken by the connection thread */
	bool head;     /* the reply's head is here */
	bool final;    /* no reply follows */
	bool slow;     /* over the bound; data was dropped */
	int status;    /* of the head */
	char *adapter; /* owned */
	target_id_t target;
	host_id_t owner;
	uint32_t attempt;
	bool replayed;
	reason_t reason; /* with final: REASON_NONE where whole */
	run_state_t run;
	uint32_t retry_ms;
	char *detail; /* owned */
} reader_t;

typedef struct shard {
	pthread_mutex_t lock;
	struct cds_list_head readers;
} shard_t;

struct http {
	http_cfg_t cfg;
	http_ops_t ops;
	void *ctx;
	httpd_t *port;
	atomic_uint_fast64_t next_handle;
	atomic_size_t active;
	shard_t shards[SHARDS];
};

/* A request while its answer is sent. */
typedef struct call {
	http_t *h;
	struct mg_connection *conn;
	serve_req_t req;
	buf_t body;  /* as received */
	char *text;  /* body for the core, where it differs; owned */
	json_t *doc; /* holds the strings of req */
	bool stream; /* answer is SSE */
	bool head_out;
	int fd; /* -1: not looked for yet */
	char id[ID_MAX + 1];
} call_t;

static shard_t *shard_of(http_t *h, uint64_t handle)
{
	return &h->shards[handle % SHARDS];
}

static void send_error(call_t *c, reason_t reason, run_state_t run,
		       uint32_t retry_ms, str_t detail)
{
	AUTO_BUF buf_t body = {0};
	AUTO_BUF buf_t headers = {0};

	httpd_error_json(&body, reason, run, retry_ms, detail);
	if (retry_ms)
		buf_printf(&headers, "Retry-After: %u\r\n",
			   (retry_ms + 999) / 1000);
	if (c->id[0])
		buf_printf(&headers, "X-Request-Id: %s\r\n", c->id);
	httpd_answer(c->conn, reason_info(reason)->http_status,
		     "application/json", buf_str(&headers), buf_str(&body));
}

/* Refuses before the core has seen the request. */
static void refuse(call_t *c, reason_t reason, const char *detail)
{
	const reason_info_t *info = reason_info(reason);

	counter_refused(reason);
	send_error(c, reason, info->run, info->retry_ms, str_c(detail));
}

static bool printable(str_t s)
{
	for (size_t i = 0; i < s.n; i++)
		if (s.p[i] <= ' ' || s.p[i] > '~')
			return false;
	return true;
}

/* Headers that are numbers. False where the value is not one in range. */
static bool number_header(call_t *c, const char *name, uint64_t max,
			  uint64_t *out)
{
	str_t value = httpd_header(c->conn, name);

	if (!value.n)
		return true;
	return str_to_u64(value, out) == 0 && *out <= max;
}

static bool priority_header(call_t *c)
{
	str_t value = httpd_header(c->conn, "X-Priority");
	bool negative = value.n && value.p[0] == '-';
	uint64_t v;

	if (!value.n)
		return true;
	if (negative) {
		value.p++;
		value.n--;
	}
	if (str_to_u64(value, &v) < 0 || v > PRIORITY_MAX)
		return false;
	c->req.priority = negative ? -(int32_t)v : (int32_t)v;
	return true;
}

static void make_id(call_t *c)
{
	unsigned char raw[16];

	randombytes_buf(raw, sizeof(raw));
	sodium_bin2hex(c->id, sizeof(c->id), raw, sizeof(raw));
}

static bool id_headers(call_t *c)
{
	str_t id = httpd_header(c->conn, "X-Request-Id");
	str_t key = httpd_header(c->conn, "Idempotency-Key");
	str_t once = httpd_header(c->conn, "X-Not-Repeatable");

	if (id.n > ID_MAX || !printable(id) || key.n > KEY_MAX ||
	    !printable(key))
		return false;
	if (once.n && !str_eq(once, STR("1")) && !str_eq(once, STR("0")))
		return false;
	if (id.n)
		memcpy(c->id, id.p, id.n);
	else
		make_id(c);
	c->req.request_id = str_c(c->id);
	c->req.idempotency_key = key;
	c->req.not_repeatable = str_eq(once, STR("1"));
	return true;
}

static bool read_headers(call_t *c)
{
	uint64_t deadline_ms = 0;

	if (!id_headers(c)) {
		c->id[0] = '\0';
		refuse(c, REASON_BAD_REQUEST,
		       "X-Request-Id, Idempotency-Key or X-Not-Repeatable is "
		       "malformed.");
		return false;
	}
	if (!number_header(c, "X-Deadline-Ms", DEADLINE_MAX_MS, &deadline_ms) ||
	    !number_header(c, "X-Resume-Offset", INT64_MAX,
			   &c->req.resume_offset) ||
	    !priority_header(c)) {
		refuse(c, REASON_BAD_REQUEST,
		       "X-Deadline-Ms, X-Resume-Offset or X-Priority is not a "
		       "number in range.");
		return false;
	}
	if (deadline_ms)
		c->req.deadline_us = c->h->ops.now_us(c->h->ctx) +
				     (int64_t)deadline_ms * USEC_PER_MSEC;
	return true;
}

static bool authenticate(call_t *c)
{
	str_t token = httpd_bearer(c->conn);
	decided_t *d = c->h->ops.tables(c->h->ctx);
	const org_t *org = token.n && d ? decided_org_by_token(d, token) : NULL;
	reason_t reason;

	if (org)
		c->req.org_id = org->id;
	decided_unref(d);
	if (org)
		return true;
	/* Without confirmed tables nobody is known: that is not a bad token. */
	reason = c->h->ops.refusal(c->h->ctx);
	refuse(c, reason == REASON_STALE ? reason : REASON_UNAUTHENTICATED, "");
	return false;
}

static bool read_body(call_t *c)
{
	reason_t reason = httpd_body(c->conn, c->h->cfg.body_max,
				     c->h->cfg.body_timeout_ms, &c->body);

	if (reason == REASON_NONE)
		return true;
	refuse(c, reason, "");
	httpd_drop(c->conn);
	return false;
}

static uint32_t estimate_tokens(const json_t *prompt)
{
	size_t bytes = 0;
	const json_t *item;
	size_t i;

	if (json_is_string(prompt))
		return (uint32_t)(json_string_length(prompt) / BYTES_PER_TOKEN +
				  1);
	json_array_foreach(prompt, i, item) bytes +=
		json_is_string(item) ? json_string_length(item)
				     : BYTES_PER_TOKEN;
	return (uint32_t)(bytes / BYTES_PER_TOKEN + 1);
}

static uint64_t prefix_hash(const json_t *prompt)
{
	size_t n = json_string_length(prompt);

	if (n < PREFIX_BYTES)
		return 0;
	return hash_bytes(json_string_value(prompt), PREFIX_BYTES, 0);
}

/* Why a completion body is not acceptable; NULL where it is. */
static const char *check_completion(call_t *c)
{
	json_t *model = json_object_get(c->doc, "model");
	json_t *prompt = json_object_get(c->doc, "prompt");
	json_t *max = json_object_get(c->doc, "max_tokens");
	json_t *stream = json_object_get(c->doc, "stream");

	if (!json_is_object(c->doc))
		return "The body is not a JSON object.";
	if (!json_is_string(model) || !json_string_length(model) ||
	    json_string_length(model) > NAME_BYTES_MAX)
		return "model: expected a name of 1 to 256 bytes.";
	if (!json_is_string(prompt) && !json_is_array(prompt))
		return "prompt: expected a string or an array.";
	if (max && (!json_is_integer(max) || json_integer_value(max) < 1 ||
		    json_integer_value(max) > INT32_MAX))
		return "max_tokens: expected a positive integer.";
	if (stream && !json_is_boolean(stream))
		return "stream: expected true or false.";
	return NULL;
}

static bool parse_completion(call_t *c)
{
	const char *fault;
	json_t *prompt;
	json_t *max;

	c->doc = json_loadb(c->body.p, c->body.n, JSON_REJECT_DUPLICATES, NULL);
	buf_free(&c->body);
	fault = check_completion(c);
	if (fault) {
		refuse(c, REASON_BAD_REQUEST, fault);
		return false;
	}
	prompt = json_object_get(c->doc, "prompt");
	max = json_object_get(c->doc, "max_tokens");
	c->stream = json_is_true(json_object_get(c->doc, "stream"));
	c->req.prompt_tokens = estimate_tokens(prompt);
	c->req.prefix_hash = prefix_hash(prompt);
	c->req.max_tokens =
		max ? (uint32_t)json_integer_value(max) : DEFAULT_MAX_TOKENS;
	return true;
}

/* Splits the model off; the rest goes to the core as text. */
static void split_model(call_t *c, buf_t *model)
{
	json_t *name = json_object_get(c->doc, "model");

	buf_put(model, json_string_value(name), json_string_length(name));
	json_object_del(c->doc, "model");
	c->text = json_dumps(c->doc, JSON_COMPACT);
	json_decref(c->doc);
	c->doc = NULL;
	c->req.model = buf_str(model);
	c->req.body = str_c(c->text);
}

static reader_t *find_reader(shard_t *s, uint64_t handle)
{
	reader_t *r;

	cds_list_for_each_entry (r, &s->readers, node)
		if (r->handle == handle)
			return r;
	return NULL;
}

static void add_reader(http_t *h, reader_t *r)
{
	shard_t *s;
	pthread_condattr_t attr;

	r->handle = atomic_fetch_add(&h->next_handle, 1) + 1;
	s = shard_of(h, r->handle);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&r->changed, &attr);
	pthread_condattr_destroy(&attr);
	pthread_mutex_lock(&s->lock);
	cds_list_add(&r->node, &s->readers);
	pthread_mutex_unlock(&s->lock);
}

static void remove_reader(http_t *h, reader_t *r)
{
	shard_t *s = shard_of(h, r->handle);

	pthread_mutex_lock(&s->lock);
	cds_list_del(&r->node);
	pthread_mutex_unlock(&s->lock);
	pthread_cond_destroy(&r->changed);
	buf_free(&r->data);
	free(r->adapter);
	free(r->detail);
}

static void note_head(reader_t *r, const serve_reply_t *rep)
{
	r->head = true;
	r->status = rep->http_status;
	free(r->adapter);
	r->adapter = str_dup(rep->adapter);
	r->target = rep->target;
	r->owner = rep->owner;
	r->attempt = rep->attempt;
	r->replayed = rep->replayed;
}

static void note_fail(reader_t *r, const serve_reply_t *rep)
{
	r->final = true;
	r->reason = rep->reason;
	r->run = rep->run_state;
	r->retry_ms = rep->retry_ms;
	r->detail = str_dup(rep->detail);
}

/* Cuts a reader that is behind by more than the bound. */
static void cut_slow(http_t *h, reader_t *r)
{
	r->slow = true;
	r->final = true;
	r->reason = REASON_SLOW_READER;
	r->run = RUN_YES;
	buf_free(&r->data);
	h->ops.cancel(h->ctx, r->handle);
}

void http_reply(http_t *h, uint64_t handle, const serve_reply_t *rep)
{
	shard_t *s = shard_of(h, handle);
	reader_t *r;

	pthread_mutex_lock(&s->lock);
	r = find_reader(s, handle);
	if (!r || r->final) {
		pthread_mutex_unlock(&s->lock);
		return;
	}
	switch (rep->kind) {
	case REPLY_HEAD:
		note_head(r, rep);
		break;
	case REPLY_CHUNK:
		if (r->data.n + rep->data.n > h->cfg.reader_max)
			cut_slow(h, r);
		else
			buf_put(&r->data, rep->data.p, rep->data.n);
		break;
	case REPLY_DONE:
		if (!r->head)
			note_head(r, rep);
		r->final = true;
		break;
	case REPLY_FAIL:
		note_fail(r, rep);
		break;
	}
	pthread_cond_signal(&r->changed);
	pthread_mutex_unlock(&s->lock);
}

static void put_name_header(buf_t *out, const char *header, str_t name)
{
	if (name.n && printable(name))
		buf_printf(out, "%s: %.*s\r\n", header, STR_ARG(name));
}

static void answer_headers(call_t *c, const reader_t *r, buf_t *out)
{
	decided_t *d = c->h->ops.tables(c->h->ctx);
	const target_t *target = d ? decided_target(d, r->target) : NULL;
	const host_t *owner = d ? decided_host(d, r->owner) : NULL;

	buf_printf(out, "X-Request-Id: %s\r\n", c->id);
	put_name_header(out, "X-Adapter", str_c(r->adapter));
	if (target)
		put_name_header(out, "X-Target", target->name);
	if (owner)
		put_name_header(out, "X-Owner", owner->name);
	buf_printf(out, "X-Attempt: %u\r\n", r->attempt);
	if (r->replayed)
		buf_puts(out, "X-Replayed: 1\r\n");
	decided_unref(d);
}

static int send_head(call_t *c, const reader_t *r)
{
	AUTO_BUF buf_t headers = {0};

	c->head_out = true;
	answer_headers(c, r, &headers);
	return httpd_head(c->conn, r->status ? r->status : 200,
			  c->stream ? "text/event-stream" : "application/json",
			  buf_str(&headers));
}

/* Waits for a reply. False where the caller has gone meanwhile. */
static bool wait_change(call_t *c, shard_t *s, reader_t *r)
{
	while (!r->data.n && !r->final && !(r->head && !c->head_out)) {
		struct timespec until;

		clock_gettime(CLOCK_MONOTONIC, &until);
		until.tv_nsec += GONE_CHECK_MS * 1000000L;
		until.tv_sec += until.tv_nsec / 1000000000L;
		until.tv_nsec %= 1000000000L;
		if (pthread_cond_timedwait(&r->changed, &s->lock, &until) !=
		    ETIMEDOUT)
			continue;
		pthread_mutex_unlock(&s->lock);
		if (c->fd < 0)
			c->fd = httpd_socket(c->conn);
		if (httpd_gone(c->fd)) {
			pthread_mutex_lock(&s->lock);
			return false;
		}
		pthread_mutex_lock(&s->lock);
	}
	return true;
}

/* Sends an error after the head of an answer. */
static void send_late_error(call_t *c, const reader_t *r)
{
	AUTO_BUF buf_t event = {0};

	if (!c->stream) {
		httpd_drop(c->conn);
		return;
	}
	/* An event that was cut off ends here, so that the error is its own. */
	buf_puts(&event, "\n\nevent: error\ndata: ");
	httpd_error_json(&event, r->reason, r->run, r->retry_ms,
			 str_c(r->detail));
	buf_puts(&event, "\n\n");
	if (httpd_chunk(c->conn, buf_str(&event)) < 0 ||
	    httpd_chunk(c->conn, str_n(NULL, 0)) < 0)
		httpd_drop(c->conn);
}

static void finish(call_t *c, reader_t *r)
{
	if (r->slow) {
		counter_refused(REASON_SLOW_READER);
		log_event(LOG_NOTICE, "slow_reader_cut",
			  KV_C("request", c->id));
		httpd_drop(c->conn);
	} else if (r->reason == REASON_NONE) {
		httpd_chunk(c->conn, str_n(NULL, 0));
	} else if (c->head_out) {
		send_late_error(c, r);
	} else {
		send_error(c, r->reason, r->run, r->retry_ms, str_c(r->detail));
	}
}

/* Relays replies until the last. False where the caller is gone. */
static bool relay(call_t *c, reader_t *r)
{
	shard_t *s = shard_of(c->h, r->handle);
	bool ok = true;
	bool final = false;

	while (ok && !final) {
		AUTO_BUF buf_t data = {0};
		bool head;

		pthread_mutex_lock(&s->lock);
		ok = wait_change(c, s, r);
		data = r->data;
		memset(&r->data, 0, sizeof(r->data));
		final = r->final;
		head = r->head;
		pthread_mutex_unlock(&s->lock);
		if (ok && head && !c->head_out)
			ok = send_head(c, r) == 0;
		if (ok && data.n)
			ok = httpd_chunk(c->conn, buf_str(&data)) == 0;
	}
	return ok;
}

static bool is_slow(http_t *h, const reader_t *r)
{
	shard_t *s = shard_of(h, r->handle);
	bool slow;

	pthread_mutex_lock(&s->lock);
	slow = r->slow;
	pthread_mutex_unlock(&s->lock);
	return slow;
}

/* Hands the request to the core and its answer to the caller. */
static void run(call_t *c)
{
	reader_t r = {0};

	add_reader(c->h, &r);
	c->req.handle = r.handle;
	c->h->ops.submit(c->h->ctx, &c->req);
	if (relay(c, &r) || is_slow(c->h, &r))
		finish(c, &r);
	else
		c->h->ops.cancel(c->h->ctx, r.handle);
	remove_reader(c->h, &r);
}

static void handle_completion(call_t *c)
{
	AUTO_BUF buf_t model = {0};

	if (!read_body(c) || !read_headers(c) || !authenticate(c) ||
	    !parse_completion(c))
		return;
	split_model(c, &model);
	run(c);
}

static bool path_ok(str_t path)
{
	for (size_t i = 0; i < path.n; i++)
		if (!strchr("-._~/:@=+,", path.p[i]) &&
		    !(path.p[i] >= '0' && path.p[i] <= '9') &&
		    !(path.p[i] >= 'A' && path.p[i] <= 'Z') &&
		    !(path.p[i] >= 'a' && path.p[i] <= 'z'))
			return false;
	return true;
}

static void handle_call(call_t *c, str_t rest)
{
	const char *slash = memchr(rest.p, '/', rest.n);
	size_t n = slash ? (size_t)(slash - rest.p) : rest.n;

	if (!read_body(c) || !read_headers(c) || !authenticate(c))
		return;
	if (!n || n > NAME_BYTES_MAX || !path_ok(rest)) {
		refuse(c, REASON_BAD_REQUEST,
		       "The path names no service or holds other characters "
		       "than letters, digits and -._~/:@=+,");
		return;
	}
	c->req.is_call = true;
	c->req.service = str_n(rest.p, n);
	c->req.path = rest.n > n ? str_n(rest.p + n, rest.n - n) : STR("/");
	c->req.body = buf_str(&c->body);
	run(c);
}

static void handle_addresses(call_t *c)
{
	AUTO_BUF buf_t model = {0};
	AUTO_BUF buf_t body = {0};
	serve_addr_t addrs[ADDRESSES_MAX];
	reason_t reason = c->h->ops.refusal(c->h->ctx);
	decided_t *d = NULL;
	size_t n;

	if (!httpd_query(c->conn, "model", &model)) {
		refuse(c, REASON_BAD_REQUEST, "The query names no model.");
		return;
	}
	/* A leaving daemon still knows the others; a stale one does not. */
	if (reason == REASON_STALE) {
		refuse(c, reason, "");
		return;
	}
	n = c->h->ops.addresses(c->h->ctx, buf_str(&model), addrs,
				ADDRESSES_MAX, &d);
	buf_puts(&body, "{\"addresses\":[");
	for (size_t i = 0; i < n; i++)
		buf_printf(&body, "%s\"%.*s\"", i ? "," : "",
			   STR_ARG(addrs[i].addr));
	buf_printf(&body, "],\"ttl_ms\":%lld}\n",
		   (long long)c->h->cfg.address_ttl_ms);
	decided_unref(d);
	if (!n) {
		refuse(c, REASON_NO_OWNER, "No live daemon is known.");
		return;
	}
	counter_add(CTR_HTTP_ADDRESS_ANSWERS, 1);
	httpd_answer(c->conn, 200, "application/json", str_n(NULL, 0),
		     buf_str(&body));
}

static void not_found(call_t *c)
{
	str_t body = STR("{\"error\":{\"reason\":\"bad_request\",\"run\":"
			 "\"no\",\"retry_after_ms\":0,\"detail\":\"No such "
			 "path, or another method.\"}}");

	counter_refused(REASON_BAD_REQUEST);
	httpd_answer(c->conn, 404, "application/json", str_n(NULL, 0), body);
	httpd_drop(c->conn);
}

static void route(call_t *c)
{
	const struct mg_request_info *info = mg_get_request_info(c->conn);
	str_t method = str_c(info->request_method);
	str_t path = str_c(info->local_uri);
	size_t prefix = strlen(CALL_PREFIX);

	if (str_eq(method, STR("GET")) && str_eq(path, STR("/v1/addresses")))
		handle_addresses(c);
	else if (str_eq(method, STR("POST")) && str_eq(path, STR(COMPLETIONS)))
		handle_completion(c);
	else if (str_eq(method, STR("POST")) && path.n > prefix &&
		 memcmp(path.p, CALL_PREFIX, prefix) == 0)
		handle_call(c, str_n(path.p + prefix, path.n - prefix));
	else
		not_found(c);
}

static void on_request(void *ctx, struct mg_connection *conn)
{
	http_t *h = ctx;
	call_t c = {.h = h, .conn = conn, .fd = -1};

	counter_add(CTR_HTTP_REQUESTS, 1);
	atomic_fetch_add(&h->active, 1);
	route(&c);
	atomic_fetch_sub(&h->active, 1);
	buf_free(&c.body);
	free(c.text);
	json_decref(c.doc);
}

http_t *http_new(const http_cfg_t *cfg, const http_ops_t *ops, void *ctx)
{
	http_t *h = xcalloc(1, sizeof(*h));

	h->cfg = *cfg;
	h->ops = *ops;
	h->ctx = ctx;
	atomic_init(&h->next_handle, 0);
	atomic_init(&h->active, 0);
	for (uint32_t i = 0; i < SHARDS; i++) {
		pthread_mutex_init(&h->shards[i].lock, NULL);
		CDS_INIT_LIST_HEAD(&h->shards[i].readers);
	}
	return h;
}

int http_start(http_t *h)
{
	h->port = httpd_start(&h->cfg.port, on_request, h);
	return h->port ? 0 : -1;
}

size_t http_active(http_t *h)
{
	return atomic_load(&h->active);
}

static void fail_readers(shard_t *s)
{
	reader_t *r;

	pthread_mutex_lock(&s->lock);
	cds_list_for_each_entry (r, &s->readers, node) {
		if (r->final)
			continue;
		r->final = true;
		r->reason = REASON_SHUTDOWN;
		r->run = RUN_UNKNOWN;
		pthread_cond_signal(&r->changed);
	}
	pthread_mutex_unlock(&s->lock);
}

void http_stop(http_t *h)
{
	struct timespec tick = {0, STOP_TICK_MS * 1000000L};

	/* CivetWeb sends nothing any more once it is told to stop. */
	for (int ms = 0; ms < STOP_MAX_MS; ms += STOP_TICK_MS) {
		for (uint32_t i = 0; i < SHARDS; i++)
			fail_readers(&h->shards[i]);
		if (!http_active(h))
			break;
		nanosleep(&tick, NULL);
	}
	httpd_stop(h->port);
	h->port = NULL;
}

void http_free(http_t *h)
{
	if (!h)
		return;
	http_stop(h);
	for (uint32_t i = 0; i < SHARDS; i++)
		pthread_mutex_destroy(&h->shards[i].lock);
	free(h);
}
