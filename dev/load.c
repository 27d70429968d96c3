/*
 * load.c - load tool: callers of a deployment against real daemons. Open-loop
 * arrivals from a deployment file or a trace; addresses asked for and kept as
 * callers do; answers checked token by token; non-idempotent calls resent
 * after a reply was dropped on purpose.
 *
 *   load --deployment examples/estate-rounds/bench.toml --phase steady \
 *        --entry 127.0.0.1:8001 --entry 127.0.0.1:8002 --json out.json
 */
#include "lib_deploy.h"
#include "lib_http.h"
#include "lib_stats.h"
#include "lib_token.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#define ADDRESSES_MAX 8
#define DEFAULT_RETRY_US (200 * USEC_PER_MSEC)
#define CONNECT_TIMEOUT_MS 1000L
/* How long after its deadline an answer is still waited for. */
#define GRACE_US (3 * USEC_PER_SEC)
/* A reply dropped on purpose is dropped so long after the request. */
#define DROP_AFTER_US (10 * USEC_PER_MSEC)
#define DROPPED_SHARE 0.2
#define PROGRESS_US (2 * USEC_PER_SEC)

static struct {
	gchar *deployment, *phase, *trace, *json, *csv, *token_stem;
	gchar **entries, **engines, **services;
	gint seed;
	gdouble seconds, rate, warm_up;
	gboolean quiet, direct;
} opt = {.seed = 1, .warm_up = -1};

static const GOptionEntry options[] = {
	{"deployment", 0, 0, G_OPTION_ARG_FILENAME, &opt.deployment,
	 "sizes and traffic", "FILE"},
	{"phase", 0, 0, G_OPTION_ARG_STRING, &opt.phase,
	 "phase of the deployment; default: steady", "NAME"},
	{"trace", 0, 0, G_OPTION_ARG_FILENAME, &opt.trace,
	 "arrivals from a CSV file instead", "FILE"},
	{"seed", 0, 0, G_OPTION_ARG_INT, &opt.seed, "of the arrivals", "N"},
	{"seconds", 0, 0, G_OPTION_ARG_DOUBLE, &opt.seconds,
	 "length instead of the phase's", "S"},
	{"warm-up", 0, 0, G_OPTION_ARG_DOUBLE, &opt.warm_up,
	 "warm-up instead of the deployment's", "S"},
	{"rate", 0, 0, G_OPTION_ARG_DOUBLE, &opt.rate,
	 "requests a second instead of the deployment's", "N"},
	{"entry", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.entries,
	 "callers' address of a daemon; may be repeated", "IP:PORT"},
	{"check-engine", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.engines,
	 "stand-in engine whose runs are checked at the end", "IP:PORT"},
	{"check-service", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.services,
	 "stand-in service whose runs are checked at the end", "IP:PORT"},
	{"token", 0, 0, G_OPTION_ARG_STRING, &opt.token_stem,
	 "stem of the callers' tokens: STEM-ORGANISATION", "STEM"},
	{"json", 0, 0, G_OPTION_ARG_FILENAME, &opt.json, "write figures",
	 "FILE"},
	{"csv", 0, 0, G_OPTION_ARG_FILENAME, &opt.csv,
	 "write one line for each request", "FILE"},
	{"direct", 0, 0, G_OPTION_ARG_NONE, &opt.direct,
	 "the entries are engines: ask them without any daemon", NULL},
	{"quiet", 0, 0, G_OPTION_ARG_NONE, &opt.quiet, "no progress lines",
	 NULL},
	G_OPTION_ENTRY_NULL};

typedef enum job_kind {
	JOB_COMPLETION,
	JOB_CALL,      /* repeatable */
	JOB_CALL_ONCE, /* not repeatable */
} job_kind_t;

typedef enum job_state {
	JOB_WAITING, /* for its time */
	JOB_ASKING,  /* for addresses */
	JOB_RUNNING,
	JOB_ENDED,
} job_state_t;

typedef struct addresses {
	char *addr[ADDRESSES_MAX];
	size_t n;
	int64_t until_us;
} addresses_t;

/* One request over all its attempts. */
typedef struct job {
	uint32_t id;
	job_kind_t kind;
	job_state_t state;
	const arrival_t *arrival;
	int64_t arrived_us, due_us, wake_us, drop_us;
	uint32_t attempt;  /* of asking at an address */
	uint32_t body_no;  /* a new body after each 'not run' */
	const char *model; /* interned; service name of a call */
	char *prompt;	   /* of the present body */
	char address[64];  /* the last one tried */
	bool drop_reply;   /* still to be dropped once */
	bool may_have_run; /* some attempt's outcome was unknown */
	/* The transfer under way. */
	CURL *curl;
	struct curl_slist *headers;
	buf_t request, response;
	char served[160]; /* X-Adapter, or the model in the answer */
	uint32_t tokens;
	bool done, garbled;
	char error_reason[48], error_run[16];
	int64_t error_retry_ms;
	/* The outcome. */
	bool answered, on_time;
	int64_t ended_us, first_us, last_us;
	char outcome[64];
} job_t;

static deploy_t deploy;
static GPtrArray *jobs;	      /* of job_t, by arrival */
static GHashTable *kept;      /* "caller model" -> addresses_t */
static GHashTable *refusals;  /* reason -> count */
static GHashTable *retries;   /* reason -> count */
static GHashTable *not_run;   /* prompt hash -> job, refused as not run */
static GHashTable *by_prompt; /* prompt hash -> job */
static GRand *rand_src;
static CURLM *multi;
static int64_t started_us;
static stats_t first_token_ms, gap_ms, stall_ms, latency_ms;
static uint64_t wrong_answers, double_runs, ran_though_refused;
static uint32_t n_ended, n_running;

static void count(GHashTable *t, const char *reason)
{
	gpointer n = g_hash_table_lookup(t, reason);

	g_hash_table_insert(t, (gpointer)g_intern_string(reason),
			    GUINT_TO_POINTER(GPOINTER_TO_UINT(n) + 1));
}

static const char *prompt_hash(str_t prompt)
{
	char hash[17];

	snprintf(hash, sizeof(hash), "%016lx",
		 hash_bytes(prompt.p, prompt.n, 0));
	return g_intern_string(hash);
}

/* --- jobs --------------------------------------------------------------- */

static void make_body(job_t *j)
{
	json_t *doc;
	char *text;

	free(j->prompt);
	j->prompt = g_strdup_printf("request %u.%u of run %d", j->id,
				    j->body_no, opt.seed);
	buf_reset(&j->request);
	if (j->kind == JOB_COMPLETION) {
		AUTO_BUF buf_t prompt = {0};

		buf_puts(&prompt, j->prompt);
		while (prompt.n < j->arrival->prompt_tokens * 4u)
			buf_puts(&prompt, " lorem ipsum dolor sit amet");
		free(j->prompt);
		j->prompt = str_dup(buf_str(&prompt));
		doc = json_pack("{s:s,s:s,s:i,s:b}", "model", j->model,
				"prompt", j->prompt, "max_tokens",
				(int)j->arrival->output_tokens, "stream", 1);
	} else {
		doc = json_pack("{s:s}", "entry", j->prompt);
	}
	text = json_dumps(doc, JSON_COMPACT);
	buf_puts(&j->request, text);
	free(text);
	json_decref(doc);
	if (j->kind == JOB_COMPLETION)
		g_hash_table_insert(by_prompt,
				    (gpointer)prompt_hash(str_c(j->prompt)), j);
}

static job_t *job_new(job_kind_t kind, const arrival_t *a)
{
	job_t *j = xcalloc(1, sizeof(*j));
	char model[256];

	j->id = jobs->len;
	j->kind = kind;
	j->arrival = a;
	j->wake_us = a->at_us;
	if (kind == JOB_COMPLETION && a->version)
		snprintf(model, sizeof(model), "%s@%u", a->adapter, a->version);
	else
		snprintf(model, sizeof(model), "%s", a->adapter);
	j->model = g_intern_string(model);
	j->drop_reply = kind == JOB_CALL_ONCE &&
			g_rand_double(rand_src) < DROPPED_SHARE;
	make_body(j);
	g_ptr_array_add(jobs, j);
	return j;
}

static void job_end(job_t *j, const char *outcome)
{
	j->state = JOB_ENDED;
	j->ended_us = dev_now_us();
	snprintf(j->outcome, sizeof(j->outcome), "%s", outcome);
	n_ended++;
	n_running--;
	if (!j->answered) {
		count(refusals, outcome);
		return;
	}
	j->on_time = j->ended_us <= j->due_us;
	stats_add(&latency_ms, (double)(j->ended_us - j->arrived_us) / 1000);
}

static void job_again(job_t *j, const char *reason, int64_t wait_us)
{
	int64_t now = dev_now_us();

	if (now + wait_us >= j->due_us) {
		job_end(j, reason);
		return;
	}
	count(retries, reason);
	j->state = JOB_WAITING;
	j->wake_us = now + wait_us;
}

/* --- answers ------------------------------------------------------------ */

static void note_error(job_t *j, json_t *doc)
{
	const char *reason = "malformed_error", *run = "unknown";
	json_int_t retry = 0;

	json_unpack(doc, "{s:{s:s,s:s,s?I}}", "error", "reason", &reason, "run",
		    &run, "retry_after_ms", &retry);
	snprintf(j->error_reason, sizeof(j->error_reason), "%s", reason);
	snprintf(j->error_run, sizeof(j->error_run), "%s", run);
	j->error_retry_ms = retry;
}

/* The adapter and version that the answer must come from. */
static bool right_model(const job_t *j, const char *model)
{
	size_t n = strlen(j->arrival->adapter);

	if (j->arrival->version || !strcmp(model, deploy.base_model))
		return !strcmp(model, j->model);
	return !strncmp(model, j->arrival->adapter, n) && model[n] == '@';
}

static void note_token(job_t *j, json_t *doc)
{
	const char *model = "", *text = "";
	char expected[TOKEN_TEXT_MAX];
	int64_t now = dev_now_us();

	json_unpack(doc, "{s:s,s:[{s:s}]}", "model", &model, "choices", "text",
		    &text);
	if (!j->served[0])
		snprintf(j->served, sizeof(j->served), "%s", model);
	token_text(expected, str_c(j->served), str_c(j->prompt), j->tokens);
	if (!right_model(j, model) || strcmp(model, j->served) ||
	    strcmp(text, expected))
		j->garbled = true;
	if (j->tokens == 0 && !j->first_us) {
		j->first_us = now;
		stats_add(&first_token_ms,
			  (double)(now - j->arrived_us) / 1000);
	} else if (j->tokens) {
		stats_add(&gap_ms, (double)(now - j->last_us) / 1000);
	}
	j->last_us = now;
	j->tokens++;
}

static void note_event(job_t *j, str_t event)
{
	str_t line, rest = event;
	bool error = false;

	while (rest.n) {
		str_split(rest, '\n', &line, &rest);
		if (str_eq(line, STR("event: error"))) {
			error = true;
		} else if (str_eq(line, STR("data: [DONE]"))) {
			j->garbled |= j->done;
			j->done = true;
		} else if (line.n > 6 && !memcmp(line.p, "data: ", 6)) {
			json_t *doc =
				json_loadb(line.p + 6, line.n - 6, 0, NULL);

			if (error)
				note_error(j, doc);
			else
				note_token(j, doc);
			json_decref(doc);
		}
	}
}

/* Takes whole SSE events off the response. */
static void parse_stream(job_t *j)
{
	char *end;

	while (j->response.n &&
	       (end = memmem(j->response.p, j->response.n, "\n\n", 2))) {
		size_t n = (size_t)(end - j->response.p);

		note_event(j, str_n(j->response.p, n));
		buf_consume(&j->response, n + 2);
	}
}

static size_t on_body(char *p, size_t size, size_t n, void *ctx)
{
	job_t *j = ctx;
	long status = 0;

	buf_put(&j->response, p, size * n);
	curl_easy_getinfo(j->curl, CURLINFO_RESPONSE_CODE, &status);
	if (j->state == JOB_RUNNING && j->kind == JOB_COMPLETION &&
	    status == 200)
		parse_stream(j);
	return size * n;
}

/* --- transfers ---------------------------------------------------------- */

static void add_header(job_t *j, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void add_header(job_t *j, const char *fmt, ...)
{
	va_list ap;
	gchar *line;

	va_start(ap, fmt);
	line = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	j->headers = curl_slist_append(j->headers, line);
	g_free(line);
}

static void transfer_begin(job_t *j, const char *url, job_state_t state)
{
	int64_t left = j->due_us + GRACE_US - dev_now_us();

	j->state = state;
	buf_reset(&j->response);
	j->served[0] = '\0';
	j->tokens = 0;
	j->done = j->garbled = false;
	j->error_reason[0] = j->error_run[0] = '\0';
	j->error_retry_ms = 0;
	if (!j->curl)
		j->curl = curl_easy_init();
	curl_easy_reset(j->curl);
	curl_slist_free_all(j->headers);
	j->headers = NULL;
	if (opt.token_stem)
		add_header(j, "Authorization: Bearer %s-%s", opt.token_stem,
			   j->arrival->org);
	curl_easy_setopt(j->curl, CURLOPT_URL, url);
	curl_easy_setopt(j->curl, CURLOPT_PROXY, "");
	curl_easy_setopt(j->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(j->curl, CURLOPT_PRIVATE, j);
	curl_easy_setopt(j->curl, CURLOPT_CONNECTTIMEOUT_MS,
			 CONNECT_TIMEOUT_MS);
	curl_easy_setopt(j->curl, CURLOPT_TIMEOUT_MS,
			 (long)(left / USEC_PER_MSEC) + 1);
	curl_easy_setopt(j->curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(j->curl, CURLOPT_WRITEDATA, j);
}

static void transfer_start(job_t *j)
{
	curl_easy_setopt(j->curl, CURLOPT_HTTPHEADER, j->headers);
	curl_multi_add_handle(multi, j->curl);
}

static gchar *kept_key(const job_t *j)
{
	guint caller = g_str_hash(j->arrival->org) + j->id;

	return g_strdup_printf("%u %s", caller % (guint)MAX(deploy.callers, 1),
			       j->model);
}

static void ask_addresses(job_t *j)
{
	guint n = g_strv_length(opt.entries);
	guint i = (guint)g_rand_int_range(rand_src, 0, (gint32)n);
	gchar *model = g_uri_escape_string(j->model, NULL, FALSE);
	gchar *url = g_strdup_printf("http://%s/v1/addresses?model=%s",
				     opt.entries[i], model);

	transfer_begin(j, url, JOB_ASKING);
	curl_easy_setopt(j->curl, CURLOPT_TIMEOUT_MS, CONNECT_TIMEOUT_MS);
	transfer_start(j);
	g_free(url);
	g_free(model);
}

static const char *job_path(const job_t *j)
{
	static char path[256];

	if (j->kind == JOB_COMPLETION)
		return "/v1/completions";
	snprintf(path, sizeof(path), "/v1/call/%s/entries", j->model);
	return path;
}

static void send_request(job_t *j, const char *address)
{
	gchar *url = g_strdup_printf("http://%s%s", address, job_path(j));
	int64_t now = dev_now_us();

	snprintf(j->address, sizeof(j->address), "%s", address);
	transfer_begin(j, url, JOB_RUNNING);
	j->attempt++;
	add_header(j, "Content-Type: application/json");
	add_header(j, "Expect:");
	add_header(j, "X-Request-Id: load-%d-%u-%u", opt.seed, j->id,
		   j->body_no);
	add_header(j, "X-Deadline-Ms: %lld",
		   (long long)((j->due_us - now) / USEC_PER_MSEC));
	add_header(j, "X-Priority: %d", j->arrival->priority);
	if (j->kind != JOB_COMPLETION)
		add_header(j, "Idempotency-Key: load-%d-%u", opt.seed, j->id);
	if (j->kind == JOB_CALL_ONCE)
		add_header(j, "X-Not-Repeatable: 1");
	curl_easy_setopt(j->curl, CURLOPT_POSTFIELDS, j->request.p);
	curl_easy_setopt(j->curl, CURLOPT_POSTFIELDSIZE, (long)j->request.n);
	j->drop_us = j->drop_reply ? now + DROP_AFTER_US : 0;
	transfer_start(j);
	g_free(url);
}

/* The first address on the first attempt, then the others in turn. */
static void job_go(job_t *j)
{
	gchar *key = kept_key(j);
	addresses_t *a = g_hash_table_lookup(kept, key);

	if (!j->arrived_us) {
		j->arrived_us = dev_now_us();
		j->due_us = j->arrived_us + j->arrival->deadline_us;
		n_running++;
	}
	if (opt.direct)
		send_request(j,
			     opt.entries[j->id % g_strv_length(opt.entries)]);
	else if (a && a->n && a->until_us > dev_now_us())
		send_request(j, a->addr[j->attempt % a->n]);
	else
		ask_addresses(j);
	g_free(key);
}

static void addresses_free(gpointer p)
{
	addresses_t *a = p;

	for (size_t i = 0; i < a->n; i++)
		free(a->addr[i]);
	free(a);
}

static addresses_t *addresses_parse(str_t body)
{
	json_t *doc = json_loadb(body.p ? body.p : "", body.n, 0, NULL);
	json_t *list = json_object_get(doc, "addresses");
	json_t *ttl = json_object_get(doc, "ttl_ms");
	addresses_t *a = xcalloc(1, sizeof(*a));

	for (size_t i = 0; i < json_array_size(list) && i < ADDRESSES_MAX;
	     i++) {
		const char *s = json_string_value(json_array_get(list, i));

		if (s)
			a->addr[a->n++] = str_dup(str_c(s));
	}
	a->until_us = dev_now_us() + json_integer_value(ttl) * USEC_PER_MSEC;
	json_decref(doc);
	return a;
}

static void addresses_came(job_t *j, CURLcode rc, long status)
{
	addresses_t *a;

	if (rc == CURLE_OK && status >= 400 && status < 500) {
		json_t *doc = json_loadb(j->response.p, j->response.n, 0, NULL);

		note_error(j, doc);
		json_decref(doc);
		job_end(j, j->error_reason);
		return;
	}
	a = addresses_parse(buf_str(&j->response));
	if (rc != CURLE_OK || status != 200 || !a->n) {
		addresses_free(a);
		job_again(j, "no_addresses", DEFAULT_RETRY_US);
		return;
	}
	g_hash_table_insert(kept, kept_key(j), a);
	send_request(j, a->addr[j->attempt % a->n]);
}

static void forget_addresses(job_t *j)
{
	gchar *key = kept_key(j);

	g_hash_table_remove(kept, key);
	g_free(key);
}

/* Refused: run "no" may go again as a new request; else it depends. */
static void refused(job_t *j)
{
	int64_t wait = j->error_retry_ms * USEC_PER_MSEC;
	bool ran_not = !strcmp(j->error_run, "no");

	if (ran_not && j->kind == JOB_COMPLETION)
		g_hash_table_insert(not_run,
				    (gpointer)prompt_hash(str_c(j->prompt)), j);
	if (!ran_not)
		j->may_have_run = true;
	if (!j->error_retry_ms) {
		job_end(j, j->error_reason);
		return;
	}
	if (ran_not) {
		j->body_no += j->kind == JOB_COMPLETION;
		if (j->kind == JOB_COMPLETION)
			make_body(j);
	}
	forget_addresses(j);
	job_again(j, j->error_reason, wait);
}

/* The connection broke before the answer was whole. */
static void broken(job_t *j, CURLcode rc)
{
	forget_addresses(j);
	if (rc == CURLE_COULDNT_CONNECT) {
		job_again(j, "could_not_connect", 0);
		return;
	}
	j->may_have_run = true;
	job_again(j, rc == CURLE_OPERATION_TIMEDOUT ? "timed_out" : "cut_off",
		  DEFAULT_RETRY_US);
}

static void completion_ended(job_t *j, CURLcode rc, long status)
{
	if (j->error_reason[0]) {
		refused(j);
	} else if (rc != CURLE_OK || status != 200 || !j->done) {
		broken(j, rc);
	} else if (j->garbled || j->tokens != j->arrival->output_tokens) {
		wrong_answers++;
		fprintf(stderr, "load: wrong answer: id=%u tokens=%u of %u\n",
			j->id, j->tokens, j->arrival->output_tokens);
		job_end(j, "wrong_answer");
	} else {
		j->answered = true;
		job_end(j, "answered");
	}
}

static void call_ended(job_t *j, CURLcode rc, long status)
{
	json_t *doc = json_loadb(j->response.p ? j->response.p : "",
				 j->response.n, 0, NULL);
	char key[64], hash[17];
	const char *got_key = "", *got_hash = "";

	if (rc != CURLE_OK) {
		broken(j, rc);
		goto out;
	}
	if (status != 200) {
		note_error(j, doc);
		refused(j);
		goto out;
	}
	snprintf(key, sizeof(key), "load-%d-%u", opt.seed, j->id);
	snprintf(hash, sizeof(hash), "%016lx",
		 hash_bytes(j->request.p, j->request.n, 0));
	json_unpack(doc, "{s:s,s:s}", "key", &got_key, "body_hash", &got_hash);
	if (strcmp(key, got_key) || strcmp(hash, got_hash)) {
		wrong_answers++;
		fprintf(stderr, "load: wrong answer: key=%s got=%s\n", key,
			got_key);
		job_end(j, "wrong_answer");
		goto out;
	}
	j->answered = true;
	job_end(j, "answered");
out:
	json_decref(doc);
}

static void transfer_ended(job_t *j, CURLcode rc)
{
	long status = 0;

	curl_easy_getinfo(j->curl, CURLINFO_RESPONSE_CODE, &status);
	curl_multi_remove_handle(multi, j->curl);
	if (j->state == JOB_ASKING) {
		addresses_came(j, rc, status);
		return;
	}
	if (j->kind != JOB_COMPLETION) {
		call_ended(j, rc, status);
		return;
	}
	if (rc == CURLE_OK && status != 200) {
		json_t *doc = json_loadb(j->response.p ? j->response.p : "",
					 j->response.n, 0, NULL);

		note_error(j, doc);
		json_decref(doc);
	}
	completion_ended(j, rc, status);
}

/* Drops the reply on purpose: the caller does not see it and resends. */
static void drop_replies(int64_t now)
{
	for (guint i = 0; i < jobs->len; i++) {
		job_t *j = jobs->pdata[i];

		if (j->state != JOB_RUNNING || !j->drop_us || now < j->drop_us)
			continue;
		curl_multi_remove_handle(multi, j->curl);
		curl_easy_cleanup(j->curl);
		j->curl = NULL;
		j->drop_reply = false;
		j->drop_us = 0;
		j->may_have_run = true;
		job_again(j, "reply_dropped", DEFAULT_RETRY_US);
	}
}

/* --- the run ------------------------------------------------------------ */

static void progress(int64_t now)
{
	uint32_t answered = 0, late = 0;

	for (guint i = 0; i < jobs->len; i++) {
		const job_t *j = jobs->pdata[i];

		answered += j->answered;
		late += j->answered && !j->on_time;
	}
	fprintf(stderr,
		"%5.1fs %u of %u ended, %u answered, %u late, %u in progress\n",
		(double)(now - started_us) / USEC_PER_SEC, n_ended, jobs->len,
		answered, late, n_running);
}

static void start_due(int64_t now)
{
	for (guint i = 0; i < jobs->len; i++) {
		job_t *j = jobs->pdata[i];

		if (j->state != JOB_WAITING)
			continue;
		if (!j->arrived_us && j->arrival->at_us > now - started_us)
			continue;
		if (j->arrived_us && j->wake_us > now)
			continue;
		job_go(j);
	}
}

static void run_all(void)
{
	int64_t next_progress = 0;

	started_us = dev_now_us();
	while (n_ended < jobs->len) {
		int64_t now = dev_now_us();
		CURLMsg *msg;
		int left;

		start_due(now);
		drop_replies(now);
		curl_multi_perform(multi, &left);
		while ((msg = curl_multi_info_read(multi, &left))) {
			CURLcode rc = msg->data.result;
			job_t *j;

			curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE,
					  (char **)&j);
			transfer_ended(j, rc);
		}
		if (!opt.quiet && now >= next_progress) {
			progress(now);
			next_progress = now + PROGRESS_US;
		}
		curl_multi_poll(multi, NULL, 0, 2, NULL);
	}
}

/* --- checks at the stand-ins -------------------------------------------- */

static json_t *fetch_json(const char *address, const char *path)
{
	AUTO_BUF buf_t body = {0};
	gchar *url = g_strdup_printf("http://%s%s", address, path);
	json_t *doc = NULL;

	if (http_get(url, 10000, &body) == 200)
		doc = json_loadb(body.p, body.n, 0, NULL);
	if (!doc)
		fprintf(stderr, "load: no answer from %s\n", url);
	g_free(url);
	return doc;
}

typedef struct engine_sums {
	double steps, filled, useful;
	uint64_t loads, evicted_running;
} engine_sums_t;

static void check_run(const json_t *run, engine_sums_t *sums)
{
	const char *state = json_string_value(json_object_get(run, "state"));
	const char *hash =
		json_string_value(json_object_get(run, "prompt_hash"));
	json_int_t resident =
		json_integer_value(json_object_get(run, "resident_us"));
	const char *key = hash ? g_intern_string(hash) : "";
	job_t *j = g_hash_table_lookup(by_prompt, key);

	if (g_hash_table_contains(not_run, key)) {
		ran_though_refused++;
		fprintf(stderr,
			"load: request %u was refused as not run, "
			"but ran\n",
			j ? j->id : 0);
	}
	if (j && j->on_time && state && !strcmp(state, "done"))
		sums->useful += j->tokens;
	if (j && j->answered && !j->arrival->warm_up)
		stats_add(&stall_ms,
			  MAX(0, (double)(resident - j->arrived_us) / 1000));
}

static void check_engines(engine_sums_t *sums)
{
	for (gchar **e = opt.engines; e && *e; e++) {
		json_t *runs = fetch_json(*e, "/admin/runs");
		json_t *v = fetch_json(*e, "/admin/violations");
		json_t *run;
		size_t i;
		json_int_t steps = 0, filled = 0, batch = 1, loads = 0,
			   evicted = 0;

		json_array_foreach(runs, i, run) check_run(run, sums);
		json_unpack(v, "{s:I,s:I,s:I,s:I,s:I}", "steps", &steps,
			    "step_runs", &filled, "max_batch", &batch, "loads",
			    &loads, "evicted_running", &evicted);
		sums->steps += (double)(steps * batch);
		sums->filled += (double)filled;
		sums->loads += (uint64_t)loads;
		sums->evicted_running += (uint64_t)evicted;
		json_decref(runs);
		json_decref(v);
	}
}

static uint32_t runs_of(GPtrArray *docs, const char *key)
{
	uint32_t n = 0;

	for (guint i = 0; i < docs->len; i++)
		n += (uint32_t)json_integer_value(
			json_object_get(docs->pdata[i], key));
	return n;
}

static void check_services(void)
{
	GPtrArray *docs =
		g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);

	for (gchar **s = opt.services; s && *s; s++) {
		json_t *doc = fetch_json(*s, "/admin/runs");

		if (doc)
			g_ptr_array_add(docs, doc);
	}
	for (guint i = 0; docs->len && i < jobs->len; i++) {
		const job_t *j = jobs->pdata[i];
		char key[64];
		uint32_t n;

		if (j->kind == JOB_COMPLETION)
			continue;
		snprintf(key, sizeof(key), "load-%d-%u", opt.seed, j->id);
		n = runs_of(docs, key);
		if (j->kind == JOB_CALL_ONCE && n > 1) {
			double_runs++;
			fprintf(stderr, "load: key %s ran %u times\n", key, n);
		}
		if (!j->answered && !j->may_have_run && n > 0) {
			ran_though_refused++;
			fprintf(stderr,
				"load: key %s was refused as not run, "
				"but ran\n",
				key);
		}
	}
	g_ptr_array_free(docs, TRUE);
}

/* --- report ------------------------------------------------------------- */

static gint by_name(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

static json_t *counts_json(GHashTable *t)
{
	GList *keys = g_list_sort(g_hash_table_get_keys(t), by_name);
	json_t *doc = json_object();

	for (GList *k = keys; k; k = k->next)
		json_object_set_new(doc, k->data,
				    json_integer(GPOINTER_TO_UINT(
					    g_hash_table_lookup(t, k->data))));
	g_list_free(keys);
	return doc;
}

static json_t *report_json(const engine_sums_t *sums)
{
	uint32_t answered = 0, on_time = 0, completions = 0;
	double seconds = (double)(dev_now_us() - started_us) / USEC_PER_SEC;
	json_t *doc;

	for (guint i = 0; i < jobs->len; i++) {
		const job_t *j = jobs->pdata[i];

		answered += j->answered;
		on_time += j->on_time;
		completions += j->answered && j->kind == JOB_COMPLETION;
	}
	doc = json_pack("{s:s,s:i,s:i,s:i,s:i,s:f,s:f}", "deployment",
			deploy.name ? deploy.name : "", "seed", opt.seed,
			"requests", (int)jobs->len, "answered", (int)answered,
			"on_time_count", (int)on_time, "on_time",
			jobs->len ? (double)on_time / jobs->len : 0,
			"requests_per_s", answered / seconds);
	json_object_set_new(doc, "completions_answered",
			    json_integer(completions));
	json_object_set_new(doc, "first_token_ms", stats_json(&first_token_ms));
	json_object_set_new(doc, "between_tokens_ms", stats_json(&gap_ms));
	json_object_set_new(doc, "latency_ms", stats_json(&latency_ms));
	json_object_set_new(doc, "stall_ms", stats_json(&stall_ms));
	json_object_set_new(doc, "stall_s",
			    json_real(stats_sum(&stall_ms) / 1000));
	json_object_set_new(doc, "loads",
			    json_integer((json_int_t)sums->loads));
	if (sums->steps > 0) {
		json_object_set_new(doc, "batch_efficiency",
				    json_real(sums->filled / sums->steps));
		json_object_set_new(doc, "useful_batch_efficiency",
				    json_real(sums->useful / sums->steps));
	}
	json_object_set_new(doc, "refused", counts_json(refusals));
	json_object_set_new(doc, "retries", counts_json(retries));
	json_object_set_new(
		doc, "violations",
		json_pack("{s:I,s:I,s:I,s:I}", "wrong_answers",
			  (json_int_t)wrong_answers, "double_runs",
			  (json_int_t)double_runs, "ran_though_refused",
			  (json_int_t)ran_though_refused, "evicted_running",
			  (json_int_t)sums->evicted_running));
	return doc;
}

static void print_counts(const char *title, json_t *doc)
{
	const char *key;
	json_t *n;

	json_object_foreach(doc, key, n)
		printf("%-28s %lld\n",
		       g_intern_string(g_strconcat(title, key, NULL)),
		       (long long)json_integer_value(n));
}

static void print_stats(const char *name, const stats_t *s)
{
	printf("%-28s p50 %.1f  p95 %.1f  p99 %.1f\n", name,
	       stats_percentile(s, 50), stats_percentile(s, 95),
	       stats_percentile(s, 99));
}

static void print_report(json_t *doc)
{
	printf("%-28s %lld\n", "requests",
	       (long long)json_integer_value(json_object_get(doc, "requests")));
	printf("%-28s %lld\n", "answered once and whole",
	       (long long)json_integer_value(json_object_get(doc, "answered")));
	printf("%-28s %lld\n", "of these on time",
	       (long long)json_integer_value(
		       json_object_get(doc, "on_time_count")));
	printf("%-28s %.1f\n", "answers a second",
	       json_real_value(json_object_get(doc, "requests_per_s")));
	print_stats("first token, ms", &first_token_ms);
	print_stats("between tokens, ms", &gap_ms);
	print_stats("load stall, ms", &stall_ms);
	printf("%-28s %.2f\n", "load stall, sum in s",
	       json_real_value(json_object_get(doc, "stall_s")));
	printf("%-28s %.3f\n", "batch efficiency",
	       json_real_value(json_object_get(doc, "batch_efficiency")));
	printf("%-28s %.3f\n", "of useful tokens",
	       json_real_value(
		       json_object_get(doc, "useful_batch_efficiency")));
	print_counts("refused: ", json_object_get(doc, "refused"));
	print_counts("tried again: ", json_object_get(doc, "retries"));
	print_counts("broken promises: ", json_object_get(doc, "violations"));
}

static void write_csv(const char *path)
{
	FILE *f = fopen(path, "w");

	if (!f) {
		fprintf(stderr, "%s: cannot be written\n", path);
		return;
	}
	fprintf(f, "id,kind,model,arrival_ms,first_token_ms,ended_ms,attempts,"
		   "tokens,on_time,outcome\n");
	for (guint i = 0; i < jobs->len; i++) {
		const job_t *j = jobs->pdata[i];

		fprintf(f, "%u,%d,%s,%.1f,%.1f,%.1f,%u,%u,%d,%s\n", j->id,
			(int)j->kind, j->model,
			(double)(j->arrived_us - started_us) / 1000,
			j->first_us ? (double)(j->first_us - started_us) / 1000
				    : 0,
			(double)(j->ended_us - started_us) / 1000, j->attempt,
			j->tokens, j->on_time, j->outcome);
	}
	fclose(f);
}

/* --- start -------------------------------------------------------------- */

/* Plain service calls beside the completions, spread evenly. */
static void add_calls(int64_t end_us)
{
	double at = 0;

	if (deploy.calls_per_s <= 0 || !opt.services)
		return;
	for (at = 0; at < (double)end_us;
	     at += USEC_PER_SEC / deploy.calls_per_s) {
		arrival_t *a = xcalloc(1, sizeof(*a));
		bool once =
			g_rand_double(rand_src) < deploy.not_repeatable_share;

		a->at_us = (int64_t)at;
		a->adapter = g_intern_string(deploy.service_name);
		a->org = g_intern_string(deploy.orgs[g_rand_int_range(
			rand_src, 0, (gint32)deploy.n_orgs)]);
		a->deadline_us = 15 * USEC_PER_SEC;
		job_new(once ? JOB_CALL_ONCE : JOB_CALL, a);
	}
}

static GArray *make_arrivals(void)
{
	const char *name = opt.phase ? opt.phase : "steady";
	const phase_t *found;
	phase_t phase;

	if (deploy_load(&deploy, opt.deployment))
		return NULL;
	if (opt.trace)
		return trace_read(opt.trace);
	found = deploy_phase(&deploy, name);
	if (!found) {
		fprintf(stderr, "no phase '%s' in %s\n", name, opt.deployment);
		return NULL;
	}
	phase = *found;
	if (opt.seconds > 0)
		phase.seconds = opt.seconds;
	if (opt.rate > 0)
		deploy.requests_per_s = opt.rate;
	if (opt.warm_up >= 0)
		deploy.warm_up_s = opt.warm_up;
	return deploy_arrivals(&deploy, &phase, (uint64_t)opt.seed);
}

static int run(const GArray *arrivals)
{
	engine_sums_t sums = {0};
	const arrival_t *last;
	json_t *doc;
	bool broken_promise;

	for (guint i = 0; i < arrivals->len; i++)
		job_new(JOB_COMPLETION, &g_array_index(arrivals, arrival_t, i));
	if (arrivals->len) {
		last = &g_array_index(arrivals, arrival_t, arrivals->len - 1);
		add_calls(last->at_us);
	}
	run_all();
	check_engines(&sums);
	check_services();
	doc = report_json(&sums);
	print_report(doc);
	if (opt.json && json_dump_file(doc, opt.json, JSON_INDENT(1)))
		fprintf(stderr, "%s: cannot be written\n", opt.json);
	if (opt.csv)
		write_csv(opt.csv);
	json_decref(doc);
	broken_promise = wrong_answers || double_runs || ran_though_refused ||
			 sums.evicted_running;
	return broken_promise ? 1 : 0;
}

int main(int argc, char **argv)
{
	GOptionContext *oc = g_option_context_new("- load tool");
	GError *err = NULL;
	GArray *arrivals;

	g_option_context_add_main_entries(oc, options, NULL);
	if (!g_option_context_parse(oc, &argc, &argv, &err)) {
		fprintf(stderr, "%s\n", err->message);
		return 2;
	}
	if (!opt.deployment || !opt.entries) {
		fprintf(stderr, "load: --deployment and --entry are needed\n");
		return 2;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	multi = curl_multi_init();
	curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, 512L);
	jobs = g_ptr_array_new();
	kept = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     addresses_free);
	refusals = g_hash_table_new(g_str_hash, g_str_equal);
	retries = g_hash_table_new(g_str_hash, g_str_equal);
	not_run = g_hash_table_new(g_direct_hash, g_direct_equal);
	by_prompt = g_hash_table_new(g_direct_hash, g_direct_equal);
	rand_src = g_rand_new_with_seed((guint32)opt.seed);
	arrivals = make_arrivals();
	if (!arrivals)
		return 2;
	return run(arrivals);
}
