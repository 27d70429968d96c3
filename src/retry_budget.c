/* retry_budget.c - retries in a sliding window, for each service. */
#include "retry_budget.h"

#include <stdlib.h>

/*
 * Share of the allowed retries that is granted. The rest is a margin: the limit
 * holds for a sliding window, whereas the window here moves in steps.
 */
#define BUDGET_SHARE 0.8
#define WINDOW_STEPS 20u

/* Step n of the window is counted at n % WINDOW_STEPS. */
typedef struct service_budget {
	struct cds_list_head node; /* in retry_budgets->services */
	str_t service;		   /* owned */
	int64_t step;
	uint32_t requests[WINDOW_STEPS];
	uint32_t retries[WINDOW_STEPS];
} service_budget_t;

void retry_budgets_init(retry_budgets_t *b, double ratio, double slack,
			int64_t window_us)
{
	b->ratio = ratio;
	b->slack = slack;
	b->window_us = window_us;
	CDS_INIT_LIST_HEAD(&b->services);
}

void retry_budgets_clear(retry_budgets_t *b)
{
	service_budget_t *s, *tmp;

	cds_list_for_each_entry_safe (s, tmp, &b->services, node) {
		cds_list_del(&s->node);
		str_free(&s->service);
		free(s);
	}
}

static service_budget_t *get_service(retry_budgets_t *b, str_t service)
{
	service_budget_t *s;

	cds_list_for_each_entry (s, &b->services, node)
		if (str_eq(s->service, service))
			return s;
	s = xcalloc(1, sizeof(*s));
	s->service = str_copy(service);
	cds_list_add(&s->node, &b->services);
	return s;
}

/* Advances to the current step and clears the steps that it skips. */
static void advance(service_budget_t *s, int64_t step)
{
	if (step - s->step >= (int64_t)WINDOW_STEPS)
		s->step = step - WINDOW_STEPS;
	while (s->step < step) {
		s->step++;
		s->requests[s->step % WINDOW_STEPS] = 0;
		s->retries[s->step % WINDOW_STEPS] = 0;
	}
}

bool retry_budget_spend(retry_budgets_t *b, str_t service, bool retry,
			double slack_share, int64_t now_us)
{
	service_budget_t *s = get_service(b, service);
	uint32_t requests = 0;
	uint32_t retries = 0;
	double allowed;

	advance(s, now_us / (b->window_us / WINDOW_STEPS));
	if (!retry) {
		s->requests[s->step % WINDOW_STEPS]++;
		return true;
	}
	for (size_t i = 0; i < WINDOW_STEPS; i++) {
		requests += s->requests[i];
		retries += s->retries[i];
	}
	allowed = (b->slack * slack_share + requests * b->ratio) * BUDGET_SHARE;
	if (retries + 1 > allowed)
		return false;
	s->retries[s->step % WINDOW_STEPS]++;
	return true;
}
