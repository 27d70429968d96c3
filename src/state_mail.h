/*
 * state_mail.h - mailbox messages that hand what the state core reports to
 * another thread. The core's callbacks run under its lock, so they only queue
 * one of these.
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
	lease_status_t lease_status; /* its live points to the array below */
	host_id_t live[];
} lease_status_mail_t;

/* A frame received from a peer daemon. */
typedef struct frame_mail {
	mail_t mail;
	host_id_t from;
	size_t n;
	uint8_t bytes[];
} frame_mail_t;

/* For mail_t.drop of messages that own no other memory. */
void mail_free(mail_t *m);

/*
 * Each returns a message that the caller sends to a mailbox. run must end with
 * a call of the message's drop, which frees it.
 */
tables_mail_t *tables_mail_new(void (*run)(void *ctx, mail_t *m), decided_t *t);
lease_status_mail_t *lease_status_mail_new(void (*run)(void *ctx, mail_t *m),
					   const lease_status_t *st);
frame_mail_t *frame_mail_new(void (*run)(void *ctx, mail_t *m), host_id_t from,
			     const void *p, size_t n);

#endif
