/*
 * retry_budget.h - limits how many requests of each service are retried, so that
 * retries do not multiply the load of a service that is failing. The caller
 * passes in the time; no I/O and no lock.
 */
#ifndef DK_RETRY_BUDGET_H
#define DK_RETRY_BUDGET_H

#include "util.h"

#include <urcu/list.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct retry_budgets {
	/*
	 * In any window_us a service may have ratio retries for each first
	 * attempt, and slack in addition.
	 */
	double ratio;
	double slack;
	int64_t window_us;
	struct cds_list_head services;
} retry_budgets_t;

void retry_budgets_init(retry_budgets_t *b, double ratio, double slack,
			int64_t window_us);
/* Forgets all services and frees what is kept of them. */
void retry_budgets_clear(retry_budgets_t *b);
/*
 * Counts a first attempt, or a retry if the budget allows one; returns false if
 * it does not. slack_share: the part of the slack that this caller may use.
 */
bool retry_budget_spend(retry_budgets_t *b, str_t service, bool retry,
			double slack_share, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
