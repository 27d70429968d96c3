/*
 * runner_limit.h - paces the requests to a runner that has named how many a second it
 * takes from all hosts together. Not thread-safe; the caller passes in the time.
 */
#ifndef DK_RUNNER_LIMIT_H
#define DK_RUNNER_LIMIT_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct runner_limit {
	bool active;
	double per_s;	  /* requests a second */
	double allowance; /* requests that may be sent now, at most one */
	int64_t at_us;	  /* when allowance was computed */
	int64_t named_us; /* when an answer last named a limit */
	int64_t ended_us; /* when one last told that there is none any more */
} runner_limit_t;

/*
 * An answer named the limit at at_us; it may be told late, and behind newer ones.
 * seed: of runner and dispatcher; spreads the first requests where limits begin together.
 */
void runner_limit_name(runner_limit_t *l, double per_s, uint64_t seed,
		       int64_t at_us, int64_t now_us);
/*
 * An answer named none, to a request sent at sent_us. It ends the limit only if that
 * was after the limit was last named: an older answer does not tell.
 */
void runner_limit_end(runner_limit_t *l, int64_t sent_us, int64_t now_us);
/* Forgets all; the runner has restarted. */
void runner_limit_reset(runner_limit_t *l);
/*
 * Time until another request may be sent, behind n_queued that wait for the same; 0
 * where it may be now. share: of the limit, that this dispatcher may use.
 */
int64_t runner_limit_wait_us(const runner_limit_t *l, double share,
			     uint32_t n_queued, int64_t now_us);
/* A request is sent. */
void runner_limit_take(runner_limit_t *l, double share, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
