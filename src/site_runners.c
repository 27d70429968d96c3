/*
 * site_runners.c - reads the platform's runner list, and sends the
 * dispatcher's orders and report requests to runners.
 */
#include "site_int.h"

#include <stdlib.h>
#include <string.h>

#include "counter.h"
#include "hist.h"
#include "log.h"

/*
 * Time from the end of one read of the whole runner list to the start of the
 * next.
 */
#define LIST_PERIOD_US (500 * USEC_PER_MSEC)
/*
 * The same time on a daemon that is isolated: it can reach no dispatcher and
 * grants places to its own requests.
 */
#define LIST_ISOLATED_PERIOD_US (1500 * USEC_PER_MSEC)
#define LIST_TIMEOUT_US (900 * USEC_PER_MSEC)
#define ORDER_TIMEOUT_US (500 * USEC_PER_MSEC)
#define REPORT_TIMEOUT_US (500 * USEC_PER_MSEC)
/* Longest responses to these calls, in bytes. */
#define LIST_PAGE_MAX (8u << 20)
#define ORDER_RESPONSE_MAX (16u << 10)
#define REPORT_MAX (256u << 10)

static void read_page(site_t *s, str_t page);

static void schedule_list_read(site_t *s, int64_t after_us)
{
	s->list_read_pending = false;
	timer_svc_arm(s->timers, &s->list_timer, site_now(s) + after_us);
}

/*
 * Isolated daemons read the list less often, as the platform limits the reads
 * of all daemons together.
 */
static int64_t list_period_us(const site_t *s)
{
	return dispatch_active(s->isolated_dispatch) ? LIST_ISOLATED_PERIOD_US
						     : LIST_PERIOD_US;
}

static void append_page(runner_list_t *to, runner_list_t *page)
{
	to->rows =
		xrealloc(to->rows, (to->n + page->n + 1) * sizeof(*to->rows));
	if (page->n)
		memcpy(to->rows + to->n, page->rows,
		       page->n * sizeof(*to->rows));
	to->n += page->n;
	page->n = 0; /* its rows belong to the other list now */
	to->n_invalid += page->n_invalid;
	if (!page->n_invalid)
		return;
	to->fault = page->fault;
	buf_reset(&to->invalid_id);
	buf_put(&to->invalid_id, page->invalid_id.p, page->invalid_id.n);
}

/* The list is read again and again: told as the number of such rows changes. */
static void note_invalid_rows(site_t *s)
{
	const runner_list_t *l = &s->runner_list;

	counter_add(CTR_LIST_ROWS_INVALID, l->n_invalid);
	if (l->n_invalid == s->list_rows_invalid)
		return;
	s->list_rows_invalid = l->n_invalid;
	log_event(LOG_WARNING, "runner_list_rows_invalid",
		  kv_u("rows", l->n_invalid),
		  kv_s("id", buf_str(&l->invalid_id)),
		  KV_C("fault", l->fault ? l->fault : ""));
}

static void on_page(void *ctx, const call_result_t *res)
{
	site_t *s = ctx;
	runner_list_t page;

	if (res->status != 200 ||
	    dialect_parse_runner_list(res->body, &page) < 0) {
		log_event(LOG_WARNING, "runner_list_failed",
			  kv_i("status", res->status),
			  KV_C("close_reason",
			       http1_close_reason_text(res->end)));
		s->list_failures++;
		runner_list_free(&s->runner_list);
		schedule_list_read(s, list_period_us(s));
		return;
	}
	if (s->list_failures)
		log_event(LOG_NOTICE, "runner_list_recovered",
			  kv_u("failures", s->list_failures));
	s->list_failures = 0;
	append_page(&s->runner_list, &page);
	if (page.next_page.n) {
		read_page(s, buf_str(&page.next_page));
	} else {
		note_invalid_rows(s);
		if (site_active_dispatch(s))
			dispatch_set_runners(site_active_dispatch(s),
					     &s->runner_list, site_now(s));
		runner_list_free(&s->runner_list);
		schedule_list_read(s, list_period_us(s));
		site_run_dispatch(s);
	}
	runner_list_free(&page);
}

static void read_page(site_t *s, str_t page)
{
	AUTO_BUF buf_t target = {0};
	upstream_request_t req = {.addr = s->settings.runner_list_addr,
				  .response_max = LIST_PAGE_MAX,
				  .timeout_us = LIST_TIMEOUT_US};

	dialect_write_list_target(&target, page);
	req.target = buf_str(&target);
	upstream_call(s->upstream, &req, on_page, s);
}

/*
 * The dispatcher reads the list for all daemons that can reach it; the others
 * read it themselves once they dispatch.
 */
static void on_list_timer(void *ctx, int64_t now)
{
	site_t *s = ctx;

	(void)now;
	if (s->list_read_pending)
		return; /* the end of that read arms the timer */
	if (!site_active_dispatch(s)) {
		schedule_list_read(s, list_period_us(s));
		return;
	}
	s->list_read_pending = true;
	read_page(s, str_n(NULL, 0));
}

void site_runners_start(site_t *s)
{
	timer_sub_init(&s->list_timer, on_list_timer, s);
	timer_svc_arm(s->timers, &s->list_timer, site_now(s));
}

void site_runners_stop(site_t *s)
{
	timer_svc_cancel(s->timers, &s->list_timer);
	runner_list_free(&s->runner_list);
}

/* A call to a runner that awaits the response. */
typedef struct runner_call {
	site_t *site;
	str_t runner;  /* owned */
	uint64_t term; /* when sent; in a later term the result is ignored */
	int64_t sent_us;
} runner_call_t;

static runner_call_t *runner_call_new(site_t *s, str_t runner)
{
	runner_call_t *call = xcalloc(1, sizeof(*call));

	call->site = s;
	call->runner = str_copy(runner);
	call->term = s->lease_status.term;
	call->sent_us = site_now(s);
	return call;
}

static void runner_call_free(runner_call_t *call)
{
	str_free(&call->runner);
	free(call);
}

/* Header line that names the only runner to answer; NUL-terminated. */
static void write_runner_field(buf_t *out, str_t runner)
{
	const target_fields_t f = {.runner = runner, .left_us = -1};

	dialect_write_target_fields(out, &f);
	buf_put(out, "", 1);
}

static order_result_t order_result(const call_result_t *res)
{
	switch (res->status) {
	case 202:
		return ORDER_ACCEPTED;
	case 200:
		return ORDER_DONE;
	case 409:
		return ORDER_CONFLICT;
	case 412:
		return ORDER_FENCED;
	case 0:
		return ORDER_NO_ANSWER;
	default:
		return ORDER_REFUSED;
	}
}

static void on_order_result(void *ctx, const call_result_t *res)
{
	runner_call_t *call = ctx;
	site_t *s = call->site;

	hist_add(HIST_ORDER, site_now(s) - call->sent_us);
	if (res->status != 202 && res->status != 200)
		log_event(LOG_INFO, "order_failed",
			  kv_s("runner", call->runner),
			  kv_i("status", res->status));
	if (call->term == s->lease_status.term)
		dispatch_order_result(s->dispatch, call->runner,
				      order_result(res), site_now(s));
	runner_call_free(call);
	site_run_dispatch(s);
}

void site_send_order(void *ctx, str_t runner, str_t addr,
		     const runner_order_t *o)
{
	site_t *s = ctx;
	AUTO_BUF buf_t target = {0};
	AUTO_BUF buf_t body = {0};
	AUTO_BUF buf_t fields = {0};
	upstream_request_t req = {.addr = addr,
				  .body = &body,
				  .response_max = ORDER_RESPONSE_MAX,
				  .timeout_us = ORDER_TIMEOUT_US};

	dialect_write_order_target(&target);
	dialect_write_order(&body, o);
	write_runner_field(&fields, runner);
	log_event(LOG_DEBUG, "order_sent", kv_s("runner", runner),
		  kv_s("body", buf_str(&body)));
	req.target = buf_str(&target);
	req.fields = fields.p;
	upstream_call(s->upstream, &req, on_order_result,
		      runner_call_new(s, runner));
}

static void on_report_result(void *ctx, const call_result_t *res)
{
	runner_call_t *call = ctx;
	site_t *s = call->site;
	runner_info_t info;
	bool ok = res->status == 200 &&
		  dialect_parse_runner_report(res->body, &info) == 0;

	if (call->term == s->lease_status.term)
		dispatch_runner_report(s->dispatch, call->runner,
				       ok ? &info : NULL, site_now(s));
	if (ok)
		runner_info_free(&info);
	runner_call_free(call);
	site_run_dispatch(s);
}

void site_request_report(void *ctx, str_t runner, str_t addr)
{
	site_t *s = ctx;
	AUTO_BUF buf_t target = {0};
	AUTO_BUF buf_t fields = {0};
	upstream_request_t req = {.addr = addr,
				  .response_max = REPORT_MAX,
				  .timeout_us = REPORT_TIMEOUT_US};

	dialect_write_report_target(&target);
	write_runner_field(&fields, runner);
	req.target = buf_str(&target);
	req.fields = fields.p;
	upstream_call(s->upstream, &req, on_report_result,
		      runner_call_new(s, runner));
}
