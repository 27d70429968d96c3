/*
 * state_mail.h - what the state core tells, as mail to another thread: its
 * callbacks are made under its lock and only queue.
 */
#ifndef DK_STATE_MAIL_H
#define DK_STATE_MAIL_H

#include "mailbox.h"
#include "state.h"

typedef struct tables_mail {
	mail_t mail;
	decided_t *tables; /* one reference */
} tables_mail_t;

typedef struct lease_status_mail {
	mail_t mail;
	lease_status_t lease_status; /* live points into this mail */
	host_id_t live[];
} lease_status_mail_t;

/* A frame from a peer. */
typedef struct frame_mail {
	mail_t mail;
	host_id_t from;
	size_t n;
	uint8_t bytes[];
} frame_mail_t;

/* For mail that owns nothing beside itself. */
void mail_free(mail_t *m);

/* Each is to be sent; run must call the mail's drop when it is done with it. */
tables_mail_t *tables_mail_new(void (*run)(void *ctx, mail_t *m), decided_t *t);
lease_status_mail_t *lease_status_mail_new(void (*run)(void *ctx, mail_t *m),
					   const lease_status_t *st);
frame_mail_t *frame_mail_new(void (*run)(void *ctx, mail_t *m), host_id_t from,
			     const void *p, size_t n);

#endif
