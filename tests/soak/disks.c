/*
 * disks.c - in a share of the seeds, the disk of one voter after the other is full for
 * a while, as a limit on the size of its files. It is drawn apart from the plan.
 */
#include <stdio.h>
#include <stdlib.h>

#include "soak.h"

#define SEEDS_SHARE 0.5
#define FULL_MIN_MS 300
#define FULL_MAX_MS 4000
#define GAP_MIN_MS 500
#define GAP_MAX_MS 3000

struct disks {
	soak_t *s;
	GRand *rng;
	bool is_on; /* drawn for this seed */
	bool is_full;
	unsigned int host; /* whose disk is, or was last */
	uint32_t n_full;
	timer_sub_t timer;
};

static int64_t draw_ms(disks_t *d, int min, int max)
{
	return g_rand_int_range(d->rng, min, max) * USEC_PER_MSEC;
}

static void on_timer(void *ctx, int64_t now)
{
	disks_t *d = ctx;
	const soak_cfg_t *cfg = &d->s->cfg;

	if (d->is_full) {
		host_set_disk_full(d->s->hosts, d->host, false);
		d->is_full = false;
		timer_svc_arm(d->s->timers, &d->timer,
			      now + draw_ms(d, GAP_MIN_MS, GAP_MAX_MS));
		return;
	}
	d->host =
		(unsigned int)g_rand_int_range(d->rng, 0, (gint)cfg->n_voters);
	d->is_full = host_set_disk_full(d->s->hosts, d->host, true);
	d->n_full += d->is_full;
	timer_svc_arm(d->s->timers, &d->timer,
		      now + draw_ms(d, FULL_MIN_MS, FULL_MAX_MS));
}

disks_t *disks_new(soak_t *s)
{
	disks_t *d = xcalloc(1, sizeof(*d));

	d->s = s;
	d->rng = soak_rand(s, "disks");
	d->is_on = chance(d->rng, SEEDS_SHARE) && !s->cfg.power_losses &&
		   !s->cfg.replacements;
	timer_sub_init(&d->timer, on_timer, d);
	return d;
}

void disks_free(disks_t *d)
{
	timer_svc_cancel(d->s->timers, &d->timer);
	g_rand_free(d->rng);
	free(d);
}

void disks_start(disks_t *d)
{
	if (d->is_on)
		timer_svc_arm(d->s->timers, &d->timer,
			      soak_now(d->s) +
				      draw_ms(d, GAP_MIN_MS, GAP_MAX_MS));
}

void disks_stop(disks_t *d)
{
	timer_svc_cancel(d->s->timers, &d->timer);
	if (d->is_full)
		host_set_disk_full(d->s->hosts, d->host, false);
	d->is_full = false;
}

void disks_print(const disks_t *d, FILE *out)
{
	if (d->is_on)
		fprintf(out, "disks that were full: %u\n", d->n_full);
}
