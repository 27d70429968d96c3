/* site_runners.c - reads the platform's list; carries orders and probes. */
#include "site_int.h"

#include <stdlib.h>
#include <string.h>

#include "hist.h"
#include "log.h"

/* Between two readings of the whole list. */
#define LIST_EVERY_US (500 * USEC_PER_MSEC)
#define LIST_ALONE_US (1500 * USEC_PER_MSEC)
#define LIST_TIMEOUT_US (900 * USEC_PER_MSEC)
#define ORDER_TIMEOUT_US (500 * USEC_PER_MSEC)
#define PROBE_TIMEOUT_US (500 * USEC_PER_MSEC)

static void read_page(site_t *s, str_t page);

static void next_reading(site_t *s, int64_t after_us)
{
	s->list_reading = false;
	timer_svc_arm(s->timers, &s->list_timer, site_now(s) + after_us);
}

/* Daemons that dispatch for themselves share the rate of the list. */
static int64_t list_every_us(const site_t *s)
{
	return dispatch_active(s->alone) ? LIST_ALONE_US : LIST_EVERY_US;
}

static void add_page(runner_list_t *to, runner_list_t *page)
{
	to->rows =
		xrealloc(to->rows, (to->n + page->n + 1) * sizeof(*to->rows));
	if (page->n)
		memcpy(to->rows + to->n, page->rows,
		       page->n * sizeof(*to->rows));
	to->n += page->n;
	page->n = 0; /* the rows have moved */
}

static void on_page(void *ctx, const call_result_t *res)
{
	site_t *s = ctx;
	runner_list_t page;

	if (res->status != 200 || dialect_runner_list(res->body, &page) < 0) {
		log_event(LOG_WARNING, "runner_list_failed",
			  kv_i("status", res->status),
			  KV_C("end", http1_close_reason_text(res->end)));
		s->list_failures++;
		runner_list_free(&s->list);
		next_reading(s, list_every_us(s));
		return;
	}
	if (s->list_failures)
		log_event(LOG_NOTICE, "runner_list_regained",
			  kv_u("failures", s->list_failures));
	s->list_failures = 0;
	add_page(&s->list, &page);
	if (page.next.n) {
		read_page(s, buf_str(&page.next));
	} else {
		if (site_dispatch(s))
			dispatch_set_runners(site_dispatch(s), &s->list,
					     site_now(s));
		runner_list_free(&s->list);
		next_reading(s, list_every_us(s));
		site_arm_dispatch(s);
	}
	runner_list_free(&page);
}

static void read_page(site_t *s, str_t page)
{
	AUTO_BUF buf_t target = {0};

	dialect_list_target(&target, page);
	upstream_call(s->up, s->set.list_addr, buf_str(&target), NULL, NULL,
		      LIST_TIMEOUT_US, on_page, s);
}

/* The dispatcher reads the list for all that can reach it. */
static void on_list_timer(void *ctx, int64_t now)
{
	site_t *s = ctx;

	(void)now;
	if (s->list_reading)
		return; /* its end arms the timer */
	if (!site_dispatch(s)) {
		next_reading(s, list_every_us(s));
		return;
	}
	s->list_reading = true;
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
	runner_list_free(&s->list);
}

/* A question to one runner. */
typedef struct question {
	site_t *site;
	str_t runner; /* owned */
	uint64_t term;
	int64_t asked_us;
} question_t;

static question_t *question_new(site_t *s, str_t runner)
{
	question_t *q = xcalloc(1, sizeof(*q));

	q->site = s;
	q->runner = str_copy(runner);
	q->term = s->lease_status.term;
	q->asked_us = site_now(s);
	return q;
}

static void question_free(question_t *q)
{
	str_free(&q->runner);
	free(q);
}

static void expect_fields(buf_t *out, str_t runner)
{
	const target_fields_t f = {
		.runner = runner, .left_us = -1, .priority = -1};

	dialect_write_fields(out, &f);
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

static void on_ordered(void *ctx, const call_result_t *res)
{
	question_t *q = ctx;
	site_t *s = q->site;

	hist_add(HIST_ORDER, site_now(s) - q->asked_us);
	if (res->status != 202 && res->status != 200)
		log_event(LOG_INFO, "order_not_taken",
			  kv_s("runner", q->runner),
			  kv_i("status", res->status));
	if (q->term == s->lease_status.term)
		dispatch_order_result(s->dispatch, q->runner, order_result(res),
				      site_now(s));
	question_free(q);
	site_arm_dispatch(s);
}

void site_order(void *ctx, str_t runner, str_t addr, const runner_order_t *o)
{
	site_t *s = ctx;
	AUTO_BUF buf_t target = {0};
	AUTO_BUF buf_t body = {0};
	AUTO_BUF buf_t fields = {0};

	dialect_order_target(&target);
	dialect_write_order(&body, o);
	expect_fields(&fields, runner);
	log_event(LOG_DEBUG, "order", kv_s("runner", runner),
		  kv_s("body", buf_str(&body)));
	upstream_call(s->up, addr, buf_str(&target), &body, fields.p,
		      ORDER_TIMEOUT_US, on_ordered, question_new(s, runner));
}

static void on_report(void *ctx, const call_result_t *res)
{
	question_t *q = ctx;
	site_t *s = q->site;
	runner_info_t info;
	bool ok = res->status == 200 &&
		  dialect_runner_report(res->body, &info) == 0;

	if (q->term == s->lease_status.term)
		dispatch_runner_report(s->dispatch, q->runner,
				       ok ? &info : NULL, site_now(s));
	if (ok)
		runner_info_free(&info);
	question_free(q);
	site_arm_dispatch(s);
}

void site_probe(void *ctx, str_t runner, str_t addr)
{
	site_t *s = ctx;
	AUTO_BUF buf_t target = {0};
	AUTO_BUF buf_t fields = {0};

	dialect_report_target(&target);
	expect_fields(&fields, runner);
	upstream_call(s->up, addr, buf_str(&target), NULL, fields.p,
		      PROBE_TIMEOUT_US, on_report, question_new(s, runner));
}
