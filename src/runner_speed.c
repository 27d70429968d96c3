/* runner_speed.c - Kalman filter of a runner's speed, and the schedule of its prompts. */
#include "runner_speed.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/*
 * Assumptions for an unknown runner. Its real values may lie far from them: all
 * are likely to be off by one common factor, each also by one of its own.
 */
static const double prior_us[SPEED_TERMS] = {
	[SPEED_FIRST] = 45000,
	[SPEED_GAP] = 42000,
	[SPEED_TOKEN] = 50,
};
#define PRIOR_COMMON_VAR (0.6 * 0.6)
#define PRIOR_OWN_VAR (0.3 * 0.3)
/* Relative variance that the terms gain in each second. */
#define DRIFT_COMMON_VAR (0.12 * 0.12)
#define DRIFT_OWN_VAR (0.03 * 0.03)
/* No term is taken to be below this part of the assumption. */
#define TERM_MIN_SHARE 0.01
/* Relative variance of observations before any. */
#define NOISE_PRIOR (0.15 * 0.15)
#define NOISE_MIN (0.03 * 0.03)
#define NOISE_MAX (0.6 * 0.6)
#define NOISE_WEIGHT 0.06
/* Delays on the way of messages, whatever the runner's speed. */
#define DELIVERY_DEV_US 3000.0
/* A pause is the longest of its stream, and its prompts are not known surely. */
#define PAUSE_VAR (0.25 * 0.25)
/* An observation further off than this many deviations counts as being so far. */
#define OUTLIER_DEVS 3.0
/* As many in a row are no noise: the runner has changed. */
#define OUTLIERS_CHANGE 2
#define CHANGE_VAR_FACTOR 4.0
/* Observations before which none is an outlier. */
#define OBSERVED_FEW 3u
/* Without an observation for IDLE_US, means return to the usual ones. */
#define IDLE_US (1 * USEC_PER_SEC)
#define RETURN_HALF_LIFE_US (1 * USEC_PER_SEC)
/* Time over which the usual means follow; at most USUAL_STEP_US at a time. */
#define USUAL_TIME_US (60 * USEC_PER_SEC)
#define USUAL_STEP_US (500 * USEC_PER_MSEC)
/* The first ones are averaged. */
#define USUAL_FIRST 8u
/* A pause is expected to fit if it does with this many deviations added. */
#define FIT_DEVS 2.5
/* Prompts are prefilled a little earlier or later than expected. */
#define EVENT_MARGIN 1.3
/*
 * A prompt that takes this many times as long as expected counts as not begun, and
 * one that takes LOST_TIMES as long as ended: the message on it was lost.
 */
#define OVERDUE_TIMES 2
#define LOST_TIMES 10
/* Change of an estimate that is worth a log line. */
#define LOG_FACTOR 1.25

void runner_speed_init(runner_speed_t *s, uint64_t model_key, int64_t now_us)
{
	memset(s, 0, sizeof(*s));
	s->model_key = model_key;
	for (int i = 0; i < SPEED_TERMS; i++) {
		s->mean[i] = s->usual[i] = prior_us[i];
		for (int j = 0; j < SPEED_TERMS; j++)
			s->cov[i][j] =
				prior_us[i] * prior_us[j] *
				(PRIOR_COMMON_VAR + (i == j) * PRIOR_OWN_VAR);
	}
	s->first_noise = s->gap_noise = NOISE_PRIOR;
	s->updated_us = s->observed_us = now_us;
	s->logged_token = prior_us[SPEED_TOKEN];
}

/* How much of the difference to the usual means is left at now_us. */
static double return_share(const runner_speed_t *s, int64_t now_us)
{
	int64_t idle_us = now_us - s->observed_us - IDLE_US;

	return idle_us <= 0
		       ? 1
		       : exp2(-(double)idle_us / (double)RETURN_HALF_LIFE_US);
}

double runner_speed_term(const runner_speed_t *s, speed_term_t t,
			 int64_t now_us)
{
	return s->usual[t] +
	       (s->mean[t] - s->usual[t]) * return_share(s, now_us);
}

/* Brings mean and cov to now_us: what was learnt becomes less certain. */
static void advance(runner_speed_t *s, int64_t now_us)
{
	double dt = (double)(now_us - s->updated_us) / USEC_PER_SEC;

	if (dt <= 0)
		return;
	for (int i = 0; i < SPEED_TERMS; i++)
		s->mean[i] = runner_speed_term(s, (speed_term_t)i, now_us);
	for (int i = 0; i < SPEED_TERMS; i++)
		for (int j = 0; j < SPEED_TERMS; j++)
			s->cov[i][j] +=
				s->mean[i] * s->mean[j] * dt *
				(DRIFT_COMMON_VAR + (i == j) * DRIFT_OWN_VAR);
	/* Never less certain than of an unknown runner. */
	for (int i = 0; i < SPEED_TERMS; i++) {
		double max = s->mean[i] * s->mean[i] *
			     (PRIOR_COMMON_VAR + PRIOR_OWN_VAR);
		double f = s->cov[i][i] > max ? sqrt(max / s->cov[i][i]) : 1;

		for (int j = 0; j < SPEED_TERMS; j++) {
			s->cov[i][j] *= f;
			s->cov[j][i] *= f;
		}
	}
	s->updated_us = now_us;
}

static void follow_usual(runner_speed_t *s, int64_t since_us)
{
	double w = (double)MIN(since_us, USUAL_STEP_US) / USUAL_TIME_US;

	if (s->n_observed <= USUAL_FIRST)
		w = MAX(w, 1.0 / s->n_observed);
	for (int i = 0; i < SPEED_TERMS; i++)
		s->usual[i] += w * (s->mean[i] - s->usual[i]);
}

/* Adds up the weighted terms, and returns the variance of the sum. */
static double predict(const runner_speed_t *s, const double *h, double *sum)
{
	double var = 0;

	*sum = 0;
	for (int i = 0; i < SPEED_TERMS; i++) {
		*sum += h[i] * s->mean[i];
		for (int j = 0; j < SPEED_TERMS; j++)
			var += h[i] * s->cov[i][j] * h[j];
	}
	return var;
}

/* One step of a Kalman filter: the sum of terms, weighted by h, was seen. */
static void correct(runner_speed_t *s, const double *h, double innovation,
		    double total_var)
{
	double gain[SPEED_TERMS] = {0}, row[SPEED_TERMS] = {0};

	for (int i = 0; i < SPEED_TERMS; i++)
		for (int j = 0; j < SPEED_TERMS; j++)
			row[i] += s->cov[i][j] * h[j];
	for (int i = 0; i < SPEED_TERMS; i++)
		gain[i] = row[i] / total_var;
	for (int i = 0; i < SPEED_TERMS; i++) {
		s->mean[i] = MAX(s->mean[i] + gain[i] * innovation,
				 prior_us[i] * TERM_MIN_SHARE);
		for (int j = 0; j < SPEED_TERMS; j++)
			s->cov[i][j] -= gain[i] * row[j];
	}
}

/* Takes repeated outliers on one side for a change of the runner. */
static void note_outlier(runner_speed_t *s, double devs)
{
	if (fabs(devs) <= OUTLIER_DEVS)
		s->outliers = 0;
	else if (devs > 0)
		s->outliers = MAX(s->outliers, 0) + 1;
	else
		s->outliers = MIN(s->outliers, 0) - 1;
	if (s->outliers < OUTLIERS_CHANGE && s->outliers > -OUTLIERS_CHANGE)
		return;
	for (int i = 0; i < SPEED_TERMS; i++)
		for (int j = 0; j < SPEED_TERMS; j++)
			s->cov[i][j] *= CHANGE_VAR_FACTOR;
}

static void learn_noise(double *noise, double relative)
{
	*noise += NOISE_WEIGHT * (relative * relative - *noise);
	*noise = CLAMP(*noise, NOISE_MIN, NOISE_MAX);
}

/*
 * extra_var: of this observation alone, besides the noise. The noise is learnt from
 * observations that have none.
 */
static void observe(runner_speed_t *s, const double *h, double seen_us,
		    double *noise, double extra_var, int64_t now_us)
{
	int64_t since_us = now_us - s->observed_us;
	double sum, var, dev, innovation;

	advance(s, now_us);
	var = predict(s, h, &sum);
	var += sum * sum * *noise + DELIVERY_DEV_US * DELIVERY_DEV_US +
	       extra_var;
	dev = sqrt(var);
	innovation = seen_us - sum;
	if (s->n_observed >= OBSERVED_FEW) {
		note_outlier(s, innovation / dev);
		innovation = CLAMP(innovation, -OUTLIER_DEVS * dev,
				   OUTLIER_DEVS * dev);
		if (extra_var <= 0)
			learn_noise(noise, innovation / sum);
	}
	correct(s, h, innovation, var);
	s->n_observed++;
	s->observed_us = now_us;
	follow_usual(s, since_us);
}

void runner_speed_on_first(runner_speed_t *s, int64_t first_us, double tokens,
			   double later_tokens, int64_t now_us)
{
	/* The runner may have prefilled any part of the later ones. */
	double h[SPEED_TERMS] = {1, 0, tokens + later_tokens / 2};
	double later_dev = later_tokens / 2 * s->mean[SPEED_TOKEN];

	if (first_us > 0)
		observe(s, h, (double)first_us, &s->first_noise,
			later_dev * later_dev, now_us);
}

void runner_speed_on_gap(runner_speed_t *s, int64_t gap_us, int64_t now_us)
{
	static const double h[SPEED_TERMS] = {0, 1, 0};

	if (gap_us > 0)
		observe(s, h, (double)gap_us, &s->gap_noise, 0, now_us);
}

void runner_speed_on_pause(runner_speed_t *s, int64_t pause_us, double tokens,
			   int64_t now_us)
{
	double h[SPEED_TERMS] = {0, 1, tokens};

	if (pause_us > 0 && tokens > 0)
		observe(s, h, (double)pause_us, &s->gap_noise,
			(double)pause_us * (double)pause_us * PAUSE_VAR,
			now_us);
}

void runner_speed_pause(const runner_speed_t *s, double tokens, int64_t now_us,
			double *mean_us, double *dev_us)
{
	double h[SPEED_TERMS] = {0, 1, tokens};
	double sum, var = predict(s, h, &sum);
	double gap_us = runner_speed_term(s, SPEED_GAP, now_us);
	double token_us = tokens * runner_speed_term(s, SPEED_TOKEN, now_us);

	*mean_us = gap_us + token_us;
	var += gap_us * gap_us * s->gap_noise +
	       token_us * token_us * s->first_noise;
	*dev_us = sqrt(MAX(var, 0));
}

double runner_speed_late_chance(const runner_speed_t *s, double tokens,
				int64_t allowed_us, int64_t now_us)
{
	double mean_us, dev_us;

	if (allowed_us <= 0)
		return 0;
	runner_speed_pause(s, tokens, now_us, &mean_us, &dev_us);
	return 0.5 * erfc(((double)allowed_us - mean_us) /
			  (MAX(dev_us, 1) * M_SQRT2));
}

bool runner_speed_log_due(runner_speed_t *s)
{
	double now = s->mean[SPEED_TOKEN];

	if (s->n_observed < OBSERVED_FEW ||
	    (now < s->logged_token * LOG_FACTOR &&
	     now * LOG_FACTOR > s->logged_token))
		return false;
	s->logged_token = now;
	return true;
}

/* Prompts being prefilled. */

static const prefill_t *at(const prefills_t *p, uint64_t seq)
{
	return &p->ring[seq % PREFILLS_MAX];
}

static uint64_t oldest(const prefills_t *p)
{
	return p->n > PREFILLS_MAX ? p->n - PREFILLS_MAX : 0;
}

/* Sets when the prompt is prefilled, behind the one before it. */
static void schedule(prefills_t *p, const runner_speed_t *s, uint64_t seq,
		     int64_t now_us)
{
	prefill_t *e = &p->ring[seq % PREFILLS_MAX];

	e->begin_us = e->granted_us;
	if (seq > oldest(p))
		e->begin_us = MAX(e->begin_us, at(p, seq - 1)->end_us);
	e->end_us = e->begin_us +
		    (int64_t)(e->tokens *
			      runner_speed_term(s, SPEED_TOKEN, now_us));
}

uint64_t prefills_add(prefills_t *p, const runner_speed_t *s, uint32_t tokens,
		      int64_t now_us)
{
	prefill_t *e = &p->ring[p->n % PREFILLS_MAX];

	if (p->n >= PREFILLS_MAX)
		p->n_open -= !e->ended;
	p->n_open++;
	e->seq = p->n++;
	e->tokens = tokens;
	e->ended = false;
	e->granted_us = now_us;
	schedule(p, s, e->seq, now_us);
	return e->seq;
}

void prefills_end(prefills_t *p, const runner_speed_t *s, uint64_t seq,
		  bool first_event, int64_t now_us)
{
	prefill_t *e = &p->ring[seq % PREFILLS_MAX];
	int64_t end_us = now_us;

	if (seq >= p->n || e->seq != seq || e->ended)
		return;
	e->ended = true;
	p->n_open--;
	/*
	 * The steps of the first event came after it, or just one of them where
	 * that event holds a single token. A late estimate is the safe one.
	 */
	if (first_event)
		end_us -=
			(int64_t)(MIN(runner_speed_term(s, SPEED_FIRST, now_us),
				      runner_speed_term(s, SPEED_GAP, now_us)) /
				  2);
	else
		end_us = MIN(end_us, e->end_us);
	e->end_us = MAX(end_us, e->granted_us);
	e->begin_us = MIN(e->begin_us, e->end_us);
	for (uint64_t i = seq + 1; i < p->n; i++)
		if (!at(p, i)->ended)
			schedule(p, s, i, now_us);
}

/* Whether the prompt may still be being prefilled. overdue may be NULL. */
static bool is_open(const prefill_t *e, const runner_speed_t *s, int64_t now_us,
		    bool *overdue)
{
	int64_t first_us = (int64_t)runner_speed_term(s, SPEED_FIRST, now_us);
	int64_t usual_us = e->end_us - e->granted_us + first_us;
	int64_t us = now_us - e->granted_us;

	if (overdue)
		*overdue = us >= OVERDUE_TIMES * usual_us;
	return !e->ended && us < LOST_TIMES * usual_us;
}

/* When the prompt is, or was, prefilled at the earliest. */
static int64_t end_of(const prefill_t *e, const runner_speed_t *s,
		      int64_t now_us)
{
	bool overdue;

	if (!is_open(e, s, now_us, &overdue) || !overdue)
		return e->end_us;
	return now_us +
	       (int64_t)(e->tokens * runner_speed_term(s, SPEED_TOKEN, now_us));
}

/* When all granted prompts are prefilled, counting overdue ones once more. */
static int64_t busy_until(const prefills_t *p, const runner_speed_t *s,
			  int64_t now_us)
{
	int64_t busy_us = now_us;
	uint32_t n_open = p->n_open;

	if (p->n)
		busy_us = MAX(busy_us, at(p, p->n - 1)->end_us);
	for (uint64_t i = p->n; n_open && i-- > oldest(p);) {
		const prefill_t *e = at(p, i);

		if (e->ended)
			continue;
		n_open--;
		if (end_of(e, s, now_us) != e->end_us)
			busy_us += end_of(e, s, now_us) - now_us;
	}
	return busy_us;
}

double prefills_open_tokens(const prefills_t *p, const runner_speed_t *s,
			    int64_t now_us)
{
	return (double)(busy_until(p, s, now_us) - now_us) /
	       runner_speed_term(s, SPEED_TOKEN, now_us);
}

double prefills_later_tokens(const prefills_t *p, uint64_t seq, int64_t now_us)
{
	double tokens = 0;

	for (uint64_t i = MAX(seq + 1, oldest(p)); i < p->n; i++)
		if (at(p, i)->begin_us < now_us)
			tokens += at(p, i)->tokens;
	return tokens;
}

double prefills_between(const prefills_t *p, int64_t from_us, int64_t to_us)
{
	double tokens = 0;

	if (p->n > PREFILLS_MAX && at(p, oldest(p))->begin_us > from_us)
		return -1;
	for (uint64_t i = oldest(p); i < p->n; i++)
		if (at(p, i)->end_us > from_us && at(p, i)->begin_us < to_us)
			tokens += at(p, i)->tokens;
	return tokens;
}

static bool fits(const runner_speed_t *s, double tokens, double allowed_us,
		 int64_t now_us)
{
	double mean_us, dev_us;

	runner_speed_pause(s, tokens, now_us, &mean_us, &dev_us);
	return mean_us + FIT_DEVS * dev_us <= allowed_us;
}

/*
 * Goes back from the latest prompt over those that can fall into the same event as
 * a new one: those with less than the gap of decoding alone after them.
 */
void prefill_plan(const prefills_t *p, const runner_speed_t *s, double tokens,
		  int64_t allowed_us, double share, int64_t now_us,
		  prefill_plan_t *out)
{
	int64_t busy_us = busy_until(p, s, now_us);
	int64_t gap_us = (int64_t)(EVENT_MARGIN *
				   runner_speed_term(s, SPEED_GAP, now_us));
	double allowed = (double)allowed_us;
	double in_event = tokens, kept = tokens;
	int64_t next_us = busy_us, quiet_us = 0;
	int64_t begin_us = busy_us;
	double dev_us;
	bool full = false;

	memset(out, 0, sizeof(*out));
	out->ahead_us = busy_us - now_us;
	if (!allowed_us)
		return;
	for (uint64_t i = p->n; i-- > oldest(p);) {
		const prefill_t *e = at(p, i);
		int64_t end_us = end_of(e, s, now_us);

		/* It may take longer than expected until its first event. */
		if (is_open(e, s, now_us, NULL))
			end_us = MAX(end_us, now_us);
		end_us = MIN(end_us, busy_us);
		quiet_us += MAX(next_us - end_us, 0);
		next_us = MIN(next_us, e->begin_us);
		if (quiet_us >= gap_us)
			break;
		in_event += e->tokens / share;
		if (full || !e->tokens)
			continue;
		if (fits(s, in_event, allowed, now_us)) {
			kept = in_event;
			continue;
		}
		/* The event with this prompt has to end first. */
		full = true;
		begin_us = busy_us + gap_us - quiet_us;
	}
	out->wait_us = full ? begin_us - now_us : 0;
	out->late_chance =
		runner_speed_late_chance(s, kept, allowed_us, now_us);
	out->late_chance_now =
		runner_speed_late_chance(s, in_event, allowed_us, now_us);
	runner_speed_pause(s, in_event, now_us, &out->pause_us_now, &dev_us);
}
