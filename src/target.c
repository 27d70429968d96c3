/* target.c - orders to the targets as HTTP transfers of libcurl. */
#include "target.h"

#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <urcu/list.h>

#include "log.h"

#define COMPLETIONS_PATH "/v1/completions"
#define DONE_LINE "data: [DONE]"
#define DONE_END DONE_LINE "\n\n"
#define HEAD_HOLD_MAX 65536u  /* bytes looked through for the served adapter */
#define LINE_KEEP 64u	      /* bytes of a line once the head is out */
#define ERROR_BODY_MAX 65536u /* bytes kept of an error answer */
#define RECV_BUFFER_BYTES 16384L
#define POOL_MAX 512L /* idle connections for each thread */
#define TICK_MS 50    /* between two checks of progress deadlines */
#define EPOLL_BATCH 64

typedef struct worker worker_t;

/* One order on its way. */
typedef struct transfer {
	struct cds_list_head node; /* inbox, then active of the worker */
	worker_t *w;
	engine_order_t o; /* strings are owned */
	CURL *easy;
	struct curl_slist *headers;
	char *request; /* body sent; owned */
	bool service;  /* answer of a plain service, relayed as it is */
	bool silent;   /* no events: a cancel */
	/* Answer. */
	bool sent;   /* a byte of the request may have left */
	bool framed; /* has Content-Length or is chunked */
	bool sse;    /* Content-Type is text/event-stream */
	bool head_out;
	bool done_seen;
	int status;
	uint64_t boot_id;
	uint64_t offset; /* answer bytes passed on, resumed ones included */
	buf_t held;	 /* bytes before the head, or a whole JSON answer */
	buf_t line;	 /* SSE line being received */
	uint32_t tokens; /* SSE events in the bytes at hand */
	int64_t last_byte_us;
	int64_t progress_timeout_us;
} transfer_t;

struct worker {
	target_port_t *port;
	pthread_t thread;
	bool started;
	CURLM *multi;
	int epoll_fd;
	int wake_fd;
	int64_t curl_due_us; /* next call of curl's timer; INT64_MAX: none */
	struct cds_list_head active;
	GHashTable *by_id;    /* order id -> transfer */
	GHashTable *suspect;  /* target id -> time until fresh connections */
	pthread_mutex_t lock; /* guards what follows */
	struct cds_list_head inbox;
	bool stop;
};

struct target_port {
	target_port_cfg_t cfg;
	target_event_fn_t fn;
	void *ctx;
	worker_t *workers;
};

void target_port_cfg_default(target_port_cfg_t *cfg)
{
	cfg->threads = 2;
	cfg->connect_us = 1 * USEC_PER_SEC;
	cfg->progress_timeout_us = 10 * USEC_PER_SEC;
	cfg->load_us = 60 * USEC_PER_SEC;
	cfg->idle_us = 2 * USEC_PER_SEC;
	cfg->json_max = 4u << 20;
}

static int64_t now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

static void wake(worker_t *w)
{
	uint64_t one = 1;
	ssize_t n = write(w->wake_fd, &one, sizeof(one));

	(void)n; /* a full counter wakes too */
}

static void transfer_free(transfer_t *t)
{
	str_free(&t->o.url);
	str_free(&t->o.adapter);
	str_free(&t->o.base);
	str_free(&t->o.run_id);
	str_free(&t->o.path);
	str_free(&t->o.body);
	str_free(&t->o.idempotency_key);
	if (t->easy)
		curl_easy_cleanup(t->easy);
	curl_slist_free_all(t->headers);
	free(t->request);
	buf_free(&t->held);
	buf_free(&t->line);
	free(t);
}

static transfer_t *transfer_new(worker_t *w, const engine_order_t *order)
{
	transfer_t *t = xcalloc(1, sizeof(*t));

	t->w = w;
	t->o = *order;
	t->o.url = str_copy(order->url);
	t->o.adapter = str_copy(order->adapter);
	t->o.base = str_copy(order->base);
	t->o.run_id = str_copy(order->run_id);
	t->o.path = str_copy(order->path);
	t->o.body = str_copy(order->body);
	t->o.idempotency_key = str_copy(order->idempotency_key);
	if (order->kind == ORDER_RESUME)
		t->offset = order->resume_offset;
	t->service = order->kind == ORDER_RUN && order->path.n &&
		     !str_eq(order->path, STR(COMPLETIONS_PATH));
	t->silent = order->kind == ORDER_CANCEL;
	return t;
}

static engine_event_t event_of(const transfer_t *t, engine_event_kind_t kind)
{
	engine_event_t ev = {0};

	ev.order_id = t->o.id;
	ev.target = t->o.target;
	ev.kind = kind;
	ev.http_status = t->status;
	ev.boot_id = t->boot_id;
	return ev;
}

static void emit(const transfer_t *t, const engine_event_t *ev)
{
	target_port_t *port = t->w->port;

	if (!t->silent)
		port->fn(port->ctx, ev);
}

static void emit_failed(const transfer_t *t, reason_t reason, bool sent)
{
	engine_event_t ev = event_of(t, EVENT_FAILED);

	ev.reason = reason;
	ev.sent = sent;
	emit(t, &ev);
}

static void emit_head(transfer_t *t, str_t served_by)
{
	engine_event_t ev = event_of(t, EVENT_HEAD);

	ev.served_by = served_by;
	t->head_out = true;
	emit(t, &ev);
}

static void emit_chunk(transfer_t *t, str_t data)
{
	engine_event_t ev = event_of(t, EVENT_CHUNK);

	if (!data.n)
		return;
	ev.data = data;
	ev.offset = t->offset;
	ev.tokens = t->tokens;
	t->offset += data.n;
	t->tokens = 0;
	emit(t, &ev);
}

static void emit_done(const transfer_t *t)
{
	engine_event_t ev = event_of(t, EVENT_DONE);

	emit(t, &ev);
}

/* Passes the held bytes on behind a head. */
static void release_held(transfer_t *t, str_t served_by)
{
	emit_head(t, served_by);
	emit_chunk(t, buf_str(&t->held));
	buf_free(&t->held);
}

/* Tells the head where an SSE line names the model. */
static void find_model(transfer_t *t, str_t line)
{
	json_t *event;
	const char *model;

	if (line.n < 6 || memcmp(line.p, "data: ", 6) != 0)
		return;
	event = json_loadb(line.p + 6, line.n - 6, 0, NULL);
	model = json_string_value(json_object_get(event, "model"));
	if (model)
		release_held(t, str_c(model));
	json_decref(event);
}

static void sse_line_ends(transfer_t *t)
{
	str_t line = buf_str(&t->line);

	if (line.n && line.p[line.n - 1] == '\r')
		line.n--;
	if (str_eq(line, STR(DONE_LINE)))
		t->done_seen = true;
	else if (line.n > 5 && memcmp(line.p, "data:", 5) == 0)
		t->tokens++;
	if (!t->head_out)
		find_model(t, line);
	buf_reset(&t->line);
}

/* Reads data line by line; the bytes themselves are in held or passed on. */
static void sse_scan(transfer_t *t, str_t data)
{
	while (data.n) {
		size_t max = t->head_out ? LINE_KEEP : HEAD_HOLD_MAX;
		const char *nl = memchr(data.p, '\n', data.n);
		size_t n = nl ? (size_t)(nl - data.p) : data.n;

		if (t->line.n < max)
			buf_put(&t->line, data.p,
				n < max - t->line.n ? n : max - t->line.n);
		if (nl)
			sse_line_ends(t);
		data.p += nl ? n + 1 : n;
		data.n -= nl ? n + 1 : n;
	}
}

static void sse_bytes(transfer_t *t, str_t data)
{
	bool was_out = t->head_out;

	if (!was_out)
		buf_put(&t->held, data.p, data.n);
	sse_scan(t, data);
	if (was_out)
		emit_chunk(t, data);
	else if (!t->head_out && t->held.n > HEAD_HOLD_MAX)
		release_held(t, str_n(NULL, 0));
}

static bool status_ok(const transfer_t *t)
{
	return t->status >= 200 && t->status < 300;
}

static bool is_run(const transfer_t *t)
{
	return t->o.kind == ORDER_RUN || t->o.kind == ORDER_RESUME;
}

/*
 * Whether answer bytes are passed on as they come, unparsed. A 503 is looked
 * at first: it may say that the call was not run.
 */
static bool passes_through(const transfer_t *t)
{
	return is_run(t) && t->service && t->framed && t->status != 503;
}

static size_t on_body(char *p, size_t size, size_t n, void *arg)
{
	transfer_t *t = arg;
	str_t data = str_n(p, size * n);
	size_t max = t->w->port->cfg.json_max;

	t->last_byte_us = now_us();
	if (is_run(t) && !t->service && !status_ok(t))
		max = ERROR_BODY_MAX;
	if (passes_through(t)) {
		if (!t->head_out)
			emit_head(t, str_n(NULL, 0));
		emit_chunk(t, data);
	} else if (is_run(t) && t->sse && status_ok(t)) {
		sse_bytes(t, data);
	} else if (t->held.n + data.n <= max) {
		buf_put(&t->held, data.p, data.n);
	} else {
		return 0; /* too large: curl ends the transfer */
	}
	return data.n;
}

/* The value of header name in line; false where line is another header. */
static bool header_value(str_t line, const char *name, str_t *value)
{
	size_t n = strlen(name);

	if (line.n <= n || line.p[n] != ':' ||
	    g_ascii_strncasecmp(line.p, name, n) != 0)
		return false;
	*value = str_n(line.p + n + 1, line.n - n - 1);
	while (value->n && g_ascii_isspace(value->p[0])) {
		value->p++;
		value->n--;
	}
	while (value->n && g_ascii_isspace(value->p[value->n - 1]))
		value->n--;
	return true;
}

static size_t on_header(char *p, size_t size, size_t n, void *arg)
{
	transfer_t *t = arg;
	str_t line = str_n(p, size * n);
	long status = 0;
	str_t value;

	t->last_byte_us = now_us();
	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
	t->status = (int)status;
	if (header_value(line, "X-Boot-Id", &value))
		str_to_u64(value, &t->boot_id);
	else if (header_value(line, "Content-Type", &value))
		t->sse = value.n >= 17 &&
			 memcmp(value.p, "text/event-stream", 17) == 0;
	else if (header_value(line, "Content-Length", &value) ||
		 header_value(line, "Transfer-Encoding", &value))
		t->framed = true;
	return line.n;
}

/* Called by curl with a connection at hand, before the first byte is sent. */
static int on_connected(void *arg, char *remote_ip, char *local_ip,
			int remote_port, int local_port)
{
	transfer_t *t = arg;

	t->sent = true;
	return CURL_PREREQFUNC_OK;
}

static void add_header(transfer_t *t, const char *name, str_t value)
{
	AUTO_BUF buf_t line = {0};

	buf_printf(&line, "%s: %.*s", name, STR_ARG(value));
	t->headers = curl_slist_append(t->headers, line.p);
}

static void add_number(transfer_t *t, const char *name, int64_t value)
{
	char text[32];

	snprintf(text, sizeof(text), "%lld", (long long)value);
	add_header(t, name, str_c(text));
}

static void add_headers(transfer_t *t)
{
	const engine_order_t *o = &t->o;

	t->headers = curl_slist_append(t->headers, "Expect:");
	t->headers =
		curl_slist_append(t->headers, "Content-Type: application/json");
	if (o->fence)
		add_number(t, "X-Fence", (int64_t)o->fence);
	if (o->run_id.n)
		add_header(t, "X-Request-Id", o->run_id);
	if (o->idempotency_key.n)
		add_header(t, "Idempotency-Key", o->idempotency_key);
	if (!is_run(t))
		return;
	add_number(t, "X-Priority", o->priority);
	if (o->deadline_us) {
		int64_t left_us = o->deadline_us - now_us();

		add_number(t, "X-Deadline-Ms",
			   left_us > 0 ? left_us / USEC_PER_MSEC : 0);
	}
	if (o->kind == ORDER_RESUME)
		add_number(t, "X-Resume-Offset", (int64_t)o->resume_offset);
}

static char *json_text(json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);

	json_decref(value);
	return text;
}

/* The body of a run with the exact model put first, as engines need it. */
static char *run_body(const engine_order_t *o)
{
	buf_t out = {0};
	str_t model = o->adapter.n ? o->adapter : o->base;
	str_t rest = o->body.n ? str_n(o->body.p + 1, o->body.n - 1) : STR("}");
	json_t *name = json_stringn(model.p ? model.p : "", model.n);
	AUTO_FREE char *quoted = json_dumps(name, JSON_ENCODE_ANY);

	json_decref(name);
	buf_printf(&out, "{\"model\":%s%s", quoted ? quoted : "\"\"",
		   rest.n && rest.p[0] == '}' ? "" : ",");
	buf_put(&out, rest.p, rest.n);
	return out.p;
}

/* The body of an order; NULL for a GET. */
static char *request_body(const transfer_t *t)
{
	const engine_order_t *o = &t->o;

	switch (o->kind) {
	case ORDER_LOAD:
		return json_text(json_pack(
			"{s:s%, s:s%}", "lora_name", o->adapter.p, o->adapter.n,
			"lora_path", o->adapter.p, o->adapter.n));
	case ORDER_UNLOAD:
		return json_text(json_pack("{s:s%}", "lora_name", o->adapter.p,
					   o->adapter.n));
	case ORDER_CANCEL:
		return json_text(json_pack("{s:s%}", "request_id", o->run_id.p,
					   o->run_id.n));
	case ORDER_RUN:
	case ORDER_RESUME:
		return t->service ? str_dup(o->body) : run_body(o);
	case ORDER_STATE:
		return NULL;
	}
	return NULL;
}

static str_t order_path(const engine_order_t *o)
{
	switch (o->kind) {
	case ORDER_LOAD:
		return STR("/v1/load_lora_adapter");
	case ORDER_UNLOAD:
		return STR("/v1/unload_lora_adapter");
	case ORDER_CANCEL:
		return STR("/v1/cancel");
	case ORDER_STATE:
		return STR("/v1/models");
	case ORDER_RUN:
	case ORDER_RESUME:
		break;
	}
	return o->path.n ? o->path : STR(COMPLETIONS_PATH);
}

static int64_t progress_of(const target_port_cfg_t *cfg,
			   const engine_order_t *o)
{
	if (o->progress_timeout_us)
		return o->progress_timeout_us;
	if (o->kind == ORDER_LOAD || o->kind == ORDER_UNLOAD)
		return cfg->load_us;
	return cfg->progress_timeout_us;
}

/* A connection to a target that went silent says the pool cannot be trusted. */
static bool is_suspect(worker_t *w, target_id_t target, int64_t now)
{
	int64_t *until =
		g_hash_table_lookup(w->suspect, GUINT_TO_POINTER(target));

	return until && *until > now;
}

static void set_suspect(worker_t *w, target_id_t target, int64_t until)
{
	int64_t *value = g_new(int64_t, 1);

	*value = until;
	g_hash_table_insert(w->suspect, GUINT_TO_POINTER(target), value);
}

static void set_request(transfer_t *t)
{
	AUTO_BUF buf_t url = {0};
	CURL *e = t->easy;

	buf_printf(&url, "%.*s%.*s", STR_ARG(t->o.url),
		   STR_ARG(order_path(&t->o)));
	curl_easy_setopt(e, CURLOPT_URL, url.p);
	t->request = request_body(t);
	if (t->request) {
		size_t n = t->service ? t->o.body.n : strlen(t->request);

		curl_easy_setopt(e, CURLOPT_POST, 1L);
		curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)n);
		curl_easy_setopt(e, CURLOPT_POSTFIELDS, t->request);
	}
	add_headers(t);
	curl_easy_setopt(e, CURLOPT_HTTPHEADER, t->headers);
}

static void set_callbacks(transfer_t *t)
{
	CURL *e = t->easy;

	curl_easy_setopt(e, CURLOPT_PRIVATE, t);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, t);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_connected);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, t);
}

static void set_connection(transfer_t *t)
{
	const target_port_cfg_t *cfg = &t->w->port->cfg;
	long idle_s = (long)(cfg->idle_us / USEC_PER_SEC);
	CURL *e = t->easy;

	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_BUFFERSIZE, RECV_BUFFER_BYTES);
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)(cfg->connect_us / USEC_PER_MSEC));
	curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, idle_s > 0 ? idle_s : 1L);
	/*
	 * curl sends a request again where a reused connection turns out to
	 * be closed; never on a fresh one.
	 */
	if ((is_run(t) && !t->o.idempotent) ||
	    is_suspect(t->w, t->o.target, t->last_byte_us))
		curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, 1L);
}

static void start(worker_t *w, transfer_t *t)
{
	t->last_byte_us = now_us();
	t->progress_timeout_us = progress_of(&w->port->cfg, &t->o);
	t->easy = curl_easy_init();
	if (!t->easy) {
		emit_failed(t, REASON_TARGET_LOST, false);
		transfer_free(t);
		return;
	}
	set_request(t);
	set_callbacks(t);
	set_connection(t);
	cds_list_add_tail(&t->node, &w->active);
	if (!t->silent)
		g_hash_table_insert(w->by_id, &t->o.id, t);
	curl_multi_add_handle(w->multi, t->easy);
}

/* Takes a transfer out of curl and the tables; the caller still owns it. */
static void detach(worker_t *w, transfer_t *t)
{
	curl_multi_remove_handle(w->multi, t->easy);
	if (!t->silent)
		g_hash_table_remove(w->by_id, &t->o.id);
	cds_list_del(&t->node);
}

/* Ends a run that the core no longer wants, and tells the target. */
static void cancel(worker_t *w, transfer_t *order)
{
	transfer_t *run =
		g_hash_table_lookup(w->by_id, &order->o.cancel_order_id);
	bool tell = !run || run->sent;

	if (run) {
		if (!order->o.run_id.n && run->o.run_id.n) {
			str_free(&order->o.run_id);
			order->o.run_id = str_copy(run->o.run_id);
		}
		detach(w, run);
		emit_failed(run, REASON_CANCELLED, run->sent);
		transfer_free(run);
	}
	if (tell && order->o.run_id.n && order->o.url.n)
		start(w, order);
	else
		transfer_free(order);
}

static json_t *held_json(const transfer_t *t)
{
	return json_loadb(t->held.p ? t->held.p : "", t->held.n,
			  JSON_DECODE_ANY, NULL);
}

/* Whether a service says that it did not run a call. */
static bool service_refused(const transfer_t *t)
{
	json_t *doc;
	str_t error;
	bool refused;

	if (!t->service || t->status != 503)
		return false;
	doc = held_json(t);
	error = str_c(json_string_value(json_object_get(doc, "error")));
	refused =
		str_eq(error, STR("refused")) || str_eq(error, STR("leaving"));
	json_decref(doc);
	return refused;
}

/* Reads {"error": "..."} of a target's refusal. */
static void fail_status(transfer_t *t)
{
	engine_event_t ev = event_of(t, EVENT_FAILED);
	json_t *doc = held_json(t);
	str_t error = str_c(json_string_value(json_object_get(doc, "error")));

	ev.sent = true;
	ev.old_fence = t->status == 409 && str_eq(error, STR("old_fence"));
	ev.target_leaving = str_eq(error, STR("leaving"));
	ev.reason = REASON_TARGET_ERROR;
	if (t->o.kind == ORDER_LOAD)
		ev.reason = REASON_LOAD_FAILED;
	if (ev.old_fence || ev.target_leaving || str_eq(error, STR("refused")))
		ev.reason = REASON_TARGET_REFUSED;
	log_event(LOG_INFO, "target_refused", kv_u("target", t->o.target),
		  kv_u("order", t->o.id), kv_s("run", t->o.run_id),
		  kv_i("status", t->status), kv_s("error", error));
	emit(t, &ev);
	json_decref(doc);
}

static void finish_state(transfer_t *t)
{
	engine_event_t ev = event_of(t, EVENT_STATE);
	json_t *doc = held_json(t);
	json_t *data = json_object_get(doc, "data");
	size_t n = json_array_size(data);
	AUTO_FREE engine_resident_t *resident = xcalloc(n, sizeof(*resident));

	for (size_t i = 0; i < n; i++) {
		json_t *row = json_array_get(data, i);
		json_t *id = json_object_get(row, "id");

		if (!json_is_string(id))
			continue;
		resident[ev.n_resident].adapter =
			str_n(json_string_value(id), json_string_length(id));
		resident[ev.n_resident].loading =
			json_is_true(json_object_get(row, "loading"));
		resident[ev.n_resident].running = (uint32_t)json_integer_value(
			json_object_get(row, "running"));
		ev.n_resident++;
	}
	ev.resident = resident;
	ev.n_running =
		(uint32_t)json_integer_value(json_object_get(doc, "running"));
	ev.target_leaving = json_is_true(json_object_get(doc, "leaving"));
	/* A plain service has no such page; that it answers is its state. */
	if (doc || t->status == 404)
		emit(t, &ev);
	else
		emit_failed(t, REASON_TARGET_ERROR, true);
	json_decref(doc);
}

/*
 * The rest of a resumed stream may begin within its last line, which then
 * cannot be recognised by lines.
 */
static bool ends_resumed(const transfer_t *t)
{
	str_t rest = buf_str(&t->held);
	size_t n = strlen(DONE_END);

	return t->o.kind == ORDER_RESUME && t->framed && rest.n <= n &&
	       (!rest.n || memcmp(DONE_END + n - rest.n, rest.p, rest.n) == 0);
}

static void finish_sse(transfer_t *t)
{
	if (!t->head_out && ends_resumed(t))
		t->done_seen = true;
	if (!t->head_out && t->held.n)
		release_held(t, str_n(NULL, 0));
	if (t->done_seen)
		emit_done(t);
	else
		emit_failed(t, REASON_STREAM_TRUNCATED, true);
}

/* Whole answers of an engine, and answers of services without framing. */
static void finish_json(transfer_t *t)
{
	json_t *doc = held_json(t);
	json_t *usage = json_object_get(doc, "usage");
	json_t *model = json_object_get(doc, "model");
	/* Framing tells a whole answer; else only the JSON itself does. */
	bool framed = t->framed && (t->service || t->o.resume_offset);

	t->tokens = (uint32_t)json_integer_value(
		json_object_get(usage, "completion_tokens"));
	if (doc || framed) {
		release_held(t, str_n(json_string_value(model),
				      json_string_length(model)));
		emit_done(t);
	} else {
		emit_failed(t, REASON_STREAM_TRUNCATED, true);
	}
	json_decref(doc);
}

static void finish_answer(transfer_t *t)
{
	if (t->o.kind == ORDER_STATE && (status_ok(t) || t->status == 404)) {
		finish_state(t);
	} else if (passes_through(t)) {
		if (!t->head_out)
			emit_head(t, str_n(NULL, 0));
		emit_done(t);
	} else if ((!status_ok(t) && !t->service) || service_refused(t)) {
		fail_status(t);
	} else if (!is_run(t)) {
		emit_done(t);
	} else if (t->sse) {
		finish_sse(t);
	} else {
		finish_json(t);
	}
}

static void finish(worker_t *w, transfer_t *t, CURLcode rc)
{
	detach(w, t);
	if (rc == CURLE_OK)
		finish_answer(t);
	else if (rc == CURLE_WRITE_ERROR)
		emit_failed(t, REASON_TARGET_ERROR, true);
	else
		emit_failed(t, REASON_TARGET_LOST, t->sent);
	if (rc != CURLE_OK)
		log_event(LOG_INFO, "target_transfer_failed",
			  kv_u("target", t->o.target), kv_u("order", t->o.id),
			  KV_C("error", curl_easy_strerror(rc)),
			  kv_u("sent", t->sent));
	transfer_free(t);
}

static void check_progress(worker_t *w)
{
	transfer_t *t;
	transfer_t *next;
	int64_t now = now_us();

	cds_list_for_each_entry_safe (t, next, &w->active, node) {
		if (now - t->last_byte_us < t->progress_timeout_us)
			continue;
		set_suspect(w, t->o.target, now + w->port->cfg.idle_us);
		detach(w, t);
		log_event(LOG_NOTICE, "target_silent",
			  kv_u("target", t->o.target), kv_u("order", t->o.id),
			  kv_u("sent", t->sent));
		emit_failed(
			t, t->sent ? REASON_TARGET_STALLED : REASON_TARGET_LOST,
			t->sent);
		transfer_free(t);
	}
}

static void read_finished(worker_t *w)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(w->multi, &left))) {
		transfer_t *t = NULL;
		CURLcode rc = msg->data.result;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &t);
		finish(w, t, rc);
	}
}

static bool take_inbox(worker_t *w, struct cds_list_head *out)
{
	bool stop;

	CDS_INIT_LIST_HEAD(out);
	pthread_mutex_lock(&w->lock);
	cds_list_splice(&w->inbox, out);
	CDS_INIT_LIST_HEAD(&w->inbox);
	stop = w->stop;
	pthread_mutex_unlock(&w->lock);
	return !stop;
}

static void start_orders(worker_t *w, struct cds_list_head *orders)
{
	transfer_t *t;
	transfer_t *next;

	cds_list_for_each_entry_safe (t, next, orders, node) {
		cds_list_del(&t->node);
		if (t->o.kind == ORDER_CANCEL)
			cancel(w, t);
		else
			start(w, t);
	}
}

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *arg,
		     void *sock_arg)
{
	worker_t *w = arg;
	struct epoll_event ev = {0};

	if (what == CURL_POLL_REMOVE) {
		epoll_ctl(w->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	ev.data.fd = fd;
	if (what & CURL_POLL_IN)
		ev.events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		ev.events |= EPOLLOUT;
	if (epoll_ctl(w->epoll_fd, EPOLL_CTL_MOD, fd, &ev) < 0)
		epoll_ctl(w->epoll_fd, EPOLL_CTL_ADD, fd, &ev);
	return 0;
}

static int on_timer(CURLM *multi, long timeout_ms, void *arg)
{
	worker_t *w = arg;

	w->curl_due_us = timeout_ms < 0 ? INT64_MAX
					: now_us() + timeout_ms * USEC_PER_MSEC;
	return 0;
}

static void run_curl_timer(worker_t *w)
{
	int running;

	if (w->curl_due_us > now_us())
		return;
	w->curl_due_us = INT64_MAX;
	curl_multi_socket_action(w->multi, CURL_SOCKET_TIMEOUT, 0, &running);
}

static int wait_ms(worker_t *w)
{
	int64_t left_us;

	if (cds_list_empty(&w->active) && w->curl_due_us == INT64_MAX)
		return -1;
	if (w->curl_due_us == INT64_MAX)
		return TICK_MS;
	left_us = w->curl_due_us - now_us();
	if (left_us <= 0)
		return 0;
	if (left_us > TICK_MS * USEC_PER_MSEC)
		return TICK_MS;
	return (int)(left_us / USEC_PER_MSEC) + 1;
}

static void handle_io(worker_t *w, const struct epoll_event *ev)
{
	int running;
	int mask = 0;
	uint64_t count;

	if (ev->data.fd == w->wake_fd) {
		ssize_t n = read(w->wake_fd, &count, sizeof(count));

		(void)n;
		return;
	}
	if (ev->events & EPOLLIN)
		mask |= CURL_CSELECT_IN;
	if (ev->events & EPOLLOUT)
		mask |= CURL_CSELECT_OUT;
	if (ev->events & (EPOLLERR | EPOLLHUP))
		mask |= CURL_CSELECT_ERR;
	curl_multi_socket_action(w->multi, ev->data.fd, mask, &running);
}

static void end_all(worker_t *w)
{
	transfer_t *t;
	transfer_t *next;

	cds_list_for_each_entry_safe (t, next, &w->active, node) {
		detach(w, t);
		emit_failed(t, REASON_SHUTDOWN, t->sent);
		transfer_free(t);
	}
}

static void *worker_thread(void *arg)
{
	worker_t *w = arg;
	struct epoll_event events[EPOLL_BATCH];
	struct cds_list_head orders;
	int64_t checked_us = 0;

	while (take_inbox(w, &orders)) {
		int n;

		start_orders(w, &orders);
		run_curl_timer(w);
		n = epoll_wait(w->epoll_fd, events, EPOLL_BATCH, wait_ms(w));
		for (int i = 0; i < n; i++)
			handle_io(w, &events[i]);
		run_curl_timer(w);
		read_finished(w);
		if (now_us() - checked_us >= TICK_MS * USEC_PER_MSEC) {
			checked_us = now_us();
			check_progress(w);
		}
	}
	start_orders(w, &orders);
	end_all(w);
	return NULL;
}

static int worker_init(worker_t *w, target_port_t *port)
{
	struct epoll_event ev = {.events = EPOLLIN};

	w->port = port;
	w->curl_due_us = INT64_MAX;
	CDS_INIT_LIST_HEAD(&w->active);
	CDS_INIT_LIST_HEAD(&w->inbox);
	pthread_mutex_init(&w->lock, NULL);
	w->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	w->suspect = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	w->multi = curl_multi_init();
	w->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	w->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (!w->multi || w->epoll_fd < 0 || w->wake_fd < 0)
		return -1;
	ev.data.fd = w->wake_fd;
	if (epoll_ctl(w->epoll_fd, EPOLL_CTL_ADD, w->wake_fd, &ev) < 0)
		return -1;
	curl_multi_setopt(w->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(w->multi, CURLMOPT_SOCKETDATA, w);
	curl_multi_setopt(w->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(w->multi, CURLMOPT_TIMERDATA, w);
	curl_multi_setopt(w->multi, CURLMOPT_MAXCONNECTS, POOL_MAX);
	return 0;
}

target_port_t *target_port_new(const target_port_cfg_t *cfg,
			       target_event_fn_t fn, void *ctx)
{
	target_port_t *p = xcalloc(1, sizeof(*p));

	p->cfg = *cfg;
	p->fn = fn;
	p->ctx = ctx;
	p->workers = xcalloc(cfg->threads, sizeof(*p->workers));
	for (uint32_t i = 0; i < cfg->threads; i++) {
		p->workers[i].epoll_fd = -1;
		p->workers[i].wake_fd = -1;
	}
	return p;
}

int target_port_start(target_port_t *p)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	for (uint32_t i = 0; i < p->cfg.threads; i++) {
		worker_t *w = &p->workers[i];
		int rc = worker_init(w, p) < 0 ? errno : 0;

		if (!rc)
			rc = pthread_create(&w->thread, NULL, worker_thread, w);
		if (rc) {
			log_event(LOG_ERR, "target_port_start_failed",
				  KV_C("error", strerror(rc)));
			return -1;
		}
		w->started = true;
	}
	return 0;
}

void target_port_order(target_port_t *p, const engine_order_t *order)
{
	worker_t *w = &p->workers[order->target % p->cfg.threads];
	transfer_t *t = transfer_new(w, order);
	bool first;

	pthread_mutex_lock(&w->lock);
	if (w->stop) {
		pthread_mutex_unlock(&w->lock);
		transfer_free(t);
		return;
	}
	first = cds_list_empty(&w->inbox);
	cds_list_add_tail(&t->node, &w->inbox);
	pthread_mutex_unlock(&w->lock);
	if (first)
		wake(w);
}

void target_port_stop(target_port_t *p)
{
	for (uint32_t i = 0; i < p->cfg.threads; i++) {
		worker_t *w = &p->workers[i];

		if (!w->started)
			continue;
		pthread_mutex_lock(&w->lock);
		w->stop = true;
		pthread_mutex_unlock(&w->lock);
		wake(w);
		pthread_join(w->thread, NULL);
		w->started = false;
	}
}

static void worker_free(worker_t *w)
{
	if (w->multi)
		curl_multi_cleanup(w->multi);
	if (w->by_id)
		g_hash_table_destroy(w->by_id);
	if (w->suspect)
		g_hash_table_destroy(w->suspect);
	if (w->epoll_fd >= 0)
		close(w->epoll_fd);
	if (w->wake_fd >= 0)
		close(w->wake_fd);
	pthread_mutex_destroy(&w->lock);
}

void target_port_free(target_port_t *p)
{
	if (!p)
		return;
	target_port_stop(p);
	for (uint32_t i = 0; i < p->cfg.threads; i++)
		worker_free(&p->workers[i]);
	free(p->workers);
	free(p);
}
