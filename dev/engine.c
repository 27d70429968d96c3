/*
 * engine.c - stand-in for model engines: adapter slots, loads through a weight
 * store, continuous batching, streams that can be resumed and cancelled,
 * lagging load report, fencing, and faults on order.
 *
 *   engine --name runner --count 3 --port 0 --base heritage --slots 8
 *
 * One process serves --count engines, each on its own port, and prints
 * "NAME 127.0.0.1:PORT" for each on standard output.
 */
#include "lib_http.h"
#include "lib_token.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <urcu/list.h>

#define KEEP_RUN_US (30 * USEC_PER_SEC)
#define HEADERS_MAX 128
#define PREFILL_TOKENS_PER_STEP 2048u

static struct {
	gchar *name, *base, *store;
	gint port, count, slots, max_batch, threads;
	gint step_us, load_ms, metrics_lag_ms;
	gdouble step_growth;
	gboolean ignore_fence;
} opt = {.port = 0,
	 .count = 1,
	 .slots = 8,
	 .max_batch = 16,
	 .threads = 96,
	 .step_us = 20000,
	 .step_growth = 0.03,
	 .load_ms = 330,
	 .metrics_lag_ms = 1000};

typedef enum run_phase {
	PHASE_WAITING,
	PHASE_RUNNING,
	PHASE_DONE,
	PHASE_CANCELLED, /* by order, by a later attempt, or by a restart */
} run_phase_t;

static const char *const phase_names[] = {"waiting", "running", "done",
					  "cancelled"};

typedef struct run {
	struct cds_list_head node; /* in engine.runs or .ended, by arrival */
	char *id;
	char *model;
	char *prompt;
	uint32_t max_tokens;
	uint32_t prefill_steps; /* before the first token */
	uint32_t tokens;
	int32_t priority;
	uint64_t fence;
	bool stream;
	buf_t text; /* all tokens' text */
	buf_t body; /* SSE bytes so far */
	run_phase_t phase;
	int64_t started_us, ended_us;
	int64_t resident_us; /* when its adapter was brought */
	int readers;
} run_t;

typedef struct adapter_slot {
	char *name; /* NULL: free */
	bool loading;
	int64_t resident_us;
} adapter_slot_t;

typedef enum fault {
	FAULT_NONE,
	FAULT_REFUSE,
	FAULT_STALL,
	FAULT_FAIL_LOADS,
	FAULT_DROP_STREAM,
	FAULT_COUNT,
} fault_t;

static const char *const fault_names[] = {"none", "refuse", "stall",
					  "fail_loads", "drop_stream"};

typedef struct engine {
	char name[64];
	int port;
	http_server_t *http;
	pthread_t stepper;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	/* All below under lock. */
	struct cds_list_head runs;  /* live ones */
	struct cds_list_head ended; /* in order of ending; kept for checks */
	adapter_slot_t *slots;
	uint64_t boot_id;
	uint64_t top_fence;
	bool leaving;
	uint32_t faults[FAULT_COUNT]; /* how many more times each strikes */
	/* Counts for checks. */
	uint64_t steps, step_runs, step_tokens, loads, unloads, failed_loads;
	uint64_t evicted_running; /* unload orders refused: adapter in use */
	uint64_t old_fence_orders;
	uint64_t refused;
	buf_t metrics; /* the lagging report */
	int64_t metrics_us;
} engine_t;

/* --- adapters and runs; engine lock held ------------------------------- */

static adapter_slot_t *slot_of(engine_t *e, const char *name)
{
	for (int i = 0; i < opt.slots; i++)
		if (e->slots[i].name && !strcmp(e->slots[i].name, name))
			return &e->slots[i];
	return NULL;
}

static adapter_slot_t *free_slot(engine_t *e)
{
	for (int i = 0; i < opt.slots; i++)
		if (!e->slots[i].name)
			return &e->slots[i];
	return NULL;
}

static void slot_clear(adapter_slot_t *slot)
{
	free(slot->name);
	slot->name = NULL;
	slot->loading = false;
}

static bool run_live(const run_t *r)
{
	return r->phase <= PHASE_RUNNING;
}

static uint32_t running_of(engine_t *e, const char *model)
{
	uint32_t n = 0;
	run_t *r;

	cds_list_for_each_entry (r, &e->runs, node)
		if (!model || !strcmp(r->model, model))
			n++;
	return n;
}

static run_t *run_find(engine_t *e, str_t id)
{
	run_t *r;

	cds_list_for_each_entry (r, &e->runs, node)
		if (str_eq(str_c(r->id), id))
			return r;
	cds_list_for_each_entry_reverse(
		r, &e->ended, node) if (str_eq(str_c(r->id), id)) return r;
	return NULL;
}

static void run_end(engine_t *e, run_t *r, run_phase_t phase)
{
	if (!run_live(r))
		return;
	r->phase = phase;
	r->ended_us = dev_now_us();
	cds_list_del(&r->node);
	cds_list_add_tail(&r->node, &e->ended);
	pthread_cond_broadcast(&e->changed);
}

/* Frees the bytes of runs that ended long ago; their records stay. */
static void forget_old_runs(engine_t *e, int64_t now)
{
	run_t *r;

	cds_list_for_each_entry (r, &e->ended, node) {
		if (r->ended_us > now - KEEP_RUN_US)
			return;
		if (r->readers || !r->body.p)
			continue;
		buf_free(&r->body);
		buf_free(&r->text);
	}
}

static bool strikes(engine_t *e, fault_t f)
{
	if (!e->faults[f])
		return false;
	e->faults[f]--;
	return true;
}

static void restart_empty(engine_t *e)
{
	run_t *r, *next;

	e->boot_id++;
	for (int i = 0; i < opt.slots; i++)
		slot_clear(&e->slots[i]);
	cds_list_for_each_entry_safe (r, next, &e->runs, node)
		run_end(e, r, PHASE_CANCELLED);
}

/* --- the batch ---------------------------------------------------------- */

static void emit_token(run_t *r)
{
	char text[TOKEN_TEXT_MAX];

	token_text(text, str_c(r->model), str_c(r->prompt), r->tokens);
	r->tokens++;
	buf_puts(&r->text, text);
	buf_printf(&r->body,
		   "data: {\"id\":\"%s\",\"model\":\"%s\",\"choices\":"
		   "[{\"index\":0,\"text\":\"%s\"}]}\n\n",
		   r->id, r->model, text);
}

static int by_priority(const void *a, const void *b)
{
	const run_t *x = *(run_t *const *)a, *y = *(run_t *const *)b;

	if ((x->phase == PHASE_RUNNING) != (y->phase == PHASE_RUNNING))
		return x->phase == PHASE_RUNNING ? -1 : 1;
	return (x->priority < y->priority) - (x->priority > y->priority);
}

/* The runs of the next step: running ones, then the most urgent waiting. */
static GPtrArray *form_batch(engine_t *e)
{
	GPtrArray *batch = g_ptr_array_new();
	run_t *r;

	cds_list_for_each_entry (r, &e->runs, node)
		g_ptr_array_add(batch, r);
	g_ptr_array_sort(batch, by_priority);
	if (batch->len > (guint)opt.max_batch)
		g_ptr_array_set_size(batch, opt.max_batch);
	for (guint i = 0; i < batch->len; i++)
		((run_t *)batch->pdata[i])->phase = PHASE_RUNNING;
	return batch;
}

static void step_run(engine_t *e, run_t *r)
{
	if (!run_live(r))
		return;
	if (r->prefill_steps) {
		r->prefill_steps--;
		return;
	}
	emit_token(r);
	e->step_tokens++;
	if (r->tokens < r->max_tokens)
		return;
	buf_puts(&r->body, "data: [DONE]\n\n");
	run_end(e, r, PHASE_DONE);
}

static void write_metrics(engine_t *e, int64_t now)
{
	if (now < e->metrics_us)
		return;
	e->metrics_us = now + opt.metrics_lag_ms * USEC_PER_MSEC;
	forget_old_runs(e, now);
	buf_reset(&e->metrics);
	buf_printf(&e->metrics, "engine_requests_running %u\n",
		   running_of(e, NULL));
	buf_printf(&e->metrics, "engine_steps_total %lu\n", e->steps);
	buf_printf(&e->metrics, "engine_step_tokens_total %lu\n",
		   e->step_tokens);
	buf_printf(&e->metrics, "engine_adapter_loads_total %lu\n", e->loads);
}

static void *step_loop(void *ctx)
{
	engine_t *e = ctx;

	pthread_mutex_lock(&e->lock);
	for (;;) {
		GPtrArray *batch = form_batch(e);
		guint n = batch->len;
		double us = opt.step_us;

		if (n > 1)
			us *= 1 + opt.step_growth * (n - 1);
		write_metrics(e, dev_now_us());
		pthread_mutex_unlock(&e->lock);
		dev_sleep_us(n ? (int64_t)us : 2 * USEC_PER_MSEC);
		pthread_mutex_lock(&e->lock);
		e->steps += n > 0;
		e->step_runs += n;
		for (guint i = 0; i < n; i++)
			step_run(e, batch->pdata[i]);
		if (n)
			pthread_cond_broadcast(&e->changed);
		g_ptr_array_free(batch, TRUE);
	}
	return NULL;
}

/* --- answers ------------------------------------------------------------ */

static void boot_header(engine_t *e, char out[HEADERS_MAX])
{
	snprintf(out, HEADERS_MAX, "X-Boot-Id: %lu\r\n", e->boot_id);
}

static void refuse(engine_t *e, http_req_t *req, int status, const char *error)
{
	char headers[HEADERS_MAX];

	boot_header(e, headers);
	http_error(req, status, headers, error);
}

static void ok(engine_t *e, http_req_t *req)
{
	json_t *doc = json_pack("{s:b}", "ok", 1);
	char headers[HEADERS_MAX];

	boot_header(e, headers);
	http_json(req, 200, headers, doc);
	json_decref(doc);
}

/* True where the order's fencing number is old and the engine refuses it. */
static bool fenced_off(engine_t *e, http_req_t *req)
{
	uint64_t fence = http_header_u64(req, "X-Fence", 0);

	if (fence >= e->top_fence) {
		e->top_fence = fence;
		return false;
	}
	e->old_fence_orders++;
	return !opt.ignore_fence;
}

/* Sends the run's SSE bytes from offset on as they come; lock held. */
static void relay_stream(engine_t *e, http_req_t *req, run_t *r, size_t at,
			 fault_t fault)
{
	char headers[HEADERS_MAX];
	size_t cut = SIZE_MAX;
	int rc;

	if (fault != FAULT_NONE)
		cut = at + 100u * (1 + r->max_tokens / 2);
	boot_header(e, headers);
	pthread_mutex_unlock(&e->lock);
	rc = http_stream_begin(req, headers, "text/event-stream");
	pthread_mutex_lock(&e->lock);
	while (rc == 0) {
		AUTO_BUF buf_t part = {0};
		size_t end = r->body.n < cut ? r->body.n : cut;

		if (end > at) {
			buf_put(&part, r->body.p + at, end - at);
			at = end;
			pthread_mutex_unlock(&e->lock);
			rc = http_stream_part(req, buf_str(&part));
			pthread_mutex_lock(&e->lock);
			continue;
		}
		if (r->phase == PHASE_CANCELLED)
			break;
		if (fault == FAULT_DROP_STREAM && (at == cut || !run_live(r)))
			break;
		if (r->phase == PHASE_DONE && fault == FAULT_NONE)
			break;
		if (fault == FAULT_STALL && !run_live(r) &&
		    dev_now_us() > r->ended_us + KEEP_RUN_US / 2)
			break;
		pthread_cond_wait(&e->changed, &e->lock);
	}
	rc = rc || r->phase != PHASE_DONE || fault != FAULT_NONE;
	pthread_mutex_unlock(&e->lock);
	if (rc)
		http_close_after_response(req);
	else
		http_stream_end(req);
	pthread_mutex_lock(&e->lock);
}

/* Waits for the end and answers with one document; lock held. */
static void answer_whole(engine_t *e, http_req_t *req, run_t *r, fault_t fault)
{
	char headers[HEADERS_MAX];
	json_t *doc;

	while (run_live(r))
		pthread_cond_wait(&e->changed, &e->lock);
	if (fault == FAULT_STALL) {
		pthread_mutex_unlock(&e->lock);
		dev_sleep_us(KEEP_RUN_US / 2);
		pthread_mutex_lock(&e->lock);
	}
	if (r->phase != PHASE_DONE || fault != FAULT_NONE) {
		http_close_after_response(req);
		return;
	}
	doc = json_pack("{s:s,s:s,s:[{s:i,s:s}],s:{s:i}}", "id", r->id, "model",
			r->model, "choices", "index", 0, "text",
			r->text.p ? r->text.p : "", "usage",
			"completion_tokens", (int)r->tokens);
	boot_header(e, headers);
	pthread_mutex_unlock(&e->lock);
	http_json(req, 200, headers, doc);
	json_decref(doc);
	pthread_mutex_lock(&e->lock);
}

static run_t *run_new(engine_t *e, http_req_t *req, const json_t *doc,
		      const char *model)
{
	run_t *r = xcalloc(1, sizeof(*r));
	const char *prompt = json_string_value(json_object_get(doc, "prompt"));
	json_t *max = json_object_get(doc, "max_tokens");
	str_t priority = http_header(req, "X-Priority");

	r->id = str_dup(http_header(req, "X-Request-Id"));
	r->model = str_dup(str_c(model));
	r->prompt = str_dup(str_c(prompt));
	r->max_tokens = max ? (uint32_t)json_integer_value(max) : 16;
	if (r->max_tokens == 0)
		r->max_tokens = 1;
	r->prefill_steps =
		1 + (uint32_t)strlen(r->prompt) / 4 / PREFILL_TOKENS_PER_STEP;
	r->priority = priority.n ? atoi(priority.p) : 0;
	r->fence = http_header_u64(req, "X-Fence", 0);
	r->stream = json_is_true(json_object_get(doc, "stream"));
	r->started_us = dev_now_us();
	if (slot_of(e, model))
		r->resident_us = slot_of(e, model)->resident_us;
	cds_list_add_tail(&r->node, &e->runs);
	return r;
}

static void serve_run(engine_t *e, http_req_t *req, run_t *r, size_t offset,
		      bool stream)
{
	fault_t fault = FAULT_NONE;

	if (strikes(e, FAULT_STALL))
		fault = FAULT_STALL;
	else if (strikes(e, FAULT_DROP_STREAM))
		fault = FAULT_DROP_STREAM;
	r->readers++;
	if (stream)
		relay_stream(e, req, r, offset, fault);
	else
		answer_whole(e, req, r, fault);
	r->readers--;
}

static void resume(engine_t *e, http_req_t *req, size_t offset)
{
	run_t *r = run_find(e, http_header(req, "X-Request-Id"));

	if (!r || r->phase == PHASE_CANCELLED || offset > r->body.n)
		refuse(e, req, 404, "no_such_run");
	else
		serve_run(e, req, r, offset, true);
}

static void complete(engine_t *e, http_req_t *req, const json_t *doc)
{
	const char *model = json_string_value(json_object_get(doc, "model"));
	uint64_t offset = http_header_u64(req, "X-Resume-Offset", UINT64_MAX);
	adapter_slot_t *slot = model ? slot_of(e, model) : NULL;
	run_t *r;

	if (fenced_off(e, req)) {
		refuse(e, req, 409, "old_fence");
	} else if (offset != UINT64_MAX) {
		resume(e, req, offset);
	} else if (e->leaving) {
		refuse(e, req, 503, "leaving");
	} else if (strikes(e, FAULT_REFUSE)) {
		e->refused++;
		refuse(e, req, 503, "refused");
	} else if (!model) {
		refuse(e, req, 400, "bad_request");
	} else if (strcmp(model, opt.base) && (!slot || slot->loading)) {
		refuse(e, req, 404, "not_loaded");
	} else {
		r = run_find(e, http_header(req, "X-Request-Id"));
		if (r)
			run_end(e, r, PHASE_CANCELLED);
		r = run_new(e, req, doc, model);
		serve_run(e, req, r, 0, r->stream);
	}
}

/* --- orders ------------------------------------------------------------- */

/* Brings the weights; false where the store fails. Lock not held. */
static bool fetch_weights(const char *name)
{
	AUTO_BUF buf_t url = {0}, body = {0};
	AUTO_FREE char *escaped = NULL;

	if (!opt.store) {
		dev_sleep_us(opt.load_ms * USEC_PER_MSEC);
		return true;
	}
	escaped = g_uri_escape_string(name, NULL, FALSE);
	buf_printf(&url, "%s/weights?adapter=%s", opt.store, escaped);
	return http_get(url.p, 60000, &body) == 200;
}

static void load(engine_t *e, http_req_t *req, const json_t *doc)
{
	const char *name = json_string_value(json_object_get(doc, "lora_name"));
	adapter_slot_t *slot = name ? slot_of(e, name) : NULL;
	uint64_t boot_id = e->boot_id;
	bool fail, fetched;

	if (fenced_off(e, req))
		return refuse(e, req, 409, "old_fence");
	if (!name)
		return refuse(e, req, 400, "bad_request");
	if (e->leaving)
		return refuse(e, req, 503, "leaving");
	while (slot && slot->loading) {
		pthread_cond_wait(&e->changed, &e->lock);
		slot = slot_of(e, name);
	}
	if (slot)
		return ok(e, req);
	slot = free_slot(e);
	if (!slot)
		return refuse(e, req, 409, "no_slot");
	slot->name = str_dup(str_c(name));
	slot->loading = true;
	fail = strikes(e, FAULT_FAIL_LOADS);
	pthread_mutex_unlock(&e->lock);
	fetched = fetch_weights(name);
	pthread_mutex_lock(&e->lock);
	pthread_cond_broadcast(&e->changed);
	if (boot_id != e->boot_id)
		return refuse(e, req, 503, "restarted");
	if (fail || !fetched) {
		e->failed_loads++;
		slot_clear(slot);
		return refuse(e, req, 500, "load_failed");
	}
	slot->loading = false;
	slot->resident_us = dev_now_us();
	e->loads++;
	ok(e, req);
}

static void unload(engine_t *e, http_req_t *req, const json_t *doc)
{
	const char *name = json_string_value(json_object_get(doc, "lora_name"));
	adapter_slot_t *slot = name ? slot_of(e, name) : NULL;

	if (fenced_off(e, req))
		return refuse(e, req, 409, "old_fence");
	if (!slot)
		return ok(e, req);
	if (slot->loading)
		return refuse(e, req, 409, "loading");
	if (running_of(e, name)) {
		e->evicted_running++;
		return refuse(e, req, 409, "in_use");
	}
	slot_clear(slot);
	e->unloads++;
	ok(e, req);
}

static void cancel(engine_t *e, http_req_t *req, const json_t *doc)
{
	const char *id = json_string_value(json_object_get(doc, "request_id"));
	run_t *r = run_find(e, str_c(id));

	if (r)
		run_end(e, r, PHASE_CANCELLED);
	ok(e, req);
}

static void list_models(engine_t *e, http_req_t *req)
{
	json_t *data = json_array();
	json_t *doc;
	char headers[HEADERS_MAX];

	for (int i = 0; i < opt.slots; i++) {
		adapter_slot_t *s = &e->slots[i];

		if (s->name)
			json_array_append_new(
				data,
				json_pack("{s:s,s:b,s:i}", "id", s->name,
					  "loading", (int)s->loading, "running",
					  (int)running_of(e, s->name)));
	}
	doc = json_pack("{s:o,s:i}", "data", data, "running",
			(int)running_of(e, NULL));
	boot_header(e, headers);
	http_json(req, 200, headers, doc);
	json_decref(doc);
}

/* --- admin calls of tests ----------------------------------------------- */

static void set_fault(engine_t *e, http_req_t *req, const json_t *doc)
{
	const char *kind = json_string_value(json_object_get(doc, "kind"));
	json_t *count = json_object_get(doc, "count");
	uint32_t n = count ? (uint32_t)json_integer_value(count) : 1;

	if (!kind)
		return refuse(e, req, 400, "bad_request");
	if (!strcmp(kind, "restart_empty")) {
		restart_empty(e);
		return ok(e, req);
	}
	if (!strcmp(kind, "leaving")) {
		e->leaving = true;
		return ok(e, req);
	}
	if (!strcmp(kind, "none")) {
		e->leaving = false;
		memset(e->faults, 0, sizeof(e->faults));
		return ok(e, req);
	}
	for (fault_t f = FAULT_REFUSE; f < FAULT_COUNT; f++) {
		if (!strcmp(kind, fault_names[f])) {
			e->faults[f] = n;
			return ok(e, req);
		}
	}
	refuse(e, req, 400, "unknown_fault");
}

static json_t *run_json(const engine_t *e, const run_t *r)
{
	char hash[17];

	snprintf(hash, sizeof(hash), "%016lx",
		 hash_bytes(r->prompt, strlen(r->prompt), 0));
	return json_pack("{s:s,s:s,s:s,s:s,s:i,s:I,s:s,s:I,s:I}", "id", r->id,
			 "model", r->model, "prompt_hash", hash, "state",
			 phase_names[r->phase], "tokens", (int)r->tokens,
			 "fence", (json_int_t)r->fence, "engine", e->name,
			 "started_us", (json_int_t)r->started_us, "resident_us",
			 (json_int_t)r->resident_us);
}

static void list_runs(engine_t *e, http_req_t *req)
{
	json_t *doc = json_array();
	run_t *r;

	cds_list_for_each_entry (r, &e->ended, node)
		json_array_append_new(doc, run_json(e, r));
	cds_list_for_each_entry (r, &e->runs, node)
		json_array_append_new(doc, run_json(e, r));
	http_json(req, 200, NULL, doc);
	json_decref(doc);
}

static void list_violations(engine_t *e, http_req_t *req)
{
	json_t *doc = json_pack(
		"{s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:i}", "engine", e->name,
		"evicted_running", (json_int_t)e->evicted_running,
		"old_fence_orders", (json_int_t)e->old_fence_orders, "loads",
		(json_int_t)e->loads, "unloads", (json_int_t)e->unloads,
		"failed_loads", (json_int_t)e->failed_loads, "steps",
		(json_int_t)e->steps, "step_runs", (json_int_t)e->step_runs,
		"step_tokens", (json_int_t)e->step_tokens, "max_batch",
		opt.max_batch);

	http_json(req, 200, NULL, doc);
	json_decref(doc);
}

static void health(engine_t *e, http_req_t *req)
{
	json_t *doc = json_pack("{s:b}", "leaving", (int)e->leaving);
	char headers[HEADERS_MAX];

	boot_header(e, headers);
	http_json(req, 200, headers, doc);
	json_decref(doc);
}

static void post(engine_t *e, http_req_t *req)
{
	json_t *doc = json_loadb(req->body.p ? req->body.p : "", req->body.n, 0,
				 NULL);

	if (!json_is_object(doc))
		refuse(e, req, 400, "bad_request");
	else if (str_eq(req->path, STR("/v1/completions")))
		complete(e, req, doc);
	else if (str_eq(req->path, STR("/v1/load_lora_adapter")))
		load(e, req, doc);
	else if (str_eq(req->path, STR("/v1/unload_lora_adapter")))
		unload(e, req, doc);
	else if (str_eq(req->path, STR("/v1/cancel")))
		cancel(e, req, doc);
	else if (str_eq(req->path, STR("/admin/fault")))
		set_fault(e, req, doc);
	else
		refuse(e, req, 404, "not_found");
	json_decref(doc);
}

static void handle(void *ctx, http_req_t *req)
{
	engine_t *e = ctx;

	pthread_mutex_lock(&e->lock);
	if (str_eq(req->method, STR("POST")))
		post(e, req);
	else if (str_eq(req->path, STR("/v1/models")))
		list_models(e, req);
	else if (str_eq(req->path, STR("/health")))
		health(e, req);
	else if (str_eq(req->path, STR("/metrics")))
		http_text(req, 200, "text/plain", buf_str(&e->metrics));
	else if (str_eq(req->path, STR("/admin/runs")))
		list_runs(e, req);
	else if (str_eq(req->path, STR("/admin/violations")))
		list_violations(e, req);
	else
		refuse(e, req, 404, "not_found");
	pthread_mutex_unlock(&e->lock);
}

/* --- start -------------------------------------------------------------- */

static int engine_start(engine_t *e, int i)
{
	if (opt.count > 1)
		snprintf(e->name, sizeof(e->name), "%s-%d", opt.name, i + 1);
	else
		snprintf(e->name, sizeof(e->name), "%s", opt.name);
	e->port = opt.port ? opt.port + i : 0;
	e->boot_id = (uint64_t)dev_now_us();
	e->slots = xcalloc((size_t)opt.slots, sizeof(*e->slots));
	CDS_INIT_LIST_HEAD(&e->runs);
	CDS_INIT_LIST_HEAD(&e->ended);
	pthread_mutex_init(&e->lock, NULL);
	pthread_cond_init(&e->changed, NULL);
	e->http = http_server_start(&e->port, opt.threads, handle, e);
	if (!e->http) {
		fprintf(stderr, "cannot listen on port %d\n", e->port);
		return -1;
	}
	printf("%s 127.0.0.1:%d\n", e->name, e->port);
	return pthread_create(&e->stepper, NULL, step_loop, e) ? -1 : 0;
}

static const GOptionEntry options[] = {
	{"name", 0, 0, G_OPTION_ARG_STRING, &opt.name, "name, or its stem",
	 "NAME"},
	{"port", 0, 0, G_OPTION_ARG_INT, &opt.port, "first port; 0: free ones",
	 "PORT"},
	{"count", 0, 0, G_OPTION_ARG_INT, &opt.count, "engines", "N"},
	{"base", 0, 0, G_OPTION_ARG_STRING, &opt.base, "base model", "NAME"},
	{"slots", 0, 0, G_OPTION_ARG_INT, &opt.slots, "adapter slots", "N"},
	{"max-batch", 0, 0, G_OPTION_ARG_INT, &opt.max_batch,
	 "most runs in a step", "N"},
	{"threads", 0, 0, G_OPTION_ARG_INT, &opt.threads,
	 "connections served at once", "N"},
	{"step-us", 0, 0, G_OPTION_ARG_INT, &opt.step_us,
	 "step time at batch 1", "US"},
	{"step-growth", 0, 0, G_OPTION_ARG_DOUBLE, &opt.step_growth,
	 "relative step time added by each further run", "X"},
	{"load-ms", 0, 0, G_OPTION_ARG_INT, &opt.load_ms,
	 "load time without a store", "MS"},
	{"metrics-lag-ms", 0, 0, G_OPTION_ARG_INT, &opt.metrics_lag_ms,
	 "age of /metrics", "MS"},
	{"store", 0, 0, G_OPTION_ARG_STRING, &opt.store, "weight store", "URL"},
	{"ignore-fence", 0, 0, G_OPTION_ARG_NONE, &opt.ignore_fence,
	 "accept orders with an old fencing number", NULL},
	G_OPTION_ENTRY_NULL};

int main(int argc, char **argv)
{
	GOptionContext *oc = g_option_context_new("- stand-in engines");
	GError *err = NULL;
	engine_t *engines;

	g_option_context_add_main_entries(oc, options, NULL);
	if (!g_option_context_parse(oc, &argc, &argv, &err)) {
		fprintf(stderr, "%s\n", err->message);
		return 2;
	}
	if (!opt.name)
		opt.name = "runner";
	if (!opt.base)
		opt.base = "base";
	engines = xcalloc((size_t)opt.count, sizeof(*engines));
	for (int i = 0; i < opt.count; i++)
		if (engine_start(&engines[i], i))
			return 1;
	fflush(stdout);
	dev_wait_signal();
	/* The process ends at once, with whatever runs. */
	_Exit(0);
}
