/* state_mail.c - mailbox messages made from what the state core reports. */
#include "state_mail.h"

#include <stdlib.h>
#include <string.h>

void mail_free(mail_t *m)
{
	free(m);
}

static void tables_mail_drop(mail_t *m)
{
	decided_unref(((tables_mail_t *)m)->tables);
	free(m);
}

tables_mail_t *tables_mail_new(void (*run)(void *ctx, mail_t *m), decided_t *t)
{
	tables_mail_t *tm = xcalloc(1, sizeof(*tm));

	tm->mail.run = run;
	tm->mail.drop = tables_mail_drop;
	tm->tables = decided_ref(t);
	return tm;
}

lease_status_mail_t *lease_status_mail_new(void (*run)(void *ctx, mail_t *m),
					   const lease_status_t *st)
{
	size_t n = st->n_live * sizeof(*st->live);
	lease_status_mail_t *sm = xcalloc(1, sizeof(*sm) + n);

	sm->mail.run = run;
	sm->mail.drop = mail_free;
	sm->lease_status = *st;
	sm->lease_status.live = sm->live;
	if (n)
		memcpy(sm->live, st->live, n);
	return sm;
}

frame_mail_t *frame_mail_new(void (*run)(void *ctx, mail_t *m), host_id_t from,
			     const void *p, size_t n)
{
	frame_mail_t *fm = xcalloc(1, sizeof(*fm) + n);

	fm->mail.run = run;
	fm->mail.drop = mail_free;
	fm->from = from;
	fm->n = n;
	if (n)
		memcpy(fm->bytes, p, n);
	return fm;
}
