/* mailbox.c - a queue of messages with its thread. */
#include "mailbox.h"

#include <errno.h>
#include <pthread.h>
#include <stdlib.h>

struct mailbox {
	void *ctx;
	pthread_t thread;
	bool started;
	pthread_mutex_t lock; /* guards what follows */
	pthread_cond_t wake;
	struct cds_list_head mail;
	bool stop;
};

mailbox_t *mailbox_new(void *ctx)
{
	mailbox_t *b = xcalloc(1, sizeof(*b));

	b->ctx = ctx;
	pthread_mutex_init(&b->lock, NULL);
	pthread_cond_init(&b->wake, NULL);
	CDS_INIT_LIST_HEAD(&b->mail);
	return b;
}

/* Waits for a message and removes it from the queue; NULL after the stop. */
static mail_t *next_message(mailbox_t *b)
{
	mail_t *m = NULL;

	pthread_mutex_lock(&b->lock);
	while (!b->stop && cds_list_empty(&b->mail))
		pthread_cond_wait(&b->wake, &b->lock);
	if (!b->stop) {
		m = cds_list_first_entry(&b->mail, mail_t, node);
		cds_list_del(&m->node);
	}
	pthread_mutex_unlock(&b->lock);
	return m;
}

static void *mailbox_thread(void *arg)
{
	mailbox_t *b = arg;
	mail_t *m;

	while ((m = next_message(b)))
		m->run(b->ctx, m);
	return NULL;
}

int mailbox_start(mailbox_t *b)
{
	errno = pthread_create(&b->thread, NULL, mailbox_thread, b);
	b->started = errno == 0;
	return b->started ? 0 : -1;
}

void mailbox_send(mailbox_t *b, mail_t *m)
{
	bool stop;

	pthread_mutex_lock(&b->lock);
	stop = b->stop;
	if (!stop) {
		cds_list_add_tail(&m->node, &b->mail);
		pthread_cond_signal(&b->wake);
	}
	pthread_mutex_unlock(&b->lock);
	if (stop)
		m->drop(m);
}

void mailbox_stop(mailbox_t *b)
{
	mail_t *m;
	mail_t *next;

	pthread_mutex_lock(&b->lock);
	b->stop = true;
	pthread_cond_signal(&b->wake);
	pthread_mutex_unlock(&b->lock);
	if (b->started)
		pthread_join(b->thread, NULL);
	b->started = false;
	cds_list_for_each_entry_safe (m, next, &b->mail, node)
		m->drop(m);
	CDS_INIT_LIST_HEAD(&b->mail);
}

void mailbox_free(mailbox_t *b)
{
	if (!b)
		return;
	mailbox_stop(b);
	pthread_cond_destroy(&b->wake);
	pthread_mutex_destroy(&b->lock);
	free(b);
}
