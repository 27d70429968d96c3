/* voters.c - which hosts with a disk vote, where operators choose none. */
#include "voters.h"

static size_t count_lost(const voters_t *v)
{
	size_t n = 0;

	for (size_t i = 0; i < v->n; i++)
		n += v->rows[i].is_lost;
	return n;
}

static bool is_lost(const voters_t *v, host_id_t id)
{
	for (size_t i = 0; i < v->n; i++)
		if (v->rows[i].id == id)
			return v->rows[i].is_lost;
	return false;
}

/* A lost voter is removed once there are enough others. */
bool voters_keep(const voters_t *v, host_id_t id)
{
	return v->n <= v->min || !is_lost(v, id);
}

/*
 * The successor of a lost voter joins before that one is removed, so that the quorum
 * never depends on fewer hosts than before.
 */
bool voters_admit(const voters_t *v)
{
	return v->n < v->min || (v->n == v->min && count_lost(v));
}
