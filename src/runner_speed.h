/*
 * runner_speed.h - how fast a model runner is, learnt from its streams, and which
 * prompts it prefills when. Without I/O, clock or lock; the caller passes in the time.
 *
 * A runner prefills prompts between the decoding steps of its streams, one after the
 * other. An event of a stream takes several steps; the gap between two events is its
 * usual length plus the time of all prompt tokens prefilled within its steps.
 */
#ifndef DK_RUNNER_SPEED_H
#define DK_RUNNER_SPEED_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* What is learnt of a runner, for one model, in microseconds. */
typedef enum speed_term {
	SPEED_FIRST, /* from sending an empty prompt to its first event */
	SPEED_GAP,   /* between two events while nothing is prefilled */
	SPEED_TOKEN, /* to prefill a prompt token */
	SPEED_TERMS,
} speed_term_t;

typedef struct runner_speed {
	uint64_t model_key; /* 0: not in use */
	double mean[SPEED_TERMS];
	double cov[SPEED_TERMS][SPEED_TERMS];
	/* Long-run means, which mean returns to without observations. */
	double usual[SPEED_TERMS];
	double first_noise; /* relative variance of delays to first events */
	double gap_noise;   /* the same of gaps */
	uint32_t n_observed;
	int32_t outliers;    /* in a row; negative: too fast */
	int64_t updated_us;  /* mean and cov are of this time */
	int64_t observed_us; /* last observation */
	double logged_token; /* mean[SPEED_TOKEN] when it was last logged */
} runner_speed_t;

/* Sets the assumptions for a runner that nothing is known of. */
void runner_speed_init(runner_speed_t *s, uint64_t model_key, int64_t now_us);
/*
 * A first event came first_us after its request was sent; meanwhile the runner
 * prefilled tokens, and perhaps later_tokens of prompts that were granted after it.
 */
void runner_speed_on_first(runner_speed_t *s, int64_t first_us, double tokens,
			   double later_tokens, int64_t now_us);
/* Median gap between the events of a stream. */
void runner_speed_on_gap(runner_speed_t *s, int64_t gap_us, int64_t now_us);
/* A pause of a stream, in which the runner prefilled tokens. */
void runner_speed_on_pause(runner_speed_t *s, int64_t pause_us, double tokens,
			   int64_t now_us);
/* Expected value of a term at now_us. */
double runner_speed_term(const runner_speed_t *s, speed_term_t t,
			 int64_t now_us);
/* Expected pause of streams while tokens are prefilled, and its deviation. */
void runner_speed_pause(const runner_speed_t *s, double tokens, int64_t now_us,
			double *mean_us, double *dev_us);
/* Chance that a pause for these tokens exceeds allowed_us; 0: any is allowed. */
double runner_speed_late_chance(const runner_speed_t *s, double tokens,
				int64_t allowed_us, int64_t now_us);
/* Whether the estimate has changed so much since true was returned last. */
bool runner_speed_log_due(runner_speed_t *s);

/* Prompts that are remembered for each runner. */
#define PREFILLS_MAX 32u

typedef struct prefill {
	uint64_t seq;
	uint32_t tokens;
	bool ended; /* its first event has come, or its request has ended */
	int64_t granted_us;
	int64_t begin_us; /* expected */
	int64_t end_us;	  /* expected */
} prefill_t;

/* The prompts granted last at one runner, in the order in which it prefills them. */
typedef struct prefills {
	prefill_t ring[PREFILLS_MAX];
	uint64_t
		n; /* granted so far; ring[(n - 1) % PREFILLS_MAX] is the latest */
	uint32_t n_open; /* not ended, of those in the ring */
} prefills_t;

/* Records a prompt that is granted now; returns its sequence number. */
uint64_t prefills_add(prefills_t *p, const runner_speed_t *s, uint32_t tokens,
		      int64_t now_us);
/* Its first event has come now, or its request has ended. */
void prefills_end(prefills_t *p, const runner_speed_t *s, uint64_t seq,
		  bool first_event, int64_t now_us);
/* Granted prompt tokens that the runner has not prefilled yet, as expected. */
double prefills_open_tokens(const prefills_t *p, const runner_speed_t *s,
			    int64_t now_us);
/* Tokens of prompts granted after seq that were prefilled before now_us. */
double prefills_later_tokens(const prefills_t *p, uint64_t seq, int64_t now_us);
/* Tokens prefilled from from_us to to_us; -1: not known any more. */
double prefills_between(const prefills_t *p, int64_t from_us, int64_t to_us);

/* What a new prompt does to the streams of a runner. */
typedef struct prefill_plan {
	int64_t ahead_us;   /* until all granted prompts are prefilled */
	int64_t wait_us;    /* until it can be granted with the least harm */
	double late_chance; /* that a stream then pauses too long */
	double late_chance_now; /* the same if it is granted at once */
	double pause_us_now;	/* the same if it is granted at once */
} prefill_plan_t;

/*
 * allowed_us: smallest pause allowed to the streams there; 0: there is no limit.
 * share: of the runner's capacity that this dispatcher may use.
 */
void prefill_plan(const prefills_t *p, const runner_speed_t *s, double tokens,
		  int64_t allowed_us, double share, int64_t now_us,
		  prefill_plan_t *out);

#ifdef __cplusplus
}
#endif
#endif
