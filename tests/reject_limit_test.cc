// Tests of the room at runners that end if they reject too much, by one whose room
// shrinks under load.
#include <gtest/gtest.h>

#include <deque>

#include "reject_limit.h"

namespace
{

const int64_t MS = USEC_PER_MSEC;
const int64_t HOLD_US = 60 * MS;
// From the grant until the dispatcher hears of a rejection.
const int64_t ROUND_TRIP_US = 4 * MS;

// Asks every step_us for a place at one runner, which takes room requests at a time;
// returns the most rejections within a second.
size_t most_rejections(uint32_t named, uint32_t slots, uint32_t room,
		       int64_t step_us)
{
	std::deque<int64_t> ends, rejected, heard;
	reject_limit_t b = {};
	int64_t none_until = 0;
	size_t most = 0;

	for (int64_t t = 0; t < 10 * USEC_PER_SEC; t += step_us) {
		uint32_t now_room = t < 3 * USEC_PER_SEC ? slots : room;

		reject_limit_set(&b, named, t);
		while (!ends.empty() && ends.front() <= t)
			ends.pop_front();
		while (!heard.empty() && heard.front() <= t) {
			uint32_t n = (uint32_t)(ends.size() + heard.size());

			heard.pop_front();
			none_until = reject_limit_on_rejected(&b, n - 1, t);
		}
		while (!rejected.empty() &&
		       rejected.front() <= t - USEC_PER_SEC)
			rejected.pop_front();
		if (t < none_until ||
		    !reject_limit_has_room(
			    &b, (uint32_t)(ends.size() + heard.size()), slots,
			    t))
			continue;
		if (ends.size() < now_room) {
			ends.push_back(t + HOLD_US);
			continue;
		}
		rejected.push_back(t);
		heard.push_back(t + ROUND_TRIP_US);
		most = std::max(most, rejected.size());
	}
	return most;
}

// Guards against runners that end as they go on being sent what they reject.
TEST(RejectLimit, RejectionsStayWithinWhatTheRunnerAllows)
{
	for (uint32_t named : {1u, 2u, 5u, 20u})
		for (uint32_t room : {1u, 3u, 6u})
			EXPECT_LE(most_rejections(named, 6, room, 5 * MS),
				  named)
				<< named << " " << room;
}

// A runner that has stated no limit, or not lately, is given what it was given before.
TEST(RejectLimit, OthersAreNotBounded)
{
	reject_limit_t b = {};

	EXPECT_TRUE(reject_limit_has_room(&b, 100, 6, 0));
	EXPECT_EQ(0, reject_limit_on_rejected(&b, 3, 0));
	reject_limit_set(&b, 2, 0);
	EXPECT_FALSE(reject_limit_has_room(&b, 6, 6, 0));
	EXPECT_GT(reject_limit_on_rejected(&b, 3, 0), 0);
	EXPECT_FALSE(reject_limit_has_room(&b, 3, 6, 0));
	EXPECT_TRUE(reject_limit_has_room(&b, 100, 6, 6 * USEC_PER_SEC));
}

// Guards against a bound that stays down once the runner has room again.
TEST(RejectLimit, RoomIsTriedAgainWithTime)
{
	reject_limit_t b = {};

	reject_limit_set(&b, 2, 0);
	reject_limit_on_rejected(&b, 1, 0);
	EXPECT_FALSE(reject_limit_has_room(&b, 1, 6, 500 * MS));
	reject_limit_set(&b, 2, 4 * USEC_PER_SEC);
	EXPECT_TRUE(reject_limit_has_room(&b, 4, 6, 4 * USEC_PER_SEC));
}

} // namespace
