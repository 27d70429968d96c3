/* voters.c - which hosts with a disk vote, where operators choose none. */
#include "voters.h"

/* With this many voters more than the fewest, one more of them may be lost. */
#define EXTRA_VOTERS 2u

static size_t count_lost(const voters_t *v)
{
	size_t n = 0;

	for (size_t i = 0; i < v->n; i++)
		n += v->rows[i].is_lost;
	return n;
}

/* How many voters there should be with the hosts that are there now. */
static size_t wanted(const voters_t *v)
{
	size_t n = v->n - count_lost(v) + v->n_candidates;

	/* An even number tolerates no more losses than the odd one below it. */
	if (n % 2 == 0 && n)
		n--;
	if (n > v->min + EXTRA_VOTERS)
		n = v->min + EXTRA_VOTERS;
	return n > v->min ? n : v->min;
}

/*
 * The voter to remove where there is one too many: the one that joined first is the
 * likeliest to be replaced next. 0: there is none.
 */
static host_id_t first_joined(const voters_t *v)
{
	for (size_t i = 0; i < v->n; i++)
		if (!v->rows[i].is_lost && v->rows[i].id != v->leader)
			return v->rows[i].id;
	return 0;
}

static bool is_lost(const voters_t *v, host_id_t id)
{
	for (size_t i = 0; i < v->n; i++)
		if (v->rows[i].id == id)
			return v->rows[i].is_lost;
	return false;
}

/*
 * A lost voter is removed once there are enough others. A working one is removed only
 * where the candidate that would make their number odd has stayed away.
 */
bool voters_keep(const voters_t *v, host_id_t id)
{
	if (is_lost(v, id))
		return v->n <= v->min;
	if (v->n <= wanted(v) || count_lost(v) || !v->settled)
		return true;
	return id != first_joined(v);
}

/*
 * The successor of a lost voter joins before that one is removed, so that the quorum
 * never depends on fewer hosts than before.
 */
bool voters_admit(const voters_t *v)
{
	return v->n < wanted(v) || (v->n == v->min && count_lost(v));
}
