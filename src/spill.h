/*
 * spill.h - spillover: which share of the requests of a failure domain may be sent to
 * runners of another one. The dispatcher has one instance and passes in what it knows;
 * no I/O, no clock and no lock. All of it is soft state: it begins empty, with all
 * requests at home.
 */
#ifndef DK_SPILL_H
#define DK_SPILL_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Price of the bytes of one token that cross to another failure domain and of its
 * answer, as the time that a request waits at home rather than pay it.
 */
#define SPILL_PRICE_US_PER_TOKEN 33
/* Heads of request and response, in tokens of the same size. */
#define SPILL_HEAD_TOKENS 100u

/* X(NAME, "name") - why a request was sent to another failure domain. */
#define SPILL_REASONS(X)                                                  \
	X(ADAPTER, "adapter")	  /* its adapter is not ready at home */  \
	X(NO_RUNNER, "no_runner") /* no runner at home may serve it */    \
	X(SHARE, "share")	  /* it is of the share that may leave */ \
	X(HOME_FULL, "home_full") /* home is full, or it would be late there \
				   */

typedef enum spill_reason {
	SPILL_STAYS,
#define X(name, text) SPILL_##name,
	SPILL_REASONS(X)
#undef X
	SPILL_REASON_COUNT,
} spill_reason_t;

typedef struct spill spill_t;

spill_t *spill_new(void);
void spill_free(spill_t *s);
/* Forgets everything. */
void spill_clear(spill_t *s);

/* A request of a domain has come. tokens: of its prompt and, at most, its output. */
void spill_on_request(spill_t *s, str_t service, str_t zone, uint64_t tokens,
		      int64_t now_us);

/*
 * A runner has begun to answer a request of an entry in zone; excess_us is the time
 * since the request was sent, less the one that the runner was expected to take.
 */
void spill_on_started(spill_t *s, str_t service, str_t zone, str_t runner_zone,
		      int64_t excess_us, int64_t now_us);

/* State of a runner that may get requests. */
typedef struct spill_runner {
	str_t service;
	str_t zone;
	double places;	 /* requests that it runs at once */
	double used;	 /* places granted, and requests queued for one */
	int64_t wait_us; /* of a new request, until it can begin there */
	int64_t hold_us; /* mean time that a place is held */
} spill_runner_t;

/* Whether decisions are due; then all usable runners are passed in, and decided on. */
bool spill_is_due(const spill_t *s, int64_t now_us);
void spill_begin_samples(spill_t *s);
void spill_add_runner(spill_t *s, const spill_runner_t *r);
void spill_decide(spill_t *s, int64_t now_us);

/* A request with the domains that it may leave for. Valid until the next change. */
typedef struct spill_plan {
	const struct spill_domain *home; /* NULL: nothing is known of it */
	const struct spill_domain
		*free; /* it may leave for this one; or NULL */
	str_t zone;
	uint64_t tokens;
} spill_plan_t;

/* seed: differs from request to request, and is the same for all decisions on one. */
spill_plan_t spill_plan(const spill_t *s, str_t service, str_t zone,
			uint64_t tokens, uint64_t seed);

typedef struct spill_crossing {
	int64_t path_us;  /* time there and back */
	int64_t price_us; /* price of the bytes, as a time */
	bool closed;	  /* the request is not of the share that may leave */
	bool loaded; /* that domain needs its runners for its own callers */
} spill_crossing_t;

/* What sending the request to a runner in another domain means. */
spill_crossing_t spill_crossing(const spill_plan_t *p, str_t zone);

/* The share of a domain's requests that may leave it for another one now. */
double spill_share(const spill_t *s, str_t service, str_t zone, str_t to);
/* The learnt time there and back. */
int64_t spill_path_us(const spill_t *s, str_t service, str_t zone, str_t to);

/* Counts and logs a request that gets a place in another domain. */
void spill_record_left(spill_reason_t reason, str_t id, str_t service,
		       str_t zone, str_t to, uint64_t tokens);

#ifdef __cplusplus
}
#endif
#endif
